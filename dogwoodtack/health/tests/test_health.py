"""How evidence becomes verdicts, weights, holds and reports."""

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


class Rig:
    """Entry hosts that send even work to every instance, ten requests a second."""

    def __init__(self, instances: int = 6, hosts: int = 4) -> None:
        self.clock = VirtualClock()
        self.changes = []
        self.holder = Health(
            self.clock, "holder", lambda *change: self.changes.append(change)
        )
        self.nodes = [Health(self.clock, f"h{number}") for number in range(hosts)]
        self.service = make_service(instances)
        self.count = 0

    def run(self, seconds: float, outcome=None, idempotent: bool = True) -> None:
        """Send work; `outcome(instance, host)` gives a kind and a latency."""
        names = [instance.name for instance in self.service.instances]
        for step in range(round(seconds * 10)):
            self.clock.advance(0.1)
            for name in names:
                self.count += 1
                host = self.count % len(self.nodes)
                ended = outcome(name, host) if outcome else None
                if ended is not None and ended[0] is None:
                    continue
                kind, latency_s = ended or (SampleKind.OK, 0.1)
                now = self.clock.monotonic()
                sample = Sample("jobtrack", name, idempotent, kind, latency_s, now)
                self.nodes[host].record(sample)
            if step % 5 == 0:
                self.pool()

    def pool(self) -> None:
        for node in self.nodes:
            evidence = node.take_evidence("jobtrack")
            if evidence is not None:
                self.holder.merge_evidence("jobtrack", json.loads(json.dumps(evidence)))
        self.verdicts = self.holder.verdicts(self.service)

    def sick(self) -> list[str]:
        return [one.instance for one in self.verdicts if one.is_sick]


def only(instance: str, kind: SampleKind, latency_s: float = 0.1):
    """Return an outcome that strikes one instance."""
    return lambda name, host: (kind, latency_s) if name == instance else None


class VerdictTests(unittest.TestCase):
    @params(*((kind, True) for kind in BAD_KINDS), (SampleKind.ERROR, False))
    def test_every_kind_of_failure_counts(self, kind, idempotent):
        rig = Rig()
        rig.run(10)
        rig.run(3, only("i2", kind), idempotent)
        self.assertEqual(rig.sick(), ["i2"])
        self.assertEqual(rig.verdicts[0].instance, "i2")

    def test_sheds_are_no_evidence(self):
        rig = Rig()
        rig.run(10)
        rig.run(20, only("i2", SampleKind.SHED))
        self.assertEqual(rig.sick(), [])

    def test_slow_answers_count_against_peers(self):
        rig = Rig()
        rig.run(10)
        rig.run(10, only("i2", SampleKind.OK, 0.5))
        self.assertEqual(rig.sick(), ["i2"])

    def test_a_second_sick_instance_hides_none(self):
        rig = Rig()
        rig.run(10)
        rig.run(
            5, lambda name, host: (SampleKind.ERROR, 0.1) if name in "i1i4" else None
        )
        self.assertEqual(set(rig.sick()), {"i1", "i4"})

    @params((SampleKind.ERROR, 0.1), (SampleKind.TIMEOUT, 3.0), (SampleKind.OK, 0.9))
    def test_trouble_everywhere_is_nobodys(self, kind, latency_s):
        rig = Rig()
        rig.run(10)
        rig.run(30, lambda name, host: (kind, latency_s))
        self.assertEqual(rig.sick(), [])

    def test_one_entry_hosts_path_is_not_the_instance(self):
        rig = Rig(hosts=5)

        def cut_path(name, host):
            bad = name == "i2" and host == 3
            return (SampleKind.TIMEOUT, 3.0) if bad else None

        rig.run(10)
        rig.run(30, cut_path)
        self.assertEqual(rig.sick(), [])
        weights = [node.weight("jobtrack", "i2") for node in rig.nodes]
        self.assertLess(weights[3], 0.2)
        self.assertEqual(weights[:3], [1.0] * 3)

    def test_cold_start_passes_and_lasting_slowness_does_not(self):
        rig = Rig()
        rig.run(40, only("i2", None))
        rig.run(20, only("i2", SampleKind.OK, 0.8))
        self.assertEqual(rig.sick(), [])
        rig.run(60, only("i2", SampleKind.OK, 0.8))
        self.assertEqual(rig.sick(), ["i2"])

    def test_changes_are_reported_once_with_their_evidence(self):
        rig = Rig()
        rig.run(10)
        rig.run(10, only("i2", SampleKind.ERROR))
        self.assertEqual(len(rig.changes), 1)
        service, verdict, why = rig.changes[0]
        self.assertEqual((service, verdict.instance), ("jobtrack", "i2"))
        self.assertIn(why.signal, (Signal.FAILED, Signal.LOST))
        self.assertGreater(why.hits / why.total, why.peer_share)
        self.assertEqual(rig.holder.explain("jobtrack", "i0").score, 0.0)


class ReturnTests(unittest.TestCase):
    def test_weight_falls_but_never_to_nothing(self):
        rig = Rig()
        rig.run(10)
        rig.run(10, only("i2", SampleKind.ERROR))
        weight = rig.holder.weight("jobtrack", "i2")
        self.assertGreater(weight, 0.0)
        self.assertLess(weight, 0.2)
        self.assertEqual(rig.holder.weight("jobtrack", "i1"), 1.0)

    def test_lowered_weight_ends(self):
        rig = Rig()
        rig.run(10)
        node = rig.nodes[0]
        node.lower_weight("jobtrack", "i2", 5.0)
        self.assertLess(node.weight("jobtrack", "i2"), 0.2)
        rig.clock.advance(6.0)
        self.assertEqual(node.weight("jobtrack", "i2"), 1.0)

    def test_probation_starts_small_and_grows(self):
        rig = Rig()
        rig.run(10)
        rig.run(5, only("i2", SampleKind.ERROR))
        rig.holder.begin_probation("jobtrack", "i2")
        self.assertTrue(rig.holder.is_on_probation("jobtrack", "i2"))
        weights = []
        for _ in range(5):
            weights.append(rig.holder.weight("jobtrack", "i2"))
            rig.run(5.1)
        self.assertEqual(weights, sorted(weights))
        self.assertLess(weights[0], 0.2)
        self.assertEqual(rig.holder.weight("jobtrack", "i2"), 1.0)
        self.assertFalse(rig.holder.is_on_probation("jobtrack", "i2"))

    def test_evidence_ends_with_the_work(self):
        rig = Rig()
        rig.run(10)
        rig.run(3, only("i2", SampleKind.ERROR))
        rig.run(9, only("i2", None))
        for _ in range(20):
            rig.run(1, only("i2", None))
            self.assertEqual(rig.sick(), [])
        rig.run(5)
        self.assertTrue(rig.holder.is_on_probation("jobtrack", "i2"))
        rig.run(5)
        self.assertEqual(rig.sick(), [])
        self.assertEqual(len(rig.changes), 2)

    def test_probation_is_lost_sooner(self):
        rig = Rig()
        rig.run(10)
        rig.holder.begin_probation("jobtrack", "i2")
        rig.run(1, only("i2", SampleKind.ERROR))
        self.assertEqual(rig.sick(), ["i2"])

    def test_hold_grows_for_flapping_and_decays_in_good_time(self):
        rig = Rig()
        rig.run(10)
        holds = []
        for _ in range(4):
            rig.run(3, only("i2", SampleKind.ERROR))
            holds.append(rig.holder.ejection_time_s("jobtrack", "i2"))
            rig.clock.advance(holds[-1])
            rig.holder.begin_probation("jobtrack", "i2")
        for shorter, longer in zip(holds, holds[1:]):
            self.assertAlmostEqual(longer / shorter, 2.0, delta=0.1)
        rig.clock.advance(3600.0)
        self.assertEqual(rig.holder.ejection_time_s("jobtrack", "i2"), holds[0])
