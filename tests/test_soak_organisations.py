"""Checks of the soak's organisations: each finds what it is for, and nothing else."""

import unittest

from nose2.tools import params

from dogwoodtack_standins.site import ExecutedRequest
from soak.callers import Call
from soak.organisations import (
    Terms,
    Version,
    check_keys,
    check_limits,
    check_senders,
    known_since,
)

OWNERS = {"k1": "a", "k2": "a"}
# k1 is taken away at 10 s, when the limit falls.
HISTORY = (
    Version(0.0, {"a": Terms(("k1", "k2"), 20.0, 20.0)}),
    Version(10.0, {"a": Terms(("k2",), 2.0, 2.0)}),
)
NAME = "X-Dogwoodtack-Tenant"


def call(key, sent_at=20.0, status=200, needs_key=True):
    ended_at = sent_at + 0.1
    return Call("1", True, "host-0", 1, sent_at, ended_at, status, True, key, needs_key)


class ChecksTest(unittest.TestCase):
    @params(
        ("k2", True, ((NAME, "a"),), 0),
        ("k2", True, ((NAME, "b"),), 1),
        ("k2", True, (), 1),
        ("k2", True, ((NAME, "a"), ("X_Dogwoodtack_Tenant", "b")), 1),
        ("k2", True, ((NAME, "a"), ("authorization", "Bearer k2")), 2),
        ("", True, (), 1),
        ("", False, (), 0),
        ("", False, ((NAME, "a"),), 1),
        ("k2", False, (), 1),
        ("k1", False, (), 0),
    )
    def test_senders(self, key, needs_key, sender, found):
        ran = [ExecutedRequest("1", "POST", "/", b"", sender)]
        calls = [call(key, needs_key=needs_key)]
        violations = check_senders(ran, calls, OWNERS, HISTORY)
        self.assertEqual(len(violations), found, violations)

    @params(
        ("k1", 12.0, 200, (), 0),
        ("k1", 12.6, 200, (), 1),
        ("k1", 12.6, 200, ((11.0, 12.0),), 0),
        ("k1", 15.6, 200, ((11.0, 12.5),), 1),
        ("k1", 9.0, 401, (), 1),
        ("k1", 11.0, 401, (), 0),
        ("k2", 11.0, 401, (), 1),
        ("unknown", 11.0, 200, ((10.0, 11.0),), 1),
        ("unknown", 11.0, 401, (), 0),
        ("", 11.0, 200, (), 1),
    )
    def test_keys(self, key, sent_at, status, disturbances, found):
        ran = {"1"} if status == 200 else set()
        calls = [call(key, sent_at, status)]
        hosts = {"host-0": list(disturbances)}
        violations = check_keys(calls, ran, HISTORY, hosts)
        self.assertEqual(len(violations), found, violations)

    @params(
        # (20 x 5 + 20) x 1.1 + 20 = 152 before the limit falls, 33.2 afterwards.
        (152, 1.0, (), 0),
        (153, 1.0, (), 1),
        (33, 13.0, (), 0),
        (34, 13.0, (), 1),
        (34, 13.0, ((9.0, 12.0),), 0),
    )
    def test_limits(self, requests, begin, disturbances, found):
        times = {"a": [begin + n * 0.01 for n in range(requests)]}
        violations = check_limits(times, HISTORY, disturbances)
        self.assertEqual(len(violations), found, violations)

    @params(
        ((), 17.5),
        (((10.0, 16.0),), 17.5),
        (((10.0, 18.0),), 7.5),
        (((5.0, 9.0), (10.0, 18.0)), 2.5),
        (((5.0, 6.0), (10.0, 18.0)), 7.5),
        (((21.0, 22.0),), 17.5),
    )
    def test_disturbances_delay_versions(self, disturbances, since):
        self.assertEqual(known_since(disturbances, 20.0), since)
