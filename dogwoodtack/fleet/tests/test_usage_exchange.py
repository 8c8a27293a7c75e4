"""Tests of what hosts tell each other of organisations' requests and work."""

import functools
import random
import unittest
from unittest import mock

from nose2.tools import params

from dogwoodtack.fairness import UsageLedger
from dogwoodtack.fleet.reach import FleetReach
from dogwoodtack.fleet.records import UsageReport, encode_message
from dogwoodtack.fleet.tests.test_crash_reports import Network
from dogwoodtack.fleet.tests.test_peers import make_heartbeat, make_host
from dogwoodtack.fleet.usage_exchange import UsageExchange
from dogwoodtack.quotas import Quotas
from dogwoodtack.quotas.tests.replay import bound, most_in_window
from dogwoodtack.routing import Organisation

NOW = 10.0
ORGANISATION = Organisation("o", (), 1, 1.0, 100.0)


def make_exchange(run, organisations=(ORGANISATION,)):
    quotas = Quotas(random.Random(1))
    quotas.set_limits((), NOW)
    quotas.set_limits(organisations, NOW)
    ledger = UsageLedger()
    host = make_host(f"h-{run}", "a")
    return (
        UsageExchange(host, FleetReach("a"), quotas, ledger, run),
        quotas,
        ledger,
    )


class UsageExchangeTest(unittest.TestCase):
    def test_without_organisations_nothing_is_sent(self):
        exchange, _, _ = make_exchange("1", ())
        for report in (exchange.report, exchange.changes, exchange.zone_report):
            self.assertEqual(report(NOW), UsageReport())

    def test_only_changes_are_sent_as_they_happen(self):
        exchange, quotas, ledger = make_exchange("1")
        quotas.try_admit("o", NOW)
        ledger.record("p", 0.25, NOW)
        self.assertEqual(
            sorted(exchange.changes(NOW).totals), [("o", 1, 0), ("p", 0, 250)]
        )
        quotas.try_admit("o", NOW)
        self.assertEqual(exchange.changes(NOW).totals, (("o", 2, 0),))
        self.assertEqual(exchange.changes(NOW).totals, ())

    @params("report", "changes", "zone_report")
    def test_report_fits_into_a_datagram(self, kind):
        """A heartbeat of thousands of organisations was lost, and its host was dead."""
        exchange, quotas, _ = make_exchange("1", ())
        for number in range(5000):
            quotas.try_admit(f"organisation {number:05}", NOW)
        quotas.try_admit("organisation 04999", NOW)
        usage = getattr(exchange, kind)(NOW)
        heartbeat = make_heartbeat(make_host("h-1"))._replace(usage=usage)
        self.assertLess(len(encode_message(heartbeat)), 48_000)
        self.assertEqual(usage.totals[0], ("organisation 04999", 2, 0))

    def test_admissions_and_work_reach_another_zone_once(self):
        """Two paths lead from a host to another zone, and reports are repeated."""
        sender, quotas, ledger = make_exchange("1")
        gateway, _, _ = make_exchange("2")
        receiver, other_quotas, other_ledger = make_exchange("3")
        gateway.on_host_report("h-1", sender.report(NOW), True, NOW)
        receiver.on_zone_report("b", gateway.zone_report(NOW), None, NOW)
        for _ in range(8):
            quotas.try_admit("o", NOW)
            ledger.record("o", 0.5, NOW)
            gateway.on_host_report("h-1", sender.changes(NOW), False, NOW)
            gateway.on_host_report("h-1", sender.report(NOW), True, NOW)
            receiver.on_zone_report("b", gateway.zone_report(NOW), None, NOW)
            receiver.on_zone_report("b", gateway.zone_report(NOW), None, NOW)
        self.assertAlmostEqual(other_quotas.decision("o", NOW).tokens, 108 - 8)
        self.assertGreater(other_ledger.usage_s("o", NOW), 3.0)


class LinkedNetwork(Network):
    """Hosts of three zones, of which some do not hear each other."""

    def __init__(self, hosts_per_zone, lost_ratio=0.0):
        super().__init__(hosts_per_zone, lost_ratio)
        self.clock = self.reactor.clock
        self.quotas = [fleet._quotas for fleet in self.fleets]
        self.admitted = []

    def set_limit(self, organisation):
        for quotas in self.quotas:
            quotas.set_limits((), self.clock.monotonic())
            quotas.set_limits([organisation], self.clock.monotonic())

    def cut(self, are_cut):
        """Let some pairs of hosts no longer hear each other."""
        for table, fleet in zip(self.tables, self.fleets):
            lost = {
                host.peer_address
                for host in self.hosts
                if are_cut(table.local_host, host) or are_cut(host, table.local_host)
            }
            send = fleet._datagrams.send
            fleet._datagrams.send = functools.partial(self.send, send, lost)

    def send(self, send, lost, message, addresses):
        send(message, [address for address in addresses if address not in lost])

    def request(self, number):
        now = self.clock.monotonic()
        if self.quotas[number].try_admit("o", now) is None:
            self.admitted.append(now)
            self.fleets[number].report_usage()

    def surge(self, numbers, per_s, duration_s):
        """Send requests to some hosts at random."""
        for _ in range(round(per_s * duration_s)):
            number = self.rng.choice(numbers)
            when_s = self.rng.random() * duration_s
            self.reactor.call_later(when_s, self.request, number)
        self.reactor.run_for(duration_s)


class FleetUsageTest(unittest.TestCase):
    @params((1, 0.0), (4, 0.0), (4, 0.2))
    def test_all_hosts_learn_what_one_admits(self, hosts, lost_ratio):
        """Neither the store nor the wall clock is used."""
        network = LinkedNetwork(hosts, lost_ratio)
        with mock.patch("time.time", side_effect=AssertionError):
            network.set_limit(ORGANISATION)
            network.reactor.run_for(60.0)
            for _ in range(50):
                network.request(0)
            network.reactor.run_for(3.0)
        for quotas in network.quotas:
            tokens = quotas.decision("o", network.clock.monotonic()).tokens
            self.assertLess(tokens, 108 - 50 + 8)
            self.assertGreaterEqual(quotas.reach, 0.3 if lost_ratio else 1.0)

    def test_stalled_hosts_do_not_take_others_for_silent(self):
        """A host that read its datagrams late lost nearly all unused allowance."""
        network = LinkedNetwork(4)
        network.set_limit(ORGANISATION)
        network.reactor.run_for(5.0)
        network.clock.now += 1.0
        # What others have sent meanwhile arrives only after the timers have run.
        network.reactor.run_for(0.0005)
        self.assertEqual({quotas.reach for quotas in network.quotas}, {1.0})

    @params(
        # whether two hosts of 4 in each of three zones don't hear each other
        (lambda one, other: {one.name, other.name} == {"h-0", "h-1"},),
        (lambda one, other: {one.name, other.name} == {"h-2", "h-3"},),
        (lambda one, other: (one.zone, other.zone) == ("a", "b"),),
        (lambda one, other: one.zone != other.zone,),
        (lambda one, other: one.name in ("h-0", "h-5"),),
        (lambda one, other: (int(one.name[2:]) + int(other.name[2:])) % 3 == 1,),
    )
    def test_bound_while_hosts_do_not_hear_each_other(self, are_cut):
        """Each of two hosts that others heard took the whole limit."""
        network = LinkedNetwork(4)
        network.set_limit(Organisation("o", (), 1, 60.0, 60.0))
        numbers = [n for n in range(12) if n % 4 != 3]
        network.surge(numbers, 38.0, 5.0)
        network.cut(are_cut)
        network.surge(numbers, 38.0, 2.5)
        network.surge(numbers, 400.0, 6.0)
        network.surge([0, 1, 2, 3, 4, 5, 6], 400.0, 6.0)
        self.assertLessEqual(most_in_window(network.admitted), bound(60.0, 60.0))
