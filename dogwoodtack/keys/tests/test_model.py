"""The model of a key's hand-over is safe; each broken variant violates safety."""

import unittest

from minicheck import check_safety
from nose2.tools import params

from lab.models.keys import Variant, key_model

MAX_STATES = 100_000
BROKEN_STATES = 20_000


class ModelTest(unittest.TestCase):
    def test_correct_protocol_holds_in_every_state(self):
        report = check_safety(key_model(), max_states=MAX_STATES)
        self.assertTrue(report["exhaustive"])
        self.assertGreater(report["reachable_states"], 1000)
        for seen in report["properties"].values():
            self.assertTrue(seen["holds"])

    @params(*(variant for variant in Variant if variant is not Variant.CORRECT))
    def test_broken_variant_is_caught(self, variant):
        report = check_safety(key_model(variant), max_states=BROKEN_STATES)
        seen = report["properties"]["runs_at_most_once"]
        self.assertIs(seen["holds"], False)
        self.assertTrue(seen["counterexample"])

    def test_handed_over_key_can_run(self):
        model = key_model()
        model.invariants["never_runs"] = lambda seen: (
            seen["runs"] == 0 or seen["owner"].successor is None
        )
        report = check_safety(model, max_states=BROKEN_STATES)
        self.assertIs(report["properties"]["never_runs"]["holds"], False)
