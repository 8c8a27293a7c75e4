"""The tool's burn report over several entry hosts, and the demonstration."""

import json
import subprocess
import sys
import unittest

from lab.fleet import ACCESS_KEY, Fleet, free_ports, http_call

HOST = {"Host": "jobtrack.example"}
CALLS = 10


class BurnReportTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.fleet.start_platform()
        self.fleet.start_backend("jt-1", work_ms=1)
        self.fleet.start_nodes(2)
        value = self.fleet.service_value("jobtrack.example", good_ratio=0.9)
        version = self.fleet.put_object("service", "jobtrack", value)
        self.fleet.wait_service("jobtrack", version)

    def tool(self, *args):
        addresses = [str(node.operator) for node in self.fleet.nodes]
        addresses.append(f"127.0.0.1:{free_ports(1)[0]}")
        cmd = [sys.executable, "-m", "dogwoodtack.cmdline", *args]
        cmd += [f"--addresses={','.join(addresses)}", f"--access_key={ACCESS_KEY}"]
        return subprocess.run(cmd, capture_output=True, text=True)

    def test_hosts_are_joined_and_a_silent_one_is_named(self):
        for node in self.fleet.nodes:
            for _ in range(CALLS):
                http_call(node.caller, "GET", "/racks", None, HOST)
        plot = self.fleet.path / "burn.png"
        done = self.tool("burn", "--json", f"--plot={plot}")
        self.assertEqual(done.returncode, 0, done.stderr)
        found = json.loads(done.stdout)
        self.assertEqual((found["answered"], len(found["silent"])), (2, 1))
        row = found["report"]["rows"][0]
        self.assertEqual((row["service"], row["total"]), ("jobtrack", 2 * CALLS))
        self.assertTrue(plot.read_bytes().startswith(b"\x89PNG"))

    def test_a_request_is_explained_by_the_host_that_served_it(self):
        answer = http_call(self.fleet.nodes[1].caller, "GET", "/racks", None, HOST)
        done = self.tool("explain", "request", answer.headers["x-request-id"], "--json")
        self.assertEqual(done.returncode, 0, done.stderr)
        found = json.loads(done.stdout)
        self.assertEqual((found["reason"], found["outcome"]), ("served", "ran"))
        self.assertEqual(found["attempts"][0]["instance"], "jt-1")
        self.assertEqual(self.tool("explain", "request", "nobody").returncode, 1)
        text = self.fleet.operator(self.fleet.nodes[1], "GET", "/metrics").body
        counted = b'outcome="ran",service="jobtrack",status="200"} 1'
        self.assertIn(counted, text)


class DemoTest(unittest.TestCase):
    def test_demo_runs(self):
        done = subprocess.run(
            [sys.executable, "-m", "lab.demo"], capture_output=True, text=True
        )
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn("journals show 1 run of it", done.stdout)
        self.assertIn("second round: 0", done.stdout)
