"""Tests of whether a request may be sent once more."""

import unittest

from nose2.tools import params

from dogwoodtack.entry.repeats import RepeatPermission
from dogwoodtack.routing import Route, RouteKind, WeightedService

SAFE, UNSAFE = RouteKind.SAFE, RouteKind.UNSAFE


def make_route(kind):
    services = (WeightedService("jobs", 1.0),)
    return Route("r", "shop.example", "/", kind, services, 2.0, 0.8, 3, 0)


class RepeatPermissionTest(unittest.TestCase):
    @params(
        # method, kind on arrival, kind in the store or None, whether that is reached;
        # whether it counts as idempotent before and after a confirmation
        ("POST", SAFE, SAFE, True, True, True),
        ("POST", SAFE, UNSAFE, True, True, False),
        ("POST", SAFE, None, True, True, False),
        ("POST", SAFE, SAFE, False, True, False),
        ("POST", UNSAFE, SAFE, True, False, False),
        ("get", SAFE, UNSAFE, True, True, False),
    )
    def test_confirmation(self, method, kind, new_kind, is_reached, before, after):
        current = [(make_route(kind), 7)]

        def confirm(on_done):
            if is_reached:
                current.append((new_kind and make_route(new_kind), 8))
            on_done(is_reached)

        repeats = RepeatPermission(method, *current[0], 3, lambda: current[-1], confirm)
        self.assertEqual(repeats.is_idempotent, before)
        self.assertFalse(repeats.is_certain)
        done = []
        repeats.confirm(lambda: done.append(True))
        self.assertEqual(done, [True])
        self.assertEqual(repeats.is_idempotent, after)
        self.assertEqual(repeats.is_certain, is_reached)
        if not after and before:
            self.assertEqual(repeats.max_runs, 1)

    @params("GET", "HEAD", "OPTIONS", "TRACE")
    def test_methods_that_need_no_confirmation(self, method):
        route = make_route(SAFE)
        repeats = RepeatPermission(method, route, 7, 3, lambda: (route, 7), self.fail)
        self.assertTrue(repeats.is_certain)
        repeats.update()
        self.assertEqual((repeats.is_idempotent, repeats.max_runs), (True, 3))

    @params(True, False)
    def test_newer_kind_that_is_known_counts(self, is_newer):
        current = (make_route(UNSAFE), 8 if is_newer else 7)
        repeats = RepeatPermission(
            "GET", make_route(SAFE), 7, 3, lambda: current, self.fail
        )
        repeats.update()
        self.assertEqual(repeats.is_idempotent, not is_newer)
        self.assertEqual(repeats.max_runs, 1 if is_newer else 3)
