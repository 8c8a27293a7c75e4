"""The model of the floor protocol keeps the floor; each flawed variant violates it."""

import unittest

from nose2.tools import params

from lab.models.floor import DrainFlaw, LeaseFlaw, check_drains, check_leases


class ModelTest(unittest.TestCase):
    @params(*LeaseFlaw)
    def test_leases(self, flaw):
        self.check(check_leases(flaw), flaw is LeaseFlaw.NONE)

    @params(*DrainFlaw)
    def test_drains(self, flaw):
        self.check(check_drains(flaw), flaw is DrainFlaw.NONE)

    def check(self, result, holds):
        self.assertEqual(result["properties"]["floor"]["holds"], holds)
        if holds:
            self.assertTrue(result["exhaustive"])
