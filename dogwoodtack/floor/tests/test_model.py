"""The specification of the floor holds, and each flaw in it is found."""

import unittest

from nose2.tools import params

from lab.models.floor import DrainFlaw, TitleFlaw, check_drains, check_titles


class ModelTest(unittest.TestCase):
    @params(*TitleFlaw)
    def test_titles(self, flaw):
        self.check(check_titles(flaw), flaw is TitleFlaw.NONE)

    @params(*DrainFlaw)
    def test_drains(self, flaw):
        self.check(check_drains(flaw), flaw is DrainFlaw.NONE)

    def check(self, result, holds):
        self.assertEqual(result["properties"]["floor"]["holds"], holds)
        if holds:
            self.assertTrue(result["exhaustive"])
