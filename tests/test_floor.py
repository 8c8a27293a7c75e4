"""The floor holds with more unhealthy back ends than may be ejected.

Covered are also a store outage, a drain, a lease holder that is paused, killed or
replaced, and hosts that cannot reach the holder.
"""

import json
import os
import signal
import threading
import time
import unittest

from dogwoodtack.clock import SystemClock
from lab.fleet import Fleet, http_call
from lab.floor_history import read_spans, worst_moment

SERVICE = "jobtrack"
HOST_HEADER = {"Host": "jobtrack.example"}
BACKEND_NAMES = [f"jt-{number}" for number in range(6)]
FLOOR = 4
MAX_REMOVED = len(BACKEND_NAMES) - FLOOR
NODE_COUNT = 6
CALLERS_PER_NODE = 2
CALL_INTERVAL_S = 0.02
MAX_EJECTION_WAIT_S = 40.0
MAX_DRAIN_WAIT_S = 5.0
EJECTION_TIME_S = 10.0
MAX_TAKEOVER_WAIT_S = 90.0
CLOCK = SystemClock()


class BackgroundLoad:
    """Callers in threads that send requests to every entry host until stopped."""

    def __init__(self, nodes):
        self._is_stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._send_requests, args=(node,), daemon=True)
            for node in nodes
            for _ in range(CALLERS_PER_NODE)
        ]
        for thread in self._threads:
            thread.start()

    def _send_requests(self, node):
        while not self._is_stopped.wait(CALL_INTERVAL_S):
            try:
                http_call(
                    node.caller, "GET", "/racks/7", None, HOST_HEADER, timeout_s=2.0
                )
            except OSError:
                time.sleep(0.2)

    def stop(self):
        self._is_stopped.set()
        for thread in self._threads:
            thread.join()


class ScriptedFleet(Fleet):
    """A fleet whose entry hosts read the unhealthy instances from a file."""

    def set_unhealthy(self, *names):
        path = self.path / "sick.new"
        path.write_text(json.dumps(names))
        os.replace(path, self.path / "sick.json")

    def _spawn(self, name, module, *args):
        if module == "dogwoodtack.daemon":
            module = "tests.scripted_daemon"
            args = (*args, f"--sick_file={self.path / 'sick.json'}")
        super()._spawn(name, module, *args)


class FloorTest(unittest.TestCase):
    def setUp(self):
        self.fleet = ScriptedFleet(
            {"store": {"timeout_s": 0.5}, "test": {"cuts": "yes"}}
        )
        self.addCleanup(self.fleet.close)
        self.fleet.set_unhealthy()
        self.fleet.start_platform()
        for name in BACKEND_NAMES:
            self.fleet.start_backend(name, work_ms=5, slots=8)
        self.fleet.start_nodes(NODE_COUNT)
        self.ended_at = {}
        value = self.fleet.service_value("jobtrack.example", floor=FLOOR)
        self.version = self.fleet.put_object("service", SERVICE, value)
        self.fleet.wait_service(SERVICE, self.version)
        load = BackgroundLoad(self.fleet.nodes)
        self.addCleanup(load.stop)
        self.fleet.wait_until(lambda: self.holder() is not None, "a holder")

    def floor_status(self, node):
        answer = self.fleet.operator(node, "GET", "/floor").json()
        return answer["services"][SERVICE]

    def holder(self, seen_by=0):
        name = self.floor_status(self.fleet.nodes[seen_by])["holder"]
        holders = [node for node in self.fleet.nodes if node.name == name]
        return holders[0] if holders else None

    def other_nodes(self, node):
        return [one for one in self.fleet.nodes if one != node]

    def wait_ejected(self, nodes, count, candidates):
        def are_ejected():
            ejected = [set(self.floor_status(node)["ejected"]) for node in nodes]
            return all(len(one) == count and one <= set(candidates) for one in ejected)

        self.fleet.wait_until(
            are_ejected,
            f"{count} of {candidates} ejected everywhere",
            MAX_EJECTION_WAIT_S,
        )

    def assert_floor_held(self):
        now = CLOCK.boottime()
        spans = []
        for node in self.fleet.nodes:
            text = self.fleet.log_text(node.name)
            spans += read_spans(node.name, text, self.ended_at.get(node.name, now))
        worst = worst_moment(spans, SERVICE)
        overlapping = [span for span in spans if span.begin <= worst.at < span.end]
        self.assertLessEqual(len(worst.instances), MAX_REMOVED, overlapping)
        self.assertEqual(
            len(worst.instances),
            MAX_REMOVED,
            "the test never reached the limit of removed back ends",
        )

    def test_more_unhealthy_than_the_floor_allows(self):
        self.fleet.set_unhealthy(*BACKEND_NAMES[:4])
        self.wait_ejected(self.fleet.nodes, MAX_REMOVED, BACKEND_NAMES[:4])
        time.sleep(EJECTION_TIME_S + 5.0)
        self.wait_ejected(self.fleet.nodes, MAX_REMOVED, BACKEND_NAMES[:4])
        self.assert_floor_held()

    def test_store_outage(self):
        self.fleet.set_platform_fault(down=True)
        self.fleet.set_unhealthy(*BACKEND_NAMES[:3])
        self.wait_ejected(self.fleet.nodes, MAX_REMOVED, BACKEND_NAMES[:3])
        self.fleet.set_unhealthy(*BACKEND_NAMES[3:])
        self.wait_ejected(self.fleet.nodes, MAX_REMOVED, BACKEND_NAMES[3:])
        self.assert_floor_held()

    def test_paused_holder(self):
        self.fleet.set_unhealthy(*BACKEND_NAMES[:3])
        self.wait_ejected(self.fleet.nodes, MAX_REMOVED, BACKEND_NAMES[:3])
        holder = self.holder()
        self.fleet.signal(holder.name, signal.SIGSTOP)
        self.fleet.set_unhealthy(*BACKEND_NAMES[3:])
        self.wait_ejected(self.other_nodes(holder), 0, [])
        time.sleep(6.0)
        self.fleet.signal(holder.name, signal.SIGCONT)
        self.wait_ejected(self.fleet.nodes, MAX_REMOVED, BACKEND_NAMES[3:])
        self.assertIn("event=floor-confirmed", self.fleet.log_text(holder.name))
        self.assert_floor_held()

    def cut(self, nodes, *addresses):
        body = {"addresses": [str(address) for address in addresses]}
        for node in nodes:
            self.fleet.operator(node, "PUT", "/test/cut", body)

    def test_hosts_that_cannot_reach_the_holder(self):
        self.fleet.set_unhealthy(*BACKEND_NAMES[:3])
        self.wait_ejected(self.fleet.nodes, MAX_REMOVED, BACKEND_NAMES[:3])
        holder = self.holder()
        others = self.other_nodes(holder)
        disconnected, connected = others[:2], [holder, *others[2:]]
        self.cut(disconnected, holder.peer)
        self.fleet.set_unhealthy(*BACKEND_NAMES[3:])
        self.wait_ejected(disconnected, 0, [])
        self.wait_ejected(connected, MAX_REMOVED, BACKEND_NAMES[3:])
        self.cut(disconnected)
        self.wait_ejected(self.fleet.nodes, MAX_REMOVED, BACKEND_NAMES[3:])
        self.assert_floor_held()

    def test_drain_is_confirmed_while_the_budget_is_used_up(self):
        self.fleet.set_unhealthy(*BACKEND_NAMES[:3])
        self.wait_ejected(self.fleet.nodes, MAX_REMOVED, BACKEND_NAMES[:3])
        for number, instance in enumerate(("jt-4", "jt-5")):
            intent = {
                "kind": "drain-back-end",
                "service": SERVICE,
                "instance": instance,
            }
            node = self.fleet.nodes[number]
            plan = self.fleet.operator(node, "POST", "/intents", intent).json()
            target = f"/plans/{plan['plan_id']}/confirm"
            answer = self.fleet.operator(self.fleet.nodes[2], "POST", target, plan)
            self.assertEqual(answer.status, 200, answer.body)
            version = answer.json()["version"]
            started_at = time.monotonic()
            self.fleet.wait_service(SERVICE, version)
        self.fleet.wait_until(
            lambda: all(
                self.floor_status(node)["drained"] == ["jt-4", "jt-5"]
                for node in self.fleet.nodes
            ),
            "both drained everywhere",
        )
        self.assertLess(time.monotonic() - started_at, MAX_DRAIN_WAIT_S)
        self.wait_ejected(self.fleet.nodes, 0, [])
        self.assert_floor_held()

    def set_host_states(self, **states):
        data = json.dumps(states).encode()
        http_call(self.fleet.platform, "PUT", "/test/hosts", data)

    def test_paused_holder_is_replaced_and_resumes(self):
        self.set_host_states(**{node.name: "live" for node in self.fleet.nodes})
        self.fleet.set_unhealthy(*BACKEND_NAMES[:3])
        self.wait_ejected(self.fleet.nodes, MAX_REMOVED, BACKEND_NAMES[:3])
        holder = self.holder()
        self.fleet.signal(holder.name, signal.SIGSTOP)
        self.set_host_states(**{holder.name: None})
        self.fleet.set_unhealthy(*BACKEND_NAMES[3:])
        others = self.other_nodes(holder)
        self.fleet.wait_until(
            lambda: self.floor_status(others[0])["holder"] != holder.name,
            "another holder",
            MAX_TAKEOVER_WAIT_S,
        )
        self.wait_ejected(others, MAX_REMOVED, BACKEND_NAMES[3:])
        self.fleet.signal(holder.name, signal.SIGCONT)
        self.wait_ejected(self.fleet.nodes, MAX_REMOVED, BACKEND_NAMES[3:])
        self.assert_floor_held()

    def test_killed_holder_restarts(self):
        self.fleet.set_unhealthy(*BACKEND_NAMES[:3])
        self.wait_ejected(self.fleet.nodes, MAX_REMOVED, BACKEND_NAMES[:3])
        holder = self.holder()
        self.fleet.signal(holder.name, signal.SIGKILL)
        self.ended_at[holder.name] = CLOCK.boottime()
        self.fleet.wait_exit(holder.name)
        self.fleet.set_unhealthy(*BACKEND_NAMES[3:])
        self.wait_ejected(self.other_nodes(holder), 0, [])
        self.assert_floor_held()
        del self.ended_at[holder.name]
        self.fleet.spawn_node(holder)
        self.fleet.wait_port(holder.name, holder.caller)
        self.wait_ejected(self.other_nodes(holder), MAX_REMOVED, BACKEND_NAMES[3:])


class HealthVerdictTest(unittest.TestCase):
    """The real verdicts of package health: an unhealthy back end is ejected."""

    def test_unhealthy_back_end_is_ejected_everywhere(self):
        with Fleet() as fleet:
            fleet.start_platform()
            for name in BACKEND_NAMES:
                fleet.start_backend(name, work_ms=5, slots=8)
            nodes = fleet.start_nodes(4)
            value = fleet.service_value("jobtrack.example", floor=FLOOR)
            fleet.wait_service(SERVICE, fleet.put_object("service", SERVICE, value))
            load = BackgroundLoad(nodes)
            try:
                time.sleep(5.0)
                fleet.set_backend_fault("jt-0", error_ratio=1.0)

                def is_ejected():
                    replies = [
                        fleet.operator(node, "GET", "/floor").json() for node in nodes
                    ]
                    services = [one["services"][SERVICE] for one in replies]
                    return all(list(one["ejected"]) == ["jt-0"] for one in services)

                fleet.wait_until(
                    is_ejected, "jt-0 ejected everywhere", MAX_EJECTION_WAIT_S
                )
            finally:
                load.stop()
