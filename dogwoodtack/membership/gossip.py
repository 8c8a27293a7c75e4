"""Keep the membership view true: exchange it, watch the others, say goodbye.

Every node calls one other a second.  The call is the liveness check and carries
what changed lately in both directions.  Where two views still differ, their
digests show in which buckets, and only those are sent.
"""

import math
import random
from collections.abc import Callable
from typing import Any, NamedTuple, TypedDict

from ..calls import Reply
from ..errors import ErrorKind, RequestError, WireError
from ..logs import log_event
from ..misc import Address, parse_address
from ..peers import Peers
from ..reactor import Reactor
from ..surface import Later, Responder, Route, SurfaceRequest
from .connectivity import Connectivity, CutOffLogger
from .host_list import HostListView, WireHostList
from .members import Member, Membership
from .records import MemberRecord, MemberState, WireRecord, from_wire, to_wire

__all__ = ["Gossip"]

INTERVAL_S = 1.0
CUT_OFF_CHECK_S = 0.25
LATE_LOOP_S = 0.5
DIRECT_TIMEOUT_S = 0.5
INDIRECT_TIMEOUT_S = 1.0
INDIRECT_HELPERS = 3
SUSPECT_S = 4.0
REACHED_WITHIN_S = 5.0
DEAD_KEPT_S = 600.0
RECENT_S = 10.0
MAX_CHANGES = 64
RESTORE_EVERY = 5
REPAIR_INTERVAL_S = 5.0
REPAIR_PER_MEMBER_S = 0.005
REPAIR_BUCKETS = 16
NEWS_FANOUT = 6
HTTP_OK = 200


class ExchangeBody(TypedDict):
    """What one node tells another, in a call and in its answer."""

    me: WireRecord
    changes: list[WireRecord]
    root: str
    hosts_number: int
    hosts: WireHostList | None


class ProbeBody(TypedDict):
    """Ask a helper to reach a peer address."""

    address: str


class BucketsBody(TypedDict):
    """Ask for the records of the buckets that differ from these."""

    buckets: list[str]


class BucketsReply(TypedDict):
    """Records of some differing buckets, and whether more differ."""

    buckets: list[int]
    records: list[WireRecord]
    more: bool


class Suspicion(NamedTuple):
    """A suspect and when it counts as dead."""

    counter: int
    dead_at: float


class Gossip:
    """The clockwork of membership on one node."""

    def __init__(
        self,
        reactor: Reactor,
        peers: Peers,
        membership: Membership,
        connectivity: Connectivity,
        seeds: tuple[Address, ...],
        rng: random.Random,
    ) -> None:
        self._reactor = reactor
        self._peers = peers
        self._view = membership
        self._connectivity = connectivity
        self._seeds = seeds
        self._rng = rng
        self._cut_off = CutOffLogger(connectivity)
        self._order: list[str] = []
        self._changed_at: dict[str, float] = {}
        self._suspicions: dict[str, Suspicion] = {}
        self._dead_at: dict[str, float] = {}
        self._called_at: float | None = None
        self._round = 0
        self._round_due = 0.0
        self._repaired_at = -REPAIR_INTERVAL_S

    # Life.

    def begin(self) -> None:
        """Begin to exchange with the seeds and whoever they know."""
        self._round_due = self._now()
        for seed in self._rng.sample(self._seeds, min(3, len(self._seeds))):
            self._exchange(seed, None)
        self._reactor.call_later(self._rng.uniform(0, INTERVAL_S), self._on_round)
        self._on_cut_off_check()

    def announce_leaving(self) -> None:
        """Tell some members at once that this node is leaving."""
        self._view.mark_leaving()
        self._announce_me()

    def cancel_leaving(self) -> None:
        """Tell some members at once that this node is not leaving after all."""
        self._view.cancel_leaving()
        self._announce_me()

    def _announce_me(self) -> None:
        self._touch(self._view.local_member.incarnation)
        self._tell_some()

    def _tell_some(self) -> None:
        """Exchange with several members at once, so that news travels fast."""
        others = self._others()
        alive = [one for one in others if one.state is MemberState.ALIVE]
        for record in self._rng.sample(alive, min(NEWS_FANOUT, len(alive))):
            self._exchange(record.member.peer_address, None)

    def routes(self) -> list[Route]:
        """Return what the peer port answers for membership."""
        return [
            Route("POST", "/membership/exchange", self._view_exchange),
            Route("POST", "/membership/probe", self._view_probe),
            Route("POST", "/membership/buckets", self._view_buckets),
        ]

    def _now(self) -> float:
        return self._reactor.clock.monotonic()

    def mark_ready(self) -> None:
        """Tell the fleet that this node may be sent callers."""
        self._view.mark_ready()
        self._touch(self._view.local_member.incarnation)

    def _on_cut_off_check(self) -> None:
        self._view.set_cut_off(self._cut_off.check())
        self._reactor.call_later(CUT_OFF_CHECK_S, self._on_cut_off_check)

    def _on_round(self) -> None:
        self._reactor.call_later(INTERVAL_S, self._on_round)
        self._round += 1
        self._bury()
        self._refute_if_needed()
        record = self._next_member()
        if record is None or self._round % RESTORE_EVERY == 0:
            self._call_lost_one()
        if record is not None:
            self._exchange(record.member.peer_address, record)

    def _others(self) -> list[MemberRecord]:
        mine = self._view.local_member.incarnation
        return [
            record
            for record in self._view.records()
            if record.state is not MemberState.DEAD
            and record.member.incarnation != mine
        ]

    def _next_member(self) -> MemberRecord | None:
        """Return the next member of a shuffled round over all of them."""
        while self._order:
            record = self._view.record(self._order.pop())
            if record is not None and record.state is not MemberState.DEAD:
                return record
        self._order = [record.member.incarnation for record in self._others()]
        self._rng.shuffle(self._order)
        return self._view.record(self._order.pop()) if self._order else None

    def _call_lost_one(self) -> None:
        """Try a seed or a dead member's address, which heals a partition."""
        live = {record.member.peer_address for record in self._others()}
        live.add(self._view.local_member.peer_address)
        lost = set(self._seeds)
        for record in self._view.records():
            if record.state is MemberState.DEAD:
                lost.add(record.member.peer_address)
        lost -= live
        if lost:
            self._exchange(self._rng.choice(sorted(lost)), None)

    # Exchanges.

    def _exchange(
        self,
        address: Address,
        expected: MemberRecord | None,
        on_done: Callable[[bool], None] | None = None,
    ) -> None:
        due = self._now() + DIRECT_TIMEOUT_S

        def on_reply(reply: Reply | None, exc: WireError | None) -> None:
            is_good = reply is not None and reply.status == HTTP_OK
            if is_good:
                self._take_reply(address, expected, reply.body)
            elif expected is not None and self._now() - due < LATE_LOOP_S:
                self._ask_helpers(expected)
            if on_done is not None:
                on_done(is_good)

        body = self._body(None)
        target = "/membership/exchange"
        self._peers.call(address, target, body, on_reply, DIRECT_TIMEOUT_S)

    def _body(self, asker_hosts_number: int | None) -> ExchangeBody:
        hosts = self._view.host_list
        is_newer = asker_hosts_number is not None and hosts.number > asker_hosts_number
        return {
            "me": to_wire(self._view.local_record),
            "changes": [to_wire(record) for record in self._recent()],
            "root": self._view.digest.root,
            "hosts_number": hosts.number,
            "hosts": hosts.to_wire() if is_newer else None,
        }

    def _recent(self) -> list[MemberRecord]:
        """Return what changed lately, latest first."""
        oldest = self._now() - RECENT_S
        recent = []
        for incarnation in reversed(self._changed_at):
            if self._changed_at[incarnation] < oldest or len(recent) == MAX_CHANGES:
                break
            record = self._view.record(incarnation)
            if record is not None:
                recent.append(record)
        return recent

    def _take_reply(
        self, address: Address, expected: MemberRecord | None, body: ExchangeBody
    ) -> None:
        self._take_body(body)
        incarnation = body["me"]["incarnation"]
        if expected is not None and incarnation != expected.member.incarnation:
            self._declare_state(
                expected.member.incarnation, MemberState.DEAD, "replaced"
            )
        if body["root"] != self._view.digest.root and self._is_repair_due():
            self._repaired_at = self._now()
            self._repair(address)

    def _is_repair_due(self) -> bool:
        """Return whether to repair now.

        In a large fleet some change is always on its way, so that two views
        differ at most moments; repairs are rarer there.
        """
        in_proportion_s = REPAIR_PER_MEMBER_S * len(self._view.members())
        interval_s = max(REPAIR_INTERVAL_S, in_proportion_s)
        return self._now() - self._repaired_at >= interval_s

    def _take_body(self, body: ExchangeBody) -> None:
        try:
            records = [from_wire(item) for item in [*body["changes"], body["me"]]]
        except (KeyError, TypeError, ValueError) as exc:
            raise RequestError(ErrorKind.BAD_REQUEST, repr(exc)) from exc
        self._connectivity.record_peer_contact()
        for record in records:
            self._take(record)
        if body["hosts"] is not None:
            self._view.host_list.apply(HostListView.from_wire(body["hosts"]))

    def _view_exchange(self, req: SurfaceRequest) -> ExchangeBody:
        self._called_at = self._now()
        self._take_body(req.body)
        self._refute_if_needed()
        body = self._body(req.body["hosts_number"])
        told = {_news(item) for item in req.body["changes"]}
        body["changes"] = [one for one in body["changes"] if _news(one) not in told]
        return body

    # Repair.

    def _repair(self, address: Address) -> None:
        """Ask for the buckets that differ, and send back what was newer here."""

        def on_reply(reply: Reply | None, exc: WireError | None) -> None:
            if reply is None or reply.status != HTTP_OK:
                return
            self._take_buckets(address, reply.body)

        body: BucketsBody = {"buckets": self._view.digest.buckets()}
        self._peers.call(address, "/membership/buckets", body, on_reply)

    def _take_buckets(self, address: Address, body: BucketsReply) -> None:
        theirs = {}
        for item in body["records"]:
            record = from_wire(item)
            theirs[record.member.incarnation] = record
        mine = [one for index in body["buckets"] for one in self._view.in_bucket(index)]
        newer = [one for one in mine if theirs.get(one.member.incarnation) != one]
        gained = [self._take(record) for record in theirs.values()]
        for record in newer:
            self._touch(record.member.incarnation)
        if any(gained) and body["more"]:
            self._repair(address)
        elif newer:
            self._exchange(address, None)

    def _view_buckets(self, req: SurfaceRequest) -> BucketsReply:
        differing = self._view.digest.differing(req.body["buckets"])
        chosen = differing[:REPAIR_BUCKETS]
        records = [one for index in chosen for one in self._view.in_bucket(index)]
        return {
            "buckets": chosen,
            "records": [to_wire(record) for record in records],
            "more": len(differing) > len(chosen),
        }

    # What is believed of others, and of this node.

    def _take(self, record: MemberRecord) -> bool:
        if not self._view.merge(record):
            return False
        incarnation = record.member.incarnation
        self._note_state(record)
        is_here = record.member.peer_address == self._view.local_member.peer_address
        if is_here and incarnation != self._view.local_member.incarnation:
            self._declare_state(incarnation, MemberState.DEAD, "replaced")
        return True

    def _declare_state(self, incarnation: str, state: MemberState, cause: str) -> None:
        record = self._view.declare_state(incarnation, state)
        if record is None:
            return
        member = record.member
        log_event(f"member-{state}", "WARNING", member=member.name, cause=cause)
        self._note_state(record)
        self._tell_some()

    def _note_state(self, record: MemberRecord) -> None:
        """Set the timers that a record's state asks for."""
        incarnation = record.member.incarnation
        self._touch(incarnation)
        self._suspicions.pop(incarnation, None)
        self._dead_at.pop(incarnation, None)
        if record.state is MemberState.SUSPECT:
            dead_at = self._now() + self._suspect_s()
            self._suspicions[incarnation] = Suspicion(record.counter, dead_at)
        if record.state is MemberState.DEAD:
            self._dead_at[incarnation] = self._now()

    def _touch(self, incarnation: str) -> None:
        self._changed_at.pop(incarnation, None)
        self._changed_at[incarnation] = self._now()

    def _suspect_s(self) -> float:
        """Return how long a suspect has to answer, longer in a large fleet."""
        count = max(10, len(self._view.members()))
        return SUSPECT_S * math.log10(count)

    def _bury(self) -> None:
        """Call suspects dead that did not answer, and forget the long dead."""
        now = self._now()
        for incarnation, suspicion in list(self._suspicions.items()):
            if now >= suspicion.dead_at:
                del self._suspicions[incarnation]
                self._declare_state(incarnation, MemberState.DEAD, "no-answer")
        for incarnation, dead_at in list(self._dead_at.items()):
            if now - dead_at >= DEAD_KEPT_S:
                del self._dead_at[incarnation]
                self._changed_at.pop(incarnation, None)
                self._view.remove(incarnation)

    def _refute_if_needed(self) -> None:
        """Refute, unless no peer has reached this node lately."""
        if not self._view.needs_refutation() or self._called_at is None:
            return
        if self._now() - self._called_at <= REACHED_WITHIN_S:
            self._view.refute()
            self._touch(self._view.local_member.incarnation)
            log_event("accusation-refuted", counter=self._view.local_record.counter)

    def check_member(self, member: Member) -> None:
        """Look at once at a member that did not answer another slice's call."""
        record = self._view.record(member.incarnation)
        if record is not None and record.state is MemberState.ALIVE:
            self._exchange(member.peer_address, record)

    # Calls through helpers.

    def _ask_helpers(self, record: MemberRecord) -> None:
        """Ask others to reach a member that did not answer this node."""
        target = record.member
        others = [one for one in self._others() if one.member != target]
        alive = [one for one in others if one.state is MemberState.ALIVE]
        helpers = self._rng.sample(alive, min(INDIRECT_HELPERS, len(alive)))
        if not helpers:
            self._declare_state(target.incarnation, MemberState.SUSPECT, "no-answer")
            return
        answers: list[bool | None] = []

        def on_reply(reply: Reply | None, exc: WireError | None) -> None:
            is_told = reply is not None and reply.status == HTTP_OK
            answers.append(reply.body["reached"] if is_told else None)
            if len(answers) == len(helpers):
                self._conclude(target.incarnation, answers)

        body: ProbeBody = {"address": str(target.peer_address)}
        for helper in helpers:
            address = helper.member.peer_address
            self._peers.call(
                address, "/membership/probe", body, on_reply, INDIRECT_TIMEOUT_S
            )

    def _conclude(self, incarnation: str, answers: list[bool | None]) -> None:
        """Suspect a member that no helper reached.

        Where no helper answered either, this node's own way out may be broken,
        and it suspects nobody.
        """
        if True not in answers and False in answers:
            self._declare_state(incarnation, MemberState.SUSPECT, "no-answer")

    def _view_probe(self, req: SurfaceRequest) -> Later:
        address = parse_address(req.body["address"])
        self._connectivity.record_peer_contact()

        def start(responder: Responder) -> None:
            def on_done(is_reached: bool) -> None:
                responder.send({"reached": is_reached})

            self._exchange(address, None, on_done)

        return Later(start)

    def status(self) -> list[dict[str, Any]]:
        """Return every member with its state, for the status page."""
        return [
            {
                "name": record.member.name,
                "zone": record.member.zone,
                "state": str(record.state),
                "leaving": record.member.is_leaving,
            }
            for record in self._view.records()
        ]


def _news(item: WireRecord) -> tuple[str, int, str]:
    """Return what makes a record news: who it is of, its counter and state."""
    return item["incarnation"], item["counter"], item["state"]
