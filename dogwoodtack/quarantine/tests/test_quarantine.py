"""Which requests are held back, at one host and at several."""

import random
import unittest

from nose2.tools import params

from dogwoodtack.quarantine import Crash, CrashReport, Quarantine
from dogwoodtack.quarantine.quarantine import (
    MAX_SUSPECTS,
    MEMORY_S,
    QUARANTINE_S,
    REPEAT_S,
)
from lab.virtual import VirtualLoop

# Steps of a request's history: an instance crashes, or the request succeeds.
C, S = "crash", "success"


class QuarantineTest(unittest.TestCase):
    def replay(self, steps):
        """Apply steps, each a time and what happened, and return the quarantine."""
        quarantine = Quarantine()
        for number, (at, step) in enumerate(steps):
            if step == C:
                quarantine.on_crash("d", f"i-{number}/0", at)
            else:
                quarantine.on_success("d", at)
        return quarantine

    @params(
        # steps, whether it is a suspect, whether it is held back
        ([(1, C)], False, False),
        ([(1, C), (2, C)], True, False),
        ([(1, C), (2, C), (3, C)], True, True),
        ([(1, C), (1.1, C), (1.2, C)], True, True),
        ([(1, C), (2, C), (3, S), (4, C)], False, False),
        ([(1, C), (2, C), (3, C), (3.5, S)], False, False),
        # A popular request is under way where instances crash together.
        ([(0, S), (1, C), (1.1, C), (1.2, C)], False, False),
        ([(0, S), (1, C), (3, C), (5, C)], True, True),
    )
    def test_crashes_and_successes(self, steps, is_suspect, is_quarantined):
        quarantine = self.replay(steps)
        now = steps[-1][0] + 0.1
        self.assertEqual(quarantine.is_suspect("d", now), is_suspect)
        self.assertEqual(quarantine.is_quarantined("d", now), is_quarantined)
        self.assertEqual(quarantine.count(now), int(is_quarantined))
        self.assertFalse(quarantine.is_suspect("other", now))

    def test_one_instance_counts_once(self):
        quarantine = Quarantine()
        for at in (1.0, 2.0, 3.0):
            quarantine.on_crash("d", "i-1/0", at)
        self.assertFalse(quarantine.is_suspect("d", 3.0))

    def test_third_crash_is_told_apart(self):
        quarantine = Quarantine()
        told = [quarantine.on_crash("d", f"i-{n}/0", 1.0) for n in range(4)]
        self.assertEqual(told, [False, False, True, False])

    def test_it_is_sent_again_after_a_while_and_held_back_by_one_crash(self):
        quarantine = self.replay([(1, C), (2, C), (3, C)])
        self.assertEqual(quarantine.time_left_s("d", 3.0), QUARANTINE_S)
        later = 3.0 + QUARANTINE_S
        self.assertFalse(quarantine.is_quarantined("d", later))
        self.assertTrue(quarantine.on_crash("d", "i-9/0", later))

    def test_old_crashes_do_not_count(self):
        quarantine = self.replay([(1, C), (2, C), (MEMORY_S + 3, C)])
        self.assertFalse(quarantine.is_suspect("d", MEMORY_S + 3))

    def test_memory_is_bounded_and_keeps_the_worst(self):
        quarantine = self.replay([(1, C), (2, C), (3, C)])
        for number in range(MAX_SUSPECTS + 10):
            quarantine.on_crash(f"d-{number}", "i-1/0", 4.0)
        self.assertTrue(quarantine.is_quarantined("d", 4.0))
        self.assertLessEqual(len(quarantine._suspicions), MAX_SUSPECTS)


class ReportTest(unittest.TestCase):
    def test_crashes_at_two_hosts_add_up(self):
        one, other = Quarantine(), Quarantine()
        one.on_crash("d", "i-1/0", 1.0)
        one.on_crash("d", "i-2/0", 1.0)
        other.on_crash("d", "i-2/0", 1.0)
        other.on_crash("d", "i-3/0", 1.0)
        self.assertEqual(other.on_reports(one.reports(1.1), 1.1), ["d"])
        self.assertEqual(other.on_reports(one.reports(1.1), 1.1), [])
        self.assertEqual(other.crashes("d", 1.1), 3)

    def test_success_at_one_host_clears_all(self):
        one, other = Quarantine(), Quarantine()
        for quarantine in (one, other):
            for number in range(3):
                quarantine.on_crash("d", f"i-{number}/0", 1.0)
        one.on_success("d", 2.0)
        other.on_reports(one.reports(2.1), 2.1)
        self.assertFalse(other.is_quarantined("d", 2.1))
        # What a third host still says doesn't undo it.
        late = CrashReport("d", False, (Crash("i-1/0", 1.2, False),))
        self.assertEqual(other.on_reports([late], 2.2), [])
        self.assertEqual(other.crashes("d", 2.2), 0)

    def test_earlier_success_elsewhere_counts(self):
        one, other = Quarantine(), Quarantine()
        other.on_success("d", 0.0)
        for number in range(3):
            one.on_crash("d", f"i-{number}/0", 1.0)
        other.on_reports(one.reports(1.1), 1.1)
        self.assertFalse(other.is_quarantined("d", 1.1))
        one.on_reports(other.reports(1.2), 1.2)
        self.assertFalse(one.is_quarantined("d", 1.2))

    def test_host_that_does_not_know_of_a_success_is_told(self):
        one, other = Quarantine(), Quarantine()
        for quarantine in (one, other):
            for number in range(3):
                quarantine.on_crash("d", f"i-{number}/0", 1.0)
        one.on_success("d", 2.0)
        later = 2.0 + REPEAT_S
        self.assertEqual(one.reports(later), ())
        one.on_reports(other.reports(later), later)
        other.on_reports(one.reports(later), later)
        self.assertFalse(other.is_quarantined("d", later))

    @params(("suspect", 2, False), ("held back", 3, True))
    def test_what_is_held_back_is_always_reported(self, _, crashes, is_reported):
        quarantine = Quarantine()
        for number in range(crashes):
            quarantine.on_crash("d", f"i-{number}/0", 1.0)
        self.assertEqual(len(quarantine.reports(1.1)), 1)
        later = 1.0 + REPEAT_S
        self.assertEqual(len(quarantine.reports(later)), int(is_reported))
        self.assertEqual(quarantine.reports(later, only_news=True), ())


class World:
    """Hosts of three zones, and instances that a request crashes, in virtual time."""

    zones = 3
    hosts_per_zone = 4
    instances = 24
    service_time_s = 0.25
    restart_s = 4.0
    zone_delay_s = 0.01
    other_zone_delay_s = 0.3

    def __init__(self, seed, loss, lethal_per_s):
        self.rng = random.Random(seed)
        self.loop = VirtualLoop()
        self.loss = loss
        self.lethal_per_s = lethal_per_s
        self.hosts = [Quarantine() for _ in range(self.zones * self.hosts_per_zone)]
        self.running = {number: [] for number in range(self.instances)}
        self.starts = [0] * self.instances
        self.down = set()
        self.lethal_sends = []
        self.crashes = []
        self.rejected = 0

    @property
    def now(self):
        return self.loop.clock.now

    def run(self, seconds, innocent_per_s=60):
        for digest, per_s in (("lethal", self.lethal_per_s), ("", innocent_per_s)):
            for _ in range(int(seconds * per_s)):
                at = self.rng.uniform(0.0, seconds)
                # Half of the innocent requests repeat, all others come once.
                name = digest or self.rng.choice(["popular", f"{self.rng.random()}"])
                self.loop.call_later(at, self.send, name)
        for host in range(len(self.hosts)):
            self.loop.call_later(self.rng.random(), self.tell, host)
        self.loop.run_for(seconds + 1.0)

    def tell(self, sender):
        self.report(sender)
        if self.now < 1200.0:
            self.loop.call_later(0.4, self.tell, sender)

    def report(self, sender):
        reports = self.hosts[sender].reports(self.now)
        if not reports:
            return
        for host, quarantine in enumerate(self.hosts):
            is_local = host % self.zones == sender % self.zones
            delay_s = self.zone_delay_s if is_local else self.other_zone_delay_s
            if self.rng.random() >= self.loss:
                self.loop.call_later(
                    delay_s, lambda q=quarantine: q.on_reports(reports, self.now)
                )

    def send(self, digest, host=None, tries=2):
        if host is None:
            host = self.rng.randrange(len(self.hosts))
        quarantine = self.hosts[host]
        if quarantine.is_quarantined(digest, self.now):
            self.rejected += digest != "lethal"
            return
        instance = self.rng.choice([n for n in self.running if n not in self.down])
        if digest == "lethal":
            self.lethal_sends.append(self.now)
        work = digest, host, tries
        self.running[instance].append(work)
        start = self.starts[instance]
        self.loop.call_later(self.service_time_s, self.end, instance, start, work)

    def end(self, instance, start, work):
        if self.starts[instance] != start:
            return
        if work[0] == "lethal":
            self.crash(instance)
            return
        self.running[instance].remove(work)
        self.hosts[work[1]].on_success(work[0], self.now)

    def crash(self, instance):
        self.crashes.append(self.now)
        cut, self.running[instance] = self.running[instance], []
        name = f"i-{instance}/{self.starts[instance]}"
        self.starts[instance] += 1
        self.down.add(instance)
        self.loop.call_later(self.restart_s, self.down.discard, instance)
        for digest, host, tries in cut:
            quarantine = self.hosts[host]
            quarantine.on_crash(digest, name, self.now)
            self.report(host)
            if tries > 1 and not quarantine.is_suspect(digest, self.now):
                self.send(digest, host, tries - 1)


class SimulationTest(unittest.TestCase):
    @params(
        *[
            (seed, loss, lethal_per_s)
            for seed in range(3)
            for loss in (0.0, 0.3)
            for lethal_per_s in (0.5, 3)
        ]
    )
    def test_lethal_request_is_stopped_and_no_other(self, seed, loss, lethal_per_s):
        world = World(seed, loss, lethal_per_s)
        world.run(60.0)
        since = world.crashes[2] + 3.0
        late = [at for at in world.lethal_sends if at > since]
        self.assertLessEqual(len(late), 3)
        self.assertEqual(world.rejected, 0)


if __name__ == "__main__":
    unittest.main()
