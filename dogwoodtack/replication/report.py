"""Metrics of membership and of the replication of configuration."""

from collections import Counter

from aioprometheus import Gauge, Registry

from ..membership import Membership
from ..membership.records import MemberState
from ..peers import PeerClient
from .replicator import Replicator

__all__ = ["ReplicationReport"]

NEVER_CONFIRMED_AGE_S = -1.0


class ReplicationReport:
    """Gauges that are updated when the metrics are read."""

    def __init__(
        self,
        registry: Registry,
        membership: Membership,
        replicator: Replicator,
        peers: PeerClient,
    ) -> None:
        self._membership = membership
        self._replicator = replicator
        self._peers = peers
        self._members = Gauge(
            "dogwoodtack_members",
            "Entry hosts this one knows, by what it believes of them.",
            registry=registry,
        )
        self._cut_off = Gauge(
            "dogwoodtack_cut_off",
            "1 while neither the store nor any peer is reached.",
            registry=registry,
        )
        self._age = Gauge(
            "dogwoodtack_config_age_seconds",
            "Seconds since any entry host heard from the store, -1 for never.",
            registry=registry,
        )
        self._objects = Gauge(
            "dogwoodtack_config_objects",
            "Configuration objects held, deleted ones among them.",
            registry=registry,
        )
        self._watcher = Gauge(
            "dogwoodtack_store_watcher",
            "1 while this entry host follows the store for others.",
            registry=registry,
        )
        self._peer_calls = Gauge(
            "dogwoodtack_peer_calls",
            "Calls made to other entry hosts since the start, by area.",
            registry=registry,
        )

    def update(self) -> None:
        """Set all gauges to their current values."""
        states = Counter(record.state for record in self._membership.records())
        for state in MemberState:
            self._members.set({"state": str(state)}, states[state])
        self._cut_off.set({}, int(self._membership.is_cut_off()))
        status = self._replicator.status()
        age_s = status["age_s"]
        self._age.set({}, NEVER_CONFIRMED_AGE_S if age_s is None else age_s)
        self._objects.set({}, status["objects"])
        self._watcher.set({}, int(status["is_watcher"]))
        for area, count in self._peers.calls_by_area.items():
            self._peer_calls.set({"area": area}, count)
