"""Tests of keys, rules, contacts with the store and counters of organisations."""

import hashlib
import itertools
import random
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
LONG_KEY = b"k" * 8191
CITY = organisation("city", b"k3", LONG_KEY, LONG_KEY + b"k", b"shared")
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
        (b"Bearer " + LONG_KEY, CITY),
        (b"Bearer " + LONG_KEY + b"k", "key over 8191 B"),
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


class Network:
    """Hosts that read versions from a store or from each other over unsure links.

    Steps of 0.1 s; links are cut and healed at random, and heartbeats get lost.
    """

    hosts = 5

    def __init__(self, seed, cut_rate):
        self.rng = random.Random(seed)
        self.cut_rate = cut_rate
        self.now = 0.0
        self.written = [(0.0, 1)]
        self.versions = [1] * self.hosts
        self.store_seen_at = [0.0] * self.hosts
        self.contacts = [StoreContacts() for _ in range(self.hosts)]
        self.cuts = set()

    def step(self):
        self.now += 0.1
        if self.rng.random() < 0.05:
            self.written.append((self.now, self.written[-1][1] + 1))
        pairs = [(a, b) for a in range(self.hosts) for b in (*range(a), "store")]
        for pair in pairs:
            if self.rng.random() < 0.02:
                self.cuts.discard(pair)
                if self.rng.random() < self.cut_rate:
                    self.cuts.add(pair)
        for host in range(self.hosts):
            if (host, "store") not in self.cuts:
                self.versions[host] = self.written[-1][1]
                self.store_seen_at[host] = self.now
        for sender, receiver in itertools.permutations(range(self.hosts), 2):
            pair = max(sender, receiver), min(sender, receiver)
            if pair not in self.cuts and self.rng.random() < 0.25:
                self.on_heartbeat(sender, receiver)

    def on_heartbeat(self, sender, receiver):
        age_s = self.now - self.store_seen_at[sender]
        version = self.versions[sender]
        self.contacts[receiver].on_heartbeat(version, age_s, self.now)
        # At times a relay fails that a heartbeat has led to.
        if version > self.versions[receiver] and self.rng.random() < 0.7:
            self.versions[receiver] = version

    def age_s(self, host):
        contact_s = self.contacts[host].age_s(self.versions[host], self.now)
        return min(contact_s, self.now - self.store_seen_at[host])

    def newest_at(self, at):
        return max(version for written_at, version in self.written if written_at <= at)


class RevocationReplayTest(unittest.TestCase):
    @params(*itertools.product(range(10), (0.1, 0.5, 0.9)))
    def test_keys_are_never_older_than_their_age(self, seed, cut_rate):
        """A strict host served a key that had been removed more than revokeS before."""
        network = Network(seed, cut_rate)
        for _ in range(600):
            network.step()
            for host in range(network.hosts):
                at = network.now - network.age_s(host)
                self.assertGreaterEqual(
                    network.versions[host], network.newest_at(at + 1e-6)
                )

    def test_one_host_with_contact_is_enough_for_all(self):
        """Hosts that only hear peers rejected valid keys."""
        network = Network(1, 0.0)
        network.cuts = {(host, "store") for host in range(1, network.hosts)}
        network.rng.random = lambda: 0.2
        for _ in range(100):
            network.step()
            ages_s = [network.age_s(host) for host in range(network.hosts)]
            self.assertLess(max(ages_s), 0.3)


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
