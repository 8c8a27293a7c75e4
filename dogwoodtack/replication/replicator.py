"""Bring every accepted change to every node, whoever learns of it first."""

import random
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from ..calls import Reply
from ..errors import ErrorKind, RequestError, WireError
from ..logs import log_event
from ..membership import Connectivity, Member, Membership, store_readers
from ..peers import Peers
from ..reactor import Reactor
from ..store import Snapshot, Store, StoreObject
from ..surface import Route, SurfaceRequest
from .messages import (
    BucketsBody,
    BucketsReply,
    ExchangeBody,
    PushBody,
    Range,
    ReplicationStatus,
    object_from_wire,
    object_to_wire,
)
from .state import ConfigState
from .tree import Piece, SortedMembers
from .watcher import Watcher

__all__ = ["Replicator"]

WATCHERS_PER_ZONE = 2
DUTY_INTERVAL_S = 0.5
EXCHANGE_INTERVAL_S = 1.0
EXCHANGE_TIMEOUT_S = 0.5
EXCHANGE_ATTEMPTS = 3
PUSH_TIMEOUT_S = 0.5
PUSH_ATTEMPTS = 3
PUSH_BATCH = 64
STAND_IN_S = 10.0
STAND_INS = 2
STAND_IN_EVERY_S = 1.0
SYNC_PEERS = 3
SYNC_RETRY_S = 0.25
SYNC_MEET_S = 0.5
SYNC_MEET_POLL_S = 0.02
REPLY_BUDGET_BYTES = 64 * 1024
RELAYED_KEPT = 256
MAX_RELAYS = WATCHERS_PER_ZONE + 1
HTTP_OK = 200

Batch = tuple[tuple[str, str, int], ...]


class Replicator:
    """The clockwork of configuration on one node."""

    def __init__(
        self,
        reactor: Reactor,
        peers: Peers,
        store: Store,
        membership: Membership,
        connectivity: Connectivity,
        state: ConfigState,
        rng: random.Random,
        has_seeds: bool,
        on_synced: Callable[[], None],
        on_silent: Callable[[Member], None],
    ) -> None:
        self._reactor = reactor
        self._peers = peers
        self._membership = membership
        self._connectivity = connectivity
        self._state = state
        self._rng = rng
        self._has_seeds = has_seeds
        self._on_synced = on_synced
        self._on_silent = on_silent
        self._watcher = Watcher(
            reactor,
            store,
            lambda: self.watermark,
            self.is_watcher,
            self._take_snapshot,
            self._ask_stand_ins,
        )
        self._sorted = SortedMembers([])
        self._sorted_revision = -1
        self._duty_revision = -1
        self._is_duty = False
        self._stand_in_until = 0.0
        self._asked_at = -STAND_IN_EVERY_S
        self._began_at = 0.0
        self._is_receiving = False
        self._outbox: list[StoreObject] = []
        self._relayed: OrderedDict[Batch, int] = OrderedDict()
        self._confirmed_at: float | None = None
        self.watermark = -1
        self.is_synced = False
        state.subscribe(self._on_object)

    # Life.

    def begin(self) -> None:
        """Begin to fetch, follow and exchange the configuration."""
        self._began_at = self._now()
        delay_s = self._rng.uniform(0, EXCHANGE_INTERVAL_S)
        self._reactor.call_later(delay_s, self._on_exchange_due)
        self._reactor.call_later(DUTY_INTERVAL_S, self._on_duty_due)
        self._sync()

    def routes(self) -> list[Route]:
        """Return what the peer port answers for the configuration."""
        return [
            Route("POST", "/spread/push", self._view_push),
            Route("POST", "/spread/exchange", self._view_exchange),
            Route("POST", "/spread/buckets", self._view_buckets),
            Route("POST", "/spread/stand-in", self._view_stand_in),
        ]

    def _now(self) -> float:
        return self._reactor.clock.monotonic()

    def age_s(self) -> float | None:
        """Return seconds since any node is known to have heard from the store."""
        if self._confirmed_at is None:
            return None
        return self._now() - self._confirmed_at

    def status(self) -> ReplicationStatus:
        """Return what the status page shows of the configuration."""
        age_s = self.age_s()
        return {
            "is_synced": self.is_synced,
            "is_watcher": self.is_watcher(),
            "watermark": self.watermark,
            "age_s": None if age_s is None else round(age_s, 3),
            "objects": len(self._state),
            "root": self._state.digest.root,
        }

    def _confirm(self, age_s: float | None) -> None:
        if age_s is None:
            return
        at = self._now() - age_s
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at

    def _others(self) -> list[Member]:
        mine = self._membership.local_member.incarnation
        return [one for one in self._membership.members() if one.incarnation != mine]

    # Who follows the store.

    def is_watcher(self) -> bool:
        """Return whether this node follows the store now."""
        stands_in = self._now() < self._stand_in_until
        return self._is_duty or stands_in or self._connectivity.is_without_peers()

    def _on_duty_due(self) -> None:
        self._reactor.call_later(DUTY_INTERVAL_S, self._on_duty_due)
        self._update_duty()
        if self.is_synced:
            self._watcher.wake()

    def _update_duty(self) -> None:
        """Choose the watchers of this zone again if the view has changed."""
        if self._duty_revision == self._membership.revision:
            return
        self._duty_revision = self._membership.revision
        me = self._membership.local_member
        in_zone = self._order_members().within(Range(zone=me.zone))
        is_duty = me in store_readers(in_zone, me, WATCHERS_PER_ZONE)
        if is_duty != self._is_duty:
            self._is_duty = is_duty
            log_event("store-watcher", on=is_duty)

    def _order_members(self) -> SortedMembers:
        """Sort the members again if the view has changed."""
        if self._sorted_revision != self._membership.revision:
            self._sorted_revision = self._membership.revision
            self._sorted = SortedMembers(self._membership.members())
        return self._sorted

    def _take_snapshot(self, snapshot: Snapshot) -> None:
        """Take and pass on what the store said.

        Changes are passed on even if they are known here: whoever told this node
        may not have reached the others.  Of a whole list, only what was new is.
        """
        self._confirm(0.0)
        is_list = self.watermark < 0
        new = self._receive(snapshot.objects)
        self.watermark = max(self.watermark, snapshot.revision)
        if self.is_synced:
            zone = self._membership.local_member.zone if self._is_duty else ""
            self._push(new if is_list else snapshot.objects, Range(zone=zone))
        self._note_synced("store")

    def _ask_stand_ins(self) -> None:
        """Ask others to look at the store, because this node gets no answer."""
        self._stand_in_until = 0.0
        if self._now() - self._asked_at < STAND_IN_EVERY_S or not self._is_duty:
            return
        self._asked_at = self._now()
        others = self._others()
        for member in self._rng.sample(others, min(STAND_INS, len(others))):
            self._peers.call(member.peer_address, "/spread/stand-in", {}, _ignore)

    def _view_stand_in(self, req: SurfaceRequest) -> Any:
        """Follow the store for a while, until it fails here too."""
        self._stand_in_until = self._now() + STAND_IN_S
        self._watcher.wake()
        return {}

    # Pushing changes.

    def _on_object(self, obj: StoreObject) -> None:
        """Pass on what this node wrote itself."""
        if self._is_receiving:
            return
        if not self._outbox:
            self._reactor.call_soon(self._push_outbox)
        self._outbox.append(obj)

    def _push_outbox(self) -> None:
        objects, self._outbox = self._outbox, []
        self._push(objects, Range())

    def _receive(self, objects: list[StoreObject]) -> list[StoreObject]:
        """Apply objects that came from elsewhere and return the new ones."""
        self._is_receiving = True
        try:
            new = [obj for obj in objects if self._state.apply(obj)]
        finally:
            self._is_receiving = False
        for obj in new:
            log_event(
                "config-taken",
                "DEBUG",
                kind=obj.kind,
                name=obj.name,
                version=obj.version,
            )
        return new

    def _push(self, objects: list[StoreObject], span: Range) -> None:
        """Pass objects on to every other member in a range."""
        members = self._order_members()
        for start in range(0, len(objects), PUSH_BATCH):
            batch = [object_to_wire(one) for one in objects[start : start + PUSH_BATCH]]
            for piece in members.pieces(
                span, self._membership.local_member.incarnation
            ):
                self._push_piece(batch, piece, PUSH_ATTEMPTS)

    def _push_piece(self, batch: list[Any], piece: Piece, attempts: int) -> None:
        """Hand a piece to one of its members, to another if that one is silent."""
        member = self._rng.choice(piece.members)
        left = [one for one in piece.members if one != member]

        def on_reply(reply: Reply | None, exc: WireError | None) -> None:
            if reply is not None and reply.status == HTTP_OK:
                return
            self._on_silent(member)
            if left and attempts > 1:
                self._push_piece(batch, Piece(piece.range, left), attempts - 1)

        body: PushBody = {"objects": batch, "range": list(piece.range)}
        self._peers.call(
            member.peer_address, "/spread/push", body, on_reply, PUSH_TIMEOUT_S
        )

    def _view_push(self, req: SurfaceRequest) -> Any:
        objects = self._read_objects(req.body["objects"])
        self._receive(objects)
        if req.body["range"] is not None and self._may_relay(objects):
            span = Range(*req.body["range"])
            self._reactor.call_soon(self._push, objects, span)
        return {}

    def _may_relay(self, objects: list[StoreObject]) -> bool:
        """Count the trees a batch has come by, and return whether to pass it on.

        Each watcher of the zone and the writer begin a tree.  A member that
        answers late is given up for another, which begins a part of a tree anew;
        the bound keeps that from growing while nodes are overloaded.
        """
        batch = tuple((one.kind, one.name, one.version) for one in objects)
        count = self._relayed.pop(batch, 0) + 1
        self._relayed[batch] = count
        if len(self._relayed) > RELAYED_KEPT:
            self._relayed.popitem(last=False)
        return count <= MAX_RELAYS

    @staticmethod
    def _read_objects(items: list[Any]) -> list[StoreObject]:
        try:
            return [object_from_wire(item) for item in items]
        except (KeyError, TypeError, ValueError) as exc:
            raise RequestError(ErrorKind.BAD_REQUEST, repr(exc)) from exc

    # Comparing with one other node a second.

    def _on_exchange_due(self) -> None:
        self._reactor.call_later(EXCHANGE_INTERVAL_S, self._on_exchange_due)
        if self.is_synced:
            self._exchange_with_any(EXCHANGE_ATTEMPTS)

    def _exchange_with_any(self, attempts: int) -> None:
        others = self._others()
        if others and attempts:
            self._exchange(self._rng.choice(others), attempts)

    def _exchange(self, member: Member, attempts: int = 1) -> None:
        """Compare with a member, or with another one if it is silent."""

        def on_reply(reply: Reply | None, exc: WireError | None) -> None:
            if reply is None or reply.status != HTTP_OK:
                self._on_silent(member)
                self._exchange_with_any(attempts - 1)
                return
            self._take_exchange(reply.body)
            if reply.body["root"] != self._state.digest.root:
                self._fetch(member, 0, _ignore_outcome)

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

    def _take_exchange(self, body: ExchangeBody) -> None:
        """Learn from a node what it knows of the store.

        Its watermark holds here too only where both hold the same objects.
        """
        self._confirm(body["age_s"])
        if body["root"] == self._state.digest.root:
            self.watermark = max(self.watermark, body["watermark"])

    def _view_exchange(self, req: SurfaceRequest) -> ExchangeBody:
        self._take_exchange(req.body)
        return self._exchange_body()

    def _fetch(
        self, member: Member, first: int, on_done: Callable[[bool], None]
    ) -> None:
        """Fetch what differs, in bounded replies; tell whether all was read."""

        def on_reply(reply: Reply | None, exc: WireError | None) -> None:
            if reply is None or reply.status != HTTP_OK:
                on_done(False)
                return
            body: BucketsReply = reply.body
            self._take_buckets(member, body)
            if body["next"] is None:
                on_done(body["is_synced"])
                return
            self._fetch(member, body["next"], on_done)

        body: BucketsBody = {"buckets": self._state.digest.buckets(), "first": first}
        self._peers.call(member.peer_address, "/spread/buckets", body, on_reply)

    def _take_buckets(self, member: Member, body: BucketsReply) -> None:
        """Take what is newer there, and send what is newer here."""
        theirs = self._read_objects(body["objects"])
        versions = {(one.kind, one.name): one.version for one in theirs}
        newer = [
            obj
            for index in body["buckets"]
            for obj in self._state.in_bucket(index)
            if obj.version > versions.get((obj.kind, obj.name), 0)
        ]
        self._receive(theirs)
        for start in range(0, len(newer), PUSH_BATCH):
            batch = [object_to_wire(one) for one in newer[start : start + PUSH_BATCH]]
            push: PushBody = {"objects": batch, "range": None}
            self._peers.call(member.peer_address, "/spread/push", push, _ignore)

    def _view_buckets(self, req: SurfaceRequest) -> BucketsReply:
        differing = self._state.digest.differing(req.body["buckets"])
        left = [index for index in differing if index >= req.body["first"]]
        chosen: list[int] = []
        objects: list[Any] = []
        size = 0
        while left and size < REPLY_BUDGET_BYTES:
            index = left.pop(0)
            chosen.append(index)
            for obj in self._state.in_bucket(index):
                objects.append(object_to_wire(obj))
                size += self._state.size(obj.kind, obj.name)
        return {
            "buckets": chosen,
            "objects": objects,
            "next": left[0] if left else None,
            "is_synced": self.is_synced,
        }

    # The first copy.

    def _sync(self) -> None:
        """Get everything from peers, or from the store where they have nothing."""
        if self.is_synced:
            return
        others = self._others()
        may_meet = self._now() - self._began_at < SYNC_MEET_S
        if not others and may_meet and self._has_seeds:
            self._reactor.call_later(SYNC_MEET_POLL_S, self._sync)
            return
        self._sync_from(self._one_for_each_zone(others), [])

    def _sync_from(self, members: list[Member], whole: list[Member]) -> None:
        """Fetch from one member after the other: the later ones send little."""
        if not members:
            self._end_sync(whole)
            return
        member, left = members[0], members[1:]

        def on_done(is_whole: bool) -> None:
            self._sync_from(left, [*whole, member] if is_whole else whole)

        self._fetch(member, 0, on_done)

    def _one_for_each_zone(self, members: list[Member]) -> list[Member]:
        """Return a few members, ready ones of different zones first."""
        self._rng.shuffle(members)
        members.sort(key=lambda one: not one.is_ready)
        by_zone: dict[str, Member] = {}
        for member in members:
            by_zone.setdefault(member.zone, member)
        chosen = list(by_zone.values())
        chosen.extend(one for one in members if one not in chosen)
        return chosen[:SYNC_PEERS]

    def _end_sync(self, whole: list[Member]) -> None:
        """Begin to serve, or read the store if that is this node's duty."""
        if whole:
            self._exchange(whole[-1])
            self._note_synced("peers")
            return
        self._update_duty()
        self._watcher.wake()
        self._reactor.call_later(SYNC_RETRY_S, self._sync)

    def _note_synced(self, source: str) -> None:
        if self.is_synced:
            return
        self.is_synced = True
        log_event("synced", source=source, objects=len(self._state))
        self._on_synced()


def _ignore(reply: Reply | None, exc: WireError | None) -> None:
    """Take an answer that changes nothing."""


def _ignore_outcome(is_whole: bool) -> None:
    """Take the end of a fetch that changes nothing."""
