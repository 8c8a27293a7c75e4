"""The feed: instances and configuration, from the store or through a peer."""

from .feed import Feed, FeedEvents
from .relay import RelayClient, RelayedState, answer_relay
from .words import (
    ConfigurationWord,
    InstanceWords,
    OnConfiguration,
    OnHosts,
    OnInstances,
    OnSaid,
    Source,
)

__all__ = [
    "ConfigurationWord",
    "Feed",
    "FeedEvents",
    "InstanceWords",
    "OnConfiguration",
    "OnHosts",
    "OnInstances",
    "OnSaid",
    "RelayClient",
    "RelayedState",
    "Source",
    "answer_relay",
]
