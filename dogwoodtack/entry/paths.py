"""Monitor of this host's network paths to the instances as a whole."""

from ..logs import log_event
from ..placement import Instance, InstanceRegistry, Reachability

__all__ = ["PathMonitor"]


class PathMonitor:
    """Tell from connection attempts whether this host reaches any instances.

    Args:
        registry: the known instances.
    """

    def __init__(self, registry: InstanceRegistry) -> None:
        self._registry = registry
        self._reachability = Reachability()

    @property
    def is_cut_off(self) -> bool:
        """Return whether the paths to all instances count as lost."""
        return self._reachability.is_cut_off

    @property
    def unreached(self) -> int:
        """Return how many instances were not reached since one was."""
        return len(self._reachability.failed)

    def on_connect(self, instance: Instance, is_reached: bool) -> None:
        """Record whether an instance accepted a new connection."""
        known = len(self._registry.all())
        if self._reachability.record(instance.id, is_reached, known):
            log_event(
                "instance-paths",
                lost=self.is_cut_off,
                instance=instance.id,
                known=known,
            )
