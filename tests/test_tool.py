"""The command-line tool against several entry hosts, and the demo."""

import json
import subprocess
import sys
import unittest

from lab.fleet import ACCESS_KEY, Fleet, free_ports, http_call

HOST_HEADER = {"Host": "jobtrack.example"}
CALLS_PER_HOST = 10


class CommandTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.fleet.start_platform()
        self.fleet.start_backend("jt-1", work_ms=1)
        self.fleet.start_nodes(2)
        value = self.fleet.service_value("jobtrack.example", good_ratio=0.9)
        version = self.fleet.put_object("service", "jobtrack", value)
        self.fleet.wait_service("jobtrack", version)

    def run_command(self, *args):
        addresses = [str(node.operator) for node in self.fleet.nodes]
        addresses.append(f"127.0.0.1:{free_ports(1)[0]}")
        cmd = [sys.executable, "-m", "dogwoodtack.cmdline", *args]
        cmd += [f"--addresses={','.join(addresses)}", f"--access_key={ACCESS_KEY}"]
        return subprocess.run(cmd, capture_output=True, text=True)

    def test_burn_report_merges_hosts_and_lists_unreachable_ones(self):
        for node in self.fleet.nodes:
            for _ in range(CALLS_PER_HOST):
                http_call(node.caller, "GET", "/racks", None, HOST_HEADER)
        plot = self.fleet.path / "burn.png"
        result = self.run_command("burn", "--json", f"--plot={plot}")
        self.assertEqual(result.returncode, 0, result.stderr)
        reply = json.loads(result.stdout)
        self.assertEqual((reply["answered"], len(reply["silent"])), (2, 1))
        row = reply["report"]["rows"][0]
        self.assertEqual(
            (row["service"], row["total"]), ("jobtrack", 2 * CALLS_PER_HOST)
        )
        self.assertTrue(plot.read_bytes().startswith(b"\x89PNG"))

    def test_request_is_explained_by_the_host_that_served_it(self):
        answer = http_call(
            self.fleet.nodes[1].caller, "GET", "/racks", None, HOST_HEADER
        )
        result = self.run_command(
            "explain", "request", answer.headers["x-request-id"], "--json"
        )
        self.assertEqual(result.returncode, 0, result.stderr)
        reply = json.loads(result.stdout)
        self.assertEqual((reply["reason"], reply["outcome"]), ("served", "ran"))
        self.assertEqual(reply["attempts"][0]["instance"], "jt-1")
        self.assertEqual(self.run_command("explain", "request", "nobody").returncode, 1)
        text = self.fleet.operator(self.fleet.nodes[1], "GET", "/metrics").body
        sample = b'outcome="ran",service="jobtrack",status="200"} 1'
        self.assertIn(sample, text)


class DemoTest(unittest.TestCase):
    def test_demo_runs(self):
        result = subprocess.run(
            [sys.executable, "-m", "lab.demo"], capture_output=True, text=True
        )
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertIn("executions in the back ends' journals: 1\n", result.stdout)
        self.assertIn("second round: 0", result.stdout)
