"""Tests of what goes into one datagram of news."""

import unittest

from nose2.tools import params

from dogwoodtack.fleet import InstanceReport
from dogwoodtack.fleet.report_batch import ReportBatch
from dogwoodtack.placement import Observation

END = InstanceReport("i-1", 1, Observation.SUCCESS)
BEGIN = InstanceReport("i-1", 2, None)
FAILURE = InstanceReport("i-1", 1, Observation.ERROR)


class NewsBatchTest(unittest.TestCase):
    @params(
        (
            "a slot taken again",
            [END, BEGIN],
            [InstanceReport("i-1", 2, Observation.SUCCESS)],
        ),
        ("a short request", [BEGIN, END], [END]),
        (
            "two ends",
            [END, END._replace(in_flight=0)],
            [END, InstanceReport("i-1", 0, "good")],
        ),
        (
            "others",
            [END, InstanceReport("i-2", 1, None)],
            [END, InstanceReport("i-2", 1, None)],
        ),
    )
    def test_batch(self, why, sightings, expected):
        batch = ReportBatch()
        for sighting in sightings:
            self.assertFalse(batch.add(sighting))
        self.assertEqual(batch.take(), expected, why)
        self.assertEqual(batch.take(), [])

    def test_a_failure_goes_at_once(self):
        batch = ReportBatch()
        self.assertTrue(batch.add(FAILURE))


if __name__ == "__main__":
    unittest.main()
