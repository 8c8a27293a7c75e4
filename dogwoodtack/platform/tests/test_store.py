"""Tests of the store's answers: positions, eras and unusable headers."""

import functools
import math
import unittest
from functools import partial
from unittest import mock

from loguru import logger
from nose2.tools import params

from dogwoodtack.calls import Reply
from dogwoodtack.errors import EndedEra, HistoryGone, StoreConflict, StoreError
from dogwoodtack.misc import Address
from dogwoodtack.placement import EntryVersion
from dogwoodtack.platform.era import EraReader
from dogwoodtack.platform.objects import ObjectStore
from dogwoodtack.platform.source import PlatformSource
from dogwoodtack.platform.tests.test_wire import CONFIG, ENTRY, with_field
from dogwoodtack.position import StorePosition

KNOWN_ERA = 4


def make_headers(*eras):
    return [(b"content-type", b"application/json")] + [
        (b"Store-Era", str(era).encode()) for era in eras
    ]


class ScriptedClient:
    """Answers each call with the next of some replies."""

    def __init__(self):
        self.replies = []
        self.targets = []

    def add(self, body, *eras, status=200):
        self.replies.append(Reply(status, make_headers(*eras), body))

    def call(self, call, on_reply):
        self.targets.append(call.target)
        on_reply(self.replies.pop(0), None)


class ConfigurationSourceTest(unittest.TestCase):
    """The object of the configuration is read again and again."""

    def setUp(self):
        self.client = ScriptedClient()
        store = ObjectStore(self.client, Address("10.0.0.1", 1), 1.0)
        self.source = PlatformSource(store)

    def read(self, spec):
        item = {"metadata": {"name": "main", "revision": 8}, "spec": spec}
        self.client.add({"items": [item], "currentRev": 8}, KNOWN_ERA)
        found = []
        self.source.read_configuration(lambda update, exc: found.append(update))
        return found[0].configuration

    def test_unchanged_object_is_decoded_and_logged_once(self):
        """A part that can't be decoded was logged at each confirmation of a request."""
        odd = with_field(CONFIG, "routes.r-1.kind", "odd")
        with mock.patch("dogwoodtack.platform.part_reader.log_event") as log:
            first = self.read(odd)
            self.assertIs(self.read(odd), first)
            self.assertEqual(log.call_count, 1)
            self.assertIsNot(self.read(CONFIG), first)

    def test_object_that_is_nested_deeply_is_decoded(self):
        deep = functools.reduce(lambda value, _: [value], range(5000), 1)
        self.assertEqual(self.read({**CONFIG, "later": deep}).version, 12)

    def test_unusable_version_does_not_bring_back_the_last_one(self):
        self.assertEqual(self.read(CONFIG).version, 12)
        self.assertIsNone(self.read({**CONFIG, "version": None}))


class EraReaderTest(unittest.TestCase):
    def setUp(self):
        self.lines = []
        sink = logger.add(lambda text: self.lines.append(text), format="{message}")
        self.addCleanup(logger.remove, sink)
        self.now = 100.0
        self.reader = EraReader(lambda: self.now)
        self.reader.observe(KNOWN_ERA)

    @params(
        # the headers' values, the error, the era known afterwards
        ((), None, KNOWN_ERA),
        (("4",), None, KNOWN_ERA),
        (("5",), None, 5),
        ((" 6 ",), None, 6),
        (("3",), EndedEra, KNOWN_ERA),
        (("0",), EndedEra, KNOWN_ERA),
        (("",), StoreError, KNOWN_ERA),
        (("-5",), StoreError, KNOWN_ERA),
        (("+5",), StoreError, KNOWN_ERA),
        (("5.0",), StoreError, KNOWN_ERA),
        (("5e2",), StoreError, KNOWN_ERA),
        (("five",), StoreError, KNOWN_ERA),
        (("\u00b2",), StoreError, KNOWN_ERA),
        (("1000001",), StoreError, KNOWN_ERA),
        (("9" * 5000,), StoreError, KNOWN_ERA),
        (("5", "5"), StoreError, KNOWN_ERA),
        (("5, 5",), StoreError, KNOWN_ERA),
    )
    def test_era_of_an_answer(self, eras, error, era_after):
        exc = self.reader.check(make_headers(*eras))
        self.assertIs(type(exc), error or type(None))
        self.assertEqual(self.reader.era, era_after)
        is_logged = any("event=store-era-unusable" in line for line in self.lines)
        self.assertEqual(is_logged, error is StoreError)

    def test_unusable_eras_are_logged_once_a_second(self):
        for _ in range(250):
            self.reader.check(make_headers("odd"))
            self.now += 0.01
        self.assertEqual(len(self.lines), 3)


class StoreTest(unittest.TestCase):
    def setUp(self):
        self.client = ScriptedClient()
        store = ObjectStore(self.client, Address("10.0.0.1", 1), 1.0)
        self.source = PlatformSource(store)
        self.source.observe_era(KNOWN_ERA)
        self.results = []

    def on_done(self, result, exc):
        self.results.append((result, exc))

    def read_position(self):
        updates, exc = self.results.pop()
        self.assertIsNone(exc)
        return updates.position

    @params(((), 4), ((4,), 4), ((5,), 5))
    def test_position_of_a_list(self, eras, era):
        self.client.add({"items": [ENTRY], "currentRev": 7}, *eras)
        self.source.read_instances(self.on_done)
        ((updates, _exc),) = self.results
        self.assertEqual(updates.position, StorePosition(era, 7))
        (change,) = updates.changes
        self.assertEqual(change.position, StorePosition(era, 7))
        self.assertEqual(change.entry_version, EntryVersion(1796346000000, 4))

    @params(
        {},
        {"items": None, "events": None, "currentRev": 7},
        {"items": {"a": ENTRY}, "events": {"a": ENTRY}, "currentRev": 7},
        {"items": [], "events": []},
        {"items": [], "events": [], "currentRev": None},
        {"items": [], "events": [], "currentRev": "many"},
        {"items": [], "events": [], "currentRev": math.inf},
        {"items": [{}], "events": [ENTRY], "currentRev": 7, "hasMore": True},
    )
    def test_unusable_reply_is_an_error(self, body):
        after = StorePosition(KNOWN_ERA, 1)
        source = self.source
        for call in (
            source.read_instances,
            source.read_configuration,
            partial(source.watch_instances, after, 0.8),
            partial(source.watch_configuration, after, 0.8),
            partial(source.read_hosts, "zone-a"),
        ):
            self.client.add(body, KNOWN_ERA)
            self.results.clear()
            call(self.on_done)
            ((result, exc),) = self.results
            self.assertIsNone(result)
            self.assertIs(type(exc), StoreError)

    @params(None, 5, "x", [], {"metadata": None}, {"metadata": {"name": 5}})
    def test_unusable_entry_does_not_hide_others(self, odd):
        body = {
            "items": [odd, ENTRY],
            "events": [{"object": odd, "deleted": False}],
            "currentRev": 7,
        }
        after = StorePosition(KNOWN_ERA, 1)
        source = self.source
        for call, expected in (
            (source.read_instances, 1),
            (partial(source.watch_instances, after, 0.8), 0),
        ):
            self.client.add(body, KNOWN_ERA)
            self.results.clear()
            call(self.on_done)
            ((updates, _exc),) = self.results
            self.assertEqual(len(updates.changes), expected)
        for call in (
            source.read_configuration,
            partial(source.watch_configuration, after, 0.8),
            partial(source.read_hosts, "zone-a"),
        ):
            self.client.add(body, KNOWN_ERA)
            self.results.clear()
            call(self.on_done)
            ((_result, exc),) = self.results
            self.assertIsNone(exc)

    def test_page_after_an_object_whose_name_is_a_number(self):
        odd = {"metadata": {"name": 5}}
        self.client.add({"items": [odd], "currentRev": 7, "hasMore": True}, 4)
        self.client.add({"items": [ENTRY], "currentRev": 7}, 4)
        self.source.read_instances(self.on_done)
        ((updates, _exc),) = self.results
        self.assertEqual([change.id for change in updates.changes], ["i-1"])

    def test_pages_of_two_eras_are_no_list(self):
        self.client.add({"items": [ENTRY], "currentRev": 7, "hasMore": True}, 4)
        self.client.add({"items": [ENTRY], "currentRev": 5}, 5)
        self.source.read_instances(self.on_done)
        ((updates, exc),) = self.results
        self.assertIsNone(updates)
        self.assertIsInstance(exc, HistoryGone)

    @params(
        # status, era of the answer to a watch in era 4, error
        (200, 4, None),
        (200, 5, HistoryGone),
        (200, 3, EndedEra),
        (410, 4, HistoryGone),
        (410, 5, HistoryGone),
        (503, 5, StoreError),
        (409, 3, EndedEra),
    )
    def test_watch_over_the_return_of_the_store(self, status, era, error):
        """A revision that was given out again must not look like the one before."""
        self.client.add({"events": [], "currentRev": 9}, era, status=status)
        self.source.watch_instances(StorePosition(4, 7), 0.8, self.on_done)
        ((_updates, exc),) = self.results
        self.assertIs(type(exc), error or type(None))

    def test_answers_after_the_return(self):
        for body, era, status in (
            ({}, 6, 503),
            ({"items": [], "currentRev": 70}, 5, 200),
            ({"items": [], "currentRev": 7}, 6, 200),
        ):
            self.client.add(body, era, status=status)
            self.source.read_configuration(self.on_done)
        errors = [type(exc) for _result, exc in self.results]
        self.assertEqual(errors, [StoreError, EndedEra, type(None)])
        self.assertEqual(self.read_position(), StorePosition(6, 7))

    def test_acknowledgement_of_an_ended_era_does_not_hold(self):
        errors = []
        store = ObjectStore(self.client, Address("10.0.0.1", 1), 1.0)
        store.observe_era(5)
        for era, status in ((4, 201), (5, 409), (5, 201)):
            self.client.add({}, era, status=status)
            store.create("kind", "name", {}, lambda _item, exc: errors.append(exc))
        types = [type(exc) for exc in errors]
        self.assertEqual(types, [EndedEra, StoreConflict, type(None)])
