"""Backend instances that a host knows, merged from all sources by store position."""

import functools
import ipaddress
from collections import Counter
from collections.abc import Iterable
from typing import Any, NamedTuple

from ..misc import Address, check_address, parse_ip
from ..position import START_POSITION, StorePosition

__all__ = [
    "EntryVersion",
    "Instance",
    "InstanceChange",
    "InstanceRegistry",
    "check_instance",
    "check_name",
]

# An instance with one of these values would attract all requests, or can't be computed
# with; no sound one has them.
MAX_NAME_CHARS = 256
# Stands for bytes that could not be read.
REPLACEMENT_CHARACTER = "\ufffd"
MAX_SLOTS = 10_000
MAX_WARMUP_S = 86_400.0
MAX_BORN_MS = 2**53
BROADCAST_ADDRESS = ipaddress.IPv4Address("255.255.255.255")


class Instance(NamedTuple):
    """One backend instance as the platform lists it.

    Attributes:
        id: its name; most starts get a new one.
        service: name of the service that it runs.
        address: address that it listens on; other instances may reuse it later.
        zone: its availability zone.
        slots: how many requests it serves at once.
        is_draining: whether it is draining and accepts no new requests.
        warmup_s: how many more seconds it is slow after its start.
        born_ms: start time in Unix milliseconds, 0 if unknown.
    """

    id: str
    service: str
    address: Address
    zone: str
    slots: int
    is_draining: bool
    warmup_s: float
    born_ms: int


def check_instance(instance: Instance) -> None:
    """Check that requests can be placed at an instance that another program describes.

    Raises:
        ValueError: a field has another type or an impossible value.
    """
    for name in (instance.id, instance.service, instance.zone):
        check_name(name)
    _check_single_machine(instance.address.host)
    check_address(instance.address)
    _check_number("slots", instance.slots, int, 1, MAX_SLOTS)
    _check_number("warmup_s", instance.warmup_s, float, 0.0, MAX_WARMUP_S)
    _check_number("born_ms", instance.born_ms, int, 0, MAX_BORN_MS)


@functools.lru_cache(maxsize=8192)
def _check_single_machine(host: str) -> None:
    ip = parse_ip(host)
    if ip.is_unspecified or ip.is_multicast or ip == BROADCAST_ADDRESS:
        raise ValueError(f"{ip} is not the address of one machine")


def check_name(name: Any) -> None:
    """Check that a text can name something in headers, paths and log lines.

    Raises:
        ValueError: it is no text, or an odd one.
    """
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_CHARS:
        raise ValueError("a name is no short text")
    if not name.isprintable() or REPLACEMENT_CHARACTER in name:
        raise ValueError("a name has unreadable characters")


def _check_number(
    name: str, value: Any, kind: type[int] | type[float], low: float, high: float
) -> None:
    is_number = isinstance(value, (int, kind)) and not isinstance(value, bool)
    if not is_number or not low <= value <= high:
        raise ValueError(f"{name} is no number from {low} to {high}")


class EntryVersion(NamedTuple):
    """How recently an instance wrote its entry; a later write compares as greater.

    Attributes:
        born_ms: start time of the instance in Unix milliseconds, 0 if unknown.
        sequence: its count of writes since then, 0 if unknown.
    """

    born_ms: int = 0
    sequence: int = 0


class InstanceChange(NamedTuple):
    """State of one instance as of a store position.

    Attributes:
        id: the instance's name.
        position: where the store had this state.
        instance: the instance, or None if it is gone.
        entry_version: version of the entry that shows the state, or of the last known
            entry of an instance that is gone.
    """

    id: str
    position: StorePosition
    instance: Instance | None
    entry_version: EntryVersion = EntryVersion()


class InstanceRegistry:
    """The newest known change of each instance.

    Changes arrive from the store and from other hosts, in any order and more
    than once; their positions decide which is newer.  A store that comes back from an
    older copy shows entries from before its return; across eras, the versions of the
    entries decide as well.
    """

    def __init__(self) -> None:
        self.position = START_POSITION
        # Removals before this position may be unknown: a full snapshot only lists the
        # instances that exist.
        self.snapshot_position = START_POSITION
        self._changes: dict[str, InstanceChange] = {}
        self._by_service: dict[str, list[Instance]] = {}
        self._zone_slots: Counter[str] = Counter()
        self._service_zones: dict[str, set[str]] = {}

    def apply(
        self, changes: Iterable[InstanceChange], position: StorePosition
    ) -> list[InstanceChange]:
        """Apply changes and return those that were new.

        Args:
            changes: changes of instances.
            position: position up to which all changes are applied with these.
        """
        new_changes = []
        for change in changes:
            known = self._changes.get(change.id)
            if known is None or _is_new(change, known):
                new_changes.append(change)
                self._changes[change.id] = change
            elif _is_confirmed(change, known):
                self._changes[change.id] = change
            self._record_entry_version(change, known)
        if new_changes:
            self._rebuild_index()
        self.position = max(self.position, position)
        return new_changes

    def _record_entry_version(
        self, change: InstanceChange, known: InstanceChange | None
    ) -> None:
        """Keep the latest version of an entry, also if nothing else has changed."""
        if known is None:
            return
        stored = self._changes[change.id]
        latest = max(change.entry_version, known.entry_version)
        if latest > stored.entry_version:
            self._changes[change.id] = stored._replace(entry_version=latest)

    def _rebuild_index(self) -> None:
        self._by_service = {}
        self._zone_slots = Counter()
        self._service_zones = {}
        for change in self._changes.values():
            instance = change.instance
            if instance is None:
                continue
            self._by_service.setdefault(instance.service, []).append(instance)
            self._zone_slots[instance.zone] += instance.slots
            if not instance.is_draining:
                zones = self._service_zones.setdefault(instance.service, set())
                zones.add(instance.zone)

    def changes_since(self, position: StorePosition) -> list[InstanceChange]:
        """Return every change from a position on, the position itself included.

        Removals that were held back are examined again later, at times while the
        store is still at the same position.
        """
        return [
            change for change in self._changes.values() if change.position >= position
        ]

    def record_full_snapshot(self, position: StorePosition) -> None:
        """Record that a full snapshot as of a position has been applied."""
        self.snapshot_position = max(self.snapshot_position, position)

    def find_removed(
        self, present: set[str], position: StorePosition
    ) -> list[InstanceChange]:
        """Return removals of the known instances that a full snapshot does not list.

        Args:
            present: ids of the instances in the snapshot.
            position: position of the snapshot.
        """
        return [
            InstanceChange(known.id, position, None, known.entry_version)
            for known in self._changes.values()
            if known.instance is not None
            and known.id not in present
            and known.position < position
        ]

    def get(self, instance_id: str) -> Instance | None:
        """Return an instance by its id, or None."""
        change = self._changes.get(instance_id)
        return None if change is None else change.instance

    def for_service(self, service: str) -> list[Instance]:
        """Return the instances of a service, draining ones included."""
        return self._by_service.get(service, [])

    def zones_of(self, service: str) -> set[str]:
        """Return the zones that have instances of a service that aren't draining."""
        return self._service_zones.get(service, set())

    def slots_in(self, zone: str) -> int:
        """Return the number of slots of a zone's instances."""
        return self._zone_slots[zone]

    def zones(self) -> set[str]:
        """Return the zones that have instances."""
        return set(self._zone_slots)

    def all(self) -> list[Instance]:
        """Return every instance that is not gone."""
        return [one for known in self._by_service.values() for one in known]


def _is_new(change: InstanceChange, known: InstanceChange) -> bool:
    """Return whether a change replaces the known one of the same instance."""
    if change.position <= known.position or change.instance == known.instance:
        return False
    return not _is_restored(change, known)


def _is_confirmed(change: InstanceChange, known: InstanceChange) -> bool:
    """Return whether a change shows the known state for the first time in an era.

    It takes the place of the known one, so that hosts that have read an older state
    from the restored store get it from this host.
    """
    return (
        change.position.era > known.position.era and change.instance == known.instance
    )


def _is_restored(change: InstanceChange, known: InstanceChange) -> bool:
    """Return whether a change shows an entry from before the known state.

    A store that comes back from a copy shows such entries: of instances that have
    drained or gone since, or of an earlier start of the same instance.
    """
    return (
        change.instance is not None
        and change.position.era > known.position.era
        and change.entry_version.born_ms > 0
        and change.entry_version <= known.entry_version
    )
