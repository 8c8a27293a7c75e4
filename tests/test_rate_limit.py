"""Entry hosts before an instance that names a rate limit for all of them together."""

import time
import unittest

from nose2.tools import params

from soak.callers import Caller
from soak.site import Site
from soak.soak import LIMIT_FACTOR, LIMIT_SLACK, LIMIT_WINDOW_S, most_in_window

# The users' bound holds from this time after the limit was first named.
STABLE_S = 3.0
TRAFFIC_S = 12.0
CALLERS = 10


class RateLimitTest(unittest.TestCase):
    def setUp(self):
        self.site = Site(hosts=3, instances=4)
        self.addCleanup(self.site.close)
        self.site.wait_ready()

    def run_traffic(self, seconds):
        callers = [Caller(self.site, 1, number) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        time.sleep(seconds)
        for caller in callers:
            caller.is_stopping = True
        for caller in callers:
            caller.join(10.0)
        return [call for caller in callers for call in caller.calls]

    @params(0.3, 1.2, 6.0)
    def test_all_hosts_together_keep_to_a_rate_limit(self, limit):
        limited = self.site.instances[0].backend
        limited.rate_limit = limit
        calls = self.run_traffic(TRAFFIC_S)
        begin = limited.arrived_at[0] + STABLE_S
        times = [at for at in limited.arrived_at if at >= begin]
        self.assertLessEqual(
            most_in_window(times, LIMIT_WINDOW_S),
            LIMIT_FACTOR * LIMIT_WINDOW_S * limit + LIMIT_SLACK,
        )
        served = sum(1 for call in calls if call.status == 200)
        self.assertGreater(served, 0.99 * len(calls))


if __name__ == "__main__":
    unittest.main()
