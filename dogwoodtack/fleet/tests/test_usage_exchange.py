"""Tests of what hosts tell each other of organisations' requests and work."""

import random
import unittest

from nose2.tools import params

from dogwoodtack.fairness import UsageLedger
from dogwoodtack.fleet.records import UsageReport
from dogwoodtack.fleet.tests.test_crash_reports import Network
from dogwoodtack.fleet.usage_exchange import UsageExchange
from dogwoodtack.quotas import Quotas
from dogwoodtack.routing import Organisation

NOW = 10.0
ORGANISATION = Organisation("o", (), 1, 1.0, 100.0)


def make_exchange(run, organisations=(ORGANISATION,)):
    quotas = Quotas(random.Random(1))
    quotas.set_limits((), NOW)
    quotas.set_limits(organisations, NOW)
    ledger = UsageLedger()
    return UsageExchange(quotas, ledger, run), quotas, ledger


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

    def test_admissions_and_work_reach_another_zone_once(self):
        """Two paths lead from a host to another zone, and reports are repeated."""
        sender, quotas, ledger = make_exchange("1")
        gateway, _, _ = make_exchange("2")
        receiver, other_quotas, other_ledger = make_exchange("3")
        gateway.on_host_report("h-1", sender.report(NOW), True, NOW)
        receiver.on_zone_report("a", gateway.zone_report(NOW), NOW)
        for _ in range(8):
            quotas.try_admit("o", NOW)
            ledger.record("o", 0.5, NOW)
            gateway.on_host_report("h-1", sender.changes(NOW), False, NOW)
            gateway.on_host_report("h-1", sender.report(NOW), True, NOW)
            receiver.on_zone_report("a", gateway.zone_report(NOW), NOW)
            receiver.on_zone_report("a", gateway.zone_report(NOW), NOW)
        self.assertAlmostEqual(other_quotas.decision("o", NOW).tokens, 108 - 8)
        self.assertGreater(other_ledger.usage_s("o", NOW), 3.0)


class FleetUsageTest(unittest.TestCase):
    @params((1, 0.0), (4, 0.0), (4, 0.2))
    def test_all_hosts_learn_what_one_admits(self, hosts, lost_ratio):
        network = Network(hosts, lost_ratio)
        clock = network.reactor.clock
        all_quotas = [fleet._quotas for fleet in network.fleets]
        for quotas in all_quotas:
            quotas.set_limits((), clock.monotonic())
            quotas.set_limits([ORGANISATION], clock.monotonic())
        network.reactor.run_for(60.0)
        for _ in range(50):
            all_quotas[0].try_admit("o", clock.monotonic())
        network.fleets[0].report_usage()
        network.reactor.run_for(3.0)
        for quotas in all_quotas:
            tokens = quotas.decision("o", clock.monotonic()).tokens
            self.assertLess(tokens, 108 - 50 + 8)
            self.assertGreaterEqual(quotas.reach, 0.3 if lost_ratio else 1.0)
