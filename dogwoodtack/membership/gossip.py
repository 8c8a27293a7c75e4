"""Gossip of membership: exchanges records, detects failures, announces leaving.

Every node calls one other node a second.  The call is the liveness check and
carries recent changes in both directions.  If two views still differ, their
digests show in which buckets, and only those buckets are sent.
"""

import math
import random
from collections.abc import Callable
from typing import Any, NamedTuple, TypedDict

from ..calls import Reply
from ..control import ControlRequest, DeferredReply, Responder, Route
from ..errors import ErrorKind, RequestError, WireError
from ..logs import log_event
from ..misc import Address, parse_address
from ..peers import PeerClient
from ..reactor import Reactor
from .connectivity import Connectivity, CutOffLogger
from .host_list import HostListView, WireHostList
from .members import Member, Membership
from .records import MemberRecord, MemberState, WireRecord, from_wire, to_wire

__all__ = ["Gossip"]

ROUND_INTERVAL_S = 1.0
CUT_OFF_CHECK_INTERVAL_S = 0.25
MAX_LOOP_DELAY_S = 0.5
DIRECT_TIMEOUT_S = 0.5
INDIRECT_TIMEOUT_S = 1.0
INDIRECT_PROBES = 3
SUSPECT_TIMEOUT_S = 4.0
REFUTE_WITHIN_S = 5.0
DEAD_RETENTION_S = 600.0
RECENT_CHANGE_S = 10.0
MAX_CHANGES_PER_EXCHANGE = 64
RECOVERY_CALL_ROUNDS = 5
REPAIR_INTERVAL_S = 5.0
REPAIR_INTERVAL_PER_MEMBER_S = 0.005
MAX_REPAIR_BUCKETS = 16
ANNOUNCE_FANOUT = 6
HTTP_OK = 200


class ExchangeBody(TypedDict):
    """What two nodes exchange, in a call and in its reply."""

    me: WireRecord
    changes: list[WireRecord]
    root: str
    hosts_number: int
    hosts: WireHostList | None


class ProbeBody(TypedDict):
    """Asks a helper to call a peer address."""

    address: str


class BucketsBody(TypedDict):
    """Requests the records of the buckets that differ from these."""

    buckets: list[str]


class BucketsReply(TypedDict):
    """Records of some differing buckets, and whether more differ."""

    buckets: list[int]
    records: list[WireRecord]
    more: bool


class Suspicion(NamedTuple):
    """A suspect's counter, and when it is declared dead (monotonic seconds)."""

    counter: int
    dead_at: float


class Gossip:
    """Runs the membership protocol on one node."""

    def __init__(
        self,
        reactor: Reactor,
        peers: PeerClient,
        membership: Membership,
        connectivity: Connectivity,
        seeds: tuple[Address, ...],
        rng: random.Random,
    ) -> None:
        self._reactor = reactor
        self._peers = peers
        self._membership = membership
        self._connectivity = connectivity
        self._seeds = seeds
        self._rng = rng
        self._cut_off_logger = CutOffLogger(connectivity)
        self._call_order: list[str] = []
        self._changed_at: dict[str, float] = {}
        self._suspicions: dict[str, Suspicion] = {}
        self._dead_at: dict[str, float] = {}
        self._last_called_at: float | None = None
        self._round = 0
        self._repaired_at = -REPAIR_INTERVAL_S

    # Start, leaving and periodic rounds.

    def begin(self) -> None:
        """Start to exchange with the seeds and the members they know."""
        for seed in self._rng.sample(self._seeds, min(3, len(self._seeds))):
            self._exchange(seed, None)
        self._reactor.call_later(self._rng.uniform(0, ROUND_INTERVAL_S), self._on_round)
        self._connectivity.subscribe(self._update_cut_off)
        self._on_cut_off_check()

    def announce_leaving(self) -> None:
        """Notify several members at once that this node is leaving."""
        self._membership.mark_leaving()
        self._announce_local_member()

    def cancel_leaving(self) -> None:
        """Notify several members at once that this node is no longer leaving."""
        self._membership.cancel_leaving()
        self._announce_local_member()

    def _announce_local_member(self) -> None:
        self._mark_changed(self._membership.local_member.incarnation)
        self._exchange_with_some()

    def _exchange_with_some(self) -> None:
        """Exchange with several members at once, so that a change spreads fast."""
        others = self._others()
        alive = [one for one in others if one.state is MemberState.ALIVE]
        for record in self._rng.sample(alive, min(ANNOUNCE_FANOUT, len(alive))):
            self._exchange(record.member.peer_address, None)

    def routes(self) -> list[Route]:
        """Return the peer port's routes for membership."""
        return [
            Route("POST", "/membership/exchange", self._handle_exchange),
            Route("POST", "/membership/probe", self._handle_probe),
            Route("POST", "/membership/buckets", self._handle_buckets),
        ]

    def _now(self) -> float:
        return self._reactor.clock.monotonic()

    def mark_ready(self) -> None:
        """Publish that this node is ready for callers."""
        self._membership.mark_ready()
        self._mark_changed(self._membership.local_member.incarnation)

    def _update_cut_off(self) -> None:
        self._membership.set_cut_off(self._cut_off_logger.check())

    def _on_cut_off_check(self) -> None:
        self._reactor.call_later(CUT_OFF_CHECK_INTERVAL_S, self._on_cut_off_check)
        self._update_cut_off()

    def _on_round(self) -> None:
        self._reactor.call_later(ROUND_INTERVAL_S, self._on_round)
        self._round += 1
        self._expire_members()
        self._refute_if_needed()
        record = self._next_member()
        if record is None or self._round % RECOVERY_CALL_ROUNDS == 0:
            self._call_unreachable_member()
        if record is not None:
            self._exchange(record.member.peer_address, record)

    def _others(self) -> list[MemberRecord]:
        local_incarnation = self._membership.local_member.incarnation
        return [
            record
            for record in self._membership.records()
            if record.state is not MemberState.DEAD
            and record.member.incarnation != local_incarnation
        ]

    def _next_member(self) -> MemberRecord | None:
        """Return the next member, taking all in shuffled order before any again."""
        while self._call_order:
            record = self._membership.record(self._call_order.pop())
            if record is not None and record.state is not MemberState.DEAD:
                return record
        self._call_order = [record.member.incarnation for record in self._others()]
        self._rng.shuffle(self._call_order)
        return (
            self._membership.record(self._call_order.pop())
            if self._call_order
            else None
        )

    def _call_unreachable_member(self) -> None:
        """Call a seed or a dead member's address, which heals a partition."""
        live = {record.member.peer_address for record in self._others()}
        live.add(self._membership.local_member.peer_address)
        unreachable = set(self._seeds)
        for record in self._membership.records():
            if record.state is MemberState.DEAD:
                unreachable.add(record.member.peer_address)
        unreachable -= live
        if unreachable:
            self._exchange(self._rng.choice(sorted(unreachable)), None)

    # Exchanges.

    def _exchange(
        self,
        address: Address,
        expected: MemberRecord | None,
        on_done: Callable[[bool], None] | None = None,
    ) -> None:
        timeout_at = self._now() + DIRECT_TIMEOUT_S

        def on_reply(reply: Reply | None, exc: WireError | None) -> None:
            is_good = reply is not None and reply.status == HTTP_OK
            if is_good:
                self._handle_reply(address, expected, reply.body)
            # If the loop ran late, the timeout does not show that the member failed.
            elif expected is not None and self._now() - timeout_at < MAX_LOOP_DELAY_S:
                self._request_indirect_probes(expected)
            if on_done is not None:
                on_done(is_good)

        body = self._exchange_body(None)
        target = "/membership/exchange"
        self._peers.call(address, target, body, on_reply, DIRECT_TIMEOUT_S)

    def _exchange_body(self, requester_hosts_number: int | None) -> ExchangeBody:
        hosts = self._membership.host_list
        is_newer = (
            requester_hosts_number is not None and hosts.number > requester_hosts_number
        )
        return {
            "me": to_wire(self._membership.local_record),
            "changes": [to_wire(record) for record in self._recent_changes()],
            "root": self._membership.digest.root,
            "hosts_number": hosts.number,
            "hosts": hosts.to_wire() if is_newer else None,
        }

    def _recent_changes(self) -> list[MemberRecord]:
        """Return the records changed in the last RECENT_CHANGE_S, latest first."""
        oldest = self._now() - RECENT_CHANGE_S
        recent = []
        for incarnation in reversed(self._changed_at):
            if (
                self._changed_at[incarnation] < oldest
                or len(recent) == MAX_CHANGES_PER_EXCHANGE
            ):
                break
            record = self._membership.record(incarnation)
            if record is not None:
                recent.append(record)
        return recent

    def _handle_reply(
        self, address: Address, expected: MemberRecord | None, body: ExchangeBody
    ) -> None:
        self._apply_body(body)
        incarnation = body["me"]["incarnation"]
        if expected is not None and incarnation != expected.member.incarnation:
            self._declare_state(
                expected.member.incarnation, MemberState.DEAD, "replaced"
            )
        if body["root"] != self._membership.digest.root and self._is_repair_due():
            self._repaired_at = self._now()
            self._repair(address)

    def _is_repair_due(self) -> bool:
        """Return whether to repair now.

        In a large fleet some change is always in transit, so two views differ most
        of the time; the interval therefore grows with the fleet.
        """
        proportional_s = REPAIR_INTERVAL_PER_MEMBER_S * len(self._membership.members())
        interval_s = max(REPAIR_INTERVAL_S, proportional_s)
        return self._now() - self._repaired_at >= interval_s

    def _apply_body(self, body: ExchangeBody) -> None:
        try:
            records = [from_wire(item) for item in [*body["changes"], body["me"]]]
        except (KeyError, TypeError, ValueError) as exc:
            raise RequestError(ErrorKind.BAD_REQUEST, repr(exc)) from exc
        self._connectivity.record_peer_contact()
        for record in records:
            self._apply_record(record)
        if body["hosts"] is not None:
            self._membership.host_list.apply(HostListView.from_wire(body["hosts"]))

    def _handle_exchange(self, req: ControlRequest) -> ExchangeBody:
        self._last_called_at = self._now()
        self._apply_body(req.body)
        self._refute_if_needed()
        body = self._exchange_body(req.body["hosts_number"])
        received = {_change_key(item) for item in req.body["changes"]}
        body["changes"] = [
            one for one in body["changes"] if _change_key(one) not in received
        ]
        return body

    # Repair.

    def _repair(self, address: Address) -> None:
        """Request the differing buckets, and send back what is newer here."""

        def on_reply(reply: Reply | None, exc: WireError | None) -> None:
            if reply is None or reply.status != HTTP_OK:
                return
            self._apply_buckets(address, reply.body)

        body: BucketsBody = {"buckets": self._membership.digest.buckets()}
        self._peers.call(address, "/membership/buckets", body, on_reply)

    def _apply_buckets(self, address: Address, body: BucketsReply) -> None:
        remote_records = {}
        for item in body["records"]:
            record = from_wire(item)
            remote_records[record.member.incarnation] = record
        local_records = [
            one
            for index in body["buckets"]
            for one in self._membership.in_bucket(index)
        ]
        newer = [
            one
            for one in local_records
            if remote_records.get(one.member.incarnation) != one
        ]
        applied = [self._apply_record(record) for record in remote_records.values()]
        for record in newer:
            self._mark_changed(record.member.incarnation)
        if any(applied) and body["more"]:
            self._repair(address)
        elif newer:
            self._exchange(address, None)

    def _handle_buckets(self, req: ControlRequest) -> BucketsReply:
        differing = self._membership.digest.differing_buckets(req.body["buckets"])
        chosen = differing[:MAX_REPAIR_BUCKETS]
        records = [one for index in chosen for one in self._membership.in_bucket(index)]
        return {
            "buckets": chosen,
            "records": [to_wire(record) for record in records],
            "more": len(differing) > len(chosen),
        }

    # The state of other members and of this node.

    def _apply_record(self, record: MemberRecord) -> bool:
        if not self._membership.merge(record):
            return False
        incarnation = record.member.incarnation
        self._update_timers(record)
        has_local_address = (
            record.member.peer_address == self._membership.local_member.peer_address
        )
        if (
            has_local_address
            and incarnation != self._membership.local_member.incarnation
        ):
            self._declare_state(incarnation, MemberState.DEAD, "replaced")
        return True

    def _declare_state(self, incarnation: str, state: MemberState, cause: str) -> None:
        record = self._membership.declare_state(incarnation, state)
        if record is None:
            return
        member = record.member
        log_event(f"member-{state}", "WARNING", member=member.name, cause=cause)
        self._update_timers(record)
        self._exchange_with_some()

    def _update_timers(self, record: MemberRecord) -> None:
        """Mark a record as changed and set the timers for its state."""
        incarnation = record.member.incarnation
        self._mark_changed(incarnation)
        self._suspicions.pop(incarnation, None)
        self._dead_at.pop(incarnation, None)
        if record.state is MemberState.SUSPECT:
            dead_at = self._now() + self._suspect_timeout_s()
            self._suspicions[incarnation] = Suspicion(record.counter, dead_at)
        if record.state is MemberState.DEAD:
            self._dead_at[incarnation] = self._now()

    def _mark_changed(self, incarnation: str) -> None:
        self._changed_at.pop(incarnation, None)
        self._changed_at[incarnation] = self._now()

    def _suspect_timeout_s(self) -> float:
        """Return how long a suspect has to refute; grows with the fleet's size."""
        count = max(10, len(self._membership.members()))
        return SUSPECT_TIMEOUT_S * math.log10(count)

    def _expire_members(self) -> None:
        """Declare timed-out suspects dead, and remove records of the long dead."""
        now = self._now()
        for incarnation, suspicion in list(self._suspicions.items()):
            if now >= suspicion.dead_at:
                del self._suspicions[incarnation]
                self._declare_state(incarnation, MemberState.DEAD, "no-answer")
        for incarnation, dead_at in list(self._dead_at.items()):
            if now - dead_at >= DEAD_RETENTION_S:
                del self._dead_at[incarnation]
                self._changed_at.pop(incarnation, None)
                self._membership.remove(incarnation)

    def _refute_if_needed(self) -> None:
        """Refute being suspect or dead, unless no peer called this node recently."""
        if not self._membership.needs_refutation() or self._last_called_at is None:
            return
        if self._now() - self._last_called_at <= REFUTE_WITHIN_S:
            self._membership.refute()
            self._mark_changed(self._membership.local_member.incarnation)
            log_event(
                "accusation-refuted", counter=self._membership.local_record.counter
            )

    def check_member(self, member: Member) -> None:
        """Check at once a member that did not answer a call of another package."""
        record = self._membership.record(member.incarnation)
        if record is not None and record.state is MemberState.ALIVE:
            self._exchange(member.peer_address, record)

    # Indirect probes.

    def _request_indirect_probes(self, record: MemberRecord) -> None:
        """Ask other members to call one that did not answer this node."""
        target = record.member
        others = [one for one in self._others() if one.member != target]
        alive = [one for one in others if one.state is MemberState.ALIVE]
        helpers = self._rng.sample(alive, min(INDIRECT_PROBES, len(alive)))
        if not helpers:
            self._declare_state(target.incarnation, MemberState.SUSPECT, "no-answer")
            return
        results: list[bool | None] = []

        def on_reply(reply: Reply | None, exc: WireError | None) -> None:
            is_ok = reply is not None and reply.status == HTTP_OK
            results.append(reply.body["reached"] if is_ok else None)
            if len(results) == len(helpers):
                self._evaluate_probes(target.incarnation, results)

        body: ProbeBody = {"address": str(target.peer_address)}
        for helper in helpers:
            address = helper.member.peer_address
            self._peers.call(
                address, "/membership/probe", body, on_reply, INDIRECT_TIMEOUT_S
            )

    def _evaluate_probes(self, incarnation: str, results: list[bool | None]) -> None:
        """Declare a member suspect if no helper reached it.

        If no helper replied either, this node's own outgoing connections may be
        broken, and it suspects nobody.
        """
        if True not in results and False in results:
            self._declare_state(incarnation, MemberState.SUSPECT, "no-answer")

    def _handle_probe(self, req: ControlRequest) -> DeferredReply:
        address = parse_address(req.body["address"])
        self._connectivity.record_peer_contact()

        def start(responder: Responder) -> None:
            def on_done(is_reached: bool) -> None:
                responder.send({"reached": is_reached})

            self._exchange(address, None, on_done)

        return DeferredReply(start)

    def status(self) -> list[dict[str, Any]]:
        """Return all members with their states, for the status page."""
        return [
            {
                "name": record.member.name,
                "zone": record.member.zone,
                "state": str(record.state),
                "leaving": record.member.is_leaving,
            }
            for record in self._membership.records()
        ]


def _change_key(item: WireRecord) -> tuple[str, int, str]:
    """Return what identifies a version of a record."""
    return item["incarnation"], item["counter"], item["state"]
