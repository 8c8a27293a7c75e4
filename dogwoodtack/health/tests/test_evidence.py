"""The evidence messages that entry hosts send to each other."""

import json
import unittest

from nose2.tools import params

from ...errors import WireError
from ..evidence import (
    REGULAR_SEND_INTERVAL_S,
    URGENT_SEND_INTERVAL_S,
    Outbox,
    Row,
    decode,
)
from ..messages import SampleKind


class EvidenceTests(unittest.TestCase):
    def test_round_trip_as_json(self):
        outbox = Outbox("host-1")
        outbox.add("a", True, SampleKind.OK, 80)
        outbox.add("a", True, SampleKind.OK, 80)
        outbox.add("a", True, SampleKind.TIMEOUT, 120)
        outbox.add("b", False, SampleKind.OK, 70)
        source, rows = decode(json.loads(json.dumps(outbox.take(10.0))))
        self.assertEqual(source, "host-1")
        expected = [Row("a", True, 1, {80: 2}), Row("b", False, 0, {70: 1})]
        self.assertEqual(rows, expected)
        self.assertIsNone(outbox.take(100.0))

    @params(
        (SampleKind.OK, REGULAR_SEND_INTERVAL_S),
        (SampleKind.ERROR, URGENT_SEND_INTERVAL_S),
        (SampleKind.REFUSED, URGENT_SEND_INTERVAL_S),
        (SampleKind.CUT, URGENT_SEND_INTERVAL_S),
        (SampleKind.MALFORMED, URGENT_SEND_INTERVAL_S),
    )
    def test_failures_are_sent_sooner(self, kind, period_s):
        outbox = Outbox("host-1")
        outbox.add("a", True, SampleKind.OK, 80)
        self.assertIsNotNone(outbox.take(10.0))
        outbox.add("a", True, kind, 80)
        self.assertIsNone(outbox.take(10.0 + period_s - 0.01))
        self.assertIsNotNone(outbox.take(10.0 + period_s))

    @params(
        None,
        [],
        {},
        {"source": 1, "rows": []},
        {"source": "x", "rows": [["a", 1]]},
        {"source": "x", "rows": [["a", 1, -1]]},
        {"source": "x", "rows": [["a", 1, 0, 80]]},
        {"source": "x", "rows": [["a", 1, 0, 80, 1.5]]},
        {"source": "x", "rows": [["a", 1, True]]},
        {"source": "x", "rows": [["a", 1, 10**9]]},
        {"source": "x", "rows": [["a", 1, 0, 10**6, 1]]},
        {"source": "x", "rows": [[7, 1, 0]]},
    )
    def test_malformed_evidence_is_rejected_completely(self, evidence):
        with self.assertRaises(WireError):
            decode(evidence)
