"""Control calls between entry hosts, authenticated by the peers' access key."""

from collections import Counter
from typing import Any

from .calls import Call, Client, OnReply, PendingCall
from .control import ACCESS_HEADER
from .misc import Address

__all__ = ["PeerClient"]

DEFAULT_TIMEOUT_S = 1.0


class PeerClient:
    """Make control calls to other entry hosts.

    Attributes:
        calls_made: number of calls since the start.
        calls_by_area: number of calls by the first segment of their path.
    """

    def __init__(self, client: Client, access_key: str) -> None:
        self._client = client
        self._headers = ((ACCESS_HEADER.encode(), access_key.encode()),)
        self.calls_made = 0
        self.calls_by_area: Counter[str] = Counter()

    def call(
        self,
        address: Address,
        target: str,
        body: Any,
        on_reply: OnReply,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> PendingCall:
        """POST a JSON body to a peer and pass the outcome to `on_reply(reply, exc)`."""
        self.calls_made += 1
        self.calls_by_area[target.split("/", 2)[1]] += 1
        call = Call(address, "POST", target, body, timeout_s, self._headers)
        return self._client.call(call, on_reply)
