"""Feed of instances and configuration from the store, directly or through a peer."""

import random
from collections.abc import Callable
from typing import NamedTuple

from ..errors import HistoryGone, StoreError
from ..fleet import Heartbeat, PeerTable
from ..logs import log_event
from ..misc import Address
from ..placement import InstanceChange, InstanceRegistry
from ..reactor import Reactor
from ..routing import Configuration
from .relay import RelayClient, RelayedState
from .updates import ConfigurationUpdate, InstanceUpdates, Source

__all__ = ["Feed", "FeedCallbacks"]

# Longest wait of a watch. A longer silence would prove nothing: its connection may be
# dead.
WATCH_WAIT_S = 0.8
RETRY_S = 0.25
# A starting host waits this long for each higher-ranked host, so that those read the
# store first: a read takes some milliseconds, and a heartbeat and a response to a
# relay request hardly more.
STARTUP_STAGGER_S = 0.1
MAX_STAGGER_STEPS = 6
# Changes come in bursts; a pause lets one call return several.
BATCH_PAUSE_S = 0.1
# Longest retry delays while the store is unreachable: the zone's highest-ranked host
# and hosts that aren't synced retry often, the others seldom.
MAX_RETRY_S = 0.5
FOLLOWER_MAX_RETRY_S = 2.0
FOLLOW_CHECK_S = 0.5
# Entries that expired during a store outage are written again within this time.
RECOVERY_GRACE_S = 2.2
# Consecutive failed calls after which the store counts as lost.
LOST_AFTER_FAILURES = 2


class FeedCallbacks(NamedTuple):
    """Callbacks for changes.

    Attributes:
        on_configuration: called with a newer configuration once it is in force.
        on_instances: called with the instance changes that were not known before.
    """

    on_configuration: Callable[[Configuration], None]
    on_instances: Callable[[list[InstanceChange]], None]


class Feed:
    """Follow the store, or the peer that reads it for the zone.

    One host of a zone watches the store.  The others read from a peer over the relay
    whatever the peer's heartbeats announce as newer.  A host that knows no peer with
    fresh store data reads the store itself.

    Args:
        reactor: runs timers.
        source: the store.
        relay_client: reads the state of a peer.
        peer_table: the zone's hosts; determines who reads the store.
        registry: receives the changes of instances.
        rng: spreads retries and reads over time.
        callbacks: called for changes.
    """

    def __init__(
        self,
        reactor: Reactor,
        source: Source,
        relay_client: RelayClient,
        peer_table: PeerTable,
        registry: InstanceRegistry,
        rng: random.Random,
        callbacks: FeedCallbacks,
    ) -> None:
        self._reactor = reactor
        self._source = source
        self._relay_client = relay_client
        self._peer_table = peer_table
        self._rng = rng
        self._callbacks = callbacks
        self.registry = registry
        self.configuration: Configuration | None = None
        self._configuration_revision = 0
        self._is_pulling = False
        self._store_seen_at = -1e9
        self._failures = 0
        self._recovering_until = -1e9
        self._needs_snapshot = True
        self._has_snapshot = False
        # Whether removals were not applied because the store had just come back.
        self._has_withheld_removals = False

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, or 0 for none."""
        return self.configuration.version if self.configuration else 0

    @property
    def is_synced(self) -> bool:
        """Return whether a configuration and a snapshot of instances are known."""
        return self.configuration is not None and self._has_snapshot

    def sync_status(self) -> tuple[int, int, float]:
        """Return version, revision, and seconds since the store last responded."""
        age_s = self._reactor.clock.monotonic() - self._store_seen_at
        return self.version, self.registry.revision, min(age_s, 1e6)

    def begin(self) -> None:
        """Read the full state from a peer or the store, then follow changes."""
        steps = min(self._peer_table.rank_among_known(), MAX_STAGGER_STEPS)
        wait_s = STARTUP_STAGGER_S * (steps + 0.2)
        self._reactor.call_later(wait_s, self._sync_instances)
        self._reactor.call_later(wait_s, self._sync_configuration)

    def _follows_peer(self) -> bool:
        if not self.is_synced:
            return False
        return (
            self._peer_table.store_reader(self._reactor.clock.monotonic()) is not None
        )

    # Instances.

    def _sync_instances(self) -> None:
        if self._is_relist_due():
            self._needs_snapshot = True
        elif self._follows_peer():
            self._reactor.call_later(FOLLOW_CHECK_S, self._sync_instances)
            return
        if self._needs_snapshot:
            self._source.read_instances(self._on_instance_updates)
        else:
            revision = self.registry.revision
            self._source.watch_instances(
                revision, WATCH_WAIT_S, self._on_instance_updates
            )

    def _on_instance_updates(
        self, updates: InstanceUpdates | None, exc: StoreError | None
    ) -> None:
        if updates is None:
            self._needs_snapshot = True
            self._record_failure(exc)
            self._reactor.call_later(self._retry_delay_s(), self._sync_instances)
            return
        self._record_contact()
        self._apply_updates(updates)
        self._reactor.call_later(BATCH_PAUSE_S, self._sync_instances)

    def _is_relist_due(self) -> bool:
        """Return whether withheld removals have to be checked now.

        Peers send only what is newer than this host's revision, which withheld
        removals are not.  So the host reads the store itself until it succeeds.
        """
        now = self._reactor.clock.monotonic()
        return self._has_withheld_removals and now >= self._recovering_until

    def _apply_updates(self, updates: InstanceUpdates) -> None:
        changes = updates.changes
        if updates.is_snapshot:
            changes = changes + self._find_removals(changes, updates.revision)
            self._needs_snapshot = False
            self._has_snapshot = True
            self._has_withheld_removals = False
        if self._reactor.clock.monotonic() < self._recovering_until:
            changes = self._withhold_removals(changes, updates)
        elif updates.is_snapshot:
            self.registry.record_full_snapshot(updates.revision)
        self._apply_changes(changes, updates.revision)

    def _withhold_removals(
        self, changes: list[InstanceChange], updates: InstanceUpdates
    ) -> list[InstanceChange]:
        """Return the changes that are applied even just after a store outage.

        A snapshot has to be read again later in any case: it lacks entries that
        expired during the outage, and this host may be new and know none of them.
        """
        accepted = [change for change in changes if change.instance is not None]
        withheld_count = len(changes) - len(accepted)
        if withheld_count:
            log_event(
                "instances-held",
                count=withheld_count,
                revision=updates.revision,
            )
        self._has_withheld_removals = (
            self._has_withheld_removals or updates.is_snapshot or withheld_count > 0
        )
        return accepted

    def _find_removals(
        self, changes: list[InstanceChange], revision: int
    ) -> list[InstanceChange]:
        """Return removals of the known instances that a snapshot does not list."""
        present = {change.id for change in changes}
        return self.registry.find_removed(present, revision)

    def _apply_changes(self, changes: list[InstanceChange], revision: int) -> None:
        applied = self.registry.apply(changes, revision)
        if not applied:
            return
        for change in applied:
            instance = change.instance
            state = (
                "gone"
                if instance is None
                else "leaving" if instance.is_draining else "ready"
            )
            log_event(
                "instance-standing",
                instance=change.id,
                state=state,
                revision=change.revision,
            )
        self._callbacks.on_instances(applied)

    # Configuration.

    def _sync_configuration(self) -> None:
        if self._follows_peer():
            self._reactor.call_later(FOLLOW_CHECK_S, self._sync_configuration)
        elif not self._configuration_revision:
            self._source.read_configuration(self._on_configuration_update)
        else:
            after = self._configuration_revision
            self._source.watch_configuration(
                after, WATCH_WAIT_S, self._on_configuration_update
            )

    def _on_configuration_update(
        self, update: ConfigurationUpdate | None, exc: StoreError | None
    ) -> None:
        if update is None:
            # Read the full configuration next, as the watch history may be gone.
            self._configuration_revision = 0
            self._record_failure(exc)
            self._reactor.call_later(self._retry_delay_s(), self._sync_configuration)
            return
        self._record_contact()
        self._configuration_revision = update.revision
        self._apply_configuration(update.configuration)
        delay_s = BATCH_PAUSE_S if self.configuration else RETRY_S
        self._reactor.call_later(delay_s, self._sync_configuration)

    def _apply_configuration(self, configuration: Configuration | None) -> None:
        """Put a configuration in force if it is newer than the current one."""
        if configuration is None or configuration.version <= self.version:
            return
        log_event(
            "configuration",
            version=configuration.version,
            before=self.version,
            routes=len(configuration.routes),
        )
        self.configuration = configuration
        self._callbacks.on_configuration(configuration)

    # Peers.

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Read from a peer what its heartbeat announces as newer.

        Without a snapshot of its own, this host reads from any peer.
        """
        is_newer = heartbeat.version > self.version or (
            self._has_snapshot and heartbeat.revision > self.registry.revision
        )
        if not is_newer and self._has_snapshot:
            return
        if self._is_pulling:
            return
        self._is_pulling = True
        pause_s = BATCH_PAUSE_S * self._rng.random() if self._has_snapshot else 0.0
        self._reactor.call_later(pause_s, self._pull, heartbeat.host.relay_address)

    def _pull(self, address: Address) -> None:
        after = self.registry.revision if self._has_snapshot else 0
        self._relay_client.read(address, after, self.version, self._on_relayed)

    def _on_relayed(self, state: RelayedState | None) -> None:
        self._is_pulling = False
        if state is None:
            return
        if state.is_peer_synced:
            self._has_snapshot = True
        changes = state.changes
        if state.is_snapshot:
            changes = changes + self._find_removals(changes, state.revision)
            self.registry.record_full_snapshot(state.revision)
        self._apply_changes(changes, state.revision)
        self._apply_configuration(state.configuration)

    # Contact with the store.

    def _retry_delay_s(self) -> float:
        """Return the delay in seconds before the next call to a failed store."""
        max_s = MAX_RETRY_S
        if self.is_synced and not self._peer_table.is_highest_ranked(
            self._reactor.clock.monotonic()
        ):
            max_s = FOLLOWER_MAX_RETRY_S
        pause_s = min(max_s, RETRY_S * 2.0 ** min(self._failures - 1, 8))
        return pause_s * (0.5 + self._rng.random())

    def _record_contact(self) -> None:
        now = self._reactor.clock.monotonic()
        if self._failures >= LOST_AFTER_FAILURES:
            self._recovering_until = now + RECOVERY_GRACE_S
            log_event("store-regained", failures=self._failures)
        self._failures = 0
        self._store_seen_at = now

    def _record_failure(self, exc: StoreError | None) -> None:
        if isinstance(exc, HistoryGone):
            # The store responded; it only lacks the requested watch history.
            log_event("store-history-gone", revision=self.registry.revision)
            return
        self._failures += 1
        if self._failures == LOST_AFTER_FAILURES:
            log_event("store-lost", level="WARNING", error=str(exc))
