"""Which entry host claims a vacant lease, and after which delay."""

import unittest
from types import SimpleNamespace

from nose2.tools import params

from dogwoodtack.catalog import Catalog
from dogwoodtack.clock import VirtualClock
from dogwoodtack.floor import FloorDependencies
from dogwoodtack.floor.leases import CLAIM_RANK_DELAY_S, CLAIM_RANKS, LeaseManager
from dogwoodtack.floor.messages import TAKEOVER_WAIT_S, HolderEntry, holder_value
from dogwoodtack.floor.pauses import PauseDetector
from dogwoodtack.floor.tests.test_ownership import FakeStore
from dogwoodtack.membership import Member, assigned_hosts
from dogwoodtack.misc import Address
from dogwoodtack.replication import ConfigState
from dogwoodtack.store import StoreObject

SERVICE = "jobtrack"
TICK_S = 0.5
MEMBERS = [
    Member(f"entry-{n}", f"inc-{n}", "zone-a", Address("127.0.0.1", n + 1), home)
    for n, home in enumerate(Address("127.0.0.1", n + 100) for n in range(10))
]
RANKED = assigned_hosts(SERVICE, MEMBERS)


class Members:
    """A fake membership in which the hosts in `gone` are dead and unlisted."""

    def __init__(self, me, gone=()):
        self.local_member = me
        self._gone = gone

    def members(self):
        return [one for one in MEMBERS if one.name not in self._gone]

    def by_name(self, name):
        return next((one for one in self.members() if one.name == name), None)

    def by_incarnation(self, incarnation):
        found = [one for one in self.members() if one.incarnation == incarnation]
        return found[0] if found else None

    def is_listed(self, name):
        return name not in self._gone

    def is_cut_off(self):
        return False


class ClaimTest(unittest.TestCase):
    def build(self, me, gone=()):
        self.clock = VirtualClock()
        self.store = FakeStore()
        catalog = Catalog()
        catalog.put(SERVICE, 1, {})
        quiet = SimpleNamespace(
            verdicts=lambda service: [],
            ejection_time_s=lambda service, name: 10.0,
            is_draining=lambda service, name: False,
        )
        deps = FloorDependencies(
            reactor=SimpleNamespace(clock=self.clock),
            store=self.store,
            state=ConfigState(),
            catalog=catalog,
            membership=Members(me, gone),
            peers=None,
            health=quiet,
            draining=quiet,
            rng=None,
        )
        self.state = deps.state
        self.pause_detector = PauseDetector(self.clock)
        return LeaseManager(deps, self.pause_detector)

    def claimed_after(self, leases, limit_s):
        began = self.clock.now
        while self.clock.now - began <= limit_s:
            leases.review_and_claim([SERVICE], self.pause_detector.check())
            if leases.get(SERVICE).ownership.is_mine:
                return self.clock.now - began
            self.clock.advance(TICK_S)
        return None

    def held_by(self, name, incarnation, address):
        entry = HolderEntry(name, incarnation, address)
        self.store.version = 1
        self.store.value = holder_value(entry)
        self.state.apply(StoreObject("floor", SERVICE, 1, self.store.value))

    @params(0, 1, CLAIM_RANKS - 1, CLAIM_RANKS, len(RANKED) - 1)
    def test_claims_wait_by_rank(self, rank):
        leases = self.build(RANKED[rank])
        waited = self.claimed_after(leases, 60.0)
        self.assertEqual(waited, min(rank, CLAIM_RANKS) * CLAIM_RANK_DELAY_S)

    @params((False, None), (True, TAKEOVER_WAIT_S))
    def test_only_an_unlisted_holder_is_replaced(self, is_gone, waited):
        other = RANKED[3]
        leases = self.build(RANKED[0], (other.name,) if is_gone else ())
        self.held_by(other.name, other.incarnation, other.peer_address)
        self.assertEqual(self.claimed_after(leases, 120.0), waited)

    @params((True, 0.0), (False, TAKEOVER_WAIT_S))
    def test_earlier_process_at_this_address_is_replaced_at_once(
        self, same_address, waited
    ):
        me = RANKED[0]
        leases = self.build(me)
        elsewhere = Address("127.0.0.1", 9999)
        address = me.peer_address if same_address else elsewhere
        self.held_by(me.name, "earlier", address)
        self.assertEqual(self.claimed_after(leases, 120.0), waited)

    def test_host_replaced_under_its_name_loses_its_lease(self):
        other = RANKED[3]
        leases = self.build(RANKED[0])
        self.held_by(other.name, "earlier", other.peer_address)
        self.assertEqual(self.claimed_after(leases, 120.0), TAKEOVER_WAIT_S)

    def test_leaving_host_claims_nothing(self):
        leases = self.build(RANKED[0]._replace(is_leaving=True))
        self.assertIsNone(self.claimed_after(leases, 60.0))
