"""Tests of which answers of the object service are used."""

import math
import unittest

from nose2.tools import params

from dogwoodtack.calls import Reply
from dogwoodtack.errors import StoreConflict, StoreError
from dogwoodtack.misc import Address
from dogwoodtack.store import Store

OBJECT = {"kind": "service", "name": "jt", "version": 8, "value": {}}


class OneReplyClient:
    """Answers every call with the same reply."""

    def __init__(self, reply):
        self._reply = reply

    def call(self, call, on_reply):
        on_reply(self._reply, None)


class StoreTest(unittest.TestCase):
    def call_each(self, reply):
        """Return the errors of a read, two lists, a watch and a write."""
        store = Store(OneReplyClient(reply), Address("10.0.0.1", 1), 1.0)
        errors = []

        def on_done(_result, exc):
            errors.append(exc)

        store.get("service", "jt", on_done)
        store.list(on_done)
        store.hosts(on_done)
        store.watch(7, 1.0, on_done)
        store.put("service", "jt", {}, 7, on_done)
        return errors

    @params(200, 404, 409)
    def test_store_that_may_lose_what_it_acknowledged_is_not_used(self, status):
        """Versions that go back would hide changes, and leases would be held twice."""
        body = {**OBJECT, "revision": 8, "objects": [OBJECT], "hosts": []}
        errors = self.call_each(Reply(status, [(b"Store-Era", b"1")], body))
        for exc in errors:
            self.assertIs(type(exc), StoreError)
            self.assertIn("older copy", str(exc))
        self.assertEqual([exc.maybe_applied for exc in errors], [False] * 4 + [True])

    @params((200, [None] * 5), (409, [StoreConflict] * 5))
    def test_status_without_an_era(self, status, expected):
        body = {**OBJECT, "revision": 8, "objects": [OBJECT], "hosts": []}
        errors = self.call_each(Reply(status, [], body))
        self.assertEqual([exc and type(exc) for exc in errors], expected)

    @params(
        None,
        [],
        {},
        {"version": "new", "revision": 8, "objects": [{}], "hosts": [{}]},
        {"version": math.inf, "revision": math.inf, "objects": [], "hosts": 5},
        {**OBJECT, "kind": None, "version": None, "objects": {}, "hosts": {"a": 1}},
    )
    def test_unusable_reply_is_an_error(self, body):
        errors = self.call_each(Reply(200, [], body))
        self.assertEqual([type(exc) for exc in errors], [StoreError] * 5)
        self.assertEqual([exc.maybe_applied for exc in errors], [False] * 4 + [True])

    def test_missing_object(self):
        found = []
        store = Store(OneReplyClient(Reply(404, [], {})), Address("h", 1), 1.0)
        store.get("service", "jt", lambda obj, exc: found.append((obj.version, exc)))
        self.assertEqual(found, [(0, None)])
