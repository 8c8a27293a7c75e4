"""Tests of the memory of responses."""

import unittest

from dogwoodtack.entry.buffers import ResponseBuffers


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


if __name__ == "__main__":
    unittest.main()
