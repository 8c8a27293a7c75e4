"""Tests of the rate limit of one host, by what it hears of others."""

import random
import unittest

from nose2.tools import params

from dogwoodtack.quotas import OrganisationTotal, Quotas, TokenBucket, ZoneTotals
from dogwoodtack.routing import Organisation

NOW = 50.0
# Tokens of a full bucket: the burst, and 0.4 of the slack of 20.
FULL = 18


def org(rate=10.0, burst=10.0, name="o"):
    return Organisation(name, (), 1, rate, burst)


def make_quotas(*organisations, is_started=True):
    quotas = Quotas(random.Random(1))
    if is_started:
        quotas.set_limits((), NOW)
    quotas.set_limits(organisations or (org(),), NOW)
    return quotas


def admit_all(quotas, now=NOW, name="o", most=1000):
    """Return how many of many requests at a time are admitted."""
    return sum(quotas.try_admit(name, now) is None for _ in range(most))


class QuotasTest(unittest.TestCase):
    @params(
        # whether the process has had a configuration, elapsed seconds, admitted
        (True, 0.0, FULL),
        (True, 60.0, FULL),
        (False, 0.0, 2),
        (False, 1.0, 12),
    )
    def test_start(self, is_started, elapsed_s, expected):
        """Hosts that all restart must not grant the burst once more."""
        quotas = make_quotas(is_started=is_started)
        self.assertEqual(admit_all(quotas, NOW + elapsed_s), expected)

    @params((0.0, 0.0), (float("-inf"), 5.0))
    def test_no_limit(self, rate, burst):
        quotas = make_quotas(org(rate, burst))
        self.assertEqual(admit_all(quotas), 1000)
        self.assertIsNone(quotas.decision("o", NOW))

    @params(0.1, 0.7, 1.5)
    def test_decision_charges_nothing(self, silence_s):
        """Guards against a question that charges what silent hosts have admitted."""
        asked, unasked = make_quotas(), make_quotas()
        for quotas in (asked, unasked):
            for name in ("h-1", "h-2"):
                quotas.on_usage(name, {"o": 0}, NOW)
                quotas.on_usage(name, {"o": 5}, NOW + 0.1)
        for step in range(3):
            asked.decision("o", NOW + 0.1 + silence_s * step / 3)
        now = NOW + 0.1 + silence_s
        decision = asked.decision("o", now)
        self.assertEqual(asked.admission_chance("o", now), 1.0)
        self.assertEqual(admit_all(asked, now), admit_all(unasked, now))
        available = decision.tokens - decision.extrapolated
        self.assertEqual(int(available), asked.admitted)
        self.assertEqual(asked.admission_chance("o", now), 0.0)

    def test_lower_limit_takes_effect_at_once(self):
        quotas = make_quotas(org(400.0, 400.0))
        quotas.set_limits([org(4.0, 4.0)], NOW)
        self.assertEqual(admit_all(quotas), 12)
        self.assertEqual(admit_all(quotas, NOW + 1.0), 4)

    def test_removed_limit_ends_and_same_one_goes_on(self):
        quotas = make_quotas()
        admit_all(quotas)
        quotas.set_limits([org()], NOW)
        self.assertEqual(admit_all(quotas), 0)
        quotas.set_limits(None, NOW)
        self.assertEqual(admit_all(quotas, most=50), 50)

    def test_refund_lets_another_request_in_and_lowers_no_total(self):
        """A lower total would look like an outdated report to other hosts."""
        quotas = make_quotas()
        admit_all(quotas)
        quotas.refund("o", NOW)
        self.assertEqual(quotas.totals(NOW), {"o": FULL})
        self.assertEqual(admit_all(quotas), 1)
        self.assertEqual(quotas.totals(NOW), {"o": FULL})
        self.assertEqual(quotas.admitted, FULL)

    @params(
        # totals of one source with times, tokens afterwards
        # The first total may be older than this process.
        (((0, 500),), FULL),
        (((0, 500), (0.1, 507)), FULL - 7),
        (((0, 500), (0.1, 507), (0.1, 503), (0.1, 507)), FULL - 7),
        (((0, 500), (0.1, 507), (9.0, 900)), FULL),
    )
    def test_totals_of_a_host(self, reports, expected):
        """Datagrams are lost and overtake each other, and hosts are cut off."""
        quotas = make_quotas()
        for elapsed_s, total in reports:
            quotas.on_usage("h/1", {"o": total}, NOW + elapsed_s)
        tokens = quotas.decision("o", NOW + reports[-1][0]).tokens
        self.assertAlmostEqual(tokens, expected)

    def test_organisation_that_a_complete_report_lacked_had_no_requests(self):
        quotas = make_quotas()
        quotas.on_usage("h/1", {"p": 3}, NOW)
        quotas.on_usage("h/1", {"o": 5}, NOW + 0.01, is_complete=False)
        self.assertAlmostEqual(quotas.decision("o", NOW + 0.01).tokens, FULL - 5)

    def test_partial_report_of_a_new_source_is_no_base_for_others(self):
        quotas = make_quotas()
        quotas.on_usage("h/1", {"p": 3}, NOW, is_complete=False)
        quotas.on_usage("h/1", {"o": 5000, "p": 3}, NOW)
        self.assertEqual(admit_all(quotas), FULL)

    def test_admissions_of_a_zone_are_extrapolated(self):
        quotas = make_quotas(org(40.0, 40.0))
        for step in range(20):
            now = NOW + step / 4
            quotas.on_usage("zone b/1", {"o": 10 * step}, now, is_zone=True)
        decision = quotas.decision("o", now + 0.25)
        self.assertTrue(8.0 < decision.extrapolated < 13.0, decision)

    def test_successor_of_a_gateway_goes_on_for_its_zone(self):
        quotas = make_quotas(org(40.0, 40.0))
        for step in range(20):
            now = NOW + step / 4
            quotas.on_usage("zone b/1", {"o": 10 * step}, now, is_zone=True)
        before = quotas.decision("o", now + 0.25)
        quotas.replace_source("zone b/1", "zone b/2", now + 0.25)
        quotas.on_usage("zone b/2", {"o": 3}, now + 0.25, is_zone=True)
        after = quotas.decision("o", now + 0.25)
        self.assertAlmostEqual(after.tokens, before.tokens - before.extrapolated)
        self.assertGreater(quotas.decision("o", now + 0.5).extrapolated, 5.0)

    @params(0.5, 0.1, 1 / 111)
    def test_parts_of_hosts_that_are_cut_off_add_up(self, share):
        """Each of many hosts granted a whole request, which exceeded the limit."""
        total = 0
        for seed in range(round(1 / share)):
            quotas = Quotas(random.Random(seed))
            quotas.set_limits((), NOW)
            quotas.set_limits([org()], NOW)
            quotas.set_reach(share, NOW)
            for step in range(21):
                total += admit_all(quotas, NOW + step / 4, most=40)
        # 5 s at 10 a second, and the full bucket.
        self.assertTrue(0.6 * (50 + FULL) < total < 1.3 * (50 + FULL), total)

    def test_reach_that_comes_back_gives_no_second_burst(self):
        quotas = make_quotas()
        quotas.set_reach(0.1, NOW)
        quotas.set_reach(1.0, NOW)
        self.assertLessEqual(admit_all(quotas), FULL * 0.1 + 1)

    def test_refused_requests_do_not_return_together(self):
        quotas = make_quotas()
        admit_all(quotas)
        waits = [quotas.try_admit("o", NOW) for _ in range(200)]
        self.assertTrue(all(0.0 < one <= 5.0 for one in waits))
        for start in range(5):
            returning = sum(start <= one < start + 1 for one in waits)
            self.assertLess(returning, 100)
        # The first ones return as allowance comes: ten a second.
        self.assertLess(sum(one < 1.0 for one in waits), 16)

    def test_callers_of_other_hosts_return_as_well(self):
        """Nine hosts told as many callers to return as one alone could admit."""
        waits = []
        for others in (0, 9):
            quotas = make_quotas()
            quotas.on_usage("zone b/1", {"o": 0}, NOW, is_zone=True)
            quotas.on_usage("zone b/1", {"o": others}, NOW, is_zone=True)
            admit_all(quotas, most=FULL - others)
            waits.append([quotas.try_admit("o", NOW) for _ in range(20)][-1])
        self.assertGreater(waits[1], 1.4 * waits[0])


class TokenBucketTest(unittest.TestCase):
    @params(
        # elapsed seconds, tokens that are used but not charged yet, tokens
        (0.0, 0.0, 4.0),
        (1.0, 0.0, 5.0),
        (1.0, 1.0, 6.0),
        (1.0, 9.0, 6.0),
        (-5.0, 0.0, 4.0),
    )
    def test_tokens(self, elapsed_s, owed, expected):
        bucket = TokenBucket(2.0, 5.0, 4.0, NOW)
        self.assertEqual(bucket.tokens(NOW + elapsed_s, owed), expected)

    def test_debt_is_bounded(self):
        bucket = TokenBucket(2.0, 5.0, 4.0, NOW, max_debt=3.0)
        bucket.charge(100.0, NOW)
        bucket.scale(0.1, NOW)
        self.assertEqual(bucket.tokens(NOW), -3.0)


class ZoneTotalsTest(unittest.TestCase):
    def test_sum_never_falls(self):
        """A host that restarts or an outdated datagram must not lower the sum."""
        totals = ZoneTotals()
        own = [OrganisationTotal("o", 10, 100)]
        for source, admitted in (("h/1", 5), ("h/1", 3), ("h/2", 2), ("i/1", 1)):
            totals.add(source, [OrganisationTotal("o", admitted, admitted)])
        totals.drop("h/1")
        self.assertEqual(totals.sums(own), [OrganisationTotal("o", 18, 108)])
