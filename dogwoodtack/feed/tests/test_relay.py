"""Tests of the transfer of state between hosts."""

import json
import unittest

from nose2.tools import params

from dogwoodtack.feed import handle_relay_request
from dogwoodtack.feed.relay import decode_state
from dogwoodtack.placement import InstanceChange, InstanceRegistry
from dogwoodtack.placement.tests.test_parts import make_instance
from dogwoodtack.platform.tests.test_wire import CONFIG
from dogwoodtack.platform.wire import decode_configuration

CONFIGURATION = decode_configuration(CONFIG)


def make_registry():
    registry = InstanceRegistry()
    for n in (1, 2, 3):
        registry.apply([InstanceChange(f"i-{n}", n, make_instance(f"i-{n}"))], n)
    registry.apply([InstanceChange("i-2", 4, None)], 4)
    return registry


def request_state(target, is_synced=True):
    return handle_relay_request(target, make_registry(), CONFIGURATION, is_synced)


class RelayTest(unittest.TestCase):
    @params((0, 3), (2, 2), (3, 2), (4, 1))
    def test_follower_reads_missing_changes(self, revision, count):
        body = request_state(f"/state?revision={revision}&version=0")
        state = decode_state(json.loads(body))
        self.assertEqual(len(state.changes), count)
        self.assertEqual(state.revision, 4)
        self.assertTrue(state.is_peer_synced)
        follower = InstanceRegistry()
        follower.apply(make_registry().changes_since(0)[:0], revision)
        follower.apply(state.changes, state.revision)
        if revision == 0:
            known = sorted(one.id for one in follower.all())
            self.assertEqual(known, ["i-1", "i-3"])

    @params((0, True), (4, True), (5, False), (9, False))
    def test_peer_behind_the_first_snapshot_gets_a_snapshot(
        self, revision, is_snapshot
    ):
        """The responding host has read its first snapshot at revision 5."""
        registry = make_registry()
        registry.record_full_snapshot(5)
        body = handle_relay_request(
            f"/state?revision={revision}&version=0", registry, None, True
        )
        state = decode_state(json.loads(body))
        self.assertEqual(state.is_snapshot, is_snapshot)
        names = {change.id for change in state.changes if change.instance}
        self.assertEqual(names, {"i-1", "i-3"} if is_snapshot else set())

    @params((0, True), (11, True), (12, False), (13, False))
    def test_only_a_newer_configuration_is_sent(self, version, is_sent):
        body = request_state(f"/state?revision=9&version={version}")
        found = decode_state(json.loads(body)).configuration
        self.assertEqual(found, CONFIGURATION if is_sent else None)

    def test_other_path_is_not_answered(self):
        self.assertIsNone(request_state("/other"))
