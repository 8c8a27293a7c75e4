"""Checks of the soak's organisations: each finds what it is for, and nothing else."""

import unittest

from nose2.tools import params

from dogwoodtack_standins.site import ExecutedRequest
from soak.callers import Call
from soak.organisations import (
    Organisations,
    Terms,
    Version,
    check_calls,
    check_limits,
    known_since,
)

# k1 is taken away at 10 s, when the limit falls.
HISTORY = [
    Version(0.0, {"org-a": Terms(("k1", "k2"), 20.0)}),
    Version(10.0, {"org-a": Terms(("k2",), 2.0)}),
]
NAME = ("X-Dogwoodtack-Tenant", "org-a")
FORGED = ("X_Dogwoodtack_Tenant", "org-b")
KEY = ("authorization", "Bearer k2")


class ChecksTest(unittest.TestCase):
    def check(self, call, senders, disturbances=()):
        """Return how many violations are found."""
        organisations = Organisations()
        organisations.history = HISTORY
        organisations.owners = {"k1": "org-a", "k2": "org-a"}
        ran = [ExecutedRequest(call.id, "POST", "/", b"", one) for one in senders]
        hosts = {call.host: list(disturbances)}
        return len(check_calls([call], ran, organisations, hosts))

    @params(
        ("k2", True, (NAME,), 0),
        ("k2", True, (FORGED,), 1),
        ("k2", True, (), 1),
        ("k2", True, (NAME, FORGED), 1),
        ("k2", True, (NAME, KEY), 1),
        ("k2", False, (NAME,), 0),
        ("k2", False, (), 1),
        ("k1", False, (), 0),
        ("k1", False, (NAME,), 1),
        ("", True, (), 1),
        ("", False, (), 0),
        ("", False, (NAME,), 1),
    )
    def test_instances_get_the_owner_of_a_key(self, key, needs_key, sender, found):
        call = Call("1", needs_key, "host-0", 1, 20.0, 20.1, 200, True, key)
        self.assertEqual(self.check(call, [sender]), found)

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
    )
    def test_keys_are_valid_while_a_version_has_them(
        self, key, sent_at, status, disturbances, found
    ):
        call = Call("1", True, "host-0", 1, sent_at, sent_at + 0.1, status, True, key)
        senders = [(NAME,)] if status == 200 else []
        self.assertEqual(self.check(call, senders, disturbances), found)

    @params(
        # (20 x 5 + 20) x 1.1 + 20 = 152 before the limit falls, 33.2 afterwards.
        (152, 1.0, (), 0),
        (153, 1.0, (), 1),
        (33, 13.0, (), 0),
        (34, 13.0, (), 1),
        (34, 13.0, ((9.0, 12.0),), 0),
    )
    def test_limits(self, requests, begin, disturbances, found):
        times = {"org-a": [begin + n * 0.01 for n in range(requests)]}
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
