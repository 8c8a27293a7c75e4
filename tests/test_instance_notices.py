"""Entry hosts before instances that say in their responses that they want less."""

import threading
import time
import unittest

from nose2.tools import params

from soak.callers import Caller
from soak.site import Site
from tests.test_entry_host import EntryHostTest

# The users' bounds: requests may reach an instance that leaves for this long, and two
# of them one that asks for a pause, from half a second on.
LEAVING_S = 2.0
PAUSE_SLACK_S = 0.5
PAUSE_REQUESTS = 2
PAUSE_S = 2.0
LONG_PAUSE_S = 3.0
# A host that has restarted may fill the slots of an instance before its first response.
RESTART_REQUESTS = 2
SLOTS = 2


class Traffic:
    """Sends requests from several threads for some time and keeps what came back."""

    def __init__(self, test, seconds, threads=4):
        self._test = test
        self._end = time.monotonic() + seconds
        self.results = []
        self._threads = [
            threading.Thread(target=self._run, args=(number,))
            for number in range(threads)
        ]
        for thread in self._threads:
            thread.start()
        for thread in self._threads:
            thread.join()

    def _run(self, number):
        count = 0
        while time.monotonic() < self._end:
            count += 1
            method, prefix = [("GET", "/look/"), ("POST", "/book/")][count % 2]
            began_at = time.monotonic()
            answer, _ = self._test.call(
                method, prefix + "1", f"{number:04x}{count:012x}"
            )
            retry_after = answer.getheader("Retry-After")
            spent_s = time.monotonic() - began_at
            self.results.append((answer.status, retry_after, spent_s))
            time.sleep(0.01)

    def statuses(self):
        return {status for status, _, _ in self.results}


class LeavingTest(EntryHostTest):
    @params(
        # behaviour of the instance that leaves, whether the store is away
        ("ok", False),
        ("error", False),
        ("cut", False),
        ("unframed", False),
        ("chunked", False),
        ("shed", False),
        ("ok", True),
    )
    def test_instance_that_leaves_gets_no_request(self, behaviour, is_store_away):
        self.serve()
        Traffic(self, 0.5)
        leaving, other = self.backends
        leaving.behaviour, leaving.is_leaving = behaviour, True
        self.store.is_down = is_store_away
        said_at = time.monotonic()
        Traffic(self, LEAVING_S + 1.5)
        late = [at for at in leaving.arrived_at if at > said_at + LEAVING_S]
        self.assertEqual(late, [])
        self.assertGreater(other.arrived, 20)
        self.assertIn("event=instance-leaving", self.log.read_text())

    def test_entry_that_still_shows_it_changes_nothing(self):
        self.serve()
        leaving = self.backends[0]
        leaving.is_leaving = True
        Traffic(self, 0.5)
        self.store.put("servers", leaving.name, **leaving.directory_entry("jobs"))
        time.sleep(1.5)
        before = leaving.arrived
        Traffic(self, 1.0)
        self.assertEqual(leaving.arrived, before)

    def test_new_start_is_used(self):
        self.serve()
        leaving = self.backends[0]
        leaving.is_leaving = True
        Traffic(self, 0.5)
        leaving.is_leaving = False
        entry = leaving.directory_entry("jobs", born_ms=1796346009000)
        self.store.put("servers", leaving.name, **entry)
        time.sleep(1.5)
        before = leaving.arrived
        Traffic(self, 1.5)
        self.assertGreater(leaving.arrived, before)

    def test_last_instances_leave(self):
        """Callers get a rejection at once, which is true."""
        self.serve()
        for one in self.backends:
            one.is_leaving = True
        Traffic(self, 1.0)
        before = len(self.executed_requests())
        traffic = Traffic(self, 1.0)
        self.assertEqual(traffic.statuses(), {503})
        self.assertEqual(len(self.executed_requests()), before)
        for _, retry_after, spent_s in traffic.results:
            self.assertGreater(float(retry_after), 0.0)
            self.assertLess(spent_s, 0.5)


class PauseTest(EntryHostTest):
    def pause(self, backends):
        for one in backends:
            one.behaviour, one.retry_after = "shed", str(PAUSE_S)

    def arrivals_in_pause(self, one, since):
        """Return the arrivals in the pause after the first rejection."""
        begin = min(at for at in one.arrived_at if at > since)
        span = begin + PAUSE_SLACK_S, begin + PAUSE_S - 0.05
        return [at for at in one.arrived_at if span[0] < at < span[1]]

    def test_instance_that_asks_for_a_pause_has_one(self):
        self.serve()
        Traffic(self, 0.5)
        paused = self.backends[0]
        since = time.monotonic()
        self.pause([paused])
        traffic = Traffic(self, PAUSE_S + 1.0)
        self.assertLessEqual(len(self.arrivals_in_pause(paused, since)), PAUSE_REQUESTS)
        self.assertEqual(traffic.statuses(), {200})
        paused.behaviour = "ok"
        ran = len(paused.ran)
        Traffic(self, PAUSE_S + 0.5)
        self.assertGreater(len(paused.ran), ran)
        for event in ("event=instance-paused", "event=instance-pause-ended"):
            self.assertIn(event, self.log.read_text())

    def test_new_start_is_used_within_the_pause(self):
        self.serve()
        paused = self.backends[0]
        paused.behaviour, paused.retry_after = "shed", "60"
        Traffic(self, 0.5)
        paused.behaviour = "ok"
        born_ms = int(time.time() * 1000)
        entry = paused.directory_entry("jobs", born_ms=born_ms)
        self.store.put("servers", paused.name, **entry)
        time.sleep(1.5)
        before = paused.arrived
        Traffic(self, 1.0)
        self.assertGreater(paused.arrived, before)

    def test_host_that_restarts_within_a_pause_asks_little(self):
        self.serve()
        paused = self.backends[0]
        paused.behaviour, paused.retry_after = "shed", "60"
        Traffic(self, 0.5)
        self.process.kill()
        self.process.wait()
        before = paused.arrived
        self.start_host()
        self.wait_until(self.is_ready, "the host is ready")
        Traffic(self, 3.0)
        self.assertLessEqual(paused.arrived - before, RESTART_REQUESTS)

    def test_all_instances_ask_for_a_pause(self):
        self.serve()
        Traffic(self, 0.5)
        since = time.monotonic()
        self.pause(self.backends)
        traffic = Traffic(self, 1.0)
        self.assertLessEqual(traffic.statuses(), {200, 503})
        for one in self.backends:
            self.assertLessEqual(
                len(self.arrivals_in_pause(one, since)), PAUSE_REQUESTS
            )
        rejected = [one for one in traffic.results if one[0] == 503]
        self.assertGreater(len(rejected), 10)
        for _, retry_after, spent_s in rejected:
            self.assertLessEqual(float(retry_after), PAUSE_S + 0.5)
            self.assertLess(spent_s, 1.0)
        for one in self.backends:
            one.behaviour = "ok"
        time.sleep(PAUSE_S)
        self.assertEqual(Traffic(self, 0.5).statuses(), {200})


class PauseOfManyTest(EntryHostTest):
    """Many instances ask for pauses again and again, as in an overload."""

    instances = 6

    @params(3, 5, 6)
    def test_requests_in_pauses_while_many_instances_shed(self, paused):
        self.serve()
        Traffic(self, 0.5)
        for one in self.backends[:paused]:
            one.behaviour, one.retry_after = "shed", str(LONG_PAUSE_S)
        Traffic(self, 2.5 * LONG_PAUSE_S)
        pauses = [(one, pause) for one in self.backends for pause in one.pauses]
        self.assertGreaterEqual(len(pauses), 2 * paused)
        for one, pause in pauses:
            begin, end = pause.at + PAUSE_SLACK_S, pause.at + LONG_PAUSE_S
            late = [at for at in one.arrived_at if begin < at < end]
            self.assertLessEqual(len(late), PAUSE_REQUESTS, one.name)


class WaysTest(EntryHostTest):
    """No way to an instance leads past what it has said in a response."""

    def give_notice(self, one, kind):
        """Let an instance leave or ask for a long pause, and let the host know."""
        one.is_leaving = kind == "leaving"
        if kind == "paused":
            one.behaviour, one.retry_after = "shed", "60"
        self.wait_until(lambda: self.sends_notice(one, kind), "the host is told")

    def sends_notice(self, one, kind):
        self.call("GET", "/look/1")
        return f"event=instance-{kind} instance={one.name}" in self.log.read_text()

    @params(
        *[
            (kind, way, behaviour, delay_s)
            for kind in ("leaving", "paused")
            for way, behaviour, delay_s in [
                ("retry", "error", 0.0),
                ("retry after a cut", "cut", 0.0),
                ("hedge", "ok", 1.0),
                ("re-check of an unhealthy instance", "error", 0.9),
            ]
        ]
    )
    def test_other_instance_is_in_trouble(self, kind, way, behaviour, delay_s):
        self.serve()
        Traffic(self, 0.5)
        noticed, other = self.backends
        self.give_notice(noticed, kind)
        before = noticed.arrived, other.arrived
        other.behaviour, other.delay_s = behaviour, delay_s
        Traffic(self, 2.0)
        self.assertEqual(noticed.arrived, before[0], way)
        self.assertGreater(other.arrived, before[1])

    @params("leaving", "paused")
    def test_requests_that_wait_go_to_the_other_instance(self, kind):
        """The notice comes in the responses of the requests that fill the slots."""
        self.serve()
        Traffic(self, 0.5)
        noticed, other = self.backends
        for one in self.backends:
            one.delay_s = 0.6
        noticed.is_leaving = kind == "leaving"
        if kind == "paused":
            noticed.behaviour, noticed.retry_after = "shed-late", "60"
        before = noticed.arrived, other.arrived
        callers = [
            threading.Thread(
                target=self.call, args=("GET", "/look/1", f"{number:016x}")
            )
            for number in range(6)
        ]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        self.assertEqual(noticed.arrived - before[0], SLOTS)
        self.assertGreater(other.arrived - before[1], SLOTS)


class UnusableNoticeTest(EntryHostTest):
    @params("", "-3", "soon", "nan", "1e999")
    def test_unusable_pause_changes_nothing(self, retry_after):
        self.serve()
        asking = self.backends[0]
        asking.behaviour, asking.retry_after = "shed", retry_after
        Traffic(self, 1.0)
        self.assertIn("event=notice-unusable", self.log.read_text())
        asking.behaviour = "ok"
        before = len(asking.ran)
        Traffic(self, 1.5)
        self.assertGreater(len(asking.ran), before)


class FleetTest(unittest.TestCase):
    def test_all_hosts_learn_that_an_instance_leaves(self):
        site = Site(hosts=3, instances=4)
        self.addCleanup(site.close)
        site.wait_ready()
        callers = [Caller(site, 1, number) for number in range(10)]
        for caller in callers:
            caller.start()
        time.sleep(1.0)
        leaving = site.instances[0].backend
        leaving.is_leaving = True
        time.sleep(LEAVING_S)
        before = leaving.arrived
        time.sleep(3.0)
        for caller in callers:
            caller.is_stopping = True
        for caller in callers:
            caller.join(10.0)
        self.assertEqual(leaving.arrived, before)
        for host in site.hosts:
            self.assertIn("event=instance-leaving instance=i-0", host.log_text())
        served = [call.status for caller in callers for call in caller.calls]
        self.assertEqual(set(served), {200})


if __name__ == "__main__":
    unittest.main()
