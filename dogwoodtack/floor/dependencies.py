"""The other components of a node that the floor uses."""

import random
from typing import NamedTuple

from ..catalog import Catalog
from ..draining import DrainingInstances
from ..health import Health
from ..membership import Membership
from ..peers import PeerClient
from ..reactor import Reactor
from ..replication import ConfigState
from ..store import Store

__all__ = ["FloorDependencies"]


class FloorDependencies(NamedTuple):
    """The components of a node that the floor uses."""

    reactor: Reactor
    store: Store
    state: ConfigState
    catalog: Catalog
    membership: Membership
    peers: PeerClient
    health: Health
    draining: DrainingInstances
    rng: random.Random
