"""Intents from the command-line tool through entry hosts to the platform's store."""

import json
import signal
import socket
import subprocess
import sys
import unittest
from concurrent.futures import ThreadPoolExecutor

from nose2.tools import params

from dogwoodtack.misc import Address
from lab.fleet import ACCESS_KEY, Fleet, http_call

OK, REFUSED, USAGE, CONFLICT, UNKNOWN, UNREACHABLE = range(6)
RACE_COUNT = 5


class IntentsTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet({"store": {"timeout_s": 0.5}})
        self.addCleanup(self.fleet.close)
        self.fleet.start_platform()
        for name in ("jt-1", "jt-2", "jt-3"):
            self.fleet.start_backend(name, work_ms=5)
        self.fleet.start_nodes(2)
        value = self.fleet.service_value("jobtrack.example", floor=2)
        self.assertEqual(self.apply("define-service", **value)[0], OK)
        self.fleet.wait_service("jobtrack", 1)

    def run_command(self, *args, stdin="", nodes=None):
        nodes = self.fleet.nodes if nodes is None else nodes
        addresses = ",".join(str(node.operator) for node in nodes)
        cmd = [sys.executable, "-m", "dogwoodtack.cmdline", *args, "--json"]
        cmd += [f"--addresses={addresses}", f"--access_key={ACCESS_KEY}"]
        cmd += [f"--plans_dir={self.fleet.path / 'plans'}"]
        result = subprocess.run(cmd, input=stdin, capture_output=True, text=True)
        answer = json.loads(result.stdout) if result.stdout else result.stderr
        return result.returncode, answer

    def submit(self, kind, **fields):
        intent = {"kind": kind, "service": "jobtrack", **fields}
        return self.run_command("submit", "-", stdin=json.dumps(intent))

    def apply(self, kind, **fields):
        code, plan = self.submit(kind, **fields)
        self.assertEqual(code, OK, plan)
        return self.run_command("confirm", plan["plan_id"], "--yes")

    def stored_object(self, name="jobtrack", kind="service"):
        return http_call(self.fleet.platform, "GET", f"/objects/{kind}/{name}").json()

    def test_change_takes_effect_only_when_confirmed(self):
        before = self.stored_object()
        code, plan = self.submit("set-floor", floor=3)
        self.assertEqual((code, plan["allowed"]), (OK, True))
        self.assertEqual(self.stored_object(), before)
        self.assertEqual(self.run_command("show", plan["plan_id"]), (OK, plan))
        code, receipt = self.run_command("confirm", plan["plan_id"], "--yes")
        self.assertEqual((code, receipt["result"]), (OK, "accepted"))
        self.assertEqual(self.stored_object()["value"]["floor"], 3)
        self.fleet.wait_service("jobtrack", receipt["version"])
        code, again = self.run_command("confirm", plan["plan_id"], "--yes")
        self.assertEqual((code, again), (OK, receipt))

    def test_one_of_two_concurrent_confirms_is_accepted(self):
        for round_number in range(RACE_COUNT):
            floors = (1, 2) if round_number % 2 else (2, 1)
            plans = [self.submit("set-floor", floor=floor)[1] for floor in floors]
            with ThreadPoolExecutor(2) as pool:
                results = list(
                    pool.map(
                        lambda pair: self.run_command(
                            "confirm", pair[0]["plan_id"], "--yes", nodes=[pair[1]]
                        ),
                        zip(plans, self.fleet.nodes),
                    )
                )
            codes = sorted(code for code, _ in results)
            self.assertEqual(codes, [OK, CONFLICT], results)
            winner = [code for code, _ in results].index(OK)
            stored = self.stored_object()
            self.assertEqual(stored["value"]["floor"], floors[winner])
            self.fleet.wait_service("jobtrack", stored["version"])

    @params((1,), (2,))
    def test_lost_store_responses_are_resolved(self, lost):
        _, plan = self.submit("set-floor", floor=1)
        self.fleet.set_platform_fault(lose_answers=lost)
        code, receipt = self.run_command("confirm", plan["plan_id"], "--yes")
        self.assertEqual((code, receipt["version"]), (OK, 2), receipt)
        self.assertEqual(self.stored_object()["value"]["floor"], 1)

    def test_confirm_is_unknown_in_an_outage_and_repeatable(self):
        _, plan = self.submit("set-floor", floor=1)
        self.fleet.set_platform_fault(hang=True)
        code, text = self.run_command("confirm", plan["plan_id"], "--yes")
        self.assertEqual(code, UNKNOWN, text)
        self.fleet.set_platform_fault()
        code, receipt = self.run_command("confirm", plan["plan_id"], "--yes")
        self.assertEqual(code, OK, receipt)
        self.assertEqual(self.stored_object()["value"]["floor"], 1)

    def test_confirm_is_unknown_on_stale_reads_and_repeatable(self):
        _, plan = self.submit("set-floor", floor=1)
        self.fleet.set_platform_fault(lose_answers=1, stale_reads=True)
        code, _ = self.run_command("confirm", plan["plan_id"], "--yes")
        self.assertEqual(code, UNKNOWN)
        self.fleet.set_platform_fault()
        code, receipt = self.run_command("confirm", plan["plan_id"], "--yes")
        self.assertEqual((code, receipt["version"]), (OK, 2))

    def test_drained_entry_host_leaves_discovery_until_undrained(self):
        host = self.fleet.nodes[1]
        for is_on, count in ((True, 1), (False, 2)):
            intent = {"kind": "drain-entry-host", "host": host.name, "on": is_on}
            code, plan = self.run_command("submit", "-", stdin=json.dumps(intent))
            self.assertEqual(code, OK, plan)
            code, _ = self.run_command("confirm", plan["plan_id"], "--yes")
            self.assertEqual(code, OK)
            self.fleet.wait_until(
                lambda: self.discovered_count() == count, f"{count} addresses"
            )

    def discovered_count(self):
        target = "/.well-known/dogwoodtack/services/jobtrack"
        answer = http_call(self.fleet.nodes[0].caller, "GET", target)
        return len(answer.json()["addresses"])

    def test_unreachable_store(self):
        _, plan = self.submit("set-floor", floor=1)
        self.fleet.signal("platform", signal.SIGKILL)
        self.fleet.wait_exit("platform")
        code, text = self.run_command("confirm", plan["plan_id"], "--yes")
        self.assertEqual(code, UNREACHABLE, text)

    def test_removed_service_can_be_defined_again(self):
        self.assertEqual(self.apply("set-floor", floor=0)[0], OK)
        self.assertEqual(self.apply("remove-service")[0], OK)
        answer = self.fleet.operator(self.fleet.nodes[0], "GET", "/status")
        self.assertEqual(answer.json()["services"], {})
        value = self.fleet.service_value("jobtrack.example", floor=2)
        self.assertEqual(self.apply("define-service", **value)[0], OK)

    def test_rejections_and_exit_codes(self):
        code, plan = self.submit("set-floor", floor=4)
        self.assertEqual((code, plan["refusal"]), (REFUSED, "below-floor"))
        self.assertEqual(
            self.run_command("confirm", plan["plan_id"], "--yes")[0], REFUSED
        )
        self.assertEqual(self.run_command("confirm", plan["plan_id"])[0], USAGE)
        self.assertEqual(self.submit("no-such-kind")[0], REFUSED)
        self.assertEqual(self.run_command("no-such-command")[0], USAGE)
        self.assertEqual(self.run_command("confirm", "0" * 32, "--yes")[0], USAGE)
        unlistened = socket.socket()
        self.addCleanup(unlistened.close)
        unlistened.bind(("127.0.0.1", 0))
        closed_address = Address(*unlistened.getsockname())
        unreachable = self.fleet.nodes[0]._replace(operator=closed_address)
        self.assertEqual(
            self.run_command("status", nodes=[unreachable])[0], UNREACHABLE
        )
        self.assertEqual(
            self.run_command("status", nodes=[unreachable, *self.fleet.nodes])[0], OK
        )
