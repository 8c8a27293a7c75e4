"""Tests of the transfer of state between hosts."""

import json
import math
import unittest
from unittest import mock

from nose2.tools import params

from dogwoodtack.calls import Reply
from dogwoodtack.feed import (
    RelayClient,
    encode_confirmation,
    handle_relay_request,
    version_to_confirm,
)
from dogwoodtack.feed.relay import decode_state
from dogwoodtack.misc import Address
from dogwoodtack.placement import EntryVersion, InstanceChange, InstanceRegistry
from dogwoodtack.placement.tests.test_parts import make_instance
from dogwoodtack.platform.tests.test_wire import CONFIG
from dogwoodtack.platform.wire import decode_configuration
from dogwoodtack.position import START_POSITION, StorePosition
from dogwoodtack.routing import Organisation, RouteKind, digest_key
from dogwoodtack.store.tests.test_client import OneReplyClient

CONFIGURATION = decode_configuration(CONFIG)
ROUTE = CONFIGURATION.routes[0]


def make_registry():
    registry = InstanceRegistry()
    for n in (1, 2, 3):
        position = StorePosition(2, n)
        instance = make_instance(f"i-{n}")
        registry.apply([InstanceChange(f"i-{n}", position, instance)], position)
    position = StorePosition(2, 4)
    entry_version = EntryVersion(1000, 7)
    registry.apply([InstanceChange("i-2", position, None, entry_version)], position)
    return registry


def request_state(target, is_synced=True):
    return handle_relay_request(target, make_registry(), CONFIGURATION, is_synced, 1.5)


class ConfirmationTest(unittest.TestCase):
    @params(
        # status, version known to the host, whether the peer's build is an earlier one;
        # whether it is confirmed, whether a configuration comes with it
        (200, 0, False, True, True),
        (200, CONFIGURATION.version, False, True, False),
        (200, CONFIGURATION.version + 1, False, True, False),
        (200, 0, True, False, False),
        (503, 0, False, False, False),
        (404, 0, False, False, False),
    )
    def test_reply_of_a_peer(self, status, version, is_earlier, confirmed, has_newer):
        fields = json.loads(encode_confirmation(CONFIGURATION, version))
        if is_earlier:
            fields.pop("kinds")
        client = mock.Mock()
        results = []
        relay_client = RelayClient(client)
        address = Address("10.0.0.1", 3)
        relay_client.confirm(address, version, lambda *args: results.append(args))
        call, on_reply = client.call.call_args.args
        self.assertEqual(version_to_confirm(call.target), version)
        on_reply(Reply(status, [], fields), None)
        [(is_confirmed, configuration)] = results
        self.assertEqual(is_confirmed, confirmed)
        self.assertEqual(configuration, CONFIGURATION if has_newer else None)

    @params(None, [], {}, {"configuration": 1}, {"configuration": [1]}, "x")
    def test_unusable_reply_confirms_nothing(self, body):
        client = mock.Mock()
        results = []
        RelayClient(client).confirm(
            Address("10.0.0.1", 3), 1, lambda *args: results.append(args)
        )
        client.call.call_args.args[1](Reply(200, [], body), None)
        self.assertEqual(results, [(False, None)])

    @params(("/state?version=3", None), ("/confirmation", 0), ("/confirmation/", None))
    def test_other_requests_ask_for_none(self, target, expected):
        self.assertEqual(version_to_confirm(target), expected)

    def test_version_that_is_no_number(self):
        with self.assertRaises(ValueError):
            version_to_confirm("/confirmation?version=x")


class RelayTest(unittest.TestCase):
    @params((2, 0, 3), (2, 2, 2), (2, 3, 2), (2, 4, 1), (1, 9, 3))
    def test_follower_reads_missing_changes(self, era, revision, count):
        body = request_state(f"/state?era={era}&revision={revision}&version=0")
        state = decode_state(json.loads(body))
        self.assertEqual(len(state.changes), count)
        self.assertEqual(state.position, StorePosition(2, 4))
        self.assertEqual(state.recovery_left_s, 1.5)
        self.assertTrue(state.is_peer_synced)
        follower = InstanceRegistry()
        follower.apply(state.changes, state.position)
        known_changes = make_registry().changes_since(StorePosition(era, revision))
        self.assertEqual(follower.changes_since(START_POSITION), known_changes[:count])
        if count == 3:
            known = sorted(one.id for one in follower.all())
            self.assertEqual(known, ["i-1", "i-3"])

    @params((0, True), (4, True), (5, False), (9, False))
    def test_peer_behind_the_first_snapshot_gets_a_snapshot(
        self, revision, is_snapshot
    ):
        """The responding host has read its first snapshot at revision 5."""
        registry = make_registry()
        registry.record_full_snapshot(StorePosition(2, 5))
        body = handle_relay_request(
            f"/state?era=2&revision={revision}&version=0", registry, None, True, 0.0
        )
        state = decode_state(json.loads(body))
        self.assertEqual(state.is_snapshot, is_snapshot)
        names = {change.id for change in state.changes if change.instance}
        self.assertEqual(names, {"i-1", "i-3"} if is_snapshot else set())

    @params((0, True), (11, True), (12, False), (13, False))
    def test_only_a_newer_configuration_is_sent(self, version, is_sent):
        body = request_state(f"/state?era=2&revision=9&version={version}")
        found = decode_state(json.loads(body)).configuration
        self.assertEqual(found, CONFIGURATION if is_sent else None)

    def test_additions_of_a_configuration_are_passed_on(self):
        """Without them, a follower would take every route for one without keys."""
        organisation = Organisation("org-1", (digest_key("k1"),), 1, 212.0, 300.0)
        upload = ROUTE._replace(name="r-2", kind=RouteKind.UPLOAD)
        for organisations in (None, (), (organisation,)):
            configuration = CONFIGURATION._replace(
                routes=(
                    ROUTE._replace(allows_anonymous=True),
                    upload,
                    ROUTE._replace(name="r-3", weighted_services=()),
                ),
                organisations=organisations,
            )
            body = handle_relay_request(
                "/state?version=0", make_registry(), configuration, True, 0.0
            )
            self.assertNotIn("k1", body.decode())
            state = decode_state(json.loads(body))
            self.assertEqual(state.configuration, configuration)
            self.assertEqual(state.partial_version, 0)

    def test_hosts_of_the_previous_build_can_read_the_configuration(self):
        """They reject routes with other members or kinds, with all instances."""
        upload = ROUTE._replace(kind=RouteKind.UPLOAD, weighted_services=())
        configuration = CONFIGURATION._replace(routes=(upload,), organisations=())
        body = handle_relay_request(
            "/state?version=0", make_registry(), configuration, True, 0.0
        )
        members = json.loads(body)["configuration"]
        self.assertEqual(len(members), 4)
        self.assertEqual(len(members[1][0]), 9)
        self.assertEqual(members[1][0][3:5], ["unsafe", [["", 1.0]]])

    @params(
        ("organisations",),
        ("anonymous",),
        ("kinds",),
        ("organisations", "anonymous", "kinds"),
        ("organisations", 7),
        ("organisations", [7]),
        ("organisations", [["org-1", ["k1"], 1, 0.0, 0.0]]),
        ("organisations", [["a\r\nb", [], 1, 0.0, 0.0]]),
        ("kinds", []),
    )
    def test_configuration_without_usable_additions_is_not_taken(self, *change):
        """One of the previous build would open every route that needs a key."""
        fields = json.loads(request_state("/state?revision=0&version=0"))
        if len(change) == 2:
            fields[change[0]] = change[1]
        else:
            for key in change:
                del fields[key]
        state = decode_state(fields)
        self.assertEqual((state.configuration, state.partial_version), (None, 12))
        self.assertEqual(len(state.changes), 3)

    def test_kind_of_a_later_build_is_not_idempotent(self):
        fields = json.loads(request_state("/state?revision=0&version=0"))
        fields["kinds"] = {"r-1": "later"}
        kind = decode_state(fields).configuration.routes[0].kind
        self.assertEqual(kind, RouteKind.UNSAFE)

    def test_other_path_is_not_answered(self):
        self.assertIsNone(request_state("/other"))

    @params("revision=x", "version=1.5", "era=-1", "era=x", "era=99999999")
    def test_malformed_number_is_an_error(self, query):
        with self.assertRaises(ValueError):
            request_state(f"/state?{query}")

    @params(
        None,
        [],
        {},
        {"instances": [[]]},
        {"instances": [["i-1", 1, []]]},
        {"entries": [[1]]},
        {"revision": math.inf},
        {"configuration": [1]},
    )
    def test_unusable_state_is_reported_as_none(self, fields):
        body = fields
        if fields:
            body = {
                **json.loads(request_state("/state?revision=0&version=0")),
                **fields,
            }
        results = []
        client = RelayClient(OneReplyClient(Reply(200, [], body)))
        client.read(Address("10.0.0.1", 1), START_POSITION, 0, results.append)
        self.assertEqual(results, [None])

    @params(
        # place in the instance's fields, and what a host of an earlier build took there
        (2, "10.0.0.\ufffd:80"),
        (2, "shop.example:80"),
        (2, "10.0.0.1:70000"),
        (2, 17),
        (4, 10**400),
        (4, "2"),
        (6, math.nan),
        (7, 10**400),
        (0, "i\r\n"),
    )
    def test_odd_instance_of_a_peer_does_not_hide_others(self, place, value):
        fields = json.loads(request_state("/state?revision=0&version=0"))
        fields["instances"][0][2][place] = value
        state = decode_state(fields)
        known = [change.instance is not None for change in state.changes]
        self.assertEqual(known, [False, False, True])

    def test_exception_of_the_reader_is_not_taken_for_an_unusable_state(self):
        """The callback was called a second time, with None."""
        body = json.loads(request_state("/state?revision=0&version=0"))
        client = RelayClient(OneReplyClient(Reply(200, [], body)))
        on_done = mock.Mock(side_effect=ValueError("odd"))
        with self.assertRaises(ValueError):
            client.read(Address("10.0.0.1", 1), START_POSITION, 0, on_done)
        on_done.assert_called_once()

    def test_state_of_a_host_without_eras(self):
        """Hosts of earlier builds send neither the era nor the entries' versions."""
        fields = json.loads(request_state("/state?revision=0&version=0"))
        del fields["era"], fields["entries"], fields["recovery"]
        state = decode_state(fields)
        self.assertEqual(state.position, StorePosition(0, 4))
        self.assertEqual(state.recovery_left_s, 0.0)
        self.assertEqual({change.position.era for change in state.changes}, {0})
