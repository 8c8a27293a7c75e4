"""Ask other entry hosts about keys over the peer port."""

from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

from ..calls import OnReply, Reply
from ..errors import WireError
from ..logs import log_event
from ..misc import Address
from .messages import OnSettled, SettleAsk, SettleReply, SettleWord
from .wire import SETTLE_PATH, ask_form, parse_reply

__all__ = ["PeerAsker", "PeerCalls", "Resolve"]

ASK_TIMEOUT_S = 0.5
MAX_TRIES = 2
STATUS_OK = 200

Resolve = Callable[[str], Address | None]


class PeerCalls(Protocol):
    """What an asker needs of `Peers`."""

    def call(
        self,
        address: Address,
        target: str,
        body: Any,
        on_reply: OnReply,
        timeout_s: float,
    ) -> Any:
        """POST a JSON body to a peer; `on_reply(reply, exc)` gets the outcome."""


class PeerAsker:
    """Carry questions to the incarnation they are for, trying twice.

    Asking twice is safe: a hand-over is bound to the question's token.
    """

    def __init__(self, peers: PeerCalls, resolve: Resolve) -> None:
        self._peers = peers
        self._resolve = resolve

    def ask(self, ask: SettleAsk, on_settled: OnSettled) -> None:
        """Ask, and give the reply to `on_settled` once."""
        address = self._resolve(ask.to)
        if address is None:
            on_settled(SettleReply(SettleWord.NOT_HERE))
            return
        self._try(address, ask, on_settled, MAX_TRIES)

    def _try(
        self, address: Address, ask: SettleAsk, on_settled: OnSettled, tries: int
    ) -> None:
        on_reply = partial(self._on_reply, address, ask, on_settled, tries - 1)
        self._peers.call(address, SETTLE_PATH, ask_form(ask), on_reply, ASK_TIMEOUT_S)

    def _on_reply(
        self,
        address: Address,
        ask: SettleAsk,
        on_settled: OnSettled,
        tries: int,
        reply: Reply | None,
        exc: WireError | None,
    ) -> None:
        if exc is not None and tries > 0:
            self._try(address, ask, on_settled, tries)
            return
        on_settled(_read(ask, reply, exc))


def _read(ask: SettleAsk, reply: Reply | None, exc: WireError | None) -> SettleReply:
    """Return what was replied; anything unreadable counts as no reply."""
    try:
        if exc is not None:
            raise exc
        if reply.status != STATUS_OK:
            raise ValueError(f"status {reply.status}")
        return parse_reply(reply.body)
    except (WireError, ValueError) as fault:
        log_event("key-owner-silent", level="WARNING", owner=ask.to, error=str(fault))
        return SettleReply(SettleWord.UNREACHABLE)
