"""This host's part in its zone: signs of life, and news of instances."""

from collections.abc import Callable
from functools import singledispatchmethod

from ..misc import Address
from ..placement import Observation, Placer
from ..reactor import Reactor
from .datagrams import Datagrams
from .gateways import ZoneGateways
from .peers import PeerTable
from .records import (
    Heartbeat,
    HostRecord,
    InstanceReport,
    Message,
    PeerReport,
    ZoneReport,
)
from .report_batch import ReportBatch

__all__ = ["Fleet", "GetSyncStatus"]

# Remote load older than this misleads more than it helps at these work times.
DIGEST_S = 0.25
SPEAKER_CHECK_S = 1.0
# News of good outcomes wait this long for others; bad ones go at once.
NEWS_DELAY_S = 0.01

# Returns configuration version, instances' revision, and the store's age in seconds.
GetSyncStatus = Callable[[], tuple[int, int, float]]


class Fleet:
    """Send beats and news, and take in those of other hosts."""

    def __init__(
        self,
        reactor: Reactor,
        peer_table: PeerTable,
        placer: Placer,
        knowledge: GetSyncStatus,
        on_beat: Callable[[Heartbeat], None],
    ) -> None:
        self._reactor = reactor
        self._peer_table = peer_table
        self._placer = placer
        self._knowledge = knowledge
        self._on_beat = on_beat
        self._news = ReportBatch()
        self._contacts = ZoneGateways(peer_table.local_host.zone)
        me = peer_table.local_host
        self._datagrams = Datagrams(reactor, me.peer_address, self._on_message)

    def begin(self) -> None:
        """Begin to send beats and, as a zone's first host, digests."""
        self._heartbeat()
        self._digest()

    def introduce(self, addresses: list[Address]) -> None:
        """Tell hosts that do not know this one of it."""
        self._datagrams.send(self._own_heartbeat(), addresses)

    def serving_hosts(self) -> list[HostRecord]:
        """Return the hosts that callers of the zone are sent to."""
        now = self._reactor.clock.monotonic()
        return self._peer_table.serving_hosts(self._zone_slots(), now)

    def _zone_slots(self) -> int:
        return self._placer.registry.slots_in(self._peer_table.local_host.zone)

    def is_zone_gateway(self) -> bool:
        """Return whether this host speaks for its zone."""
        serving = self.serving_hosts()
        return bool(serving) and serving[0] == self._peer_table.local_host

    def _heartbeat_interval_s(self) -> float:
        now = self._reactor.clock.monotonic()
        return self._peer_table.heartbeat_interval_s(self._zone_slots(), now)

    def _own_heartbeat(self) -> Heartbeat:
        version, revision, age_s = self._knowledge()
        return Heartbeat(
            self._peer_table.local_host,
            self._peer_table.is_ready,
            version,
            revision,
            age_s,
            self._heartbeat_interval_s(),
            dict(self._placer.occupancy.own),
        )

    def _heartbeat(self) -> None:
        self._reactor.call_later(self._heartbeat_interval_s(), self._heartbeat)
        now = self._reactor.clock.monotonic()
        self._placer.occupancy.drop_stale(now)
        self.count_competing_hosts()
        self.send_heartbeat()
        self._placer.dispatch_queued(now)

    def count_competing_hosts(self) -> None:
        """Tell the placer how many hosts share slots and the retry budget.

        A host that no caller is sent to gets only stray requests, and has no part
        in the slack of the retry budget.
        """
        serving = self.serving_hosts()
        zones = self._placer.registry.zones()
        self._placer.competing_hosts = max(1, len(serving))
        is_serving = self._peer_table.local_host in serving
        self._placer.retry_budget_hosts = (
            len(serving) * max(1, len(zones)) if is_serving else 0
        )

    def _digest(self) -> None:
        """Tell the other zones of this one, if this host speaks for it."""
        is_speaker = self.is_zone_gateway()
        wait_s = DIGEST_S if is_speaker else SPEAKER_CHECK_S
        self._reactor.call_later(wait_s, self._digest)
        if not is_speaker:
            return
        now = self._reactor.clock.monotonic()
        me = self._peer_table.local_host
        digest = ZoneReport(
            me.zone,
            me.peer_address,
            self._placer.occupancy.own_zone_counts(),
            self._placer.unhealthy_percentages(now),
            is_forwarded=False,
        )
        self._datagrams.send(
            digest, self._contacts.addresses(self._peer_table.known_hosts(), now)
        )

    def send_heartbeat(self) -> None:
        """Send a beat to the hosts of the zone."""
        zone = self._peer_table.local_host.zone
        peers = [
            host.peer_address
            for host in self._peer_table.known_hosts()
            if host.zone == zone
        ]
        self._datagrams.send(self._own_heartbeat(), peers)

    def report_instance(self, instance_id: str, sign: Observation | None) -> None:
        """Spread that a request of this host began or ended at an instance."""
        count = self._placer.occupancy.own.get(instance_id, 0)
        if self._news.add(InstanceReport(instance_id, count, sign)):
            self._flush()
        elif not self._news.is_due:
            self._news.is_due = True
            self._reactor.call_later(NEWS_DELAY_S, self._flush)

    def _flush(self) -> None:
        sightings = self._news.take()
        if not sightings:
            return
        news = PeerReport(self._peer_table.local_host.name, sightings)
        me = self._peer_table.local_host.name
        peers = [host.peer_address for host in self.serving_hosts() if host.name != me]
        self._datagrams.send(news, peers)

    def _on_message(self, message: Message) -> None:
        now = self._reactor.clock.monotonic()
        self._take(message, now)
        self._placer.dispatch_queued(now)

    @singledispatchmethod
    def _take(self, message: object, now: float) -> None:
        raise TypeError(f"not a message between hosts: {message!r}")

    @_take.register
    def _(self, news: PeerReport, now: float) -> None:
        for one in news.sightings:
            self._placer.occupancy.set_peer_count(
                news.host_name, one.instance_id, one.in_flight, now
            )
            if one.sign is not None:
                self._placer.health.add_peer_report(one.instance_id, one.sign, now)

    @_take.register
    def _(self, digest: ZoneReport, now: float) -> None:
        self._placer.apply_zone_report(digest.zone, digest.in_flight, digest.sick, now)
        if digest.is_forwarded:
            return
        self._contacts.on_digest(digest.zone, digest.speaker, now)
        me = self._peer_table.local_host
        peers = [host.peer_address for host in self.serving_hosts() if host != me]
        self._datagrams.send(digest._replace(is_forwarded=True), peers)

    @_take.register
    def _(self, beat: Heartbeat, now: float) -> None:
        is_new = beat.host.name not in {
            host.name for host in self._peer_table.known_hosts()
        }
        self._peer_table.on_heartbeat(beat, now)
        is_blank = not beat.revision and self._placer.registry.revision > 0
        if is_new or is_blank:
            # A host that knows nothing yet reads what the answer says is there.
            self.introduce([beat.host.peer_address])
        if beat.host.zone != self._peer_table.local_host.zone:
            return
        self._placer.occupancy.set_peer_counts(beat.host.name, beat.in_flight, now)
        self._on_beat(beat)
