"""Tests of the ids of the last requests."""

import unittest

from nose2.tools import params

from dogwoodtack.entry.recent_ids import RecentIds


class RecentIdsTest(unittest.TestCase):
    @params(
        # ids in order, how many are remembered, which of them are repeated
        ("abca", 3, [False, False, False, True]),
        ("abcda", 3, [False] * 5),
        ("abacda", 3, [False, False, True, False, False, True]),
        ("aaa", 1, [False, True, True]),
    )
    def test_id_is_repeated_while_it_is_remembered(self, ids, max_ids, expected):
        recent = RecentIds(max_ids)
        self.assertEqual([recent.add(one.encode()) for one in ids], expected)


if __name__ == "__main__":
    unittest.main()
