"""Instances, configuration and host records in the platform's store."""

import hashlib
import json
from typing import Any

from ..errors import StoreConflict, StoreError
from ..feed import (
    ConfigurationUpdate,
    InstanceUpdates,
    OnAnnounced,
    OnConfiguration,
    OnCrashRecords,
    OnHosts,
    OnInstances,
)
from ..fleet import HostRecord, decode_host, encode_host
from ..logs import log_event
from ..placement import InstanceChange
from ..position import StorePosition
from ..routing import Configuration
from .objects import Event, Listing, ObjectStore
from .wire import (
    WireFormatError,
    decode_configuration,
    decode_entry_version,
    decode_instance,
)

__all__ = ["PlatformSource"]

INSTANCES_KIND = "servers"
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
# Kinds created by this program, one for each zone, with one object per entry host.
HOSTS_KIND_PREFIX = "dogwoodtack-hosts-"
# Another such kind, with one object per request.
CRASHES_KIND = "dogwoodtack-crashes"


class PlatformSource:
    """Source that reads from the platform's object store."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        # The last configuration and a digest of its object, which has keys.  It is read
        # again and again, and would be logged each time if a part of it is unusable.
        self._digest = b""
        self._configuration: Configuration | None = None

    @property
    def calls_made(self) -> int:
        """Return how many calls were made to the store."""
        return self._store.calls_made

    def observe_era(self, era: int) -> None:
        """Drop answers of eras before this one, of which another host has heard."""
        self._store.observe_era(era)

    def read_instances(self, on_done: OnInstances) -> None:
        """Read a full snapshot of the instances."""

        def on_listing(listing: Listing | None, exc: StoreError | None) -> None:
            if listing is None:
                on_done(None, exc)
                return
            changes = [
                _decode_change(item, False, listing.position) for item in listing.items
            ]
            named = [change for change in changes if change is not None]
            on_done(InstanceUpdates(named, listing.position, is_snapshot=True), None)

        self._store.list(INSTANCES_KIND, on_listing)

    def watch_instances(
        self, after: StorePosition, wait_s: float, on_done: OnInstances
    ) -> None:
        """Wait for changes of instances after a position."""

        def on_events(
            events: list[Event] | None, position: StorePosition, exc: StoreError | None
        ) -> None:
            if events is None:
                on_done(None, exc)
                return
            # The last event of an object shows its state as of the position.
            latest = {_name(event.item): event for event in events}
            changes = [
                _decode_change(event.item, event.is_deleted, position)
                for event in latest.values()
            ]
            named = [change for change in changes if change is not None]
            on_done(InstanceUpdates(named, position, is_snapshot=False), None)

        self._store.watch(INSTANCES_KIND, after, wait_s, on_events)

    def read_configuration(self, on_done: OnConfiguration) -> None:
        """Read the newest configuration; the update has None if there is none yet."""

        def on_listing(listing: Listing | None, exc: StoreError | None) -> None:
            if listing is None:
                on_done(None, exc)
                return
            on_done(self._newest_configuration(listing.items, listing.position), None)

        self._store.list(CONFIGURATION_KIND, on_listing)

    def watch_configuration(
        self, after: StorePosition, wait_s: float, on_done: OnConfiguration
    ) -> None:
        """Wait for a change of the configuration after a position."""

        def on_events(
            events: list[Event] | None, position: StorePosition, exc: StoreError | None
        ) -> None:
            if events is None:
                on_done(None, exc)
                return
            items = [event.item for event in events if not event.is_deleted]
            on_done(self._newest_configuration(items, position), None)

        self._store.watch(CONFIGURATION_KIND, after, wait_s, on_events)

    def _newest_configuration(
        self, items: list[Any], position: StorePosition
    ) -> ConfigurationUpdate:
        """Return the newest configuration among objects, if one can be decoded."""
        for item in reversed(items):
            if _name(item) != CONFIGURATION_NAME:
                continue
            spec = item.get("spec")
            digest = _digest(spec)
            if self._configuration is not None and digest and digest == self._digest:
                return ConfigurationUpdate(self._configuration, position)
            try:
                self._configuration = decode_configuration(spec)
            except WireFormatError as exc:
                log_event("configuration-unusable", level="ERROR", error=str(exc))
                continue
            self._digest = digest
            return ConfigurationUpdate(self._configuration, position)
        return ConfigurationUpdate(None, position)

    def read_hosts(self, zone: str, on_done: OnHosts) -> None:
        """Read the records of all hosts that ever announced themselves in a zone."""

        def on_listing(listing: Listing | None, exc: StoreError | None) -> None:
            if listing is None:
                on_done(None, exc)
                return
            records = [decode_host(_member(item, "spec")) for item in listing.items]
            on_done([record for record in records if record is not None], None)

        self._store.list(HOSTS_KIND_PREFIX + zone, on_listing)

    def announce(self, record: HostRecord, on_done: OnAnnounced) -> None:
        """Write a host's record to the store, replacing an older one."""
        kind = HOSTS_KIND_PREFIX + record.zone
        self._write(kind, record.name, encode_host(record), on_done)

    def read_crash_records(self, on_done: OnCrashRecords) -> None:
        """Read the records of requests that crash instances, as they were written."""

        def on_listing(listing: Listing | None, exc: StoreError | None) -> None:
            if listing is None:
                on_done(None, exc)
                return
            on_done([_member(item, "spec") for item in listing.items], None)

        self._store.list(CRASHES_KIND, on_listing)

    def write_crash_record(
        self, name: str, record: dict[str, Any], on_done: OnAnnounced
    ) -> None:
        """Write the record of a request, replacing an older one."""
        self._write(CRASHES_KIND, name, record, on_done)

    def _write(
        self, kind: str, name: str, spec: dict[str, Any], on_done: OnAnnounced
    ) -> None:
        """Create an object, or replace the one that exists."""

        def on_created(item: Any, exc: StoreError | None) -> None:
            if isinstance(exc, StoreConflict):
                self._store.get(kind, name, on_read)
                return
            on_done(exc)

        def on_read(item: Any, exc: StoreError | None) -> None:
            if item is None or _member(item, "spec") == spec:
                on_done(exc)
                return
            self._store.replace(kind, name, item, spec, lambda _item, exc: on_done(exc))

        self._store.create(kind, name, spec, on_created)


def _member(item: Any, name: str) -> Any:
    """Return a member of an object, None if it is missing or there is no object."""
    return item.get(name) if isinstance(item, dict) else None


def _name(item: Any) -> str:
    """Return an object's name, empty if it has none."""
    name = _member(_member(item, "metadata"), "name")
    return name if isinstance(name, str) else ""


def _digest(spec: Any) -> bytes:
    """Return a digest of an object, empty if it is nested too deeply for one."""
    try:
        return hashlib.sha256(json.dumps(spec).encode()).digest()
    except RecursionError:
        return b""


def _decode_change(
    item: Any, is_deleted: bool, position: StorePosition
) -> InstanceChange | None:
    """Return the change that an object describes, or None if it has no name.

    An unusable entry counts as a removed instance.
    """
    name = _name(item)
    if not name:
        log_event("instance-entry-unusable", level="WARNING", error="entry has no name")
        return None
    entry_version = decode_entry_version(item)
    if is_deleted:
        return InstanceChange(name, position, None, entry_version)
    try:
        instance = decode_instance(item)
    except WireFormatError as exc:
        log_event("instance-entry-unusable", level="DEBUG", name=name, error=str(exc))
        return InstanceChange(name, position, None)
    return InstanceChange(name, position, instance, entry_version)
