"""The backend instances that a host knows, from whichever source said it last."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from ..misc import Address

__all__ = ["Instance", "InstanceChange", "InstanceRegistry"]


class Instance(NamedTuple):
    """One backend instance as the platform lists it.

    Attributes:
        id: its name, new with most starts.
        service: what it runs.
        address: where it listens; used again by others after its end.
        zone: its availability zone.
        slots: how many requests it works on at once.
        is_draining: whether it is leaving and takes no new work.
        warmup_s: how much longer it is slow after its start.
        born_ms: when it started, Unix milliseconds; 0 where it is not known.
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
    """What became of one instance at a revision; None means it is gone."""

    id: str
    revision: int
    instance: Instance | None


class InstanceRegistry:
    """Keep the newest word about each instance, by revision.

    Changes arrive from the store and from other hosts, in any order and more
    than once; a revision decides which word is newer.
    """

    def __init__(self) -> None:
        self.revision = 0
        # Endings before this revision are not all known: a whole list names only
        # what is there.
        self.snapshot_revision = 0
        self._words: dict[str, InstanceChange] = {}
        self._by_service: dict[str, list[Instance]] = {}
        self._zone_slots: Counter[str] = Counter()

    def apply(
        self, changes: Iterable[InstanceChange], revision: int
    ) -> list[InstanceChange]:
        """Take changes in and return those that were news.

        Args:
            changes: words about instances.
            revision: all changes up to it are among these or came before.
        """
        news = [change for change in changes if self._is_news(change)]
        for change in news:
            self._words[change.id] = change
        if news:
            self._index()
        self.revision = max(self.revision, revision)
        return news

    def _is_news(self, change: InstanceChange) -> bool:
        known = self._words.get(change.id)
        if known is None:
            return True
        return change.revision > known.revision and change.instance != known.instance

    def _index(self) -> None:
        self._by_service = {}
        self._zone_slots = Counter()
        for change in self._words.values():
            if change.instance is not None:
                service = change.instance.service
                self._by_service.setdefault(service, []).append(change.instance)
                self._zone_slots[change.instance.zone] += change.instance.slots

    def changes_since(self, revision: int) -> list[InstanceChange]:
        """Return every change from a revision on.

        Those of the revision itself are among them: endings that were held back are
        looked at again later, at times while the store still stands there.
        """
        return [word for word in self._words.values() if word.revision >= revision]

    def record_full_snapshot(self, revision: int) -> None:
        """Note that a whole list as of a revision has been taken in."""
        self.snapshot_revision = max(self.snapshot_revision, revision)

    def find_removed(self, present: set[str], revision: int) -> list[InstanceChange]:
        """Return the ends of known instances that a whole list does not show."""
        return [
            InstanceChange(known.id, revision, None)
            for known in self._words.values()
            if known.instance is not None
            and known.id not in present
            and known.revision < revision
        ]

    def get(self, instance_id: str) -> Instance | None:
        """Return an instance by its name, or None."""
        word = self._words.get(instance_id)
        return None if word is None else word.instance

    def for_service(self, service: str) -> list[Instance]:
        """Return the instances of a service, leaving ones included."""
        return self._by_service.get(service, [])

    def slots_in(self, zone: str) -> int:
        """Return the slots of a zone's instances."""
        return self._zone_slots[zone]

    def zones(self) -> set[str]:
        """Return the zones that have instances."""
        return set(self._zone_slots)

    def all(self) -> list[Instance]:
        """Return every instance that is not gone."""
        return [one for known in self._by_service.values() for one in known]
