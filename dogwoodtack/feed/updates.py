"""Updates of instances and configuration, and the interface of their source."""

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from ..errors import StoreError
from ..fleet import HostRecord
from ..placement import InstanceChange
from ..position import StorePosition
from ..routing import Configuration

__all__ = [
    "ConfigurationUpdate",
    "InstanceUpdates",
    "OnConfiguration",
    "OnCrashRecords",
    "OnHosts",
    "OnInstances",
    "OnAnnounced",
    "Source",
]


class InstanceUpdates(NamedTuple):
    """Instance changes up to a store position.

    Attributes:
        changes: the changes.
        position: the store position up to which the changes are complete.
        is_snapshot: whether this is a full snapshot: an instance missing from it is
            gone.
    """

    changes: list[InstanceChange]
    position: StorePosition
    is_snapshot: bool


class ConfigurationUpdate(NamedTuple):
    """The configuration as of a store position; None if it has not changed."""

    configuration: Configuration | None
    position: StorePosition


OnInstances = Callable[[InstanceUpdates | None, StoreError | None], None]
OnConfiguration = Callable[[ConfigurationUpdate | None, StoreError | None], None]
OnHosts = Callable[[list[HostRecord] | None, StoreError | None], None]
OnCrashRecords = Callable[[list[Any] | None, StoreError | None], None]
OnAnnounced = Callable[[StoreError | None], None]


class Source(Protocol):
    """Store of instances, configuration, host records and crash records.

    A callback gets the result and None, or None and the error; those of `announce` and
    `write_crash_record` get just the error or None.
    """

    def observe_era(self, era: int) -> None:
        """Drop answers of eras before this one, of which another host has heard."""

    def read_instances(self, on_done: OnInstances) -> None:
        """Read a full snapshot of the instances."""

    def watch_instances(
        self, after: StorePosition, wait_s: float, on_done: OnInstances
    ) -> None:
        """Wait up to `wait_s` seconds for instance changes after a position.

        The error is HistoryGone if the position is in an era that has ended.
        """

    def read_configuration(self, on_done: OnConfiguration) -> None:
        """Read the newest configuration."""

    def watch_configuration(
        self, after: StorePosition, wait_s: float, on_done: OnConfiguration
    ) -> None:
        """Wait up to `wait_s` seconds for a configuration change after a position.

        The error is HistoryGone if the position is in an era that has ended.
        """

    def read_hosts(self, zone: str, on_done: OnHosts) -> None:
        """Read the records of a zone's entry hosts."""

    def announce(self, record: HostRecord, on_done: OnAnnounced) -> None:
        """Write a host's own record."""

    def read_crash_records(self, on_done: OnCrashRecords) -> None:
        """Read the records of requests that crash instances, as they were written."""

    def write_crash_record(
        self, name: str, record: dict[str, Any], on_done: OnAnnounced
    ) -> None:
        """Write the record of a request that crashes instances."""
