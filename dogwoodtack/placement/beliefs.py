"""What a host believes of instances: from its own outcomes, its peers' and others'."""

from collections.abc import Iterable

from .evidence import Evidence, Sign
from .instances import Instance

__all__ = ["Beliefs"]

# A host's way to an instance is seldom cut while others reach the instance.
PATH_PRIOR = 0.02
PATH_SIGNS = frozenset({Sign.SILENT, Sign.UNREACHABLE, Sign.BROKEN, Sign.GOOD})
RUMOURS = frozenset({Sign.SILENT, Sign.UNREACHABLE})
# Another zone's word about its instances is believed this long.
TOLD_S = 1.0


class Beliefs:
    """Keep the evidence on each instance, and on this host's way to it."""

    def __init__(self) -> None:
        self._evidence: dict[str, Evidence] = {}
        self._paths: dict[str, Evidence] = {}
        self._told: dict[str, tuple[float, float]] = {}
        self._displaced: dict[str, Instance] = {}

    def of(self, instance_id: str, now: float) -> Evidence:
        """Return the evidence on an instance."""
        if instance_id not in self._evidence:
            self._evidence[instance_id] = Evidence(now)
        return self._evidence[instance_id]

    def sick(self, instance_id: str, now: float) -> float:
        """Return how likely an instance fails this host: itself or the way to it."""
        belief = self.of(instance_id, now)
        told = self._told.get(instance_id)
        if told is not None and now - told[1] <= TOLD_S and belief.heard_at < told[1]:
            sound = 1.0 - told[0]
        else:
            sound = 1.0 - belief.sick(now)
        path = self._paths.get(instance_id)
        return 1.0 - sound * (1.0 - (path.sick(now) if path else PATH_PRIOR))

    def observe(self, instance_id: str, sign: Sign, now: float) -> float:
        """Take in an outcome of this host's and return the belief."""
        if sign in PATH_SIGNS:
            path = self._paths.setdefault(instance_id, Evidence(now, PATH_PRIOR))
            path.observe(sign, now)
        self.of(instance_id, now).observe(sign, now)
        return self.sick(instance_id, now)

    def on_rumour(self, instance_id: str, sign: Sign, now: float) -> None:
        """Take in an outcome of a peer's; it tells nothing of this host's way."""
        sign = Sign.RUMOUR if sign in RUMOURS else sign
        self.of(instance_id, now).observe(sign, now)

    def on_zone(self, sick: dict[str, int], now: float) -> None:
        """Take another zone's word: in percent how likely its instances are sick."""
        for instance_id, percent in sick.items():
            self._told[instance_id] = (percent / 100, now)

    def note_displaced(self, instance: Instance) -> None:
        """Note that another instance answers at an instance's address.

        It is gone, though the store may take some heartbeats to say so; another word
        about it, such as a new address, brings it back.
        """
        self._displaced[instance.id] = instance

    def is_displaced(self, instance: Instance) -> bool:
        """Return whether another instance answers at an instance's address."""
        return self._displaced.get(instance.id) == instance

    def standings(self, names: Iterable[str], now: float) -> dict[str, int]:
        """Return in percent how likely each of some instances is sick."""
        return {name: round(100 * self.of(name, now).sick(now)) for name in names}

    def forget(self, gone: Iterable[str]) -> None:
        """Drop what was believed of instances that are gone."""
        for instance_id in gone:
            self._evidence.pop(instance_id, None)
            self._paths.pop(instance_id, None)
            self._told.pop(instance_id, None)
            self._displaced.pop(instance_id, None)
