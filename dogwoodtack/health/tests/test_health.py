"""From evidence to verdicts, weights, ejection times and reported changes."""

import json
import unittest

from nose2.tools import params

from ...catalog import Service, parse_service
from ...clock import VirtualClock
from ..health import Health
from ..messages import Sample, SampleKind, Signal

BAD_KINDS = (
    SampleKind.ERROR,
    SampleKind.TIMEOUT,
    SampleKind.REFUSED,
    SampleKind.CUT,
    SampleKind.MALFORMED,
)


def make_service(instances: int, caution: float = 0.5) -> Service:
    value = {
        "routes": [{"host": "jobtrack"}],
        "instances": [
            {"name": f"i{number}", "address": "127.0.0.1:9000", "slots": 2}
            for number in range(instances)
        ],
        "caution": caution,
    }
    return parse_service("jobtrack", value)


class Fixture:
    """Entry hosts that send each instance ten requests a second between them."""

    def __init__(self, instances: int = 6, hosts: int = 4) -> None:
        self.clock = VirtualClock()
        self.changes = []
        self.holder = Health(
            self.clock, "holder", lambda *change: self.changes.append(change)
        )
        self.nodes = [Health(self.clock, f"h{number}") for number in range(hosts)]
        self.service = make_service(instances)
        self.request_count = 0

    def run(self, seconds: float, outcome=None, idempotent: bool = True) -> None:
        """Send requests for a time and share the evidence every half second.

        Args:
            seconds: how long to run in virtual time.
            outcome: `outcome(instance, host)` returns a kind and a latency, or None
                for a success.  A kind of None means that no request is sent.
            idempotent: the request class.
        """
        names = [instance.name for instance in self.service.instances]
        for step in range(round(seconds * 10)):
            self.clock.advance(0.1)
            for name in names:
                self.request_count += 1
                host = self.request_count % len(self.nodes)
                ended = outcome(name, host) if outcome else None
                if ended is not None and ended[0] is None:
                    continue
                kind, latency_s = ended or (SampleKind.OK, 0.1)
                now = self.clock.monotonic()
                sample = Sample("jobtrack", name, idempotent, kind, latency_s, now)
                self.nodes[host].record(sample)
            if step % 5 == 0:
                self.share_evidence()

    def share_evidence(self) -> None:
        for node in self.nodes:
            evidence = node.take_evidence("jobtrack")
            if evidence is not None:
                self.holder.merge_evidence("jobtrack", json.loads(json.dumps(evidence)))
        self.verdicts = self.holder.verdicts(self.service)

    def unhealthy(self) -> list[str]:
        return [one.instance for one in self.verdicts if one.is_sick]


def affecting_only(instance: str, kind: SampleKind, latency_s: float = 0.1):
    """Return an outcome function that affects one instance only."""
    return lambda name, host: (kind, latency_s) if name == instance else None


class VerdictTests(unittest.TestCase):
    @params(*((kind, True) for kind in BAD_KINDS), (SampleKind.ERROR, False))
    def test_every_kind_of_failure_counts(self, kind, idempotent):
        fixture = Fixture()
        fixture.run(10)
        fixture.run(3, affecting_only("i2", kind), idempotent)
        self.assertEqual(fixture.unhealthy(), ["i2"])
        self.assertEqual(fixture.verdicts[0].instance, "i2")

    def test_shed_attempts_are_no_evidence(self):
        fixture = Fixture()
        fixture.run(10)
        fixture.run(20, affecting_only("i2", SampleKind.SHED))
        self.assertEqual(fixture.unhealthy(), [])

    def test_instance_slower_than_its_peers_is_unhealthy(self):
        fixture = Fixture()
        fixture.run(10)
        fixture.run(10, affecting_only("i2", SampleKind.OK, 0.5))
        self.assertEqual(fixture.unhealthy(), ["i2"])

    def test_second_unhealthy_instance_does_not_hide_the_first(self):
        fixture = Fixture()
        fixture.run(10)
        fixture.run(
            5, lambda name, host: (SampleKind.ERROR, 0.1) if name in "i1i4" else None
        )
        self.assertEqual(set(fixture.unhealthy()), {"i1", "i4"})

    @params((SampleKind.ERROR, 0.1), (SampleKind.TIMEOUT, 3.0), (SampleKind.OK, 0.9))
    def test_fault_of_all_instances_blames_none(self, kind, latency_s):
        fixture = Fixture()
        fixture.run(10)
        fixture.run(30, lambda name, host: (kind, latency_s))
        self.assertEqual(fixture.unhealthy(), [])

    def test_path_fault_of_one_entry_host_does_not_blame_the_instance(self):
        fixture = Fixture(hosts=5)

        def cut_path(name, host):
            bad = name == "i2" and host == 3
            return (SampleKind.TIMEOUT, 3.0) if bad else None

        fixture.run(10)
        fixture.run(30, cut_path)
        self.assertEqual(fixture.unhealthy(), [])
        weights = [node.weight("jobtrack", "i2") for node in fixture.nodes]
        self.assertLess(weights[3], 0.2)
        self.assertEqual(weights[:3], [1.0] * 3)

    def test_slow_cold_start_is_tolerated_but_lasting_slowness_is_not(self):
        fixture = Fixture()
        fixture.run(40, affecting_only("i2", None))
        fixture.run(20, affecting_only("i2", SampleKind.OK, 0.8))
        self.assertEqual(fixture.unhealthy(), [])
        fixture.run(60, affecting_only("i2", SampleKind.OK, 0.8))
        self.assertEqual(fixture.unhealthy(), ["i2"])

    def test_change_is_reported_once_with_its_evidence(self):
        fixture = Fixture()
        fixture.run(10)
        fixture.run(10, affecting_only("i2", SampleKind.ERROR))
        self.assertEqual(len(fixture.changes), 1)
        service, verdict, why = fixture.changes[0]
        self.assertEqual((service, verdict.instance), ("jobtrack", "i2"))
        self.assertIn(why.signal, (Signal.FAILED, Signal.LOST))
        self.assertGreater(why.hits / why.total, why.peer_share)
        self.assertEqual(fixture.holder.explain("jobtrack", "i0").score, 0.0)


class WeightAndProbationTests(unittest.TestCase):
    def test_weight_of_unhealthy_instance_stays_above_zero(self):
        fixture = Fixture()
        fixture.run(10)
        fixture.run(10, affecting_only("i2", SampleKind.ERROR))
        weight = fixture.holder.weight("jobtrack", "i2")
        self.assertGreater(weight, 0.0)
        self.assertLess(weight, 0.2)
        self.assertEqual(fixture.holder.weight("jobtrack", "i1"), 1.0)

    def test_lowered_weight_expires(self):
        fixture = Fixture()
        fixture.run(10)
        node = fixture.nodes[0]
        node.lower_weight("jobtrack", "i2", 5.0)
        self.assertLess(node.weight("jobtrack", "i2"), 0.2)
        fixture.clock.advance(6.0)
        self.assertEqual(node.weight("jobtrack", "i2"), 1.0)

    def test_weight_rises_during_probation(self):
        fixture = Fixture()
        fixture.run(10)
        fixture.run(5, affecting_only("i2", SampleKind.ERROR))
        fixture.holder.begin_probation("jobtrack", "i2")
        self.assertTrue(fixture.holder.is_on_probation("jobtrack", "i2"))
        weights = []
        for _ in range(5):
            weights.append(fixture.holder.weight("jobtrack", "i2"))
            fixture.run(5.1)
        self.assertEqual(weights, sorted(weights))
        self.assertLess(weights[0], 0.2)
        self.assertEqual(fixture.holder.weight("jobtrack", "i2"), 1.0)
        self.assertFalse(fixture.holder.is_on_probation("jobtrack", "i2"))

    def test_instance_out_of_rotation_returns_on_probation(self):
        fixture = Fixture()
        fixture.run(10)
        fixture.run(3, affecting_only("i2", SampleKind.ERROR))
        fixture.run(9, affecting_only("i2", None))
        for _ in range(20):
            fixture.run(1, affecting_only("i2", None))
            self.assertEqual(fixture.unhealthy(), [])
        fixture.run(5)
        self.assertTrue(fixture.holder.is_on_probation("jobtrack", "i2"))
        fixture.run(5)
        self.assertEqual(fixture.unhealthy(), [])
        self.assertEqual(len(fixture.changes), 2)

    def test_instance_on_probation_fails_sooner(self):
        fixture = Fixture()
        fixture.run(10)
        fixture.holder.begin_probation("jobtrack", "i2")
        fixture.run(1, affecting_only("i2", SampleKind.ERROR))
        self.assertEqual(fixture.unhealthy(), ["i2"])

    def test_ejection_time_grows_with_flapping_and_decays_while_healthy(self):
        fixture = Fixture()
        fixture.run(10)
        ejection_times = []
        for _ in range(4):
            fixture.run(3, affecting_only("i2", SampleKind.ERROR))
            ejection_times.append(fixture.holder.ejection_time_s("jobtrack", "i2"))
            fixture.clock.advance(ejection_times[-1])
            fixture.holder.begin_probation("jobtrack", "i2")
        for shorter, longer in zip(ejection_times, ejection_times[1:]):
            self.assertAlmostEqual(longer / shorter, 2.0, delta=0.1)
        fixture.clock.advance(3600.0)
        self.assertEqual(
            fixture.holder.ejection_time_s("jobtrack", "i2"), ejection_times[0]
        )
