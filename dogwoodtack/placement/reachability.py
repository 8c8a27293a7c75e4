"""Whether a host reaches any instances at all, from its attempts to connect.

Load pattern: the paths from a host to all instances are gone, while callers, the store
and other hosts reach it.  Each attempt to connect fails, and an estimate for each
instance takes as many failures as there are instances to show it.
"""

__all__ = ["Reachability"]

# A few instances may be down at once; so many different ones in a row hardly are.
MIN_FAILED_INSTANCES = 4
# One instance that is not reached is likely down itself.
MIN_SUSPECT_INSTANCES = 2
# A single connection may have been on its way when the paths were lost.
MIN_REACHED_INSTANCES = 2


class Reachability:
    """Outcomes of connecting to instances since they last contradicted each other.

    Attributes:
        is_cut_off: whether the paths to all instances count as lost.
    """

    def __init__(self) -> None:
        self.is_cut_off = False
        self._failed: set[str] = set()
        self._reached: set[str] = set()

    @property
    def is_suspect(self) -> bool:
        """Return whether failures may be due to the paths rather than the instances."""
        return self.is_cut_off or len(self._failed) >= MIN_SUSPECT_INSTANCES

    @property
    def failed(self) -> frozenset[str]:
        """Return the instances that were not reached since one was."""
        return frozenset(self._failed)

    def record(self, instance_id: str, is_reached: bool, known: int) -> bool:
        """Record the outcome of connecting and return whether `is_cut_off` changed.

        Args:
            instance_id: the instance.
            is_reached: whether it accepted the connection.
            known: how many instances there are.
        """
        if is_reached:
            self._failed.clear()
            self._reached.add(instance_id)
            is_cut_off = self.is_cut_off and len(self._reached) < min(
                MIN_REACHED_INSTANCES, known
            )
        else:
            self._reached.clear()
            self._failed.add(instance_id)
            is_cut_off = self.is_cut_off or len(self._failed) >= min(
                MIN_FAILED_INSTANCES, known
            )
        is_changed = is_cut_off != self.is_cut_off
        self.is_cut_off = is_cut_off
        if is_changed:
            self._failed.clear()
            self._reached.clear()
        return is_changed
