"""Tests of batching instance reports into one datagram."""

import unittest

from nose2.tools import params

from dogwoodtack.fleet import InstanceReport
from dogwoodtack.fleet.report_batch import ReportBatch
from dogwoodtack.placement import Observation

ENDED = InstanceReport("i-1", 1, Observation.SUCCESS)
STARTED = InstanceReport("i-1", 2, None)
FAILED = InstanceReport("i-1", 1, Observation.ERROR)


class ReportBatchTest(unittest.TestCase):
    @params(
        (
            "slot reused by the next request",
            [ENDED, STARTED],
            [InstanceReport("i-1", 2, Observation.SUCCESS)],
        ),
        ("request ends before the batch is sent", [STARTED, ENDED], [ENDED]),
        (
            "two outcomes",
            [ENDED, ENDED._replace(in_flight=0)],
            [ENDED, InstanceReport("i-1", 0, "good")],
        ),
        (
            "two instances",
            [ENDED, InstanceReport("i-2", 1, None)],
            [ENDED, InstanceReport("i-2", 1, None)],
        ),
    )
    def test_batch(self, label, reports, expected):
        batch = ReportBatch()
        for report in reports:
            self.assertFalse(batch.add(report))
        self.assertEqual(batch.pop_all(), expected, label)
        self.assertEqual(batch.pop_all(), [])

    def test_failure_is_sent_at_once(self):
        batch = ReportBatch()
        self.assertTrue(batch.add(FAILED))


if __name__ == "__main__":
    unittest.main()
