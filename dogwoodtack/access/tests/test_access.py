"""Tests of keys, rules, contacts with the store and counters of organisations."""

import hashlib
import unittest

from nose2.tools import params

from dogwoodtack.access import (
    AccessControl,
    AccessRules,
    OrganisationCounts,
    StoreContacts,
    parse_credentials,
)
from dogwoodtack.errors import ErrorKind
from dogwoodtack.routing import Organisation


def digest(key):
    return hashlib.sha256(key).hexdigest()


def organisation(name, *keys):
    return Organisation(name, tuple(digest(key) for key in keys))


COURT = organisation("court", b"k1", b"k2")
CITY = organisation("city", b"k3", b"shared")
LIBRARY = organisation("library", b"k4", b"shared")
RULES = AccessRules((COURT, CITY, LIBRARY))
UNAUTHORIZED = ErrorKind.UNAUTHORIZED


class KeyTest(unittest.TestCase):
    @params(
        # Authorization header, organisation or why there is none
        (b"Bearer k1", COURT),
        (b"bEARER k2", COURT),
        (b" Bearer   k3 ", CITY),
        (None, "no key"),
        (b"", "another scheme than Bearer"),
        (b"k1", "another scheme than Bearer"),
        (b"Basic k1", "another scheme than Bearer"),
        (b"Bearerk1", "another scheme than Bearer"),
        (b"Bearer", "empty key"),
        (b"Bearer  ", "empty key"),
        (b"Bearer k", "unknown key"),
        (b"Bearer K1", "unknown key"),
        (b"Bearer k1 k2", "unknown key"),
        (b"Bearer k1,Bearer k1", "unknown key"),
        (b"Bearer " + b"k" * 8192, "key over 4096 B"),
        (b"Bearer \xff\xfe", "key is not text"),
        (b"Bearer shared", "key of several organisations"),
        (b"Bearer " + digest(b"k1").encode(), "unknown key"),
    )
    def test_organisation(self, value, expected):
        """Whatever is no key of exactly one organisation opens nothing."""
        headers = [(b"host", b"a.example")]
        if value is not None:
            headers.append((b"authorization", value))
        credentials = parse_credentials(headers)
        found = RULES.check(credentials, False)
        anonymous = RULES.check(credentials, True)
        if isinstance(expected, Organisation):
            self.assertEqual(found, (expected, None, ""))
            self.assertEqual(anonymous, (expected, None, ""))
        else:
            self.assertEqual(found, (None, UNAUTHORIZED, expected))
            self.assertEqual(anonymous, (None, None, ""))
        self.assertIsNone(AccessRules(None).check(credentials, False).error)
        self.assertEqual(AccessRules(()).check(credentials, False).error, UNAUTHORIZED)

    @params(True, False)
    def test_two_headers_are_malformed(self, allows_anonymous):
        """Hosts and instances could take different ones."""
        headers = [(b"authorization", b"Bearer k1"), (b"Authorization ", b"Bearer k1")]
        found = RULES.check(parse_credentials(headers), allows_anonymous)
        self.assertEqual((found.organisation, found.error), (None, "bad-request"))
        self.assertIsNone(AccessRules(None).check(parse_credentials(headers), 0).error)

    def test_key_is_kept_nowhere(self):
        for value in (b"Bearer s3cret", b"Basic s3cret", b"Bearer s3cret\xff"):
            credentials = parse_credentials([(b"authorization", value)])
            text = repr((credentials, RULES.check(credentials, False)))
            self.assertNotIn("s3cret", text)

    @params("", " court", "court\t", "a\r\nx: b", "a\x00", "\ud800")
    def test_name_that_cannot_be_sent(self, name):
        """An instance got a part of a name, or another header."""
        found = AccessRules((organisation(name, b"k"),)).check(
            parse_credentials([(b"authorization", b"Bearer k")]), False
        )
        self.assertEqual(found.error, UNAUTHORIZED)


class RevocationTest(unittest.TestCase):
    @params(
        # whether keys are confirmed, key, whether the route is anonymous, result
        (True, b"k1", False, (COURT, None)),
        (False, b"k1", False, (None, ErrorKind.CUT_OFF)),
        (False, b"k1", True, (None, None)),
        (False, b"none", False, (None, ErrorKind.CUT_OFF)),
        (False, b"none", True, (None, None)),
    )
    def test_unconfirmed_keys(self, is_confirmed, key, is_anonymous, expected):
        """A host without contact went on with keys that had been removed."""
        access = AccessControl(lambda: is_confirmed)
        credentials = parse_credentials([(b"authorization", b"Bearer " + key)])
        self.assertEqual(access.check(credentials, is_anonymous), (None, None, ""))
        access.set_organisations((COURT,))
        self.assertEqual(access.check(credentials, is_anonymous)[:2], expected)

    @params(
        # heartbeats as (time, version, age of the store's word), version here, age at
        # time 10
        ([], 5, float("inf")),
        ([(9, 5, 0.5)], 5, 1.5),
        ([(9, 4, 0.5)], 5, 1.5),
        ([(7, 5, 0.5), (9, 6, 0.5)], 5, 3.5),
        ([(7, 5, 0.5), (9, 6, 0.5)], 6, 1.5),
        ([(9, 6, 0.5), (9.5, 5, 4.0)], 5, 4.5),
        ([(9, 5, 0.0), (9.5, 5, 4.0)], 5, 1.0),
        ([(9, 5, 1e6)], 5, 1e6 + 1),
        ([(n / 2, n, 0.0) for n in range(20)], 15, 2.5),
    )
    def test_age_of_the_last_contact(self, heartbeats, version, expected):
        """A peer that has lost the store, or is ahead, confirmed an old version."""
        contacts = StoreContacts()
        for at, named, age_s in heartbeats:
            contacts.on_heartbeat(named, age_s, at)
        self.assertAlmostEqual(contacts.age_s(version, 10.0), expected)


class CountsTest(unittest.TestCase):
    def test_largest_organisations_have_their_own(self):
        """Each of thousands of organisations made a time series of its own."""
        counts = OrganisationCounts(max_named=10, max_tracked=50)
        for number in range(3000):
            counts.record(f"small-{number}", "served")
            if number % 10 == 0:
                counts.record("large", "served")
                counts.record("large", "rejected")
        rows = list(counts.rows())
        self.assertEqual(sum(count for _, _, count in rows), 3600)
        names = {name for name, _, _ in rows}
        self.assertEqual(len(names), 11)
        self.assertLessEqual({"large", "other"}, names)
        self.assertLessEqual(len(counts._totals), 51)
        found = {result: count for name, result, count in rows if name == "large"}
        self.assertGreaterEqual(min(found.values()), 295)


if __name__ == "__main__":
    unittest.main()
