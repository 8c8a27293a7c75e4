"""Configuration changes reach every entry host in time and are never reverted."""

import json
import signal
import time
import unittest

from nose2.tools import params

from lab.fleet import Fleet, http_call

MAX_REPLICATION_S = 3.0
CUT_OFF_S = 3.0
MAX_DISCOVERY_REMOVAL_S = 10.0 - CUT_OFF_S - 1.0
POLL_S = 0.05
HOST_HEADER = {"Host": "jobtrack.example"}
SERVICE = "jobtrack"
DISCOVERY = f"/.well-known/dogwoodtack/services/{SERVICE}"


class ReplicationCase(unittest.TestCase):
    """A fleet, and the last version read from each incarnation of a node."""

    node_count = 8
    zone_count = 2

    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet({"test": {"cuts": "yes"}})
        cls.addClassCleanup(cls.fleet.close)
        cls.fleet.start_platform()
        cls.fleet.start_backend("jt-1", work_ms=5)
        cls.fleet.start_nodes(cls.node_count, cls.zone_count)
        cls.last_versions = {}
        cls.version = 0
        cls.replicated_version = 0
        cls.write()
        cls.fleet.wait_service(SERVICE, cls.version)
        cls.replicated_version = cls.version
        cls.fleet.wait_until(cls.do_all_see_each_other, "every node sees every node")

    def setUp(self):
        self.addCleanup(self.clear_faults)

    @classmethod
    def clear_faults(cls):
        cls.fleet.set_platform_fault()
        for node in cls.running_nodes():
            cls.cut(node, [])
        cls.fleet.wait_until(cls.do_all_see_each_other, "every node sees every node")
        cls.fleet.wait_service(SERVICE, cls.version)

    @classmethod
    def running_nodes(cls):
        return [
            one for one in cls.fleet.nodes if cls.fleet.procs[one.name].poll() is None
        ]

    @classmethod
    def do_all_see_each_other(cls):
        nodes = cls.running_nodes()
        return all(
            cls.alive_members(one) == {node.name for node in nodes} for one in nodes
        )

    @classmethod
    def alive_members(cls, node):
        members = cls.status(node)["members"]
        return {one["name"] for one in members if one["state"] == "alive"}

    @classmethod
    def status(cls, node):
        return cls.fleet.operator(node, "GET", "/status").json()

    @classmethod
    def cut(cls, node, addresses):
        body = {"addresses": [str(address) for address in addresses]}
        cls.fleet.operator(node, "PUT", "/test/cut", body)

    @classmethod
    def write(cls):
        """Write the service's next version straight to the platform."""
        value = cls.fleet.service_value("jobtrack.example", floor=cls.version % 2)
        cls.version = cls.fleet.put_object("service", SERVICE, value, cls.version)

    def read_versions(self, nodes):
        """Return the version in force on each node, and check that none was reverted.

        A node that is not synced yet may have a version already, but refuses requests.
        """
        versions = []
        for node in nodes:
            status = self.status(node)
            version = status["services"].get(SERVICE, 0)
            min_version = self.last_versions.get(status["incarnation"], 0)
            is_synced = status["config"]["is_synced"]
            if is_synced:
                min_version = max(min_version, self.replicated_version)
            self.assertGreaterEqual(version, min_version, f"{node.name} reverted")
            self.last_versions[status["incarnation"]] = version
            versions.append(version if is_synced else 0)
        return versions

    def assert_in_force(self, nodes=None, within_s=MAX_REPLICATION_S):
        """Check that the last version is in force on the nodes in time."""
        end = time.monotonic() + within_s
        nodes = nodes or self.running_nodes()
        while True:
            versions = self.read_versions(nodes)
            if min(versions) >= self.version:
                type(self).replicated_version = self.version
                return
            if time.monotonic() > end:
                self.fail(f"{versions} at {self.version}; {self.describe_late(nodes)}")
            time.sleep(POLL_S)

    def describe_late(self, nodes):
        """Return status and log of the first node without the last version."""
        for node in nodes:
            status = self.status(node)
            if status["services"].get(SERVICE, 0) < self.version:
                return f"{status['config']}; {self.fleet.log_text(node.name)}"
        return "all have it by now"

    def discovered_addresses(self, node):
        """Return the addresses in a node's discovery response."""
        found = http_call(node.caller, "GET", DISCOVERY, None, HOST_HEADER).json()
        return {one["address"] for one in found["addresses"]}

    def watchers(self):
        return [
            one
            for one in self.running_nodes()
            if self.status(one)["config"]["is_watcher"]
        ]

    def isolate(self, node, store=True):
        """Cut a node off from its peers, in both directions, and from the store."""
        others = [one for one in self.running_nodes() if one != node]
        peers = [one.peer for one in others]
        self.cut(node, [*peers, self.fleet.platform] if store else peers)
        for one in others:
            self.cut(one, [node.peer])


class FaultTest(ReplicationCase):
    @params({}, {"stale_reads": True}, {"delay_s": 0.5}, {"list_lag_s": 60})
    def test_change_with_a_faulty_store(self, fault):
        self.fleet.set_platform_fault(**fault)
        for _ in range(3):
            self.write()
            self.assert_in_force()

    def test_lost_store_response(self):
        self.fleet.set_platform_fault(lose_answers=1)
        value = self.fleet.service_value("jobtrack.example", caution=0.7)
        body = json.dumps({"value": value, "if_version": self.version}).encode()
        target = f"/objects/service/{SERVICE}"
        with self.assertRaises(TimeoutError):
            http_call(self.fleet.platform, "PUT", target, body, timeout_s=0.2)
        stored_version = http_call(self.fleet.platform, "GET", target).json()["version"]
        self.assertGreater(stored_version, self.version)
        type(self).version = stored_version
        self.assert_in_force()

    @params("watchers", "half")
    def test_hosts_that_reach_peers_but_not_the_store(self, which):
        chosen = self.watchers() if which == "watchers" else self.running_nodes()[:4]
        for node in chosen:
            self.cut(node, [self.fleet.platform])
        for _ in range(3):
            self.write()
            self.assert_in_force()
            time.sleep(0.3)

    def test_host_that_reaches_the_store_but_no_peer(self):
        node = self.running_nodes()[-1]
        self.isolate(node, store=False)
        for _ in range(3):
            self.write()
            self.assert_in_force()
            time.sleep(1.0)
        self.assertFalse(self.status(node)["cut_off"])

    @params("out", "in")
    def test_one_way_cut(self, way):
        node = self.running_nodes()[-1]
        others = [one for one in self.running_nodes() if one != node]
        if way == "out":
            self.cut(node, [self.fleet.platform, *(one.peer for one in others)])
        else:
            for one in others:
                self.cut(one, [node.peer])
        for _ in range(3):
            self.write()
            self.assert_in_force()
            time.sleep(0.5)

    def test_cut_off_host_rejects_requests_until_reconnected(self):
        node = self.running_nodes()[-1]
        other = self.running_nodes()[0]
        self.isolate(node)
        time.sleep(CUT_OFF_S + 1.0)
        self.assertTrue(self.status(node)["cut_off"])
        for method, target in (("GET", "/"), ("POST", "/"), ("GET", DISCOVERY)):
            answer = http_call(node.caller, method, target, b"", HOST_HEADER)
            self.assertEqual(answer.status, 503)
            self.assertEqual(answer.headers["x-dogwoodtack-outcome"], "not-run")
            self.assertIn("retry-after", answer.headers)
        self.fleet.wait_until(
            lambda: str(node.caller) not in self.discovered_addresses(other),
            "discovery does not return the cut-off host",
            MAX_DISCOVERY_REMOVAL_S,
        )
        self.write()
        self.assert_in_force([one for one in self.running_nodes() if one != node])
        self.clear_faults()
        self.assertFalse(self.status(node)["cut_off"])
        self.assertEqual(
            http_call(node.caller, "GET", "/", None, HOST_HEADER).status, 200
        )
        self.assertIn("event=cut-off-ended", self.fleet.log_text(node.name))

    def test_only_watchers_call_the_store(self):
        watcher_count = 2 * self.zone_count
        self.fleet.wait_until(
            lambda: len(self.watchers()) == watcher_count, "two watchers per zone"
        )
        before = {one.name: self.status(one) for one in self.running_nodes()}
        time.sleep(3.0)
        for node in self.running_nodes():
            status = self.status(node)
            calls = status["store_calls"] - before[node.name]["store_calls"]
            if not status["config"]["is_watcher"]:
                self.assertEqual(calls, 0, node.name)
        self.assertEqual(len(self.watchers()), watcher_count)


class RestartTest(ReplicationCase):
    node_count = 6
    zone_count = 3

    def kill(self, node):
        self.fleet.signal(node.name, signal.SIGKILL)
        self.fleet.wait_exit(node.name)

    def restart(self, node):
        self.kill(node)
        self.fleet.spawn_node(node)
        self.fleet.wait_node(node)

    @params({"down": True}, {"hang": True}, {"stale_reads": True})
    def test_host_that_starts_with_a_faulty_store(self, fault):
        self.write()
        self.assert_in_force()
        self.fleet.set_platform_fault(**fault)
        node = self.running_nodes()[2]
        self.restart(node)
        self.assert_in_force([node])
        answer = http_call(node.caller, "GET", "/", None, HOST_HEADER)
        self.assertEqual(answer.status, 200)

    def test_kills_and_restarts_during_changes(self):
        for round_number in range(6):
            node = self.running_nodes()[round_number]
            self.write()
            self.kill(node)
            self.write()
            self.assert_in_force()
            self.fleet.spawn_node(node)
            self.write()
            self.fleet.wait_node(node)
            self.assert_in_force()

    def test_watchers_killed_at_once(self):
        chosen = self.watchers()[:3]
        for node in chosen:
            self.kill(node)
        self.write()
        self.assert_in_force()
        for node in chosen:
            self.fleet.spawn_node(node)
            self.fleet.wait_node(node)
        self.assert_in_force()


class StoreDownFromTheStartTest(unittest.TestCase):
    def test_fleet_waits_for_its_configuration(self):
        with Fleet() as fleet:
            fleet.start_platform()
            fleet.start_backend("jt-1", work_ms=5)
            value = fleet.service_value("jobtrack.example")
            version = fleet.put_object("service", SERVICE, value)
            fleet.set_platform_fault(down=True)
            node = fleet.start_nodes(3)[0]
            answer = http_call(node.caller, "POST", "/", b"", HOST_HEADER)
            self.assertEqual(answer.headers["x-dogwoodtack-error"], "cut-off")
            fleet.set_platform_fault()
            fleet.wait_service(SERVICE, version)
            self.assertEqual(
                http_call(node.caller, "GET", "/", None, HOST_HEADER).status, 200
            )
