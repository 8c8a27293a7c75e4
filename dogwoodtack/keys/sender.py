"""Send settle requests for keys to other entry hosts over the peer port."""

from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

from ..calls import OnReply, Reply
from ..errors import WireError
from ..logs import log_event
from ..misc import Address
from .messages import OnSettled, SettleReply, SettleRequest, SettleStatus
from .wire import SETTLE_PATH, reply_from_json, request_to_json

__all__ = ["PeerCalls", "PeerSettleSender", "Resolve"]

SETTLE_TIMEOUT_S = 0.5
MAX_ATTEMPTS = 2
HTTP_OK = 200

Resolve = Callable[[str], Address | None]


class PeerCalls(Protocol):
    """The part of `PeerClient` that a sender uses."""

    def call(
        self,
        address: Address,
        target: str,
        body: Any,
        on_reply: OnReply,
        timeout_s: float,
    ) -> Any:
        """POST a JSON body to a peer; `on_reply(reply, exc)` gets the outcome."""


class PeerSettleSender:
    """Send settle requests to the incarnation that they are for, retrying once.

    The retry is safe: a hand-over is bound to the request's token.
    """

    def __init__(self, peers: PeerCalls, resolve: Resolve) -> None:
        self._peers = peers
        self._resolve = resolve

    def send(self, request: SettleRequest, on_settled: OnSettled) -> None:
        """Send a request and call `on_settled` with the reply, once."""
        address = self._resolve(request.to)
        if address is None:
            on_settled(SettleReply(SettleStatus.NOT_HERE))
            return
        self._attempt(address, request, on_settled, MAX_ATTEMPTS)

    def _attempt(
        self,
        address: Address,
        request: SettleRequest,
        on_settled: OnSettled,
        attempts_left: int,
    ) -> None:
        on_reply = partial(
            self._on_reply, address, request, on_settled, attempts_left - 1
        )
        self._peers.call(
            address, SETTLE_PATH, request_to_json(request), on_reply, SETTLE_TIMEOUT_S
        )

    def _on_reply(
        self,
        address: Address,
        request: SettleRequest,
        on_settled: OnSettled,
        attempts_left: int,
        reply: Reply | None,
        exc: WireError | None,
    ) -> None:
        if exc is not None and attempts_left > 0:
            self._attempt(address, request, on_settled, attempts_left)
            return
        on_settled(_read(request, reply, exc))


def _read(
    request: SettleRequest, reply: Reply | None, exc: WireError | None
) -> SettleReply:
    """Return the reply; anything unreadable counts as no reply."""
    try:
        if exc is not None:
            raise exc
        if reply.status != HTTP_OK:
            raise ValueError(f"status {reply.status}")
        return reply_from_json(reply.body)
    except (WireError, ValueError) as fault:
        log_event(
            "key-owner-silent", level="WARNING", owner=request.to, error=str(fault)
        )
        return SettleReply(SettleStatus.UNREACHABLE)
