"""Tests of rate limits that instances name for all hosts together."""

import unittest

from nose2.tools import params

from dogwoodtack.misc import Address
from dogwoodtack.placement import Instance, RateLimitReport, RateLimits
from dogwoodtack.placement.rate_limits import TTL_REQUESTS, TTL_S

NOW = 100.0
INSTANCE = Instance("i-1", "s", Address("h", 1), "a", 2, False, 0.0, 0)


def make_limits(zone="a", serving=("h-1",), zones="a", local="h-1"):
    """Return the limits of a host, with a limit of 2 a second for the instance."""
    limits = RateLimits(zone)
    limits.set_hosts(local, serving, zones)
    limits.on_response("i-1", 2.0, NOW - 1.0, NOW)
    return limits


def send_all(limits, now, service_zones="a"):
    """Send as many requests as are allowed at a time, and return how many."""
    sent = 0
    while limits.allowance(INSTANCE, service_zones, now).may_send:
        limits.record_send("i-1", now)
        sent += 1
    return sent


class RateLimitsTest(unittest.TestCase):
    @params(
        # seconds since the limit was named, requests that may be sent at once
        (0.0, 0),
        (0.4, 0),
        (0.6, 1),
        (9.0, 1),
    )
    def test_unused_allowance_is_bounded(self, elapsed_s, expected):
        self.assertEqual(send_all(make_limits(), NOW + elapsed_s), expected)

    def test_rate_over_time(self):
        limits = make_limits()
        sent = sum(send_all(limits, NOW + step / 20) for step in range(201))
        self.assertIn(sent, (19, 20))

    @params(
        # limit and time of the request of the next response, whether a limit remains
        (None, -0.5, True),
        (None, 0.5, False),
        (3.0, 0.5, True),
    )
    def test_response_without_a_limit_ends_it(self, per_s, sent_at, expected):
        """A response to a request from before the limit may be older than it."""
        limits = make_limits()
        is_changed = limits.on_response("i-1", per_s, NOW + sent_at, NOW + 1.0)
        self.assertEqual(limits.is_limited("i-1", NOW + 1.0), expected)
        self.assertEqual(is_changed, sent_at > 0)

    @params(
        # limit, age of the report, whether a limit remains
        (None, 0.2, False),
        (None, 2.0, True),
        (5.0, 0.2, True),
    )
    def test_report_of_a_peer_counts_by_its_age(self, per_s, age_s, expected):
        limits = make_limits()
        report = RateLimitReport("i-1", per_s, age_s, 0)
        limits.on_reports("h-2", [report], NOW + 1.0)
        self.assertEqual(limits.is_limited("i-1", NOW + 1.0), expected)

    def test_ended_limit_is_not_taken_from_an_older_report(self):
        limits = make_limits()
        limits.on_response("i-1", None, NOW + 0.5, NOW + 1.0)
        limits.on_reports("h-2", [RateLimitReport("i-1", 2.0, 0.9, 0)], NOW + 1.5)
        self.assertFalse(limits.is_limited("i-1", NOW + 1.5))

    @params(
        # the peer's counts of sends in its reports, requests left to this host
        ((0, 0), 4),
        ((0, 3), 1),
        ((0, 1, 3), 1),
        ((5, 8), 1),
        ((7, 7, 2), 3),
        ((500, 499, 500), 2),
        ((0, 500), 0),
    )
    def test_sends_of_peers_are_charged_once(self, counts, expected):
        """Counts are cumulative, so that a lost report is made up for by the next."""
        limits = RateLimits("a")
        limits.set_hosts("h-1", ("h-1", "h-2"), "a")
        for sent in counts:
            limits.on_reports("h-2", [RateLimitReport("i-1", 2.0, 0.0, sent)], NOW)
        total = sum(send_all(limits, NOW + step / 20) for step in range(41))
        self.assertEqual(total, expected)

    @params(
        # zone of the host, zones with hosts, zones with instances, expected rate
        ("a", "abc", "abc", 2.0),
        ("b", "abc", "abc", 0.0),
        ("b", "abc", "ac", 1.0),
        ("a", "abc", "ac", 1.0),
        ("c", "abcd", "a", 0.5),
    )
    def test_limit_is_divided_among_zones(self, zone, zones, service_zones, per_s):
        limits = make_limits(zone, ("h-1",), zones)
        allowance = limits.allowance(INSTANCE, set(service_zones), NOW + 1.0)
        self.assertEqual(allowance.per_s, per_s)

    def test_few_hosts_send_to_an_instance(self):
        serving = tuple(f"h-{number}" for number in range(9))
        senders = [
            local
            for local in (*serving, "h-reserve")
            if make_limits(serving=serving, local=local)
            .allowance(INSTANCE, "a", NOW + 1.0)
            .may_send
        ]
        self.assertEqual(len(senders), 3)
        self.assertNotIn("h-reserve", senders)

    def test_debt_is_bounded(self):
        limits = make_limits()
        limits.on_reports("h-2", [RateLimitReport("i-1", 2.0, 0.0, 0)], NOW)
        limits.on_reports("h-2", [RateLimitReport("i-1", 2.0, 0.0, 500)], NOW)
        self.assertEqual(send_all(limits, NOW + 4.0), 0)
        self.assertEqual(send_all(limits, NOW + 5.1), 1)

    def test_count_leaves_out_what_has_expired(self):
        limits = make_limits()
        limits.on_response("i-2", 2.0, NOW, NOW + 5.0)
        self.assertEqual(limits.count(NOW + 5.0), 2)
        self.assertEqual(limits.count(NOW + TTL_S + 3.0), 1)

    def test_limit_that_nobody_names_again_expires(self):
        limits = make_limits()
        ttl_s = TTL_S + TTL_REQUESTS / 2.0
        self.assertTrue(limits.is_limited("i-1", NOW + ttl_s - 0.1))
        self.assertFalse(limits.is_limited("i-1", NOW + ttl_s + 0.1))

    def test_limit_of_zero_allows_no_request(self):
        limits = make_limits()
        limits.on_response("i-1", 0.0, NOW, NOW + 1.0)
        self.assertFalse(limits.allowance(INSTANCE, "a", NOW + 9.0).may_send)


if __name__ == "__main__":
    unittest.main()
