"""Random runs of key tables with lost, late and duplicated messages."""

import random
import unittest
from collections import Counter
from functools import partial

from nose2.tools import params

from dogwoodtack.clock import VirtualClock
from dogwoodtack.keys import (
    KeyRequest,
    KeyRules,
    KeyTable,
    NotRun,
    Ran,
    Run,
    SettleReply,
    SettleStatus,
    Unknown,
)

HOSTS = 4
KEYS = 6
STEPS = 3000
SEEDS = 40
RULES = KeyRules(epoch_s=10, window_epochs=3, keep_epochs=5, max_keys=50)


class KeepsItsRight(KeyTable):
    """Hands a key over without giving up its own right."""

    def _hand_over(self, request, entry):
        return SettleReply(SettleStatus.HANDED_OVER)


class AcceptsOldKeys(KeyTable):
    """Accepts a key as new at any age."""

    def _is_recent(self, parsed, epoch):
        return True


class Simulation:
    """Hosts, messages in flight and dispatches, one random step at a time."""

    def __init__(self, seed, kind):
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.kind = kind
        self.tables = []
        self.requests = []
        self.replies = []
        self.dispatches = []
        self.runs = Counter()
        self.seen = Counter()
        self.incarnations = 0
        for _ in range(HOSTS):
            self.tables.append(self.new_table())
        self.keys = [self.new_key() for _ in range(KEYS)]

    def new_table(self):
        self.incarnations += 1
        return self.kind(f"{self.incarnations:032x}", self.clock, RULES, self, self.rng)

    def new_key(self):
        return f"{self.rng.choice(self.tables).prefix}{self.rng.getrandbits(64):016x}"

    def send(self, request, on_settled):
        """Send a request; its requester waits until a reply or a timeout."""
        waiter = [on_settled]
        self.requests.append((request, waiter))

    def step(self):
        actions = (
            (10, self.begin_request),
            (10, self.deliver_request),
            (10, self.deliver_reply),
            (6, self.end_dispatch),
            (3, self.time_out),
            (1, self.pass_time),
            (0.2, self.replace_host),
            (2, self.replace_key),
        )
        weights, functions = zip(*actions)
        self.rng.choices(functions, weights)[0]()

    def begin_request(self):
        key = self.rng.choice(self.keys)
        table = self.rng.choice(self.tables)
        on_decision = partial(self.on_decision, table, key)
        table.begin(KeyRequest(key, "jobtrack", "f"), on_decision)

    def on_decision(self, table, key, decision):
        self.seen[type(decision).__name__] += 1
        if isinstance(decision, Run):
            self.dispatches.append((table, key, decision.ticket))

    def deliver_request(self):
        """Deliver one of the latest requests; an old one is a late copy."""
        if not self.requests:
            return
        request, waiter = self.rng.choice(self.requests[-30:])
        for table in self.tables:
            if table.incarnation == request.to:
                self.replies.append((table.settle(request), waiter))

    def deliver_reply(self):
        if self.replies:
            reply, waiter = self.rng.choice(self.replies[-30:])
            self.settle(waiter, reply)

    def time_out(self):
        if self.requests:
            _, waiter = self.rng.choice(self.requests[-30:])
            self.settle(waiter, SettleReply(SettleStatus.UNREACHABLE))

    def settle(self, waiter, reply):
        if waiter:
            on_settled = waiter.pop()
            on_settled(reply)

    def end_dispatch(self):
        if not self.dispatches:
            return
        index = self.rng.randrange(len(self.dispatches))
        table, key, ticket = self.dispatches.pop(index)
        result = self.rng.choice((NotRun(), NotRun(), Ran(None), Unknown()))
        if not isinstance(result, NotRun):
            self.runs[key] += 1
        table.finish(ticket, result)

    def pass_time(self):
        self.clock.advance(self.rng.uniform(0, 10))

    def replace_host(self):
        self.tables[self.rng.randrange(HOSTS)] = self.new_table()

    def replace_key(self):
        self.keys[self.rng.randrange(KEYS)] = self.new_key()


def count_runs(kind):
    """Return the most executions of one key over all seeds, and counts of decisions."""
    max_runs = 0
    seen = Counter()
    for seed in range(SEEDS):
        simulation = Simulation(seed, kind)
        for _ in range(STEPS):
            simulation.step()
        max_runs = max(max_runs, 0, *simulation.runs.values())
        seen += simulation.seen
        seen["handed-over"] += sum(
            table.settlements["asked-handed-over"] for table in simulation.tables
        )
    return max_runs, seen


class RandomTest(unittest.TestCase):
    def test_no_key_runs_twice(self):
        max_runs, seen = count_runs(KeyTable)
        self.assertEqual(max_runs, 1)
        self.assertGreater(seen["handed-over"], SEEDS)

    @params(KeepsItsRight, AcceptsOldKeys)
    def test_broken_table_is_caught(self, kind):
        self.assertGreater(count_runs(kind)[0], 1)
