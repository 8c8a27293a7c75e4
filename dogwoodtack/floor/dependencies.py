"""What the floor slice works with."""

import random
from typing import NamedTuple

from ..catalog import Catalog
from ..health import Health
from ..leaving import Leaving
from ..membership import Membership
from ..peers import Peers
from ..reactor import Reactor
from ..spread import ConfigState
from ..store import Store

__all__ = ["FloorDependencies"]


class FloorDependencies(NamedTuple):
    """The rest of the node, as far as the floor slice needs it."""

    reactor: Reactor
    store: Store
    state: ConfigState
    catalog: Catalog
    membership: Membership
    peers: Peers
    health: Health
    leaving: Leaving
    rng: random.Random
