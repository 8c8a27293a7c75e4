"""Tests of whether a host reaches any instances at all."""

import unittest

from nose2.tools import params

from dogwoodtack.placement import Reachability


class ReachabilityTest(unittest.TestCase):
    @params(
        # outcomes by instance (upper case: reached), known instances, whether cut off
        ("abc", 22, False),
        ("abcd", 22, True),
        ("aaaaaa", 22, False),
        ("abcAd", 22, False),
        ("abAcde", 22, False),
        ("abAcdef", 22, True),
        ("ab", 2, True),
        ("a", 1, True),
        ("abcdA", 22, True),
        ("abcdAB", 22, False),
        ("abcdAA", 22, True),
        ("abcdAeB", 22, True),
        ("aA", 1, False),
    )
    def test_several_instances_in_a_row_decide(self, outcomes, known, expected):
        reachability = Reachability()
        for outcome in outcomes:
            reachability.record(outcome.lower(), outcome.isupper(), known)
        self.assertEqual(reachability.is_cut_off, expected)


if __name__ == "__main__":
    unittest.main()
