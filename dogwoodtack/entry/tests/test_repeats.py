"""Tests of whether a request may be sent once more."""

import unittest

from nose2.tools import params

from dogwoodtack.entry.repeats import RepeatPermission
from dogwoodtack.routing import Route, RouteKind, WeightedService

SAFE, UNSAFE = RouteKind.SAFE, RouteKind.UNSAFE
DOWNLOAD, UPLOAD = RouteKind.DOWNLOAD, RouteKind.UPLOAD


def make_route(kind):
    services = (WeightedService("jobs", 1.0),)
    return Route("r", "shop.example", "/", kind, services, 2.0, 0.8, 3, 0)


class RepeatPermissionTest(unittest.TestCase):
    @params(
        # kind on arrival, kind in the store or None, whether that is reached; whether
        # it counts as idempotent after a confirmation, and whether it may be repeated
        (SAFE, SAFE, True, True, True),
        (DOWNLOAD, DOWNLOAD, True, True, True),
        (DOWNLOAD, SAFE, True, True, True),
        (SAFE, UNSAFE, True, False, False),
        (DOWNLOAD, UNSAFE, True, False, False),
        (SAFE, UPLOAD, True, False, False),
        (SAFE, None, True, False, False),
        # It stays idempotent as far as is known: it ends when its caller leaves.
        (SAFE, UNSAFE, False, True, False),
        (DOWNLOAD, DOWNLOAD, False, True, False),
        (UNSAFE, SAFE, True, False, False),
        (UNSAFE, SAFE, False, False, False),
    )
    def test_confirmation(self, kind, new_kind, is_reached, is_idempotent, is_granted):
        """A kind that no longer held was enough for a repeat, with GET and HEAD."""
        current = [(make_route(kind), 7)]

        def confirm(on_done):
            if is_reached:
                current.append((new_kind and make_route(new_kind), 8))
            on_done(is_reached)

        repeats = RepeatPermission(*current[0], 3, lambda: current[-1], confirm)
        self.assertEqual(repeats.is_idempotent, kind.is_idempotent)
        self.assertFalse(repeats.is_granted)
        done = []
        repeats.confirm(done.append)
        self.assertEqual(done, [is_reached])
        self.assertEqual(repeats.is_idempotent, is_idempotent)
        self.assertEqual(repeats.is_certain, is_reached)
        self.assertEqual(repeats.is_granted, is_granted)
        if kind.is_idempotent and not is_idempotent:
            self.assertEqual(repeats.max_runs, 1)

    def test_kind_that_changes_after_its_confirmation(self):
        current = [(make_route(SAFE), 7)]
        repeats = RepeatPermission(
            *current[0], 3, lambda: current[-1], lambda on_done: on_done(True)
        )
        repeats.confirm(self.assertTrue)
        self.assertTrue(repeats.is_granted)
        current.append((make_route(UNSAFE), 8))
        repeats.update()
        self.assertEqual((repeats.is_granted, repeats.max_runs), (False, 1))

    @params(True, False)
    def test_newer_kind_that_is_known_counts(self, is_newer):
        current = (make_route(UNSAFE), 8 if is_newer else 7)
        repeats = RepeatPermission(make_route(SAFE), 7, 3, lambda: current, self.fail)
        repeats.update()
        self.assertEqual(repeats.is_idempotent, not is_newer)
        self.assertEqual(repeats.max_runs, 1 if is_newer else 3)
