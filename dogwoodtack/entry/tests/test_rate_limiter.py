"""Tests of the log of requests above an organisation's limit."""

import random
import unittest
from unittest import mock

from dogwoodtack.entry.rate_limiter import LINES_PER_S, RateLimiter
from dogwoodtack.quotas import Quotas
from dogwoodtack.routing import Organisation

ORGANISATION = Organisation("o", ("digest",), 1, 5.0, 5.0)


class RateLimiterTest(unittest.TestCase):
    def test_log_lines(self):
        """Hundreds of refusals a second crowded all other lines out of the log."""
        clock = mock.Mock(monotonic=mock.Mock(return_value=7.0))
        quotas = Quotas(random.Random(1))
        quotas.set_limits([ORGANISATION], 7.0)
        limiter = RateLimiter(clock, quotas)
        with mock.patch("dogwoodtack.entry.rate_limiter.log_event") as log_event:
            for second in (7.0, 8.0, 8.5):
                clock.monotonic.return_value = second
                for _ in range(100):
                    limiter.try_admit(ORGANISATION)
        self.assertEqual(log_event.call_count, 2 * LINES_PER_S)
        (event,), fields = log_event.call_args
        self.assertEqual((event, fields["organisation"]), ("rate-limit-rejected", "o"))
        self.assertTrue({"tokens", "extrapolated", "per_s", "reach"} <= fields.keys())
        self.assertNotIn("digest", str(fields))
