"""Tests of what hosts read from each other."""

import json
import unittest

from nose2.tools import params

from dogwoodtack.feed import answer_relay
from dogwoodtack.feed.relay import decode_state
from dogwoodtack.placement import InstanceChange, InstanceRegistry
from dogwoodtack.placement.tests.test_parts import make_instance
from dogwoodtack.platform.tests.test_wire import CONFIG
from dogwoodtack.platform.wire import decode_configuration

CONFIGURATION = decode_configuration(CONFIG)


def make_book():
    book = InstanceRegistry()
    for n in (1, 2, 3):
        book.apply([InstanceChange(f"i-{n}", n, make_instance(f"i-{n}"))], n)
    book.apply([InstanceChange("i-2", 4, None)], 4)
    return book


def ask(target, complete=True):
    return answer_relay(target, make_book(), CONFIGURATION, complete)


class RelayTest(unittest.TestCase):
    @params((0, 3), (2, 2), (3, 2), (4, 1))
    def test_a_follower_reads_what_it_lacks(self, revision, count):
        body = ask(f"/state?revision={revision}&version=0")
        state = decode_state(json.loads(body))
        self.assertEqual(len(state.changes), count)
        self.assertEqual(state.revision, 4)
        self.assertTrue(state.is_complete)
        follower = InstanceRegistry()
        follower.apply(make_book().changes_since(0)[:0], revision)
        follower.apply(state.changes, state.revision)
        if revision == 0:
            known = sorted(one.id for one in follower.all())
            self.assertEqual(known, ["i-1", "i-3"])

    @params((0, True), (4, True), (5, False), (9, False))
    def test_who_knows_less_than_the_first_list_gets_the_whole(self, revision, whole):
        """The host that answers has read its first list at revision 5."""
        book = make_book()
        book.record_full_snapshot(5)
        body = answer_relay(f"/state?revision={revision}&version=0", book, None, True)
        state = decode_state(json.loads(body))
        self.assertEqual(state.is_whole, whole)
        names = {change.id for change in state.changes if change.instance}
        self.assertEqual(names, {"i-1", "i-3"} if whole else set())

    @params((0, True), (11, True), (12, False), (13, False))
    def test_only_a_newer_configuration_is_sent(self, version, is_sent):
        body = ask(f"/state?revision=9&version={version}")
        found = decode_state(json.loads(body)).configuration
        self.assertEqual(found, CONFIGURATION if is_sent else None)

    def test_another_path(self):
        self.assertIsNone(ask("/other"))
