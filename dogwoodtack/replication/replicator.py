"""Replicates every accepted change to every node, whichever node has it first."""

import random
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from ..calls import Reply
from ..confirmation import ConfigurationConfirmer, OnConfirmed
from ..control import ControlRequest, Route
from ..digest import BUCKETS
from ..errors import (
    DECODE_ERRORS,
    ErrorKind,
    RequestError,
    StoreError,
    WireError,
)
from ..logs import LimitedLog, log_event
from ..membership import Connectivity, Member, Membership, store_readers
from ..peers import PeerClient
from ..reactor import Reactor
from ..store import Snapshot, Store, StoreObject
from .messages import (
    BucketsBody,
    BucketsReply,
    ExchangeBody,
    MemberRange,
    PushBody,
    ReplicationStatus,
    exchange_from_wire,
    object_from_wire,
    object_to_wire,
)
from .state import ConfigState
from .tree import SortedMembers, Subrange
from .watcher import Watcher

__all__ = ["Replicator"]

WATCHERS_PER_ZONE = 2
WATCHER_CHECK_INTERVAL_S = 0.5
EXCHANGE_INTERVAL_S = 1.0
EXCHANGE_TIMEOUT_S = 0.5
EXCHANGE_ATTEMPTS = 3
PUSH_TIMEOUT_S = 0.5
PUSH_ATTEMPTS = 3
PUSH_BATCH = 64
SUBSTITUTE_S = 10.0
SUBSTITUTES = 2
SUBSTITUTE_REQUEST_INTERVAL_S = 1.0
SYNC_PEERS = 3
SYNC_RETRY_S = 0.25
SYNC_PEER_WAIT_S = 0.5
SYNC_PEER_POLL_S = 0.02
REPLY_SIZE_BUDGET_BYTES = 64 * 1024
MAX_RELAYED_BATCHES = 256
MAX_RELAYS_PER_BATCH = WATCHERS_PER_ZONE + 1
HTTP_OK = 200

Batch = tuple[tuple[str, str, int], ...]


class Replicator:
    """Runs the replication of the configuration on one node."""

    def __init__(
        self,
        reactor: Reactor,
        peers: PeerClient,
        store: Store,
        membership: Membership,
        connectivity: Connectivity,
        state: ConfigState,
        rng: random.Random,
        has_seeds: bool,
        on_synced: Callable[[], None],
        on_unresponsive: Callable[[Member], None],
    ) -> None:
        self._reactor = reactor
        self._peers = peers
        self._membership = membership
        self._connectivity = connectivity
        self._state = state
        self._rng = rng
        self._has_seeds = has_seeds
        self._on_synced = on_synced
        self._on_unresponsive = on_unresponsive
        self._store = store
        self._confirmer = ConfigurationConfirmer(reactor, self._read_newest)
        self._watcher = Watcher(
            reactor,
            store,
            lambda: self.watermark,
            self.is_watcher,
            self._apply_snapshot,
            self._request_substitutes,
        )
        self._sorted_members = SortedMembers([])
        self._sorted_revision = -1
        self._watcher_revision = -1
        self._is_assigned_watcher = False
        self._substitute_until = 0.0
        self._substitutes_requested_at = -SUBSTITUTE_REQUEST_INTERVAL_S
        self._started_at = 0.0
        self._is_applying_received = False
        self._outbox: list[StoreObject] = []
        self._relay_counts: OrderedDict[Batch, int] = OrderedDict()
        self._confirmed_at: float | None = None
        self._limited_log = LimitedLog(reactor.clock.monotonic)
        self.watermark = -1
        self.is_synced = False
        state.subscribe(self._on_object)

    # Start and status.

    def begin(self) -> None:
        """Start to fetch, watch and exchange the configuration."""
        self._started_at = self._now()
        delay_s = self._rng.uniform(0, EXCHANGE_INTERVAL_S)
        self._reactor.call_later(delay_s, self._on_exchange_due)
        self._reactor.call_later(WATCHER_CHECK_INTERVAL_S, self._on_watcher_check)
        self._sync()

    def routes(self) -> list[Route]:
        """Return the peer port's routes for the configuration."""
        return [
            Route("POST", "/spread/push", self._handle_push),
            Route("POST", "/spread/exchange", self._handle_exchange),
            Route("POST", "/spread/buckets", self._handle_buckets),
            Route("POST", "/spread/stand-in", self._handle_substitute_request),
        ]

    def _now(self) -> float:
        return self._reactor.clock.monotonic()

    def age_s(self) -> float | None:
        """Return seconds since any node is known to have had contact with the store.

        None if no node is known to have.
        """
        if self._confirmed_at is None:
            return None
        return self._now() - self._confirmed_at

    def status(self) -> ReplicationStatus:
        """Return the configuration's part of the status page."""
        age_s = self.age_s()
        return {
            "is_synced": self.is_synced,
            "is_watcher": self.is_watcher(),
            "watermark": self.watermark,
            "age_s": None if age_s is None else round(age_s, 3),
            "objects": len(self._state),
            "root": self._state.digest.root,
        }

    def _record_confirmation(self, age_s: float | None) -> None:
        if age_s is None:
            return
        confirmed_at = self._now() - age_s
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at

    def _others(self) -> list[Member]:
        local_incarnation = self._membership.local_member.incarnation
        return [
            one
            for one in self._membership.members()
            if one.incarnation != local_incarnation
        ]

    # Which nodes watch the store.

    def is_watcher(self) -> bool:
        """Return whether this node watches the store now.

        It does if it is one of its zone's watchers, substitutes for another node,
        or reaches no peer.
        """
        is_substitute = self._now() < self._substitute_until
        return (
            self._is_assigned_watcher
            or is_substitute
            or self._connectivity.is_without_peers()
        )

    def _on_watcher_check(self) -> None:
        self._reactor.call_later(WATCHER_CHECK_INTERVAL_S, self._on_watcher_check)
        self._update_watcher_role()
        if self.is_synced:
            self._watcher.wake()

    def _update_watcher_role(self) -> None:
        """Choose this zone's watchers again if the membership has changed."""
        if self._watcher_revision == self._membership.revision:
            return
        self._watcher_revision = self._membership.revision
        local_member = self._membership.local_member
        in_zone = self._update_sorted_members().within(
            MemberRange(zone=local_member.zone)
        )
        is_assigned = local_member in store_readers(
            in_zone, local_member, WATCHERS_PER_ZONE
        )
        if is_assigned != self._is_assigned_watcher:
            self._is_assigned_watcher = is_assigned
            log_event("store-watcher", on=is_assigned)

    def _update_sorted_members(self) -> SortedMembers:
        """Return the sorted members, sorted again if the membership has changed."""
        if self._sorted_revision != self._membership.revision:
            self._sorted_revision = self._membership.revision
            self._sorted_members = SortedMembers(self._membership.members())
        return self._sorted_members

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        """Apply a snapshot from the store and pass it on.

        Changes are passed on even if they are known here, because the node that
        sent them may not have reached the others.  Of a full list only the objects
        that are new here are passed on.
        """
        self._record_confirmation(0.0)
        is_full_list = self.watermark < 0
        new = self._apply_received(snapshot.objects)
        self.watermark = max(self.watermark, snapshot.revision)
        if self.is_synced:
            zone = (
                self._membership.local_member.zone if self._is_assigned_watcher else ""
            )
            # An object that can't be encoded is not held, and can't be sent either.
            held = [
                obj
                for obj in (new if is_full_list else snapshot.objects)
                if self._state.version(obj.kind, obj.name) >= obj.version
            ]
            self._push(held, MemberRange(zone=zone))
        self._mark_synced("store")

    def confirm_configuration(self, on_done: OnConfirmed) -> None:
        """Make sure that the newest configuration is known here.

        Args:
            on_done: called with whether the store has shown that it is.
        """
        self._confirmer.confirm(on_done)

    def _read_newest(self, on_done: OnConfirmed) -> None:
        def on_read(snapshot: Snapshot | None, exc: StoreError | None) -> None:
            if snapshot is not None:
                self._apply_snapshot(snapshot)
            on_done(snapshot is not None)

        if self.watermark < 0:
            self._store.list(on_read)
        else:
            self._store.watch(self.watermark, 0.0, on_read)

    def _request_substitutes(self) -> None:
        """Stop substituting; an assigned watcher asks others to watch the store.

        Called when this node gets no response from the store.
        """
        self._substitute_until = 0.0
        if (
            self._now() - self._substitutes_requested_at < SUBSTITUTE_REQUEST_INTERVAL_S
            or not self._is_assigned_watcher
        ):
            return
        self._substitutes_requested_at = self._now()
        others = self._others()
        for member in self._rng.sample(others, min(SUBSTITUTES, len(others))):
            self._peers.call(member.peer_address, "/spread/stand-in", {}, _ignore_reply)

    def _handle_substitute_request(self, req: ControlRequest) -> Any:
        """Watch the store for SUBSTITUTE_S, or until it fails here too."""
        self._substitute_until = self._now() + SUBSTITUTE_S
        self._watcher.wake()
        return {}

    # Pushing changes.

    def _on_object(self, obj: StoreObject) -> None:
        """Queue an object for the others if this node wrote it."""
        if self._is_applying_received:
            return
        if not self._outbox:
            self._reactor.call_soon(self._push_outbox)
        self._outbox.append(obj)

    def _push_outbox(self) -> None:
        objects, self._outbox = self._outbox, []
        self._push(objects, MemberRange())

    def _apply_received(self, objects: list[StoreObject]) -> list[StoreObject]:
        """Apply objects from the store or a peer and return the new ones."""
        self._is_applying_received = True
        try:
            new = [obj for obj in objects if self._apply_object(obj)]
        finally:
            self._is_applying_received = False
        for obj in new:
            log_event(
                "config-taken",
                "DEBUG",
                kind=obj.kind,
                name=obj.name,
                version=obj.version,
            )
        return new

    def _apply_object(self, obj: StoreObject) -> bool:
        """Apply an object and return whether it is new.

        One that another writer made unusable must not keep back those after it, which
        would be read with it again and again.
        """
        try:
            return self._state.apply(obj)
        except DECODE_ERRORS as exc:
            self._limited_log.warn(
                "config-object-unusable",
                kind=obj.kind,
                name=obj.name,
                error=type(exc).__name__,
            )
            return False

    def _push(self, objects: list[StoreObject], target_range: MemberRange) -> None:
        """Push objects to every other member in a range."""
        members = self._update_sorted_members()
        for start in range(0, len(objects), PUSH_BATCH):
            batch = [object_to_wire(one) for one in objects[start : start + PUSH_BATCH]]
            for subrange in members.split(
                target_range, self._membership.local_member.incarnation
            ):
                self._push_subrange(batch, subrange, PUSH_ATTEMPTS)

    def _push_subrange(
        self, batch: list[Any], subrange: Subrange, attempts: int
    ) -> None:
        """Push to one member of a subrange, and to another if it does not respond."""
        member = self._rng.choice(subrange.members)
        remaining = [one for one in subrange.members if one != member]

        def on_reply(reply: Reply | None, exc: WireError | None) -> None:
            if reply is not None and reply.status == HTTP_OK:
                return
            self._on_unresponsive(member)
            if remaining and attempts > 1:
                self._push_subrange(
                    batch, Subrange(subrange.range, remaining), attempts - 1
                )

        body: PushBody = {"objects": batch, "range": list(subrange.range)}
        self._peers.call(
            member.peer_address, "/spread/push", body, on_reply, PUSH_TIMEOUT_S
        )

    def _handle_push(self, req: ControlRequest) -> Any:
        try:
            objects, _ = self._parse_objects(req.body["objects"])
            target = req.body["range"]
            target_range = None if target is None else MemberRange(*target)
        except DECODE_ERRORS as exc:
            raise RequestError(ErrorKind.BAD_REQUEST, repr(exc)) from exc
        self._apply_received(objects)
        if target_range is not None and self._may_relay(objects):
            self._reactor.call_soon(self._push, objects, target_range)
        return {}

    def _may_relay(self, objects: list[StoreObject]) -> bool:
        """Count how often a batch arrived, and return whether to pass it on again.

        Each watcher of the zone and the writer start a distribution tree.  If a
        member responds too late, another one is chosen in its place, which
        distributes that part of the tree a second time.  The limit keeps such
        repetitions from multiplying while nodes are overloaded.
        """
        batch = tuple((one.kind, one.name, one.version) for one in objects)
        count = self._relay_counts.pop(batch, 0) + 1
        self._relay_counts[batch] = count
        if len(self._relay_counts) > MAX_RELAYED_BATCHES:
            self._relay_counts.popitem(last=False)
        return count <= MAX_RELAYS_PER_BATCH

    def _parse_objects(self, items: list[Any]) -> tuple[list[StoreObject], bool]:
        """Return the usable objects of a peer, and whether these are all."""
        objects = []
        for item in items:
            try:
                objects.append(object_from_wire(item))
            except DECODE_ERRORS as exc:
                self._limited_log.warn("peer-object-unusable", error=repr(exc))
        return objects, len(objects) == len(items)

    # Anti-entropy with one other node a second.

    def _on_exchange_due(self) -> None:
        self._reactor.call_later(EXCHANGE_INTERVAL_S, self._on_exchange_due)
        if self.is_synced:
            self._exchange_with_any(EXCHANGE_ATTEMPTS)

    def _exchange_with_any(self, attempts: int) -> None:
        others = self._others()
        if others and attempts:
            self._exchange(self._rng.choice(others), attempts)

    def _exchange(self, member: Member, attempts: int = 1) -> None:
        """Compare with a member, or with another one if it does not respond."""

        def on_reply(reply: Reply | None, exc: WireError | None) -> None:
            if reply is None or reply.status != HTTP_OK:
                self._on_unresponsive(member)
                self._exchange_with_any(attempts - 1)
                return
            try:
                body = exchange_from_wire(reply.body)
            except DECODE_ERRORS as error:
                self._limited_log.warn(
                    "exchange-unusable", member=member.name, error=repr(error)
                )
                self._exchange_with_any(attempts - 1)
                return
            self._apply_exchange(body)
            if body["root"] != self._state.digest.root:
                self._fetch(member, 0, _ignore_completion)

        body = self._exchange_body()
        self._peers.call(
            member.peer_address, "/spread/exchange", body, on_reply, EXCHANGE_TIMEOUT_S
        )

    def _exchange_body(self) -> ExchangeBody:
        return {
            "root": self._state.digest.root,
            "is_synced": self.is_synced,
            "watermark": self.watermark,
            "age_s": self.age_s(),
        }

    def _apply_exchange(self, body: ExchangeBody) -> None:
        """Apply what a peer knows of the store's state.

        Its watermark is valid here only if both nodes hold the same objects.
        """
        self._record_confirmation(body["age_s"])
        if body["root"] == self._state.digest.root:
            self.watermark = max(self.watermark, body["watermark"])

    def _handle_exchange(self, req: ControlRequest) -> ExchangeBody:
        try:
            body = exchange_from_wire(req.body)
        except DECODE_ERRORS as exc:
            raise RequestError(ErrorKind.BAD_REQUEST, repr(exc)) from exc
        self._apply_exchange(body)
        return self._exchange_body()

    def _fetch(
        self, member: Member, first: int, on_done: Callable[[bool], None]
    ) -> None:
        """Fetch the differing objects from a member, in replies of bounded size.

        Args:
            member: the member to fetch from.
            first: the lowest bucket to fetch.
            on_done: called with whether the member was synced and all was read.
        """

        def on_reply(reply: Reply | None, exc: WireError | None) -> None:
            if reply is None or reply.status != HTTP_OK:
                on_done(False)
                return
            body: BucketsReply = reply.body
            try:
                is_whole = self._apply_buckets(member, body)
                next_bucket = _next_bucket(body, first)
                is_synced = body["is_synced"] is True
            except DECODE_ERRORS as error:
                self._limited_log.warn(
                    "buckets-unusable", member=member.name, error=repr(error)
                )
                on_done(False)
                return
            if next_bucket is None:
                on_done(is_synced and is_whole)
                return
            self._fetch(
                member, next_bucket, lambda is_rest: on_done(is_rest and is_whole)
            )

        body: BucketsBody = {"buckets": self._state.digest.buckets(), "first": first}
        self._peers.call(member.peer_address, "/spread/buckets", body, on_reply)

    def _apply_buckets(self, member: Member, body: BucketsReply) -> bool:
        """Apply what is newer at a member, and send it what is newer here.

        Returns:
            Whether all objects of the member were usable.
        """
        remote_objects, is_whole = self._parse_objects(body["objects"])
        versions = {(one.kind, one.name): one.version for one in remote_objects}
        newer = [
            obj
            for index in body["buckets"]
            for obj in self._state.in_bucket(index)
            if obj.version > versions.get((obj.kind, obj.name), 0)
        ]
        self._apply_received(remote_objects)
        for start in range(0, len(newer), PUSH_BATCH):
            batch = [object_to_wire(one) for one in newer[start : start + PUSH_BATCH]]
            push: PushBody = {"objects": batch, "range": None}
            self._peers.call(member.peer_address, "/spread/push", push, _ignore_reply)
        return is_whole

    def _handle_buckets(self, req: ControlRequest) -> BucketsReply:
        try:
            differing = self._state.digest.differing_buckets(req.body["buckets"])
            remaining = [index for index in differing if index >= req.body["first"]]
        except DECODE_ERRORS as exc:
            raise RequestError(ErrorKind.BAD_REQUEST, repr(exc)) from exc
        chosen: list[int] = []
        objects: list[Any] = []
        size = 0
        while remaining and size < REPLY_SIZE_BUDGET_BYTES:
            index = remaining.pop(0)
            chosen.append(index)
            for obj in self._state.in_bucket(index):
                objects.append(object_to_wire(obj))
                size += self._state.size(obj.kind, obj.name)
        return {
            "buckets": chosen,
            "objects": objects,
            "next": remaining[0] if remaining else None,
            "is_synced": self.is_synced,
        }

    # The initial copy.

    def _sync(self) -> None:
        """Fetch everything from peers, or from the store if no fetch completes."""
        if self.is_synced:
            return
        others = self._others()
        may_find_peers = self._now() - self._started_at < SYNC_PEER_WAIT_S
        if not others and may_find_peers and self._has_seeds:
            self._reactor.call_later(SYNC_PEER_POLL_S, self._sync)
            return
        self._sync_from_members(self._choose_sync_peers(others), [])

    def _sync_from_members(self, members: list[Member], fetched: list[Member]) -> None:
        """Fetch from one member after the other; the later ones have little to send."""
        if not members:
            self._finish_sync(fetched)
            return
        member, remaining = members[0], members[1:]

        def on_done(is_complete: bool) -> None:
            self._sync_from_members(
                remaining, [*fetched, member] if is_complete else fetched
            )

        self._fetch(member, 0, on_done)

    def _choose_sync_peers(self, members: list[Member]) -> list[Member]:
        """Return up to SYNC_PEERS members, ready ones of different zones first."""
        self._rng.shuffle(members)
        members.sort(key=lambda one: not one.is_ready)
        by_zone: dict[str, Member] = {}
        for member in members:
            by_zone.setdefault(member.zone, member)
        chosen = list(by_zone.values())
        chosen.extend(one for one in members if one not in chosen)
        return chosen[:SYNC_PEERS]

    def _finish_sync(self, fetched: list[Member]) -> None:
        """Become synced, or retry, reading the store if this node is a watcher."""
        if fetched:
            self._exchange(fetched[-1])
            self._mark_synced("peers")
            return
        self._update_watcher_role()
        self._watcher.wake()
        self._reactor.call_later(SYNC_RETRY_S, self._sync)

    def _mark_synced(self, source: str) -> None:
        if self.is_synced:
            return
        self.is_synced = True
        log_event("synced", source=source, objects=len(self._state))
        self._on_synced()


def _next_bucket(body: BucketsReply, first: int) -> int | None:
    """Return the bucket to go on with after those of a reply, None after the last.

    Raises:
        TypeError, ValueError: it is no later bucket, so that the fetch would not end.
    """
    index = body["next"]
    if index is not None and not first < index < BUCKETS:
        raise ValueError("the next bucket is no later one")
    return index


def _ignore_reply(reply: Reply | None, exc: WireError | None) -> None:
    """Ignore a reply that changes nothing."""


def _ignore_completion(is_complete: bool) -> None:
    """Ignore the outcome of a fetch."""
