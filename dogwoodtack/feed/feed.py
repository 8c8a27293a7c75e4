"""Feed of instances and configuration from the store, directly or through a peer."""

import functools
import math
import random
from collections.abc import Callable
from typing import NamedTuple

from ..confirmation import ConfigurationConfirmer, OnConfirmed
from ..errors import EndedEra, HistoryGone, StoreError
from ..fleet import MAX_STORE_AGE_S, Heartbeat, PeerTable
from ..logs import log_event
from ..misc import Address
from ..placement import InstanceChange, InstanceRegistry
from ..position import START_POSITION, StorePosition
from ..reactor import Reactor
from ..routing import Configuration
from .alternatives import StaggeredAttempts, Way
from .call_loop import CallLoop
from .relay import RelayClient, RelayedState
from .updates import ConfigurationUpdate, InstanceUpdates, Source

__all__ = ["Feed", "FeedCallbacks"]

# Stands for the age of what was never read.
MAX_AGE_S = 1e6

# Longest wait of a watch. A longer silence would prove nothing: its connection may be
# dead.
WATCH_WAIT_S = 0.8
# The wait of a watch whose response is needed for more than its changes.
SHORT_WATCH_WAIT_S = 0.1
RETRY_S = 0.25
# A starting host waits this long for each higher-ranked host, so that those read the
# store first: a read takes some milliseconds, and a heartbeat and a response to a
# relay request hardly more.
STARTUP_STAGGER_S = 0.1
MAX_STAGGER_STEPS = 6
# Calls of a host without a usable configuration: after some of the usual kind it waits
# for an operator, which takes minutes.  17 hosts that went on as fast made 2,168 calls
# in a day.
EAGER_TRIES = 5
UNCONFIGURED_INTERVAL_S = 2.0
UNCONFIGURED_SPREAD = 0.1
# Changes come in bursts; a pause lets one call return several.
BATCH_PAUSE_S = 0.1
# Longest retry delays while the store is unreachable: the zone's highest-ranked host
# and hosts that aren't synced retry often, the others seldom.
MAX_RETRY_S = 0.5
FOLLOWER_MAX_RETRY_S = 2.0
FOLLOW_CHECK_S = 0.25
# A read from a peer ends sooner; after this time its reply counts as lost.
OVERDUE_PULL_S = 1.0
# Entries that expired during a store outage, or that a restored copy lacks, are written
# again within this time.
RECOVERY_GRACE_S = 2.2
# The store may have been away if no host of the zone has heard from it for so long. A
# host that takes over for one that has lost its path hears from it sooner.
MAX_CONTACT_GAP_S = MAX_STORE_AGE_S + FOLLOW_CHECK_S + 0.25
# Requests that wait for a confirmation are told after this time that there is none, and
# the next ones at once; other hosts may reach the store again sooner than this one.
MAX_CONFIRMATION_BACKOFF_S = 1.0
# Consecutive failed calls after which the store counts as lost.
LOST_AFTER_FAILURES = 2


class FeedCallbacks(NamedTuple):
    """Callbacks for changes.

    Attributes:
        on_configuration: called with a newer configuration once it is in force.
        on_instances: called with the instance changes that were not known before.
        on_synced: called once, when a configuration and a snapshot of instances are
            known; neither has to change anything at that time.
        on_store_restored: called when the store has come back from an older copy,
            which may lack what this host or its peers wrote.
    """

    on_configuration: Callable[[Configuration], None]
    on_instances: Callable[[list[InstanceChange]], None]
    on_synced: Callable[[], None]
    on_store_restored: Callable[[], None]


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

    Attributes:
        registry: the known instances.
        configuration: the configuration in force, if any.
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
        self._configuration_position: StorePosition | None = None
        self._era = START_POSITION.era
        self._has_begun = False
        self._instances_loop = CallLoop(reactor, self._sync_instances)
        self._configuration_loop = CallLoop(reactor, self._sync_configuration)
        # Reads for requests here, and reads of the store for all hosts that ask.
        self._confirmer = ConfigurationConfirmer(
            reactor, self._confirm_anywhere, MAX_CONFIRMATION_BACKOFF_S
        )
        self._store_confirmer = ConfigurationConfirmer(reactor, self._read_newest)
        # A read from a peer is under way at most until then.
        self._pull_ends_by = -math.inf
        # Calls that showed no usable configuration while none was known.
        self._vain_tries = 0
        # The newest version that a peer knows but can't pass on whole, and the newest
        # of those for which the store was read since.
        self._partial_version = 0
        self._settled_version = 0
        # The version that each peer has shown not to pass on whole.
        self._partial_peers: dict[Address, int] = {}
        self._store_seen_at = -math.inf
        # When the store last responded to any host of the zone.
        self._zone_contact_at = -math.inf
        self._instances_seen_at = -math.inf
        self._failures = 0
        self._recovering_until = -math.inf
        # Until when a peer withholds removals because it has lost contact itself.
        self._peer_recovering_until = -math.inf
        self._needs_snapshot = True
        self._has_snapshot = False
        self._has_reported_sync = False
        # Whether removals were not applied because the store had just come back, as
        # read from the store itself or from a peer.
        self._has_withheld_removals = False
        self._has_withheld_peer_removals = False

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, or 0 for none."""
        return self.configuration.version if self.configuration else 0

    @property
    def is_synced(self) -> bool:
        """Return whether a configuration and a snapshot of instances are known."""
        return self.configuration is not None and self._has_snapshot

    @property
    def reads_store(self) -> bool:
        """Return whether this host reads the store itself, and not from a peer."""
        return not self._follows_peer()

    @property
    def withholds_removals(self) -> bool:
        """Return whether known instances may be missing from what was last read."""
        return self._has_withheld_removals or self._has_withheld_peer_removals

    @property
    def instances_age_s(self) -> float:
        """Return the seconds since instances were read from the store or a peer."""
        age_s = self._reactor.clock.monotonic() - self._instances_seen_at
        return min(age_s, MAX_AGE_S)

    def _report_sync(self) -> None:
        if self.is_synced and not self._has_reported_sync:
            self._has_reported_sync = True
            self._callbacks.on_synced()

    def sync_status(self) -> tuple[int, StorePosition, float]:
        """Return version, position, and seconds since the store last responded."""
        age_s = self._reactor.clock.monotonic() - self._store_seen_at
        return self.version, self.registry.position, min(age_s, MAX_AGE_S)

    def begin(self) -> None:
        """Read the full state from a peer or the store, then follow changes.

        Further calls have no effect.
        """
        if self._has_begun:
            return
        self._has_begun = True
        steps = min(self._peer_table.rank_among_known(), MAX_STAGGER_STEPS)
        wait_s = STARTUP_STAGGER_S * (steps + 0.2)
        self._instances_loop.schedule(wait_s)
        self._configuration_loop.schedule(wait_s)

    def _follows_peer(self) -> bool:
        now = self._reactor.clock.monotonic()
        if not self.is_synced:
            return False
        if now < self._peer_recovering_until and not self._is_recovering():
            # The peer withholds removals that this host can read at once.
            return False
        return self._peer_table.store_reader(now) is not None

    # A configuration that is not known.

    def _is_waiting_for_operator(self) -> bool:
        """Return whether only a new version can make this host's configuration known.

        Calls for it are the only ones to the store then.  Instances that are known
        have no use yet, and are brought up to date once it is there.
        """
        return self.configuration is None and self._vain_tries >= EAGER_TRIES

    def _record_try(self) -> None:
        """Count a call for the configuration that has left it unknown."""
        if self.configuration is None:
            self._vain_tries += 1

    def _pace(self, delay_s: float) -> float:
        """Return the delay in seconds before the next call for the configuration."""
        if not self._is_waiting_for_operator():
            return delay_s
        # Spread, as all hosts of a fleet may wait since the same moment.
        spread = 1.0 + UNCONFIGURED_SPREAD * self._rng.random()
        return max(delay_s, UNCONFIGURED_INTERVAL_S * spread)

    def _is_owed_by_store(self) -> bool:
        """Return whether a peer knows a version that only the store can tell whole."""
        known = max(self.version, self._settled_version)
        return self._partial_version > known

    def _on_partial_configuration(self, version: int) -> None:
        """Read a version from the store that a peer can't pass on."""
        if version <= self._partial_version:
            # A read for it has begun and is repeated until it succeeds.
            return
        self._partial_version = version
        self._configuration_position = None
        # Begins a call at once, so that a reply to an earlier one doesn't settle it.
        self._sync_configuration()

    # Instances.

    def _sync_instances(self) -> None:
        if self._is_waiting_for_operator():
            self._instances_loop.schedule(FOLLOW_CHECK_S)
            return
        if self._is_relist_due():
            self._needs_snapshot = True
        elif self._follows_peer():
            self._instances_loop.schedule(FOLLOW_CHECK_S)
            return
        call = self._instances_loop.begin_call()
        on_done = functools.partial(self._on_instance_updates, call)
        if self._needs_snapshot:
            self._source.read_instances(on_done)
        else:
            position = self.registry.position
            self._source.watch_instances(position, self._watch_wait_s(), on_done)

    def _watch_wait_s(self) -> float:
        """Return for how long the next watch of instances may wait."""
        now = self._reactor.clock.monotonic()
        if now - self._store_seen_at > 2 * WATCH_WAIT_S:
            # Peers learn soon that the store is there, also if nothing has changed.
            return SHORT_WATCH_WAIT_S
        if self._has_withheld_removals:
            return min(WATCH_WAIT_S, max(SHORT_WATCH_WAIT_S, self._grace_left_s()))
        return WATCH_WAIT_S

    def _on_instance_updates(
        self, call: int, updates: InstanceUpdates | None, exc: StoreError | None
    ) -> None:
        is_latest = self._instances_loop.is_latest(call)
        if updates is None:
            if not is_latest:
                return
            self._needs_snapshot = True
            self._record_failure(exc)
            self._instances_loop.schedule(self._retry_delay_s())
            return
        if is_latest:
            # Scheduled first, so that the feed goes on if applying the updates fails.
            self._instances_loop.schedule(BATCH_PAUSE_S)
        self._record_contact(self._configuration_loop)
        self._instances_seen_at = self._store_seen_at
        self._observe_era(updates.position.era)
        self._apply_updates(updates)
        self._report_sync()

    def _is_relist_due(self) -> bool:
        """Return whether withheld removals have to be checked now.

        Peers send only what is newer than this host's position, which withheld
        removals are not.  So the host reads the store itself until it succeeds.
        """
        return self._has_withheld_removals and not self._is_recovering()

    def recovery_left_s(self) -> float:
        """Return how many more seconds removals may be unknown here."""
        left_s = self._grace_left_s()
        return max(left_s, BATCH_PAUSE_S) if self._has_withheld_removals else left_s

    def _grace_left_s(self) -> float:
        """Return how many more seconds entries may be missing in the store."""
        return max(0.0, self._recovering_until - self._reactor.clock.monotonic())

    def _is_recovering(self) -> bool:
        """Return whether entries may be missing as the store has just come back."""
        return self._reactor.clock.monotonic() < self._recovering_until

    def _apply_updates(self, updates: InstanceUpdates) -> None:
        changes = updates.changes
        is_recheck = updates.is_snapshot and self._has_withheld_removals
        if updates.is_snapshot:
            changes = changes + self._find_removals(changes, updates.position)
            self._needs_snapshot = False
            self._has_snapshot = True
            self._has_withheld_removals = False
        if self._is_recovering():
            changes = self._withhold_removals(changes, updates)
        elif updates.is_snapshot:
            self._record_full_snapshot(updates.position, is_recheck)
        self._apply_changes(changes, updates.position)

    def _record_full_snapshot(self, position: StorePosition, is_recheck: bool) -> None:
        """Record a snapshot whose removals are applied.

        While they were withheld, followers may have read changes up to this position
        and hold instances that this host never knew.  They get the full state with
        the next change.
        """
        if is_recheck:
            position = position._replace(revision=position.revision + 1)
        self.registry.record_full_snapshot(position)

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
                era=updates.position.era,
                revision=updates.position.revision,
            )
        self._has_withheld_removals = (
            self._has_withheld_removals or updates.is_snapshot or withheld_count > 0
        )
        return accepted

    def _find_removals(
        self, changes: list[InstanceChange], position: StorePosition
    ) -> list[InstanceChange]:
        """Return removals of the known instances that a snapshot does not list."""
        present = {change.id for change in changes}
        return self.registry.find_removed(present, position)

    def _apply_changes(
        self, changes: list[InstanceChange], position: StorePosition
    ) -> None:
        applied = self.registry.apply(changes, position)
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
                era=change.position.era,
                revision=change.position.revision,
            )
        self._callbacks.on_instances(applied)

    # Configuration.

    def _sync_configuration(self) -> None:
        if self._follows_peer() and not self._is_owed_by_store():
            self._configuration_loop.schedule(FOLLOW_CHECK_S)
            return
        call = self._configuration_loop.begin_call()
        on_done = functools.partial(self._on_configuration_update, call)
        if self._configuration_position is None:
            self._source.read_configuration(on_done)
        else:
            after = self._configuration_position
            self._source.watch_configuration(after, WATCH_WAIT_S, on_done)

    def _on_configuration_update(
        self, call: int, update: ConfigurationUpdate | None, exc: StoreError | None
    ) -> None:
        is_latest = self._configuration_loop.is_latest(call)
        if update is None:
            if not is_latest:
                return
            # Read the full configuration next, as the watch history may be gone.
            self._configuration_position = None
            self._record_failure(exc)
            self._record_try()
            self._configuration_loop.schedule(self._pace(self._retry_delay_s()))
            return
        if update.configuration is None:
            self._record_try()
        is_known = self.configuration is not None or update.configuration is not None
        if is_latest:
            # Scheduled first, so that the feed goes on if applying the update fails.
            delay_s = BATCH_PAUSE_S if is_known else self._pace(RETRY_S)
            self._configuration_loop.schedule(delay_s)
            self._settled_version = self._partial_version
        self._record_contact(self._instances_loop)
        self._observe_era(update.position.era)
        self._configuration_position = update.position
        self._apply_configuration(update.configuration)
        self._report_sync()

    def confirm_configuration(self, on_done: OnConfirmed) -> None:
        """Make sure that the newest configuration is known here.

        Args:
            on_done: called with whether the store has shown, from now on, that none is
                newer than the one then in force here.
        """
        self._confirmer.confirm(on_done)

    def confirm_at_store(self, on_done: OnConfirmed) -> None:
        """Do the same by a read of the store from here, for a request of any host.

        Args:
            on_done: called with whether it is known.
        """
        self._store_confirmer.confirm(on_done)

    def _confirm_anywhere(self, on_done: OnConfirmed) -> None:
        StaggeredAttempts(self._reactor, self._ways_to_confirm(), on_done).begin_next()

    def _ways_to_confirm(self) -> list[Way]:
        """Return how to learn the newest configuration, the cheapest way first.

        The zone's reader makes one call to the store for all hosts that ask it.  Where
        that or the own path to the store fails, other hosts may still reach it.
        """
        now = self._reactor.clock.monotonic()
        addresses = self._peer_table.confirming_addresses(now, self._rng)
        ways: list[Way] = [
            functools.partial(self._confirm_through, address) for address in addresses
        ]
        ways.insert(1 if self._follows_peer() else 0, self.confirm_at_store)
        return ways

    def _confirm_through(self, address: Address, on_done: OnConfirmed) -> None:
        def on_reply(is_confirmed: bool, configuration: Configuration | None) -> None:
            self._apply_configuration(configuration)
            on_done(is_confirmed)

        self._relay_client.confirm(address, self.version, on_reply)

    def _read_newest(self, on_done: OnConfirmed) -> None:
        def on_update(
            update: ConfigurationUpdate | None, exc: StoreError | None
        ) -> None:
            if update is None or update.configuration is None:
                on_done(False)
                return
            self._observe_era(update.position.era)
            self._apply_configuration(update.configuration)
            on_done(True)

        self._source.read_configuration(on_update)

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
        is_first = self.configuration is None
        self.configuration = configuration
        self._partial_peers.clear()
        if is_first and self._vain_tries >= EAGER_TRIES:
            self._instances_loop.schedule(0.0)
        self._callbacks.on_configuration(configuration)

    # Peers.

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Read from a peer what its heartbeat announces as newer.

        Without a snapshot of its own, this host reads from any peer.
        """
        if heartbeat.store_age_s < MAX_AGE_S:
            now = self._reactor.clock.monotonic()
            self._observe_contact(now - heartbeat.store_age_s)
        position = self.registry.position
        is_newer = (
            self._has_newer_version(heartbeat)
            or heartbeat.position > position
            or (self._is_full_pull_due() and heartbeat.position == position)
        )
        if not is_newer and self._has_snapshot:
            return
        now = self._reactor.clock.monotonic()
        if now < self._pull_ends_by:
            return
        pause_s = BATCH_PAUSE_S * self._rng.random() if self._has_snapshot else 0.0
        self._pull_ends_by = now + pause_s + OVERDUE_PULL_S
        self._reactor.call_later(pause_s, self._pull, heartbeat.host.relay_address)

    def _has_newer_version(self, heartbeat: Heartbeat) -> bool:
        """Return whether a peer may pass on a newer configuration."""
        version = heartbeat.version
        is_partial = self._partial_peers.get(heartbeat.host.relay_address) == version
        return version > self.version and not is_partial

    def _is_full_pull_due(self) -> bool:
        """Return whether removals in a peer's state were withheld and are due."""
        return self._has_withheld_peer_removals and not self._is_recovering()

    def _pull(self, address: Address) -> None:
        needs_all = not self._has_snapshot or self._is_full_pull_due()
        after = START_POSITION if needs_all else self.registry.position
        on_done = functools.partial(self._on_relayed, address)
        self._relay_client.read(address, after, self.version, on_done)

    def _on_relayed(self, address: Address, state: RelayedState | None) -> None:
        self._pull_ends_by = -math.inf
        if state is None:
            return
        if state.position.era < self._era:
            log_event("relay-outdated", era=state.position.era, known_era=self._era)
        else:
            self._apply_peer_instances(state)
        self._apply_configuration(state.configuration)
        if state.partial_version > self.version:
            self._partial_peers[address] = state.partial_version
            self._on_partial_configuration(state.partial_version)
        self._report_sync()

    def _apply_peer_instances(self, state: RelayedState) -> None:
        self._observe_era(state.position.era)
        self._instances_seen_at = self._reactor.clock.monotonic()
        if not self._has_snapshot:
            # The peer may know instances that the store does not list again yet.
            peer_until = self._reactor.clock.monotonic() + state.recovery_left_s
            self._recovering_until = max(self._recovering_until, peer_until)
        if state.is_peer_synced:
            self._has_snapshot = True
        changes = state.changes
        if self._is_full_pull_due():
            self._has_withheld_peer_removals = False
        if state.is_snapshot:
            changes = changes + self._find_peer_removals(state)
        self._apply_changes(changes, self._position_after(state))

    def _position_after(self, state: RelayedState) -> StorePosition:
        """Return up to where all changes are known with a peer's state.

        While the peer withholds removals, this is not the peer's position: it applies
        them later as of that position, and would not be read from again.
        """
        if not state.recovery_left_s:
            return state.position
        now = self._reactor.clock.monotonic()
        self._peer_recovering_until = now + state.recovery_left_s
        return self.registry.position

    def _find_peer_removals(self, state: RelayedState) -> list[InstanceChange]:
        """Return removals of the known instances that a peer's full state lacks.

        They are withheld while this host recovers: a peer that started after the store
        came back knows only the entries that have been written again since.
        """
        removals = self._find_removals(state.changes, state.position)
        if self._is_recovering():
            log_event(
                "instances-held",
                count=len(removals),
                era=state.position.era,
                revision=state.position.revision,
            )
            self._has_withheld_peer_removals = True
            return []
        if not state.recovery_left_s:
            self.registry.record_full_snapshot(state.position)
        return removals

    # The store's era.

    def _observe_era(self, era: int) -> None:
        """Prepare for a copy of the store that lacks the latest writes.

        Args:
            era: the era of an answer or of a peer's state, from the current one on.
        """
        if era <= self._era:
            return
        is_restored = self._has_snapshot or self.configuration is not None
        self._era = era
        self._source.observe_era(era)
        if not is_restored:
            return
        position = self.registry.position
        log_event(
            "store-restored",
            level="WARNING",
            era=era,
            last_era=position.era,
            last_revision=position.revision,
        )
        self._recovering_until = self._reactor.clock.monotonic() + RECOVERY_GRACE_S
        self._needs_snapshot = True
        self._configuration_position = None
        self._partial_version = self._settled_version = 0
        self._callbacks.on_store_restored()

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

    def _record_contact(self, other_loop: CallLoop) -> None:
        """Record that the store has responded.

        Args:
            other_loop: the loop that did not make the call.
        """
        now = self._reactor.clock.monotonic()
        if self._failures >= LOST_AFTER_FAILURES:
            # Its call may still wait on a connection that has been dead since.
            other_loop.schedule(0.0)
            age_s = min(now - self._zone_contact_at, MAX_AGE_S)
            log_event("store-regained", failures=self._failures, zone_age_s=age_s)
            if self._zone_contact_at == -math.inf:
                # This host has started in the meantime.
                self._recovering_until = now + RECOVERY_GRACE_S
        self._failures = 0
        self._store_confirmer.end_backoff()
        self._store_seen_at = now
        self._observe_contact(now)

    def _observe_contact(self, at: float) -> None:
        """Record when the store responded to a host of the zone.

        If it has responded to none for long, it was away, and live instances may be
        missing in it for a while.  Otherwise only paths to it were lost.
        """
        if at <= self._zone_contact_at:
            return
        self._confirmer.end_backoff()
        gap_s = at - self._zone_contact_at
        self._zone_contact_at = at
        max_gap_s = MAX_CONTACT_GAP_S
        if self.configuration is None:
            max_gap_s += UNCONFIGURED_INTERVAL_S * (1.0 + UNCONFIGURED_SPREAD)
        if max_gap_s < gap_s < math.inf:
            until = at + RECOVERY_GRACE_S
            self._recovering_until = max(self._recovering_until, until)
            log_event("store-was-away", seconds=gap_s)

    def _record_failure(self, exc: StoreError | None) -> None:
        if isinstance(exc, (EndedEra, HistoryGone)):
            # The store responded, but not with its state or changes as of now.
            position = self.registry.position
            log_event(
                "store-history-gone",
                error=str(exc),
                era=position.era,
                revision=position.revision,
            )
            return
        self._failures += 1
        if self._failures == LOST_AFTER_FAILURES:
            log_event("store-lost", level="WARNING", error=str(exc))
