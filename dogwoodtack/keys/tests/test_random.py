"""Random runs of the tables' own code, with lost, late and doubled messages."""

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
    """Hand a key over without giving the own right up."""

    def _hand_over(self, request, entry):
        return SettleReply(SettleStatus.HANDED_OVER)


class TakesOldKeys(KeyTable):
    """Take a key as new at any age."""

    def _is_young(self, name, epoch):
        return True


class World:
    """Hosts, messages under way and dispatches, one random step at a time."""

    def __init__(self, seed, kind):
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.kind = kind
        self.tables = []
        self.requests = []
        self.replies = []
        self.flights = []
        self.runs = Counter()
        self.seen = Counter()
        self.born = 0
        for _ in range(HOSTS):
            self.tables.append(self.new_table())
        self.keys = [self.new_key() for _ in range(KEYS)]

    def new_table(self):
        self.born += 1
        return self.kind(f"{self.born:032x}", self.clock, RULES, self, self.rng)

    def new_key(self):
        return f"{self.rng.choice(self.tables).prefix}{self.rng.getrandbits(64):016x}"

    def send(self, request, on_settled):
        """Put a question under way; its asker waits until a reply or a time-out."""
        waiter = [on_settled]
        self.requests.append((request, waiter))

    def step(self):
        actions = (
            (10, self.copy),
            (10, self.deliver_request),
            (10, self.deliver_reply),
            (6, self.end_flight),
            (3, self.time_out),
            (1, self.pass_time),
            (0.2, self.replace_host),
            (2, self.replace_key),
        )
        weights, doings = zip(*actions)
        self.rng.choices(doings, weights)[0]()

    def copy(self):
        key = self.rng.choice(self.keys)
        table = self.rng.choice(self.tables)
        on_decision = partial(self.on_decision, table, key)
        table.begin(KeyRequest(key, "jobtrack", "f"), on_decision)

    def on_decision(self, table, key, decision):
        self.seen[type(decision).__name__] += 1
        if isinstance(decision, Run):
            self.flights.append((table, key, decision.ticket))

    def deliver_request(self):
        """Deliver any question that was ever asked; the old ones are late copies."""
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

    def end_flight(self):
        if not self.flights:
            return
        index = self.rng.randrange(len(self.flights))
        table, key, ticket = self.flights.pop(index)
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


def most_runs(kind):
    """Return the most executions of one key over all seeds, and what was seen."""
    most = 0
    seen = Counter()
    for seed in range(SEEDS):
        world = World(seed, kind)
        for _ in range(STEPS):
            world.step()
        most = max(most, 0, *world.runs.values())
        seen += world.seen
        seen["handed-over"] += sum(
            table.settlements["asked-handed-over"] for table in world.tables
        )
    return most, seen


class RandomTest(unittest.TestCase):
    def test_no_key_runs_twice(self):
        most, seen = most_runs(KeyTable)
        self.assertEqual(most, 1)
        self.assertGreater(seen["handed-over"], SEEDS)

    @params(KeepsItsRight, TakesOldKeys)
    def test_broken_table_is_caught(self, kind):
        self.assertGreater(most_runs(kind)[0], 1)
