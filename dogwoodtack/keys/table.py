"""The keys that this entry host may run, and the outcome of each.

A key names the incarnation that owns it.  Only the owner accepts a new key, and
only while the key's epoch is recent; it remembers the key for longer than that.
Another host sends the owner a settle request.  The owner either reports the key's
status, or gives its own right up and hands the key over to that one requester, which
may hand it on in turn.
"""

import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from ..clock import Clock
from ..errors import ErrorKind, Outcome
from ..logs import log_event
from .memory import KeyEntry, KeyMemory, KeyState
from .messages import (
    KeyDecision,
    KeyRequest,
    KeyResult,
    KeyTicket,
    Refuse,
    Run,
    SettleReply,
    SettleRequest,
    SettleSender,
    SettleStatus,
)
from .names import ParsedKey, key_prefix, parse_key
from .statuses import (
    decision_for,
    entry_after,
    refusal_for,
    request_digest,
    status_for,
    status_for_handed_over,
)

__all__ = ["KeyRules", "KeyTable"]

TOKEN_BITS = 64

OnDecision = Callable[[KeyDecision], None]

RETRYABLE_STATUSES = frozenset(
    {SettleStatus.UNREACHABLE, SettleStatus.IN_FLIGHT, SettleStatus.REUSED}
)
STATES_WITHOUT_RIGHT = frozenset({KeyState.REQUESTING, KeyState.ABSENT})
MAX_HOPS = 3


class KeyRules(NamedTuple):
    """The limits on how long and how much is remembered.

    Attributes:
        epoch_s: length of one epoch in seconds.
        window_epochs: a new key is accepted while its epoch is at most this many
            epochs old.
        keep_epochs: a key is forgotten when its epoch is older than this many
            epochs; it must be more than `window_epochs`.
        max_keys: maximum number of keys remembered; further ones are refused.
        max_response_bytes: maximum bytes of stored responses; the oldest are dropped.
    """

    epoch_s: float = 60.0
    window_epochs: int = 10
    keep_epochs: int = 15
    max_keys: int = 100_000
    max_response_bytes: int = 16 * 1024 * 1024


class KeyTable:
    """Decides whether requests may run, and settles keys with other entry hosts.

    Attributes:
        incarnation: the incarnation of this process.
        sender: sends settle requests; without it every other host is unreachable.
        settlements: how often each status was received or sent.
    """

    def __init__(
        self,
        incarnation: str,
        clock: Clock,
        rules: KeyRules = KeyRules(),
        sender: SettleSender | None = None,
        rng: random.Random | None = None,
    ) -> None:
        if rules.keep_epochs <= rules.window_epochs:
            raise ValueError("keys must be kept for longer than new ones are accepted")
        self.incarnation = incarnation
        self.sender = sender
        self.settlements: Counter[str] = Counter()
        self._clock = clock
        self._rules = rules
        self._rng = rng or random.SystemRandom()
        self._started_at = clock.boottime()
        self._memory = KeyMemory(rules.max_keys, rules.max_response_bytes)
        self._serial = 0

    @property
    def prefix(self) -> str:
        """Return the prefix of a caller's new keys."""
        return key_prefix(self.incarnation, self._epoch())

    @property
    def window_s(self) -> float:
        """Return for how many seconds new keys under one prefix are accepted."""
        return self._rules.epoch_s * self._rules.window_epochs

    @property
    def remembered(self) -> int:
        """Return how many keys are remembered."""
        return len(self._memory)

    @property
    def response_bytes(self) -> int:
        """Return the approximate bytes of the stored responses."""
        return self._memory.response_bytes

    def _epoch(self) -> int:
        """Return the current epoch, by a clock that also advances during suspend."""
        return int((self._clock.boottime() - self._started_at) / self._rules.epoch_s)

    def _expire_keys(self) -> int:
        """Forget keys that are too old and return the current epoch."""
        epoch = self._epoch()
        self._memory.forget_before(epoch - self._rules.keep_epochs)
        return epoch

    def may_have_run(self, key: str) -> bool:
        """Return whether some request with this key may have run anywhere."""
        parsed = parse_key(key)
        if parsed is None:
            return False
        epoch = self._expire_keys()
        entry = self._memory.get(key)
        if entry is not None:
            return entry.state is not KeyState.FREE
        return parsed.owner != self.incarnation or not self._is_recent(parsed, epoch)

    def _is_recent(self, parsed: ParsedKey, epoch: int) -> bool:
        return 0 <= epoch - parsed.epoch <= self._rules.window_epochs

    # Requests from this host's own callers.

    def begin(self, req: KeyRequest, on_decision: OnDecision) -> None:
        """Decide whether a request may run; this may need another host's reply first.

        Args:
            req: the request.
            on_decision: called with the decision, now or later.
        """
        parsed = parse_key(req.key)
        if parsed is None:
            on_decision(Refuse(ErrorKind.KEY_MALFORMED))
            return
        epoch = self._expire_keys()
        digest = request_digest(req)
        entry = self._memory.get(req.key)
        if entry is not None:
            self._begin_known(req.key, entry, digest, on_decision)
        elif parsed.owner != self.incarnation:
            self._begin_foreign(req.key, epoch, digest, on_decision)
        else:
            on_decision(self._begin_own(req.key, parsed, epoch, digest))

    def _begin_own(
        self, key: str, parsed: ParsedKey, epoch: int, digest: bytes
    ) -> KeyDecision:
        status = self._refusal_for_new(parsed, epoch)
        if status is not None:
            return refusal_for(status)
        self._memory.add(key, KeyEntry(KeyState.FREE, digest, parsed.epoch))
        return self._run(key)

    def _refusal_for_new(self, parsed: ParsedKey, epoch: int) -> SettleStatus | None:
        """Return why a key that is not remembered cannot be accepted, or None."""
        if parsed.epoch > epoch:
            return SettleStatus.MALFORMED
        if not self._is_recent(parsed, epoch):
            return SettleStatus.EXPIRED
        if self._memory.is_full:
            log_event("keys-full", level="WARNING", keys=len(self._memory))
            return SettleStatus.OVERLOADED
        return None

    def _run(self, key: str) -> Run:
        self._serial += 1
        entry = self._memory.get(key)
        in_flight = KeyEntry(
            KeyState.IN_FLIGHT, entry.request_digest, entry.epoch, self._serial
        )
        self._memory.replace(key, in_flight)
        return Run(KeyTicket(key, self._serial))

    def _begin_known(
        self, key: str, entry: KeyEntry, digest: bytes, on_decision: OnDecision
    ) -> None:
        if entry.state is KeyState.ABSENT and not entry.successor:
            # The digest is that of an earlier copy, which the owner may not know.
            self._request_key(key, entry._replace(request_digest=digest), on_decision)
        elif entry.state is KeyState.REQUESTING:
            on_decision(Refuse(ErrorKind.KEY_IN_FLIGHT))
        elif entry.request_digest != digest:
            on_decision(Refuse(ErrorKind.KEY_REUSED))
        elif entry.state is KeyState.FREE:
            on_decision(self._run(key))
        elif entry.state is KeyState.ABSENT:
            self._request_key(key, entry, on_decision)
        else:
            on_decision(decision_for(status_for(entry)))

    def _begin_foreign(
        self, key: str, epoch: int, digest: bytes, on_decision: OnDecision
    ) -> None:
        if self._memory.is_full:
            log_event("keys-full", level="WARNING", keys=len(self._memory))
            refusal = Refuse(ErrorKind.OVERLOADED, outcome=Outcome.UNKNOWN)
            on_decision(refusal)
            return
        entry = KeyEntry(KeyState.ABSENT, digest, epoch)
        self._memory.add(key, entry)
        self._request_key(key, entry, on_decision)

    # Settle requests to other hosts.

    def _request_key(self, key: str, entry: KeyEntry, on_decision: OnDecision) -> None:
        """Request a key from its successor if known, else from its owner."""
        token = entry.request_token or f"{self._rng.getrandbits(TOKEN_BITS):016x}"
        requesting = entry._replace(state=KeyState.REQUESTING, request_token=token)
        self._memory.replace(key, requesting)
        to = entry.successor or parse_key(key).owner
        request = SettleRequest(
            to, self.incarnation, token, key, entry.request_digest.hex()
        )
        self._send_request(request, MAX_HOPS, on_decision)

    def _send_request(
        self, request: SettleRequest, hops: int, on_decision: OnDecision
    ) -> None:
        on_settled = partial(self._on_settled, request, hops - 1, on_decision)
        if self.sender is None:
            on_settled(SettleReply(SettleStatus.UNREACHABLE))
            return
        self.sender.send(request, on_settled)

    def _on_settled(
        self,
        request: SettleRequest,
        hops: int,
        on_decision: OnDecision,
        reply: SettleReply,
    ) -> None:
        self.settlements[f"asked-{reply.status}"] += 1
        log_event("key-settled", key=request.key, word=reply.status, asked=request.to)
        entry = self._memory.get(request.key)
        expected = (KeyState.REQUESTING, request.token)
        if entry is None or (entry.state, entry.request_token) != expected:
            on_decision(Refuse(ErrorKind.KEY_OUTCOME_LOST))
            return
        if reply.status is SettleStatus.HANDED_OVER:
            on_decision(self._run(request.key))
            return
        is_elsewhere = reply.successor not in ("", self.incarnation)
        if reply.status is SettleStatus.VOIDED and is_elsewhere and hops > 0:
            self._send_request(request._replace(to=reply.successor), hops, on_decision)
            return
        self._end_request(request.key, entry, reply.status)
        is_forgotten = reply.successor == self.incarnation and not entry.successor
        if reply.status is SettleStatus.VOIDED and is_forgotten:
            on_decision(Refuse(ErrorKind.KEY_OUTCOME_LOST))
            return
        on_decision(decision_for(reply))

    def _end_request(self, key: str, entry: KeyEntry, status: SettleStatus) -> None:
        """Keep the token of a request where a retry may have another result.

        An earlier copy of the request may still reach the holder and be granted, and
        only the same token can claim that grant.  Forgetting the token is always safe.
        """
        if entry.successor or status in RETRYABLE_STATUSES:
            self._memory.replace(key, entry._replace(state=KeyState.ABSENT))
        else:
            self._memory.remove(key)

    # Settle requests from other hosts.

    def settle(self, request: SettleRequest) -> SettleReply:
        """Return the status of a key to another host, or hand the key over."""
        reply = self._settle(request)
        self.settlements[f"told-{reply.status}"] += 1
        if reply.status is SettleStatus.HANDED_OVER:
            log_event("key-handed-over", key=request.key, successor=request.asker)
        return reply

    def _settle(self, request: SettleRequest) -> SettleReply:
        if request.to != self.incarnation:
            return SettleReply(SettleStatus.NOT_HERE)
        parsed = parse_key(request.key)
        if parsed is None:
            return SettleReply(SettleStatus.MALFORMED)
        epoch = self._expire_keys()
        entry = self._memory.get(request.key)
        if entry is None and parsed.owner == self.incarnation:
            return self._settle_new(request, parsed, epoch)
        if entry is None:
            return SettleReply(SettleStatus.OUTCOME_LOST)
        if entry.state in STATES_WITHOUT_RIGHT and not entry.successor:
            return status_for(entry)
        if entry.request_digest.hex() != request.seal:
            return SettleReply(SettleStatus.REUSED)
        if entry.state is KeyState.FREE:
            return self._hand_over(request, entry)
        if entry.state in STATES_WITHOUT_RIGHT:
            return status_for_handed_over(request, entry)
        return status_for(entry)

    def _settle_new(
        self, request: SettleRequest, parsed: ParsedKey, epoch: int
    ) -> SettleReply:
        status = self._refusal_for_new(parsed, epoch)
        if status is not None:
            return SettleReply(status)
        entry = KeyEntry(KeyState.FREE, bytes.fromhex(request.seal), parsed.epoch)
        self._memory.add(request.key, entry)
        return self._hand_over(request, entry)

    def _hand_over(self, request: SettleRequest, entry: KeyEntry) -> SettleReply:
        """Give up this host's right to a key before the hand-over is sent."""
        handed_over = entry._replace(
            state=KeyState.ABSENT, successor=request.asker, granted_token=request.token
        )
        self._memory.replace(request.key, handed_over)
        return SettleReply(SettleStatus.HANDED_OVER)

    def finish(self, ticket: KeyTicket, result: KeyResult) -> None:
        """Record the result of a dispatched request."""
        entry = self._memory.get(ticket.key)
        if entry is None or entry.state is not KeyState.IN_FLIGHT:
            return
        if entry.serial == ticket.serial:
            self._memory.replace(ticket.key, entry_after(result, entry))
