"""Which keys this entry host may run, and what became of each.

A key names the incarnation that owns it.  Only the owner takes a new key, and
only while the key's epoch is young; it remembers the key for longer than that.
Another host asks the owner, which either tells what it knows or gives its own
right up and hands the key to that one asker, which may hand it on in turn.
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
    Asker,
    KeyDecision,
    KeyRequest,
    KeyResult,
    KeyTicket,
    Refuse,
    Run,
    SettleAsk,
    SettleReply,
    SettleWord,
)
from .names import KeyName, key_prefix, parse_key
from .verdicts import (
    decision_of,
    finished,
    refusal_of,
    seal_of,
    word_for,
    word_for_given,
)

__all__ = ["KeyRules", "KeyTable"]

TOKEN_BITS = 64

OnDecision = Callable[[KeyDecision], None]

WORTH_ASKING_AGAIN = frozenset(
    {SettleWord.UNREACHABLE, SettleWord.IN_FLIGHT, SettleWord.REUSED}
)
WITHOUT_RIGHT = frozenset({KeyState.ASKING, KeyState.ABSENT})
MAX_HOPS = 3


class KeyRules(NamedTuple):
    """How long and how much is remembered.

    Attributes:
        epoch_s: seconds of one epoch.
        window_epochs: a new key is taken while its epoch is at most this many
            epochs old.
        keep_epochs: a key is forgotten when its epoch is older than this many
            epochs; it must be more than `window_epochs`.
        max_keys: keys remembered at most; further ones are refused.
        max_answer_bytes: bytes of kept answers at most; the oldest are dropped.
    """

    epoch_s: float = 60.0
    window_epochs: int = 10
    keep_epochs: int = 15
    max_keys: int = 100_000
    max_answer_bytes: int = 16 * 1024 * 1024


class KeyTable:
    """Decide for keys that this incarnation owns or was handed."""

    def __init__(
        self,
        incarnation: str,
        clock: Clock,
        rules: KeyRules = KeyRules(),
        asker: Asker | None = None,
        rng: random.Random | None = None,
    ) -> None:
        if rules.keep_epochs <= rules.window_epochs:
            raise ValueError("keys must be kept for longer than new ones are taken")
        self.incarnation = incarnation
        self.asker = asker
        self.words: Counter[str] = Counter()
        self._clock = clock
        self._rules = rules
        self._rng = rng or random.SystemRandom()
        self._began_at = clock.boottime()
        self._memory = KeyMemory(rules.max_keys, rules.max_answer_bytes)
        self._serial = 0

    @property
    def prefix(self) -> str:
        """Return what a caller's new keys begin with."""
        return key_prefix(self.incarnation, self._epoch())

    @property
    def window_s(self) -> float:
        """Return for how many seconds new keys are taken under one prefix."""
        return self._rules.epoch_s * self._rules.window_epochs

    @property
    def remembered(self) -> int:
        """Return how many keys are remembered."""
        return len(self._memory)

    @property
    def answer_bytes(self) -> int:
        """Return how many bytes of answers are kept."""
        return self._memory.answer_bytes

    def _epoch(self) -> int:
        """Return the present epoch, by a clock that counts pauses too."""
        return int((self._clock.boottime() - self._began_at) / self._rules.epoch_s)

    def _refresh(self) -> int:
        """Forget what is too old and return the present epoch."""
        epoch = self._epoch()
        self._memory.forget_before(epoch - self._rules.keep_epochs)
        return epoch

    def may_have_run(self, key: str) -> bool:
        """Return whether some request with this key may have run anywhere."""
        name = parse_key(key)
        if name is None:
            return False
        epoch = self._refresh()
        entry = self._memory.get(key)
        if entry is not None:
            return entry.state is not KeyState.FREE
        return name.owner != self.incarnation or not self._is_young(name, epoch)

    def _is_young(self, name: KeyName, epoch: int) -> bool:
        return 0 <= epoch - name.epoch <= self._rules.window_epochs

    # Requests of this host's own callers.

    def begin(self, req: KeyRequest, on_decision: OnDecision) -> None:
        """Decide whether a request may run; another host may be asked first."""
        name = parse_key(req.key)
        if name is None:
            on_decision(Refuse(ErrorKind.KEY_MALFORMED))
            return
        epoch = self._refresh()
        seal = seal_of(req)
        entry = self._memory.get(req.key)
        if entry is not None:
            self._begin_known(req.key, entry, seal, on_decision)
        elif name.owner != self.incarnation:
            self._begin_foreign(req.key, epoch, seal, on_decision)
        else:
            on_decision(self._begin_own(req.key, name, epoch, seal))

    def _begin_own(
        self, key: str, name: KeyName, epoch: int, seal: bytes
    ) -> KeyDecision:
        word = self._refusal_of_new(name, epoch)
        if word is not None:
            return refusal_of(word)
        self._memory.add(key, KeyEntry(KeyState.FREE, seal, name.epoch))
        return self._run(key)

    def _refusal_of_new(self, name: KeyName, epoch: int) -> SettleWord | None:
        """Return why a key that is not remembered cannot be taken, or None."""
        if name.epoch > epoch:
            return SettleWord.MALFORMED
        if not self._is_young(name, epoch):
            return SettleWord.EXPIRED
        if self._memory.is_full:
            log_event("keys-full", level="WARNING", keys=len(self._memory))
            return SettleWord.OVERLOADED
        return None

    def _run(self, key: str) -> Run:
        self._serial += 1
        entry = self._memory.get(key)
        taken = KeyEntry(KeyState.IN_FLIGHT, entry.seal, entry.epoch, self._serial)
        self._memory.change(key, taken)
        return Run(KeyTicket(key, self._serial))

    def _begin_known(
        self, key: str, entry: KeyEntry, seal: bytes, on_decision: OnDecision
    ) -> None:
        if entry.state is KeyState.ABSENT and not entry.successor:
            # The seal is that of an earlier copy, which the owner may not know.
            self._seek(key, entry._replace(seal=seal), on_decision)
        elif entry.state is KeyState.ASKING:
            on_decision(Refuse(ErrorKind.KEY_IN_FLIGHT))
        elif entry.seal != seal:
            on_decision(Refuse(ErrorKind.KEY_REUSED))
        elif entry.state is KeyState.FREE:
            on_decision(self._run(key))
        elif entry.state is KeyState.ABSENT:
            self._seek(key, entry, on_decision)
        else:
            on_decision(decision_of(word_for(entry)))

    def _begin_foreign(
        self, key: str, epoch: int, seal: bytes, on_decision: OnDecision
    ) -> None:
        if self._memory.is_full:
            log_event("keys-full", level="WARNING", keys=len(self._memory))
            refusal = Refuse(ErrorKind.OVERLOADED, outcome=Outcome.UNKNOWN)
            on_decision(refusal)
            return
        entry = KeyEntry(KeyState.ABSENT, seal, epoch)
        self._memory.add(key, entry)
        self._seek(key, entry, on_decision)

    # Asking other hosts.

    def _seek(self, key: str, entry: KeyEntry, on_decision: OnDecision) -> None:
        """Ask whoever should hold a key: its successor if known, else its owner."""
        token = entry.seeking or f"{self._rng.getrandbits(TOKEN_BITS):016x}"
        asking = entry._replace(state=KeyState.ASKING, seeking=token)
        self._memory.change(key, asking)
        to = entry.successor or parse_key(key).owner
        ask = SettleAsk(to, self.incarnation, token, key, entry.seal.hex())
        self._ask(ask, MAX_HOPS, on_decision)

    def _ask(self, ask: SettleAsk, hops: int, on_decision: OnDecision) -> None:
        on_settled = partial(self._on_settled, ask, hops - 1, on_decision)
        if self.asker is None:
            on_settled(SettleReply(SettleWord.UNREACHABLE))
            return
        self.asker.ask(ask, on_settled)

    def _on_settled(
        self, ask: SettleAsk, hops: int, on_decision: OnDecision, reply: SettleReply
    ) -> None:
        self.words[f"asked-{reply.word}"] += 1
        log_event("key-settled", key=ask.key, word=reply.word, asked=ask.to)
        entry = self._memory.get(ask.key)
        expected = (KeyState.ASKING, ask.token)
        if entry is None or (entry.state, entry.seeking) != expected:
            on_decision(Refuse(ErrorKind.KEY_OUTCOME_LOST))
            return
        if reply.word is SettleWord.HANDED_OVER:
            on_decision(self._run(ask.key))
            return
        is_elsewhere = reply.successor not in ("", self.incarnation)
        if reply.word is SettleWord.VOIDED and is_elsewhere and hops > 0:
            self._ask(ask._replace(to=reply.successor), hops, on_decision)
            return
        self._end_asking(ask.key, entry, reply.word)
        is_forgotten = reply.successor == self.incarnation and not entry.successor
        if reply.word is SettleWord.VOIDED and is_forgotten:
            on_decision(Refuse(ErrorKind.KEY_OUTCOME_LOST))
            return
        on_decision(decision_of(reply))

    def _end_asking(self, key: str, entry: KeyEntry, word: SettleWord) -> None:
        """Keep the token of a question where asking again may bring more.

        An earlier copy of the question may still reach the holder and be granted,
        and only the same token can claim that.  Forgetting it is always safe.
        """
        if entry.successor or word in WORTH_ASKING_AGAIN:
            self._memory.change(key, entry._replace(state=KeyState.ABSENT))
        else:
            self._memory.remove(key)

    # Answering other hosts.

    def settle(self, ask: SettleAsk) -> SettleReply:
        """Tell another host what is known of a key, or hand the key over."""
        reply = self._settle(ask)
        self.words[f"told-{reply.word}"] += 1
        if reply.word is SettleWord.HANDED_OVER:
            log_event("key-handed-over", key=ask.key, successor=ask.asker)
        return reply

    def _settle(self, ask: SettleAsk) -> SettleReply:
        if ask.to != self.incarnation:
            return SettleReply(SettleWord.NOT_HERE)
        name = parse_key(ask.key)
        if name is None:
            return SettleReply(SettleWord.MALFORMED)
        epoch = self._refresh()
        entry = self._memory.get(ask.key)
        if entry is None and name.owner == self.incarnation:
            return self._settle_new(ask, name, epoch)
        if entry is None:
            return SettleReply(SettleWord.OUTCOME_LOST)
        if entry.state in WITHOUT_RIGHT and not entry.successor:
            return word_for(entry)
        if entry.seal.hex() != ask.seal:
            return SettleReply(SettleWord.REUSED)
        if entry.state is KeyState.FREE:
            return self._give(ask, entry)
        if entry.state in WITHOUT_RIGHT:
            return word_for_given(ask, entry)
        return word_for(entry)

    def _settle_new(self, ask: SettleAsk, name: KeyName, epoch: int) -> SettleReply:
        word = self._refusal_of_new(name, epoch)
        if word is not None:
            return SettleReply(word)
        entry = KeyEntry(KeyState.FREE, bytes.fromhex(ask.seal), name.epoch)
        self._memory.add(ask.key, entry)
        return self._give(ask, entry)

    def _give(self, ask: SettleAsk, entry: KeyEntry) -> SettleReply:
        """Give this host's right to a key up before anybody is told."""
        given = entry._replace(
            state=KeyState.ABSENT, successor=ask.asker, granted=ask.token
        )
        self._memory.change(ask.key, given)
        return SettleReply(SettleWord.HANDED_OVER)

    def finish(self, ticket: KeyTicket, result: KeyResult) -> None:
        """Note what became of a dispatched request."""
        entry = self._memory.get(ticket.key)
        if entry is None or entry.state is not KeyState.IN_FLIGHT:
            return
        if entry.serial == ticket.serial:
            self._memory.change(ticket.key, finished(result, entry))
