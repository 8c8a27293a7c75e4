"""Budgets, holders' decisions and the removals in use, with the time passed in."""

import random
import unittest

from nose2.tools import params

from dogwoodtack.catalog import parse_service
from dogwoodtack.floor.budget import Budget
from dogwoodtack.floor.holder import Holder
from dogwoodtack.floor.messages import (
    CHANGE_GRACE_S,
    CLOCK_MARGIN_S,
    GRANT_TTL_S,
    PullItemResponse,
)
from dogwoodtack.floor.removals import LocalRemovals
from dogwoodtack.health import Verdict

EJECTION_S = 10.0
EXPIRY_S = GRANT_TTL_S + CLOCK_MARGIN_S


def service(count=5, floor=3, drains=()):
    instances = [
        {"name": f"i{n}", "address": f"127.0.0.1:{n + 1}"} for n in range(count)
    ]
    value = {"instances": instances, "floor": floor, "drains": list(drains)}
    return parse_service("s", value)


def unhealthy(*names):
    return [Verdict(name, True, 10.0 - n) for n, name in enumerate(names)]


def ejection_time_s(name):
    return EJECTION_S


def holder_for(declared, now=0.0):
    holder = Holder()
    holder.budget.update(declared, set(), now)
    return holder


class BudgetTest(unittest.TestCase):
    @params(
        (service(), service(floor=4), 1, 1),
        (service(), service(floor=2), 2, 3),
        (service(), service(count=6), 2, 3),
        (service(), service(floor=5), 0, 0),
    )
    def test_limit_decreases_at_once_and_increases_later(self, old, new, soon, late):
        budget = Budget()
        budget.update(old, set(), 0.0)
        budget.update(new, set(), 1.0)
        self.assertEqual(budget.limit, soon)
        budget.update(new, set(), 1.0 + CHANGE_GRACE_S)
        self.assertEqual(budget.limit, late)

    def test_ended_drain_counts_during_the_grace_period(self):
        budget = Budget()
        budget.update(service(drains=["i0"]), {"i1"}, 0.0)
        self.assertEqual(budget.occupied, {"i0", "i1"})
        budget.update(service(), set(), 1.0)
        self.assertEqual(budget.occupied, {"i0", "i1"})
        budget.update(service(), set(), 1.0 + CHANGE_GRACE_S)
        self.assertEqual(budget.occupied, set())


class HolderTest(unittest.TestCase):
    @params((5, 3, 2), (5, 5, 0), (6, 5, 1), (3, 0, 3))
    def test_ejects_up_to_the_limit(self, count, floor, granted):
        holder = holder_for(service(count, floor))
        holder.review(unhealthy("i0", "i1", "i2"), 0.0, ejection_time_s)
        self.assertEqual(holder.grant(0.0), ["i0", "i1", "i2"][:granted])

    def test_permit_is_reused_only_after_expiry(self):
        holder = holder_for(service(count=2, floor=1))
        holder.review(unhealthy("i0"), 0.0, ejection_time_s)
        holder.grant(EJECTION_S - 0.1)
        ended = EJECTION_S - 0.1 + EXPIRY_S
        for now, granted in ((EJECTION_S, []), (ended - 0.01, []), (ended, ["i1"])):
            holder.review(unhealthy("i1"), now, ejection_time_s)
            self.assertEqual(holder.grant(now), granted, now)

    def test_drain_takes_effect_once_it_fits(self):
        holder = holder_for(service())
        holder.review(unhealthy("i0", "i1"), 0.0, ejection_time_s)
        holder.grant(0.0)
        holder.budget.update(service(drains=["i2"]), set(), 1.0)
        holder.review(unhealthy("i0", "i1"), 1.0, ejection_time_s)
        self.assertEqual(holder.grant(1.0), ["i0"])
        self.assertFalse(holder.can_admit_drains(EXPIRY_S - 0.01))
        self.assertTrue(holder.can_admit_drains(EXPIRY_S))

    def test_instance_returns_only_after_its_last_grant_expires(self):
        holder = holder_for(service())
        holder.review(unhealthy("i0"), 0.0, ejection_time_s)
        holder.grant(EJECTION_S - 0.1)
        ended = EJECTION_S - 0.1 + EXPIRY_S
        for now, returned in ((EJECTION_S, []), (ended - 0.01, []), (ended, ["i0"])):
            self.assertEqual(
                holder.review(unhealthy("i0"), now, ejection_time_s), returned
            )
            self.assertEqual(holder.grant(now), [])
        holder.review(unhealthy("i0"), ended + 0.5, ejection_time_s)
        self.assertEqual(holder.grant(ended + 0.5), ["i0"])

    def test_instances_over_the_limit_are_refused(self):
        holder = holder_for(service())
        holder.review(unhealthy("i0", "i1", "i2"), 0.0, ejection_time_s)
        self.assertEqual(holder.refused, ["i2"])


class LocalRemovalsTest(unittest.TestCase):
    def make_response(self, *grants, admits=None):
        return PullItemResponse(
            floor_version=1,
            grants=list(grants),
            refused=[],
            ttl_s=GRANT_TTL_S,
            admits=admits,
        )

    @params((0.0, 2.9, True), (0.0, 3.0, False), (1.0, 3.5, False))
    def test_expiry_counts_from_when_the_pull_was_sent(self, late, now, removed):
        removals = LocalRemovals()
        sent_at = 0.0 - late
        removals.apply_response(self.make_response("i0"), service(), 1, sent_at, 0.5)
        self.assertEqual(removals.is_removed("i0", now), removed)

    @params((7, 7, True), (6, 7, False), (8, 7, False), (None, 7, False))
    def test_only_the_known_version_is_admitted(self, admits, version, drained):
        removals = LocalRemovals()
        declared = service(drains=["i0"])
        response = self.make_response(admits=admits)
        removals.apply_response(response, declared, version, 0.0, 0.1)
        self.assertEqual(removals.is_removed("i0", 1000.0), drained)

    def test_late_response_is_ignored(self):
        removals = LocalRemovals()
        declared = service(drains=["i0"])
        removals.apply_response(
            self.make_response("i1", admits=1), declared, 1, 0.0, GRANT_TTL_S
        )
        self.assertFalse(removals.is_removed("i0", GRANT_TTL_S))
        self.assertFalse(removals.is_removed("i1", GRANT_TTL_S))

    @params((1.0, 1.0), (100.0, GRANT_TTL_S))
    def test_clear_reports_when_each_removal_ended(self, now, end):
        removals = LocalRemovals()
        response = self.make_response("i0", admits=1)
        removals.apply_response(response, service(drains=["i1"]), 1, 0.0, 0.5)
        changes = {one.instance: (one.event, one.at) for one in removals.clear(now)}
        self.assertEqual(changes, {"i0": ("returned", end), "i1": ("undrained", now)})
        self.assertFalse(
            removals.is_removed("i0", now) or removals.is_removed("i1", now)
        )


class RandomRunTest(unittest.TestCase):
    """A holder and pullers with lost and late responses, while the service changes."""

    PULLERS = 4
    STEPS = 4000
    STEP_S = 0.25
    MAX_PROPAGATION_S = 3.0

    @params(*range(10))
    def test_never_below_the_floor(self, seed):
        rng = random.Random(seed)
        declared = [service()]
        changed_at = [-100.0]
        holder = holder_for(declared[0])
        pullers = [LocalRemovals() for _ in range(self.PULLERS)]
        knows = [0] * self.PULLERS
        in_flight = []
        most_removed = 0
        for step in range(self.STEPS):
            now = step * self.STEP_S
            if rng.random() < 0.02 and now - changed_at[-1] > CHANGE_GRACE_S / 2:
                declared.append(self.changed(declared[-1], holder, now, rng))
                changed_at.append(now)
            latest = len(declared) - 1
            knows = [
                self.known_version(one, latest, now - changed_at[-1], rng)
                for one in knows
            ]
            holder.budget.update(declared[latest], set(), now)
            names = rng.sample([one.name for one in declared[latest].instances], 3)
            holder.review(unhealthy(*names), now, ejection_time_s)
            for number, removals in enumerate(pullers):
                removals.apply_service(declared[knows[number]], now)
                if rng.random() < 0.3:
                    sent_at = now - rng.uniform(0, 2)
                    admits = latest if holder.can_admit_drains(now) else None
                    response = PullItemResponse(
                        floor_version=1,
                        grants=holder.grant(now),
                        refused=[],
                        ttl_s=GRANT_TTL_S,
                        admits=admits,
                    )
                    in_flight.append(
                        (now + rng.uniform(0, 5), number, response, sent_at)
                    )
            for due in [one for one in in_flight if one[0] <= now]:
                in_flight.remove(due)
                _, number, response, sent_at = due
                known = declared[knows[number]]
                pullers[number].apply_response(
                    response, known, knows[number], sent_at, now
                )
            out = {
                one.name
                for one in declared[latest].instances
                for removals in pullers
                if removals.is_removed(one.name, now)
            }
            most_removed = max(most_removed, len(out))
            self.assertLessEqual(len(out), 2, (seed, step))
        self.assertEqual(most_removed, 2)

    def changed(self, declared, holder, now, rng):
        """Begin or end a drain; the floor and the size stay, and so does the limit."""
        if declared.drains and rng.random() < 0.6:
            return service(drains=declared.drains[1:])
        if len(declared.drains) == 2:
            return declared
        names = [one.name for one in declared.instances]
        left = [name for name in names if name not in declared.drains]
        return service(drains=[*declared.drains, rng.choice(left)])

    def known_version(self, known, latest, age, rng):
        """Return the version that a puller knows, at most MAX_PROPAGATION_S behind."""
        return latest if age >= self.MAX_PROPAGATION_S or rng.random() < 0.1 else known
