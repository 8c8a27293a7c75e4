"""Discovery returns a service's assigned hosts, the same at every entry host."""

import unittest

from lab.fleet import Fleet, http_call

HOST_COUNT = 8
ASSIGNED_HOST_COUNT = 6
HOST_HEADER = {"Host": "jobtrack.example"}


class DiscoveryTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.fleet.start_platform()
        self.fleet.start_backend("jt-1", work_ms=1)
        self.fleet.start_nodes(HOST_COUNT)
        value = self.fleet.service_value("jobtrack.example")
        version = self.fleet.put_object("service", "jobtrack", value)
        self.fleet.wait_service("jobtrack", version)
        self.fleet.wait_until(
            self.all_hosts_agree, "all hosts return the same assigned hosts"
        )

    def query(self, node):
        target = "/.well-known/dogwoodtack/services/jobtrack"
        return http_call(node.caller, "GET", target).json()

    def assigned_addresses(self, node):
        found = self.query(node)
        return frozenset(item["address"] for item in found.get("addresses", ()))

    def all_hosts_agree(self):
        responses = {self.assigned_addresses(node) for node in self.fleet.nodes}
        return len(responses) == 1 and len(next(iter(responses))) == ASSIGNED_HOST_COUNT

    def test_key_owner_is_the_first_assigned_host(self):
        assigned = self.assigned_addresses(self.fleet.nodes[0])
        by_address = {str(node.caller): node for node in self.fleet.nodes}
        for number, node in enumerate(self.fleet.nodes):
            found = self.query(node)
            self.assertIn(found["key_owner"], assigned)
            self.assertEqual(found["key_owner"], found["addresses"][0]["address"])
            owner = by_address[found["key_owner"]]
            key = {"Idempotency-Key": f"{found['key_prefix']}release-{number}"}
            target = f"/release/{number}"
            answer = http_call(
                owner.caller, "POST", target, b"1", {**HOST_HEADER, **key}
            )
            self.assertEqual(answer.status, 200)

    def test_leaving_host_is_not_returned(self):
        leaving = next(
            node
            for node in self.fleet.nodes
            if str(node.caller) in self.assigned_addresses(self.fleet.nodes[0])
        )
        self.fleet.signal(leaving.name, 15)
        remaining = [node for node in self.fleet.nodes if node is not leaving]
        self.fleet.wait_until(
            lambda: all(
                str(leaving.caller) not in self.assigned_addresses(one)
                for one in remaining
            ),
            "no response contains the leaving host",
        )
