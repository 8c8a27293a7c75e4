"""Tests of when instances that have failed get requests again with even load."""

import random
import unittest

from nose2.tools import params

from dogwoodtack.misc import Address
from dogwoodtack.placement import (
    Candidate,
    Instance,
    Observation,
    Requirements,
    SelectionMode,
)
from dogwoodtack.placement.balancing import Balancing
from dogwoodtack.placement.retests import CALM_INTERVAL_S, FailureShares
from dogwoodtack.placement.selection import select_candidate

NOW = 100.0


def make_candidate(name, since_failure_s=None, load=0, **fields):
    """Return a local instance of four slots, which may have failed a request."""
    instance = Instance(name, "s", Address("h", 1), "a", 4, False, 0.0, 0)
    has_failed = since_failure_s is not None
    return Candidate(
        instance,
        load,
        unhealthy_probability=0.87 if has_failed else 0.01,
        since_seen_s=since_failure_s if has_failed else 0.1,
        is_local=True,
        last_succeeded=not has_failed,
        last_failed=has_failed,
    )._replace(**fields)


def select(*candidates, balancing=Balancing.EVEN, interval_s=CALM_INTERVAL_S):
    found = select_candidate(
        candidates,
        Requirements(SelectionMode.CAUTIOUS),
        random.Random(1),
        balancing=balancing,
        retest_interval_s=interval_s,
    )
    return found.instance.id


HEALTHY = [make_candidate(f"i-{number}", load=1) for number in range(6)]


class RetestTest(unittest.TestCase):
    """After one failure an instance got nothing for 6 s, while others were overrun."""

    @params((3.9, 4.0, False), (4.0, 4.0, True), (1.7, 1.8, False), (1.8, 1.8, True))
    def test_next_request_after_a_failure(self, since_s, interval_s, is_retested):
        found = select(make_candidate("x", since_s), *HEALTHY, interval_s=interval_s)
        self.assertEqual(found == "x", is_retested)

    @params(
        {"in_flight": 1},
        {"is_local": False},
        {"last_failed": False, "unhealthy_probability": 0.2, "since_seen_s": 0.1},
    )
    def test_what_is_no_reason_for_a_retest(self, fields):
        """Each retest may fail its request, so one at a time is enough."""
        other = make_candidate("x", 5.0)._replace(**fields)
        self.assertNotEqual(select(other, *HEALTHY), "x")

    def test_instance_that_waits_longest_comes_first(self):
        due = [make_candidate("x", 4.5), make_candidate("y", 5.5)]
        self.assertEqual(select(*due, *HEALTHY), "y")

    def test_packed_services_are_tested_by_idempotent_requests(self):
        other = make_candidate("x", 5.0)
        self.assertNotEqual(select(other, *HEALTHY, balancing=Balancing.PACKED), "x")


class FailureSharesTest(unittest.TestCase):
    @params(
        # successes, failures, seconds since then, interval
        (50, 3, 0.0, 4.0),
        (50, 6, 0.0, 1.8),
        (50, 6, 3.0, 4.0),
        (4, 4, 0.0, 4.0),
    )
    def test_instances_are_tested_sooner_while_many_requests_fail(
        self, successes, failures, since_s, interval_s
    ):
        shares = FailureShares()
        for observation, count in (
            (Observation.SUCCESS, successes),
            (Observation.NO_RESPONSE, failures),
        ):
            for _ in range(count):
                shares.record("s", observation, NOW)
        self.assertEqual(shares.retest_interval_s("s", NOW + since_s), interval_s)
        self.assertEqual(shares.retest_interval_s("t", NOW), 4.0)
