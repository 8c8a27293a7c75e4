"""Sick back ends beyond the budget, and holders that stop, die or are cut off."""

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
HOST = {"Host": "jobtrack.example"}
BACKENDS = [f"jt-{number}" for number in range(6)]
FLOOR = 4
REMOVABLE = len(BACKENDS) - FLOOR
NODES = 6
CALLERS_PER_NODE = 2
PAUSE_S = 0.02
EJECT_LIMIT_S = 40.0
DRAIN_LIMIT_S = 5.0
HOLD_S = 10.0
TAKEOVER_LIMIT_S = 90.0
CLOCK = SystemClock()


class Load:
    """Callers that ask every entry host again and again."""

    def __init__(self, nodes):
        self._is_over = threading.Event()
        self._threads = [
            threading.Thread(target=self._ask, args=(node,), daemon=True)
            for node in nodes
            for _ in range(CALLERS_PER_NODE)
        ]
        for thread in self._threads:
            thread.start()

    def _ask(self, node):
        while not self._is_over.wait(PAUSE_S):
            try:
                http_call(node.caller, "GET", "/racks/7", None, HOST, timeout_s=2.0)
            except OSError:
                time.sleep(0.2)

    def stop(self):
        self._is_over.set()
        for thread in self._threads:
            thread.join()


class ScriptedFleet(Fleet):
    """Entry hosts whose verdicts on instances this test writes."""

    def make_sick(self, *names):
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
        self.fleet.make_sick()
        self.fleet.start_platform()
        for name in BACKENDS:
            self.fleet.start_backend(name, work_ms=5, slots=8)
        self.fleet.start_nodes(NODES)
        self.ended = {}
        value = self.fleet.service_value("jobtrack.example", floor=FLOOR)
        self.version = self.fleet.put_object("service", SERVICE, value)
        self.fleet.wait_service(SERVICE, self.version)
        load = Load(self.fleet.nodes)
        self.addCleanup(load.stop)
        self.fleet.wait_until(lambda: self.holder() is not None, "a holder")

    def floor(self, node):
        answer = self.fleet.operator(node, "GET", "/floor").json()
        return answer["services"][SERVICE]

    def holder(self, seen_by=0):
        name = self.floor(self.fleet.nodes[seen_by])["holder"]
        found = [node for node in self.fleet.nodes if node.name == name]
        return found[0] if found else None

    def others(self, node):
        return [one for one in self.fleet.nodes if one != node]

    def wait_ejected(self, nodes, count, among):
        def is_so():
            seen = [set(self.floor(node)["ejected"]) for node in nodes]
            return all(len(one) == count and one <= set(among) for one in seen)

        self.fleet.wait_until(
            is_so, f"{count} of {among} ejected everywhere", EJECT_LIMIT_S
        )

    def check_history(self):
        now = CLOCK.boottime()
        spans = []
        for node in self.fleet.nodes:
            text = self.fleet.log_text(node.name)
            spans += read_spans(node.name, text, self.ended.get(node.name, now))
        worst = worst_moment(spans, SERVICE)
        seen = [span for span in spans if span.begin <= worst.at < span.end]
        self.assertLessEqual(len(worst.instances), REMOVABLE, seen)
        self.assertEqual(len(worst.instances), REMOVABLE, "nothing was put to the test")

    def test_more_sick_than_the_floor_allows(self):
        self.fleet.make_sick(*BACKENDS[:4])
        self.wait_ejected(self.fleet.nodes, REMOVABLE, BACKENDS[:4])
        time.sleep(HOLD_S + 5.0)
        self.wait_ejected(self.fleet.nodes, REMOVABLE, BACKENDS[:4])
        self.check_history()

    def test_store_outage(self):
        self.fleet.set_platform_fault(down=True)
        self.fleet.make_sick(*BACKENDS[:3])
        self.wait_ejected(self.fleet.nodes, REMOVABLE, BACKENDS[:3])
        self.fleet.make_sick(*BACKENDS[3:])
        self.wait_ejected(self.fleet.nodes, REMOVABLE, BACKENDS[3:])
        self.check_history()

    def test_stopped_holder(self):
        self.fleet.make_sick(*BACKENDS[:3])
        self.wait_ejected(self.fleet.nodes, REMOVABLE, BACKENDS[:3])
        holder = self.holder()
        self.fleet.signal(holder.name, signal.SIGSTOP)
        self.fleet.make_sick(*BACKENDS[3:])
        self.wait_ejected(self.others(holder), 0, [])
        time.sleep(6.0)
        self.fleet.signal(holder.name, signal.SIGCONT)
        self.wait_ejected(self.fleet.nodes, REMOVABLE, BACKENDS[3:])
        self.assertIn("event=floor-confirmed", self.fleet.log_text(holder.name))
        self.check_history()

    def cut(self, nodes, *addresses):
        body = {"addresses": [str(address) for address in addresses]}
        for node in nodes:
            self.fleet.operator(node, "PUT", "/test/cut", body)

    def test_hosts_that_cannot_ask_the_holder(self):
        self.fleet.make_sick(*BACKENDS[:3])
        self.wait_ejected(self.fleet.nodes, REMOVABLE, BACKENDS[:3])
        holder = self.holder()
        others = self.others(holder)
        lost, heard = others[:2], [holder, *others[2:]]
        self.cut(lost, holder.peer)
        self.fleet.make_sick(*BACKENDS[3:])
        self.wait_ejected(lost, 0, [])
        self.wait_ejected(heard, REMOVABLE, BACKENDS[3:])
        self.cut(lost)
        self.wait_ejected(self.fleet.nodes, REMOVABLE, BACKENDS[3:])
        self.check_history()

    def test_drain_confirmed_while_ejections_are_in_use(self):
        self.fleet.make_sick(*BACKENDS[:3])
        self.wait_ejected(self.fleet.nodes, REMOVABLE, BACKENDS[:3])
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
            began = time.monotonic()
            self.fleet.wait_service(SERVICE, version)
        self.fleet.wait_until(
            lambda: all(
                self.floor(node)["drained"] == ["jt-4", "jt-5"]
                for node in self.fleet.nodes
            ),
            "both drained everywhere",
        )
        self.assertLess(time.monotonic() - began, DRAIN_LIMIT_S)
        self.wait_ejected(self.fleet.nodes, 0, [])
        self.check_history()

    def set_listed(self, **states):
        data = json.dumps(states).encode()
        http_call(self.fleet.platform, "PUT", "/test/hosts", data)

    def test_stopped_holder_is_replaced_and_wakes(self):
        self.set_listed(**{node.name: "live" for node in self.fleet.nodes})
        self.fleet.make_sick(*BACKENDS[:3])
        self.wait_ejected(self.fleet.nodes, REMOVABLE, BACKENDS[:3])
        holder = self.holder()
        self.fleet.signal(holder.name, signal.SIGSTOP)
        self.set_listed(**{holder.name: None})
        self.fleet.make_sick(*BACKENDS[3:])
        others = self.others(holder)
        self.fleet.wait_until(
            lambda: self.floor(others[0])["holder"] != holder.name,
            "another holder",
            TAKEOVER_LIMIT_S,
        )
        self.wait_ejected(others, REMOVABLE, BACKENDS[3:])
        self.fleet.signal(holder.name, signal.SIGCONT)
        self.wait_ejected(self.fleet.nodes, REMOVABLE, BACKENDS[3:])
        self.check_history()

    def test_killed_holder_comes_back(self):
        self.fleet.make_sick(*BACKENDS[:3])
        self.wait_ejected(self.fleet.nodes, REMOVABLE, BACKENDS[:3])
        holder = self.holder()
        self.fleet.signal(holder.name, signal.SIGKILL)
        self.ended[holder.name] = CLOCK.boottime()
        self.fleet.wait_exit(holder.name)
        self.fleet.make_sick(*BACKENDS[3:])
        self.wait_ejected(self.others(holder), 0, [])
        self.check_history()
        del self.ended[holder.name]
        self.fleet.spawn_node(holder)
        self.fleet.wait_port(holder.name, holder.caller)
        self.wait_ejected(self.others(holder), REMOVABLE, BACKENDS[3:])


class EvidenceTest(unittest.TestCase):
    """With the verdicts of the health slice: a sick back end gets no more work."""

    def test_sick_back_end_is_ejected_everywhere(self):
        with Fleet() as fleet:
            fleet.start_platform()
            for name in BACKENDS:
                fleet.start_backend(name, work_ms=5, slots=8)
            nodes = fleet.start_nodes(4)
            value = fleet.service_value("jobtrack.example", floor=FLOOR)
            fleet.wait_service(SERVICE, fleet.put_object("service", SERVICE, value))
            load = Load(nodes)
            try:
                time.sleep(5.0)
                fleet.set_backend_fault("jt-0", error_ratio=1.0)

                def is_ejected():
                    seen = [
                        fleet.operator(node, "GET", "/floor").json() for node in nodes
                    ]
                    services = [one["services"][SERVICE] for one in seen]
                    return all(list(one["ejected"]) == ["jt-0"] for one in services)

                fleet.wait_until(is_ejected, "jt-0 ejected everywhere", EJECT_LIMIT_S)
            finally:
                load.stop()
