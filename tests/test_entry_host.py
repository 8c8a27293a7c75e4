"""The entry host of the platform, as a process with stand-ins for its site."""

import http.client
import json
import os
import resource
import signal
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path

from nose2.tools import params

from dogwoodtack_standins.site import (
    ENDLESS_HEADS,
    InstanceStandIn,
    StoreAnswer,
    StoreStandIn,
)
from lab.fleet import free_ports

ROOT = Path(__file__).resolve().parent.parent
HOST = "shop.example"
START_TIMEOUT_S = 15.0
# The time limit of the routes, and half of the memory of the users' smallest machines.
TIME_LIMIT_S = 2.0
MEMORY_MB = 100
BOUNDS = ["drainS=2", "graceS=6", "retryBudgetRatio=0.2", "budgetSlack=56", "x=true"]


def configuration(version, **more_routes):
    """Return a configuration with a safe route, an unsafe route and more safe ones."""

    def route(prefix, kind, service="jobs"):
        return {
            "host": HOST,
            "pathPrefix": prefix,
            "kind": kind,
            "timeoutS": 2,
            "targetLatencyS": 0.8,
            "priority": 1,
            "service": service,
            "maxAttempts": 2,
        }

    routes = {"r-safe": route("/look/", "safe"), "r-once": route("/book/", "unsafe")}
    for name, prefix in more_routes.items():
        routes[name] = route(prefix, "safe")
    return {
        "version": f"{version:08x}",
        "routes": routes,
        "services": {"jobs": {"healthCheckPath": "/health", "maxConnections": 9}},
        "limits": {"maxBodyBytes": 100000, "headerTimeoutS": 3, "idleTimeoutS": 15},
    }


class EntryHostTest(unittest.TestCase):
    instances = 2
    # The limit of descriptors in the settings and of the process; None for its default.
    max_descriptors = None
    # The memory in the settings; None for its default.
    memory_mb = None

    def setUp(self):
        self.store = StoreStandIn()
        self.addCleanup(self.store.close)
        self.backends = [InstanceStandIn(f"i-{n}") for n in range(self.instances)]
        for one in self.backends:
            self.addCleanup(one.close)
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.ports = free_ports(5)
        self.log = Path(self.folder.name) / "log"
        self.start_host()

    def store_address(self):
        return self.store.address

    def register_all(self):
        for one in self.backends:
            self.store.put("servers", one.name, **one.directory_entry("jobs"))

    def start_host(self):
        callers, ready, directory, low, high = self.ports
        boot = Path(self.folder.name) / "boot.toml"
        lines = [
            'node = "front-zone-a-1"',
            'zone = "zone-a"',
            f"internalPortRange = [{min(low, high)},{max(low, high)}]",
            f"bounds = {json.dumps(BOUNDS)}",
            "[listen]",
            f'front = "127.0.0.1:{callers}"',
            f'ready = "127.0.0.1:{ready}"',
            f'directory = "127.0.0.1:{directory}"',
            "[limits]\ncpuShare = 0.86\ncores = 1\nlinkMbps = 1000.0",
        ]
        if self.max_descriptors:
            lines.append(f"maxFds = {self.max_descriptors}")
        if self.memory_mb:
            lines.append(f"memoryMb = {self.memory_mb}")
        lines.append(f'[platform]\naddress = "{self.store_address()}"')
        boot.write_text("\n".join(lines))
        env = {**os.environ, "DOGWOODTACK_SETTINGS": str(boot)}
        with open(self.log, "a") as out:
            self.process = subprocess.Popen(
                [sys.executable, "entryhost.py"],
                cwd=ROOT,
                env=env,
                stdout=out,
                stderr=subprocess.STDOUT,
                preexec_fn=self.limit_descriptors,
            )
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)

    def limit_descriptors(self):
        if self.max_descriptors:
            limits = (self.max_descriptors, self.max_descriptors)
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)

    def call(
        self,
        method,
        path,
        request_id="00000000000000aa",
        body=None,
        port=0,
        deadline_ms=4000,
    ):
        conn = http.client.HTTPConnection("127.0.0.1", port or self.ports[0], 10)
        self.addCleanup(conn.close)
        headers = {
            "Host": HOST,
            "X-Dogwoodtack-Request-Id": request_id,
            "X-Dogwoodtack-Deadline-Ms": str(deadline_ms),
        }
        conn.request(method, path, body, headers)
        answer = conn.getresponse()
        return answer, answer.read()

    def get_status(self, port, path):
        try:
            return self.call("GET", path, port=port)[0].status
        except OSError:
            return 0

    def wait_until(self, check, what):
        deadline = time.monotonic() + START_TIMEOUT_S
        while not check():
            self.assertLess(
                time.monotonic(),
                deadline,
                f"timed out until {what}; {self.log.read_text()}",
            )
            time.sleep(0.05)

    def is_ready(self):
        return self.get_status(self.ports[1], "/dogwoodtack/ready") == 200

    def serve(self, version=7):
        self.register_all()
        self.store.put("config", "main", spec=configuration(version))
        self.wait_until(self.is_ready, "the host is ready")
        self.wait_until(self.are_all_registered, "all instances are registered")

    def are_all_registered(self):
        text = self.log.read_text()
        return all(f"instance={one.name} state=ready" in text for one in self.backends)

    def executed_requests(self):
        return [run for one in self.backends for run in one.ran]


class PathTest(EntryHostTest):
    def test_ready_only_with_a_configuration(self):
        self.wait_until(
            lambda: self.get_status(self.ports[1], "/dogwoodtack/ready"),
            "the ready port responds",
        )
        self.assertEqual(self.get_status(self.ports[0], "/look/1"), 503)
        self.assertFalse(self.is_ready())
        self.serve()
        answer, body = self.call("GET", "/look/1?a=b", "00000000000000ab")
        self.assertEqual(answer.status, 200)
        self.assertTrue(body.endswith(b"/look/1?a=b "))
        signature = answer.getheader("X-Dogwoodtack-Response-Signature")
        self.assertEqual(signature, "signed-00000000000000ab")

    def test_addresses_and_unknown_paths(self):
        self.serve()
        query = f"/dogwoodtack/resolve?name={HOST}&region=r&zone=zone-a"
        answer, body = self.call("GET", query, port=self.ports[2])
        self.assertEqual(answer.status, 200)
        addresses = json.loads(body)["addresses"]
        self.assertEqual(addresses, [f"127.0.0.1:{self.ports[0]}"])
        self.assertEqual(self.get_status(self.ports[2], "/other"), 404)
        self.assertEqual(self.get_status(self.ports[0], "/none/1"), 404)

    @params(
        # behaviour of all instances, method, status, number of executions
        ("ok", "POST", 200, 1),
        ("error", "POST", 500, 1),
        ("cut", "POST", 502, 1),
        ("no-signature", "POST", 502, 1),
        ("other-id", "POST", 502, 1),
        ("shed", "POST", 503, 0),
        ("stray", "POST", 200, 1),
        ("late", "POST", 200, 1),
        ("unframed", "POST", 200, 1),
        ("error", "GET", 500, 2),
        ("cut", "GET", 502, 2),
        ("shed", "GET", 503, 0),
        ("late", "GET", 200, 1),
    )
    def test_all_instances_behave_alike(self, behaviour, method, status, runs):
        self.serve()
        for one in self.backends:
            one.behaviour = behaviour
        prefix = "/book/" if method == "POST" else "/look/"
        body = b"release" if method == "POST" else None
        answer, received = self.call(method, prefix + "1", "00000000000000ac", body)
        self.assertEqual(answer.status, status, self.log.read_text())
        self.assertEqual(len(self.executed_requests()), runs)
        if status == 503:
            self.assertGreater(float(answer.getheader("Retry-After")), 0)
        if status == 200:
            self.assertIn((prefix + "1 ").encode() + (body or b""), received)
            self.assertEqual(self.executed_requests()[0].body, body or b"")

    @params("error", "cut", "shed", "no-signature")
    def test_safe_request_is_retried_at_another_instance(self, behaviour):
        self.serve()
        self.backends[0].behaviour = behaviour
        for number in range(8):
            answer, _ = self.call("GET", f"/look/{number}", f"{number:016x}")
            self.assertEqual(answer.status, 200)

    @params(*range(616, 664, 8))
    def test_rejection_near_the_deadline_is_true(self, deadline_ms):
        """A hedge is due after about 0.6 s, and an instance has the request by then."""
        self.serve()
        for one in self.backends:
            one.delay_s = 1.0
        answer, _body = self.call("GET", "/look/1", deadline_ms=deadline_ms)
        self.assertEqual(answer.status, 504)
        self.assertGreaterEqual(len(self.executed_requests()), 1)

    def test_unexpected_response_reaches_no_other_request(self):
        self.serve()
        for one in self.backends:
            one.behaviour = "stray"
        for number in range(10):
            answer, body = self.call("POST", f"/book/{number}", f"{number:016x}", b"x")
            self.assertEqual(answer.status, 200)
            self.assertIn(f"/book/{number} ".encode(), body)

    def test_instance_at_a_reused_address_executes_no_request(self):
        self.serve()
        self.backends[0].name = "i-new"
        for number in range(6):
            answer, _ = self.call("POST", f"/book/{number}", f"{number:016x}", b"x")
            self.assertEqual(answer.status, 200)
        self.assertEqual(self.backends[0].ran, [])

    def test_instance_at_a_reused_address_gets_one_request(self):
        """Idempotent requests retry unhealthy instances, but never a replaced one."""
        self.serve()
        self.backends[0].name = "i-new"
        for number in range(12):
            answer, _ = self.call("GET", f"/look/{number}", f"{number:016x}")
            self.assertEqual(answer.status, 200)
            time.sleep(0.3)
        self.assertEqual(self.backends[0].misdirected, 1)

    @params("POST", "GET")
    def test_request_of_a_caller_that_left_goes_to_no_further_instance(self, method):
        """The first instance says after the caller has left that it did not run it."""
        self.serve()
        for one in self.backends:
            one.behaviour = "shed-late"
            one.delay_s = 0.6
        conn = http.client.HTTPConnection("127.0.0.1", self.ports[0], 10)
        headers = {
            "Host": HOST,
            "X-Dogwoodtack-Request-Id": "00000000000000ae",
            "X-Dogwoodtack-Deadline-Ms": "4000",
        }
        path = "/book/1" if method == "POST" else "/look/1"
        conn.request(method, path, b"x" if method == "POST" else None, headers)
        time.sleep(0.3)
        conn.close()
        time.sleep(1.5)
        self.assertEqual(sum(one.arrived for one in self.backends), 1)


class EmptySiteTest(EntryHostTest):
    instances = 0

    @params("servers", "config")
    def test_ready_after_unusable_lists(self, kind):
        read_list = self.store.list
        unusable = [StoreAnswer(200, {"items": None}, self.store.era)] * 3

        def read_list_at_last(wanted_kind, after):
            if wanted_kind == kind and unusable:
                return unusable.pop()
            return read_list(wanted_kind, after)

        self.store.list = read_list_at_last
        self.store.put("config", "main", spec=configuration(7))
        self.wait_until(self.is_ready, "the host is ready")
        self.assertEqual(unusable, [])
        self.assertIn("event=store-reply-unusable", self.log.read_text())

    @params("servers", "config")
    def test_ready_whichever_list_comes_last(self, late_kind):
        read_list = self.store.list

        def read_late_list(kind, after):
            if kind == late_kind:
                time.sleep(0.3)
            return read_list(kind, after)

        self.store.list = read_late_list
        self.store.put("config", "main", spec=configuration(7))
        self.wait_until(self.is_ready, "the host is ready")


class EndlessResponseTest(EntryHostTest):
    """Ill instances send bytes without end, in place of a response or within one."""

    def peak_memory_mb(self):
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(one for one in status.splitlines() if one.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def call_all(self, calls):
        """Make calls at the same time; return their statuses and the longest one."""
        results = []

        def caller(number, method, path):
            began_at = time.monotonic()
            answer, _ = self.call(method, path, f"{number:016x}", None)
            results.append((answer.status, time.monotonic() - began_at))

        threads = [
            threading.Thread(target=caller, args=(number, *call))
            for number, call in enumerate(calls)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        statuses = [status for status, _ in results]
        return statuses, max(seconds for _, seconds in results)

    @params(*ENDLESS_HEADS)
    def test_they_are_closed_in_bounded_time_and_memory(self, behaviour):
        self.serve()
        self.backends[0].behaviour = behaviour
        for number in range(3):
            answer, _ = self.call("GET", f"/look/{number}", f"{number:016x}")
            self.assertEqual(answer.status, 200)
        for one in self.backends:
            one.behaviour = behaviour
        calls = [("GET", "/look/1"), ("POST", "/book/1")] * 8
        statuses, longest_s = self.call_all(calls)
        self.assertLessEqual(set(statuses), {500, 502, 503, 504})
        self.assertLess(longest_s, TIME_LIMIT_S + 0.5)
        self.assertLess(self.peak_memory_mb(), MEMORY_MB)
        sent = sum(one.arrived for one in self.backends)
        self.wait_until(
            lambda: sum(one.closed_by_caller for one in self.backends) >= sent - 6,
            "all connections are closed",
        )
        for one in self.backends:
            one.behaviour = "ok"
        self.wait_until(
            lambda: self.call("POST", "/book/1")[0].status == 200, "work goes on"
        )


class ChangeTest(EntryHostTest):
    @params("draining", "gone", "history")
    def test_leaving_instance_gets_no_new_requests(self, how):
        self.serve()
        first = self.backends[0]
        if how == "history":
            self.store.forget_history()
        if how == "draining":
            self.store.put(
                "servers", first.name, **first.directory_entry("jobs", "draining")
            )
        else:
            self.store.delete("servers", first.name)
        time.sleep(2.0)
        before = first.arrived
        for number in range(10):
            self.call("GET", f"/look/{number}", f"{number:016x}")
        self.assertEqual(first.arrived, before)

    def test_new_configuration_applies_and_older_one_is_ignored(self):
        self.serve(version=7)
        self.assertEqual(self.get_status(self.ports[0], "/new/1"), 404)
        self.store.put("config", "main", spec=configuration(9, added="/new/"))
        self.wait_until(
            lambda: self.get_status(self.ports[0], "/new/1") == 200,
            "the new configuration applies",
        )
        self.store.put("config", "main", spec=configuration(8))
        time.sleep(1.5)
        self.assertEqual(self.get_status(self.ports[0], "/new/1"), 200)

    def test_store_outage_keeps_instances_and_readiness(self):
        self.serve()
        self.store.is_down = True
        time.sleep(2.0)
        for number in range(5):
            answer, _ = self.call("POST", f"/book/{number}", f"{number:016x}", b"x")
            self.assertEqual(answer.status, 200)
        self.assertTrue(self.is_ready())
        # An entry that is missing after the outage does not count as gone at once.
        self.store.delete("servers", "i-0")
        self.store.is_down = False
        time.sleep(0.6)
        self.store.put("servers", "i-0", **self.backends[0].directory_entry("jobs"))
        self.assertNotIn("state=gone", self.log.read_text())

    def test_invalid_entries_do_not_hide_valid_ones(self):
        self.store.put("servers", "i-bad", spec={"info": {"slots": "two"}})
        self.store.put("servers", "i-worse", spec=17)
        self.serve()
        self.assertEqual(self.call("GET", "/look/1")[0].status, 200)

    def test_graceful_stop_interrupts_no_request(self):
        self.serve()
        for one in self.backends:
            one.delay_s = 1.0
        answers = []

        def caller(number):
            answer, _ = self.call("POST", f"/book/{number}", f"{number:016x}", b"x")
            answers.append(answer.status)

        threads = [threading.Thread(target=caller, args=(n,)) for n in range(4)]
        for thread in threads:
            thread.start()
        self.wait_until(
            lambda: len(self.executed_requests()) == 4, "all requests have started"
        )
        self.process.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        self.assertFalse(self.is_ready())
        for thread in threads:
            thread.join()
        self.assertEqual(answers, [200] * 4)
        self.assertEqual(self.process.wait(6.0), 0)
        self.assertIn("event=stopped reason=drained cut=0", self.log.read_text())


class ExplainTest(EntryHostTest):
    instances = 1

    def log_line(self, request_id):
        def lines():
            text = self.log.read_text().splitlines()
            return [line for line in text if f"id={request_id}" in line]

        self.wait_until(lines, "the request is logged")
        return lines()[0]

    @params(
        ("error", 500, "The instance failed the request", "reason=served", "/failed/"),
        ("cut", 502, "the request may have run", "reason=backend-cut", "/cut/"),
        ("shed", 503, "unexecuted", "reason=backend-shed", "/not-executed/"),
    )
    def test_log_line_explains_a_failed_request(
        self, behaviour, status, cause, *fields
    ):
        self.serve()
        self.backends[0].behaviour = behaviour
        answer, _ = self.call("POST", "/book/1", "00000000000000ad", b"x")
        self.assertEqual(answer.status, status)
        line = self.log_line("00000000000000ad")
        for field in (*fields, f"status={status}", "version=7", "route=r-once"):
            self.assertIn(field, line)
        command = [sys.executable, "-m", "dogwoodtack.cmdline", "trace"]
        trace = subprocess.run(
            [*command, "00000000000000ad", str(self.log)],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        self.assertEqual(trace.returncode, 0, trace.stderr)
        self.assertIn(cause, trace.stdout)
        self.assertIn("attempt at i-0", trace.stdout)

    def test_command_tells_where_a_request_would_go(self):
        """Guards against a preview that is sent, or that the relay port refuses."""
        self.serve()
        address = f"127.0.0.1:{max(self.ports[3:])}"
        command = [sys.executable, "-m", "dogwoodtack.cmdline", "place", address]
        result = subprocess.run(
            [*command, "POST", HOST, "/book/1", "--json"],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        self.assertEqual(result.returncode, 0, result.stderr)
        reply = json.loads(result.stdout)
        self.assertEqual((reply["outcome"], reply["route"]), ("placed", "r-once"))
        self.assertEqual(reply["candidates"][0]["in_flight"], 0)
        self.assertNotIn("event=request ", self.log.read_text())

    def test_metrics_count_requests(self):
        self.serve()
        self.call("GET", "/look/1")
        relay = max(self.ports[3:])
        answer, body = self.call("GET", "/metrics", port=relay)
        self.assertEqual(answer.status, 200)
        self.assertIn(b"dogwoodtack_requests_total", body)
        self.assertIn(b"dogwoodtack_request_seconds_bucket", body)
