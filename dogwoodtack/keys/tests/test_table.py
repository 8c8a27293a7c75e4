"""Decisions of key tables that share a virtual clock and settle with each other."""

import random
import unittest

from nose2.tools import params

from dogwoodtack.clock import VirtualClock
from dogwoodtack.errors import ErrorKind
from dogwoodtack.keys import (
    KeyRequest,
    KeyRules,
    KeyTable,
    NotRun,
    Ran,
    Refuse,
    Replay,
    Run,
    SettleReply,
    SettleStatus,
    StoredResponse,
    Unknown,
)
from dogwoodtack.keys.wire import (
    reply_from_json,
    reply_to_json,
    request_from_json,
    request_to_json,
)

OWNER, LEFT, RIGHT = "a" * 32, "b" * 32, "c" * 32
RULES = KeyRules(epoch_s=60, window_epochs=10, keep_epochs=15)
STORED = StoredResponse(200, [(b"x-a", b"1")], b"done\xff")


class Network:
    """Delivers settle requests at once, or loses them or their replies on demand."""

    def __init__(self):
        self.tables = {}
        self.lose_requests = False
        self.lose_replies = False
        self.delivered = []

    def send(self, request, on_settled):
        table = self.tables.get(request.to)
        if table is None:
            on_settled(SettleReply(SettleStatus.NOT_HERE))
            return
        if not self.lose_requests:
            self.delivered.append(request)
            body = reply_to_json(
                table.settle(request_from_json(request_to_json(request)))
            )
            if not self.lose_replies:
                on_settled(reply_from_json(body))
                return
        on_settled(SettleReply(SettleStatus.UNREACHABLE))


class TableTest(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualClock()
        self.network = Network()
        for seed, name in enumerate((OWNER, LEFT, RIGHT)):
            self.add(name, seed, RULES)
        self.key = self.network.tables[OWNER].prefix + "release-1"

    def add(self, name, seed, rules):
        rng = random.Random(seed)
        table = KeyTable(name, self.clock, rules, self.network, rng)
        self.network.tables[name] = table

    def begin(self, name, key=None, fingerprint="f", service="jobtrack"):
        seen = []
        req = KeyRequest(key or self.key, service, fingerprint)
        self.network.tables[name].begin(req, seen.append)
        self.assertEqual(len(seen), 1)
        return seen[0]

    def run_at(self, name, result=None):
        decision = self.begin(name)
        self.assertIsInstance(decision, Run)
        if result is not None:
            self.network.tables[name].finish(decision.ticket, result)
        return decision

    def assert_refused(self, decision, kind):
        self.assertIsInstance(decision, Refuse)
        self.assertEqual(decision.kind, kind)

    @params(
        (None, ErrorKind.KEY_IN_FLIGHT),
        (Ran(None), ErrorKind.KEY_ANSWER_LOST),
        (Unknown(), ErrorKind.KEY_OUTCOME_LOST),
    )
    def test_used_key_is_refused_at_every_host(self, result, kind):
        self.run_at(OWNER, result)
        for name in (OWNER, LEFT, RIGHT):
            self.assert_refused(self.begin(name), kind)

    def test_stored_response_is_replayed_at_every_host(self):
        self.run_at(OWNER, Ran(STORED))
        for name in (OWNER, LEFT):
            self.assertEqual(self.begin(name), Replay(STORED))

    def test_not_run_key_may_run_again_at_its_owner_or_elsewhere(self):
        self.run_at(OWNER, NotRun())
        self.run_at(OWNER, NotRun())
        self.run_at(LEFT)

    @params(
        (None, ErrorKind.KEY_IN_FLIGHT),
        (Unknown(), ErrorKind.KEY_OUTCOME_LOST),
    )
    def test_handed_over_key_is_settled_with_its_successor(self, result, kind):
        self.run_at(LEFT, result)
        self.assert_refused(self.begin(OWNER), kind)
        self.assert_refused(self.begin(RIGHT), kind)

    def test_key_that_was_not_run_anywhere_may_run_at_any_host(self):
        for name in (OWNER, LEFT, RIGHT, OWNER, RIGHT, LEFT, LEFT):
            self.run_at(name, NotRun())
        self.run_at(RIGHT, Ran(STORED))
        for name in (OWNER, LEFT, RIGHT):
            self.assertEqual(self.begin(name), Replay(STORED))

    def test_lost_reply_while_a_key_returns_to_its_owner(self):
        self.run_at(LEFT, NotRun())
        self.network.lose_replies = True
        self.assert_refused(self.begin(OWNER), ErrorKind.OWNER_UNREACHABLE)
        self.network.lose_replies = False
        for name in (LEFT, RIGHT):
            self.assert_refused(self.begin(name), ErrorKind.KEY_VOIDED)
        self.run_at(OWNER, Ran(STORED))
        self.assertEqual(self.begin(LEFT), Replay(STORED))

    def test_request_with_a_lost_reply_is_retried_and_runs_once(self):
        self.network.lose_replies = True
        self.assert_refused(self.begin(LEFT), ErrorKind.OWNER_UNREACHABLE)
        self.network.lose_replies = False
        self.assert_refused(self.begin(RIGHT), ErrorKind.KEY_VOIDED)
        self.run_at(LEFT, Ran(STORED))
        self.assertEqual(self.begin(RIGHT), Replay(STORED))

    def test_late_copies_of_a_request_grant_nothing_twice(self):
        self.run_at(LEFT, Unknown())
        reply = self.network.tables[OWNER].settle(self.network.delivered[0])
        self.assertEqual(reply.status, SettleStatus.HANDED_OVER)
        self.assert_refused(self.begin(LEFT), ErrorKind.KEY_OUTCOME_LOST)

    def test_successor_that_forgot_is_not_granted_the_key_again(self):
        self.run_at(LEFT, Ran(STORED))
        self.add(LEFT, seed=9, rules=RULES)
        self.assert_refused(self.begin(LEFT), ErrorKind.KEY_OUTCOME_LOST)
        self.assert_refused(self.begin(RIGHT), ErrorKind.KEY_OUTCOME_LOST)

    def test_grant_after_the_requester_forgot_is_not_used(self):
        held = []
        self.network.send = lambda request, on_settled: held.append(on_settled)
        seen = []
        left = self.network.tables[LEFT]
        left.begin(KeyRequest(self.key, "jobtrack", "f"), seen.append)
        self.clock.advance(16 * 60)
        left.may_have_run(self.key)
        held[0](SettleReply(SettleStatus.HANDED_OVER))
        self.assert_refused(seen[0], ErrorKind.KEY_OUTCOME_LOST)

    @params(OWNER, LEFT)
    def test_dead_host_leaves_the_outcome_unknown(self, dead):
        self.run_at(LEFT)
        del self.network.tables[dead]
        self.assert_refused(self.begin(RIGHT), ErrorKind.OWNER_UNREACHABLE)

    @params(("g", "jobtrack"), ("f", "enrol-core"))
    def test_other_request_with_the_same_key_is_refused(self, fingerprint, service):
        self.run_at(OWNER, Ran(STORED))
        for name in (OWNER, LEFT):
            decision = self.begin(name, None, fingerprint, service)
            self.assert_refused(decision, ErrorKind.KEY_REUSED)
            self.assertEqual(self.begin(name), Replay(STORED))

    @params("", "release-1", f"{OWNER}/x", f"{OWNER}.0/", f"{OWNER}.0/{'x' * 65}")
    def test_malformed_key(self, key):
        table = self.network.tables[OWNER]
        decision = self.begin(OWNER, key or " ")
        self.assert_refused(decision, ErrorKind.KEY_MALFORMED)
        self.assertFalse(table.may_have_run(key))

    @params(OWNER, LEFT)
    def test_key_of_a_future_epoch_is_refused(self, name):
        decision = self.begin(name, f"{OWNER}.1/x")
        self.assert_refused(decision, ErrorKind.KEY_MALFORMED)

    @params(
        (10, OWNER, None),
        (11, OWNER, ErrorKind.KEY_EXPIRED),
        (11, LEFT, ErrorKind.KEY_EXPIRED),
    )
    def test_new_key_is_accepted_only_while_recent(self, epochs, name, kind):
        self.clock.advance(epochs * 60)
        decision = self.begin(name)
        if kind is None:
            self.assertIsInstance(decision, Run)
        else:
            self.assert_refused(decision, kind)

    def test_forgotten_key_never_runs_again(self):
        self.run_at(OWNER, Ran(STORED))
        table = self.network.tables[OWNER]
        for _ in range(40):
            self.clock.advance(30)
            self.assertNotIsInstance(self.begin(OWNER), Run)
            self.assertNotIsInstance(self.begin(LEFT), Run)
        self.assertEqual((table.remembered, table.response_bytes), (0, 0))
        self.assertTrue(table.may_have_run(self.key))

    def test_many_keys_are_forgotten_in_batches(self):
        table = self.network.tables[OWNER]
        for number in range(1000):
            self.begin(OWNER, f"{self.key}-{number}")
        self.clock.advance(16 * 60)
        before = table.remembered
        for _ in range(1000):
            self.assertNotIsInstance(self.begin(OWNER), Run)
            self.assertLessEqual(before - table.remembered, 100)
            before = table.remembered
        self.assertEqual(before, 0)

    def test_full_table_refuses_new_keys_and_keeps_old_ones(self):
        self.add(OWNER, seed=1, rules=RULES._replace(max_keys=1))
        self.run_at(OWNER, Ran(STORED))
        decision = self.begin(OWNER, self.key + "-2")
        self.assert_refused(decision, ErrorKind.OVERLOADED)
        self.assertEqual(self.begin(OWNER), Replay(STORED))

    def test_responses_over_the_limit_are_dropped_but_not_their_keys(self):
        self.add(OWNER, seed=1, rules=RULES._replace(max_response_bytes=250))
        keys = [f"{self.key}-{number}" for number in range(3)]
        table = self.network.tables[OWNER]
        for key in keys:
            table.finish(self.begin(OWNER, key).ticket, Ran(STORED))
        self.assertLessEqual(table.response_bytes, 250)
        self.assert_refused(self.begin(OWNER, keys[0]), ErrorKind.KEY_ANSWER_LOST)
        self.assertEqual(self.begin(OWNER, keys[2]), Replay(STORED))

    def test_may_have_run(self):
        owner, left = self.network.tables[OWNER], self.network.tables[LEFT]
        self.assertFalse(owner.may_have_run(self.key))
        self.assertTrue(left.may_have_run(self.key))
        decision = self.run_at(LEFT)
        left.finish(decision.ticket, NotRun())
        self.assertFalse(left.may_have_run(self.key))
        self.assertTrue(owner.may_have_run(self.key))
