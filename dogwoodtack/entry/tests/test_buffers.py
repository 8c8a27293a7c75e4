"""Tests of the memory of requests and responses."""

import random
import unittest
from collections import Counter

from nose2.tools import params

from dogwoodtack.entry.buffers import (
    RequestBuffers,
    ResponseBuffers,
    request_buffer_bytes,
)


class Owner:
    is_dropped = False

    def on_buffer_exceeded(self):
        self.is_dropped = True


class ResponseBuffersTest(unittest.TestCase):
    def test_largest_response_is_dropped(self):
        buffers = ResponseBuffers(limit_bytes=100)
        small, endless, other = Owner(), Owner(), Owner()
        buffers.grow(small, 20)
        for _ in range(7):
            buffers.grow(endless, 10)
        buffers.grow(other, 15)
        dropped = [one.is_dropped for one in (small, endless, other)]
        self.assertEqual(dropped, [False, True, False])
        self.assertEqual(buffers.total_bytes, 35)
        buffers.remove(small)
        buffers.remove(small)
        self.assertEqual(buffers.total_bytes, 15)


class RequestBuffersTest(unittest.TestCase):
    @params(
        # sizes that requests a and b reserve in turn, which of them fit, and their sum
        ("a60 b30 c20", "ab", 90),
        ("a200", "a", 200),
        ("a200 b1", "a", 200),
        ("a60 a60 b40", "aab", 100),
        ("a10 a50 a90 b20", "aaa", 90),
        ("a60 b50 a-- b50", "ab", 50),
        ("a60 b30 b50", "ab", 90),
        ("a-- a10", "a", 10),
    )
    def test_bodies_have_room_together(self, steps, fitting, total):
        buffers = RequestBuffers(limit_bytes=100)
        accepted = ""
        for owner, size in ((step[0], step[1:]) for step in steps.split()):
            if size == "--":
                buffers.release(owner)
            elif buffers.reserve(owner, int(size)):
                accepted += owner
        self.assertEqual((accepted, buffers.total_bytes), (fitting, total))

    @params(
        # callers' bodies in turn, which of them fit, and their sum; limit 1600 bytes,
        # 100 beyond it, 12 of which for each small caller
        ("a800 a700", "aa", 1500),
        ("b9 a400 a300 a100", "baa", 709),
        ("b9 a400 a300 a90 a91", "baaa", 799),
        ("b9 a1500 a9", "ba", 1509),
        ("b9 a1500 b90", "bab", 1599),
        # Beyond the limit there is room only for small callers' bodies.
        ("b9 a1590 b3 c10 c3 d1", "babcd", 1613),
        ("b9 a1590 b4", "ba", 1599),
        ("a2000 b12 c13 d1", "abd", 2013),
        ("a2000 a1 b1 a1", "ab", 2001),
        # Alone, a caller takes all; when another one comes, it gets no more.
        ("a500 a500 a500 b200 a1 b100", "aaab", 1600),
        # Without shares all have one bound.
        ("b9 a400 a300 a100 a791 b1", "baaaa", 1600, False),
        ("a2000 b12 c13 d1", "a", 2000, False),
    )
    def test_one_caller_leaves_room_for_others(
        self, steps, fitting, total, has_shares=True
    ):
        """One caller's bodies took all memory, and others were rejected."""
        buffers = RequestBuffers(limit_bytes=1600)
        buffers.bounds_callers = has_shares
        accepted = "".join(
            step[0]
            for number, step in enumerate(steps.split())
            if buffers.reserve(number, int(step[1:]), step[0], 1.0)
        )
        self.assertEqual((accepted, buffers.total_bytes), (fitting, total))
        for number in range(len(steps)):
            buffers.release(number)
        self.assertEqual((buffers.total_bytes, buffers.callers), (0, 0))

    def test_caller_that_has_gone_needs_no_room(self):
        buffers = RequestBuffers(limit_bytes=1000)
        buffers.bounds_callers = True
        buffers.reserve(1, 10, "b", 0.0)
        buffers.release(1)
        found = [
            buffers.reserve(number, 400, "a", now)
            for number, now in enumerate((0.0, 9.0, 11.0), 2)
        ]
        self.assertEqual(found, [True, False, True])

    @params(1, 2, 5, 30)
    def test_shares_under_load(self, callers):
        """Bodies of three times the memory left no room for those of a small caller."""
        rng = random.Random(callers)
        buffers = RequestBuffers(limit_bytes=60_000_000)
        buffers.bounds_callers = True
        rejected = Counter()
        for number in range(20_000):
            now = number / 1000
            if number >= 1000:
                buffers.release(number - 1000)
            caller = "small" if number % 50 == 0 else f"c{rng.randrange(callers)}"
            size = 60_000 if caller == "small" else rng.randrange(360_000)
            rejected[caller] += not buffers.reserve(number, size, caller, now)
        self.assertLess(rejected["small"], 0.05 * 400)
        self.assertGreater(sum(rejected.values()), 1000)
        self.assertLessEqual(buffers.total_bytes, 60_000_000)

    @params((300.0, 64), (200.0, 60), (100.0, 16))
    def test_share_of_the_memory(self, memory_mb, lowest_mb):
        room = request_buffer_bytes(memory_mb)
        self.assertGreaterEqual(room, lowest_mb * 1_000_000)
        self.assertLess(room, memory_mb * 1_000_000 / 2)


if __name__ == "__main__":
    unittest.main()
