"""Feed of instances and configuration from the store or through a peer."""

from .feed import Feed, FeedCallbacks
from .relay import (
    RelayClient,
    RelayedState,
    encode_confirmation,
    handle_relay_request,
    version_to_confirm,
)
from .updates import (
    ConfigurationUpdate,
    InstanceUpdates,
    OnAnnounced,
    OnConfiguration,
    OnCrashRecords,
    OnHosts,
    OnInstances,
    Source,
)

__all__ = [
    "ConfigurationUpdate",
    "Feed",
    "FeedCallbacks",
    "InstanceUpdates",
    "OnConfiguration",
    "OnCrashRecords",
    "OnHosts",
    "OnInstances",
    "OnAnnounced",
    "RelayClient",
    "RelayedState",
    "Source",
    "encode_confirmation",
    "handle_relay_request",
    "version_to_confirm",
]
