"""Tests of the attempts of requests."""

import multiprocessing
import random
import resource
import unittest
from unittest import mock

from dogwoodtack.entry.attempt import Attempt, AttemptTarget, OutgoingRequest
from dogwoodtack.entry.buffers import MAX_BUFFERED_BYTES, ResponseBuffers

ATTEMPTS = 16
RECEIVED_BYTES = 300_000_000
PIECE_BYTES = (16384, 30000, 65536)
# Half of the smallest machines' memory, without that of a host at rest and of the copy
# of a complete response.
MAX_GROWTH_BYTES = (100 - 40) * 1024 * 1024 - MAX_BUFFERED_BYTES


def start_attempt(buffers, on_end):
    reactor, pool = mock.Mock(), mock.Mock()
    reactor.clock.monotonic.return_value = 0.0
    target = AttemptTarget("i-1", None, [], None)
    names = mock.Mock(deadline_ms=b"deadline")
    attempt = Attempt(
        reactor,
        pool,
        buffers,
        names,
        mock.Mock(),
        target,
        mock.Mock(),
        mock.Mock(),
        on_end,
    )
    attempt.start(OutgoingRequest(b"1", b"GET", b"/", [], b""), 1.0, 1.0)
    pool.acquire.call_args.args[1](mock.Mock(idle_since=0.0), None)
    return attempt


def receive_endless_bodies(seed):
    """Return by how many bytes the peak of this process's memory grows."""
    rng = random.Random(seed)
    buffers = ResponseBuffers()
    attempts = []

    def replace(ended, result):
        attempts[attempts.index(ended)] = start_attempt(buffers, replace)

    for _ in range(ATTEMPTS):
        attempts.append(start_attempt(buffers, replace))
    before = peak_bytes()
    received = 0
    while received < RECEIVED_BYTES:
        number = rng.randrange(ATTEMPTS)
        for _ in range(rng.randrange(1, 40)):
            data = bytes(rng.choice(PIECE_BYTES))
            received += len(data)
            attempts[number].on_body(data)
    return peak_bytes() - before


def peak_bytes():
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


class AttemptTest(unittest.TestCase):
    def test_memory_of_bodies_that_grow_together(self):
        """Endless bodies leave room for the copy of a complete one."""
        context = multiprocessing.get_context("spawn")
        with context.Pool(1) as pool:
            grown = pool.apply(receive_endless_bodies, (1,))
        self.assertLess(grown, MAX_GROWTH_BYTES)


if __name__ == "__main__":
    unittest.main()
