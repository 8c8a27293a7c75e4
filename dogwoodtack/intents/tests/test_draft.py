"""The plan for each intent, and which intents are refused because of the floor."""

import unittest

from nose2.tools import params

from dogwoodtack.errors import ErrorKind, RequestError
from dogwoodtack.intents.draft import FleetView
from dogwoodtack.intents.plans import make_plan, verify_plan
from dogwoodtack.membership import Member, Membership
from dogwoodtack.misc import Address
from dogwoodtack.replication import ConfigState
from dogwoodtack.store import StoreObject

KEY = "operators-key"
ADDRESS = Address("127.0.0.1", 1)


def instances(count):
    return [{"name": f"jt-{n}", "address": f"127.0.0.1:{n + 2}"} for n in range(count)]


def make_view(floor=3, drains=(), count=5):
    state = ConfigState()
    value = {"instances": instances(count), "floor": floor, "drains": list(drains)}
    value["marks"] = ["earlier"]
    state.apply(StoreObject("service", "jobtrack", 7, value))
    local_member = Member("entry-0", "abc", "zone-a", ADDRESS, ADDRESS)
    return FleetView(state, Membership(local_member))


def plan_for(view, kind, **fields):
    return make_plan({"kind": kind, "service": "jobtrack", **fields}, view, KEY)


class DraftTest(unittest.TestCase):
    @params(
        ("set-floor", {"floor": 5}, (), True),
        ("set-floor", {"floor": 6}, (), False),
        ("set-floor", {"floor": 5}, ("jt-0",), False),
        ("drain-back-end", {"instance": "jt-1"}, ("jt-0",), True),
        ("drain-back-end", {"instance": "jt-2"}, ("jt-0", "jt-1"), False),
        ("drain-back-end", {"instance": "jt-0", "on": False}, ("jt-0",), True),
        ("define-service", {"instances": instances(4), "floor": 3}, (), False),
        ("define-service", {"instances": instances(4), "floor": 3}, ("jt-4",), True),
        ("define-service", {"instances": instances(6), "floor": 3}, (), True),
        ("set-customer-share", {"customer": "hanbit", "share": 2}, (), True),
        ("remove-service", {}, (), False),
    )
    def test_floor_limits_what_is_allowed(self, kind, fields, drains, allowed):
        plan = plan_for(make_view(drains=drains), kind, **fields)
        self.assertEqual(plan["allowed"], allowed, plan["refusal_detail"])
        if allowed:
            for step in plan["steps"]:
                self.assertGreaterEqual(step["capacity"], step["floor"])

    @params(
        ({"kind": "no-such"}, ErrorKind.INVALID_INTENT),
        ({"kind": "set-floor", "service": "jobtrack"}, ErrorKind.INVALID_INTENT),
        ({"kind": "set-floor", "service": "x", "floor": 1}, ErrorKind.NOT_FOUND),
        (
            {"kind": "drain-back-end", "service": "jobtrack", "instance": "x"},
            ErrorKind.INVALID_INTENT,
        ),
        ({"kind": "define-service", "service": "n", "x": 1}, ErrorKind.INVALID_INTENT),
        (
            {"kind": "define-service", "service": "n", "drains": []},
            ErrorKind.INVALID_INTENT,
        ),
    )
    def test_invalid_intent_is_rejected(self, body, kind):
        with self.assertRaises(RequestError) as caught:
            make_plan(body, make_view(), KEY)
        self.assertEqual(caught.exception.kind, kind)

    def test_plan_has_the_current_base_version_and_keeps_marks(self):
        plan = plan_for(make_view(), "set-floor", floor=4)
        self.assertEqual(plan["base_version"], 7)
        self.assertEqual(plan["value"]["marks"][0], "earlier")
        self.assertEqual(plan["changes"], ["floor: 3 -> 4"])

    def test_last_entry_host_cannot_be_drained(self):
        plan = make_plan(
            {"kind": "drain-entry-host", "host": "entry-0"}, make_view(), KEY
        )
        self.assertFalse(plan["allowed"])

    @params(("value", {}), ("base_version", 8), ("allowed", False))
    def test_altered_plan_is_rejected(self, field, content):
        plan = plan_for(make_view(), "set-floor", floor=4)
        self.assertEqual(verify_plan(dict(plan), plan["plan_id"], KEY), plan)
        altered = {**plan, field: content}
        with self.assertRaises(RequestError):
            verify_plan(altered, plan["plan_id"], KEY)

    def test_refused_plan_cannot_be_confirmed(self):
        plan = plan_for(make_view(), "set-floor", floor=6)
        with self.assertRaises(RequestError) as caught:
            verify_plan(plan, plan["plan_id"], KEY)
        self.assertEqual(caught.exception.kind, ErrorKind.BELOW_FLOOR)
