"""What a source of instances and configuration tells, and what a source is."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from ..errors import StoreError
from ..fleet import HostRecord
from ..placement import InstanceChange
from ..routing import Configuration

__all__ = [
    "ConfigurationUpdate",
    "InstanceUpdates",
    "OnConfiguration",
    "OnHosts",
    "OnInstances",
    "OnAnnounced",
    "Source",
]


class InstanceUpdates(NamedTuple):
    """Changes of instances up to a revision.

    Attributes:
        changes: the words.
        revision: the store's revision that they reach.
        is_whole: whether an instance that is not named is gone.
    """

    changes: list[InstanceChange]
    revision: int
    is_whole: bool


class ConfigurationUpdate(NamedTuple):
    """The configuration as of a revision; None where nothing changed."""

    configuration: Configuration | None
    revision: int


OnInstances = Callable[[InstanceUpdates | None, StoreError | None], None]
OnConfiguration = Callable[[ConfigurationUpdate | None, StoreError | None], None]
OnHosts = Callable[[list[HostRecord] | None, StoreError | None], None]
OnAnnounced = Callable[[StoreError | None], None]


class Source(Protocol):
    """Where instances, configuration and hosts' records are kept."""

    def read_instances(self, on_done: OnInstances) -> None:
        """Read every instance."""

    def watch_instances(self, after: int, wait_s: float, on_done: OnInstances) -> None:
        """Wait for changes of instances since a revision."""

    def read_configuration(self, on_done: OnConfiguration) -> None:
        """Read the newest configuration."""

    def watch_configuration(
        self, after: int, wait_s: float, on_done: OnConfiguration
    ) -> None:
        """Wait for a change of the configuration since a revision."""

    def read_hosts(self, zone: str, on_done: OnHosts) -> None:
        """Read the records of a zone's entry hosts."""

    def announce(self, record: HostRecord, on_done: OnAnnounced) -> None:
        """Keep a host's own record."""
