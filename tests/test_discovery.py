"""Discovery names a service's home hosts, whichever entry host is asked."""

import unittest

from lab.fleet import Fleet, http_call

HOSTS = 8
HOMES = 6
HOST = {"Host": "jobtrack.example"}


class DiscoveryTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.fleet.start_platform()
        self.fleet.start_backend("jt-1", work_ms=1)
        self.fleet.start_nodes(HOSTS)
        value = self.fleet.service_value("jobtrack.example")
        version = self.fleet.put_object("service", "jobtrack", value)
        self.fleet.wait_service("jobtrack", version)
        self.fleet.wait_until(self.all_agree, "all hosts know the same homes")

    def ask(self, node):
        target = "/.well-known/dogwoodtack/services/jobtrack"
        return http_call(node.caller, "GET", target).json()

    def homes(self, node):
        found = self.ask(node)
        return frozenset(item["address"] for item in found.get("addresses", ()))

    def all_agree(self):
        seen = {self.homes(node) for node in self.fleet.nodes}
        return len(seen) == 1 and len(next(iter(seen))) == HOMES

    def test_key_owner_is_a_home_that_the_caller_will_use(self):
        homes = self.homes(self.fleet.nodes[0])
        by_address = {str(node.caller): node for node in self.fleet.nodes}
        for number, node in enumerate(self.fleet.nodes):
            found = self.ask(node)
            self.assertIn(found["key_owner"], homes)
            self.assertEqual(found["key_owner"], found["addresses"][0]["address"])
            owner = by_address[found["key_owner"]]
            key = {"Idempotency-Key": f"{found['key_prefix']}release-{number}"}
            target = f"/release/{number}"
            answer = http_call(owner.caller, "POST", target, b"1", {**HOST, **key})
            self.assertEqual(answer.status, 200)

    def test_a_leaving_home_is_not_named(self):
        leaving = next(
            node
            for node in self.fleet.nodes
            if str(node.caller) in self.homes(self.fleet.nodes[0])
        )
        self.fleet.signal(leaving.name, 15)
        left = [node for node in self.fleet.nodes if node is not leaving]
        self.fleet.wait_until(
            lambda: all(str(leaving.caller) not in self.homes(one) for one in left),
            "the leaving host is out of every answer",
        )
