"""Tests of what goes into one datagram of news."""

import unittest

from nose2.tools import params

from dogwoodtack.fleet import Sighting
from dogwoodtack.fleet.news import NewsBatch
from dogwoodtack.placement import Observation

END = Sighting("i-1", 1, Observation.SUCCESS)
BEGIN = Sighting("i-1", 2, None)
FAILURE = Sighting("i-1", 1, Observation.ERROR)


class NewsBatchTest(unittest.TestCase):
    @params(
        ("a slot taken again", [END, BEGIN], [Sighting("i-1", 2, Observation.SUCCESS)]),
        ("a short request", [BEGIN, END], [END]),
        (
            "two ends",
            [END, END._replace(in_flight=0)],
            [END, Sighting("i-1", 0, "good")],
        ),
        ("others", [END, Sighting("i-2", 1, None)], [END, Sighting("i-2", 1, None)]),
    )
    def test_batch(self, why, sightings, expected):
        batch = NewsBatch()
        for sighting in sightings:
            self.assertFalse(batch.add(sighting))
        self.assertEqual(batch.take(), expected, why)
        self.assertEqual(batch.take(), [])

    def test_a_failure_goes_at_once(self):
        batch = NewsBatch()
        self.assertTrue(batch.add(FAILURE))


if __name__ == "__main__":
    unittest.main()
