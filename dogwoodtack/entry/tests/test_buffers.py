"""Tests of the memory of requests and responses."""

import unittest

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

    @params((300.0, 64), (200.0, 60), (100.0, 16))
    def test_share_of_the_memory(self, memory_mb, lowest_mb):
        room = request_buffer_bytes(memory_mb)
        self.assertGreaterEqual(room, lowest_mb * 1_000_000)
        self.assertLess(room, memory_mb * 1_000_000 / 2)


if __name__ == "__main__":
    unittest.main()
