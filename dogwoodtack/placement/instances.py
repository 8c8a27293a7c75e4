"""Backend instances that a host knows, merged from all sources by revision."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from ..misc import Address

__all__ = ["Instance", "InstanceChange", "InstanceRegistry"]


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


class InstanceChange(NamedTuple):
    """State of one instance as of a revision; an instance of None means it is gone."""

    id: str
    revision: int
    instance: Instance | None


class InstanceRegistry:
    """The newest known change of each instance.

    Changes arrive from the store and from other hosts, in any order and more
    than once; their revisions decide which is newer.
    """

    def __init__(self) -> None:
        self.revision = 0
        # Removals before this revision may be unknown: a full snapshot only lists the
        # instances that exist.
        self.snapshot_revision = 0
        self._changes: dict[str, InstanceChange] = {}
        self._by_service: dict[str, list[Instance]] = {}
        self._zone_slots: Counter[str] = Counter()

    def apply(
        self, changes: Iterable[InstanceChange], revision: int
    ) -> list[InstanceChange]:
        """Apply changes and return those that were new.

        Args:
            changes: changes of instances.
            revision: revision up to which all changes are applied with these.
        """
        new_changes = [change for change in changes if self._is_new(change)]
        for change in new_changes:
            self._changes[change.id] = change
        if new_changes:
            self._rebuild_index()
        self.revision = max(self.revision, revision)
        return new_changes

    def _is_new(self, change: InstanceChange) -> bool:
        known = self._changes.get(change.id)
        if known is None:
            return True
        return change.revision > known.revision and change.instance != known.instance

    def _rebuild_index(self) -> None:
        self._by_service = {}
        self._zone_slots = Counter()
        for change in self._changes.values():
            if change.instance is not None:
                service = change.instance.service
                self._by_service.setdefault(service, []).append(change.instance)
                self._zone_slots[change.instance.zone] += change.instance.slots

    def changes_since(self, revision: int) -> list[InstanceChange]:
        """Return every change from a revision on, the revision itself included.

        Removals that were held back are examined again later, at times while the
        store is still at the same revision.
        """
        return [
            change for change in self._changes.values() if change.revision >= revision
        ]

    def record_full_snapshot(self, revision: int) -> None:
        """Record that a full snapshot as of a revision has been applied."""
        self.snapshot_revision = max(self.snapshot_revision, revision)

    def find_removed(self, present: set[str], revision: int) -> list[InstanceChange]:
        """Return removals of the known instances that a full snapshot does not list.

        Args:
            present: ids of the instances in the snapshot.
            revision: revision of the snapshot.
        """
        return [
            InstanceChange(known.id, revision, None)
            for known in self._changes.values()
            if known.instance is not None
            and known.id not in present
            and known.revision < revision
        ]

    def get(self, instance_id: str) -> Instance | None:
        """Return an instance by its id, or None."""
        change = self._changes.get(instance_id)
        return None if change is None else change.instance

    def for_service(self, service: str) -> list[Instance]:
        """Return the instances of a service, draining ones included."""
        return self._by_service.get(service, [])

    def slots_in(self, zone: str) -> int:
        """Return the number of slots of a zone's instances."""
        return self._zone_slots[zone]

    def zones(self) -> set[str]:
        """Return the zones that have instances."""
        return set(self._zone_slots)

    def all(self) -> list[Instance]:
        """Return every instance that is not gone."""
        return [one for known in self._by_service.values() for one in known]
