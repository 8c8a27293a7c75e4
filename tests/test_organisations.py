"""Organisations and their keys at an entry host, as a process."""

import http.client
import json
import time
import unittest
from unittest import mock

from nose2.tools import params

from soak.site import ZONES, Site
from tests.test_entry_host import BOUNDS, HOST, EntryHostTest, configuration

KEY = "k1-s3cret"
OTHER_KEY = "k2-s3cret"
REVOKE_S = 1.5
# Within this time a version is in force at a host in touch with the store.
CONFIG_S = 2.5
TENANT = "X-Dogwoodtack-Tenant"


def tenants(**keys):
    """Return the organisations of a configuration, each with one key."""
    return {name: {"apiKeys": [key], "priority": 1} for name, key in keys.items()}


def send(port, headers=(), path="/look/1", method="GET", body=None):
    """Send a request with headers, doubled ones as well; return its response."""
    conn = http.client.HTTPConnection("127.0.0.1", port, 10)
    conn.putrequest(method, path, skip_host=True)
    request_id = f"{time.monotonic_ns():016x}"[-16:]
    sent = [
        ("Host", HOST),
        ("X-Dogwoodtack-Request-Id", request_id),
        ("X-Dogwoodtack-Deadline-Ms", "4000"),
        *headers,
    ]
    if body is not None:
        sent.append(("Content-Length", str(len(body))))
    for name, value in sent:
        conn.putheader(name, value)
    conn.endheaders(body)
    found = conn.getresponse()
    found.read()
    found.request_id = request_id
    conn.close()
    return found


def bearer(key):
    return [("Authorization", f"Bearer {key}")]


class OrganisationsTest(EntryHostTest):
    instances = 1
    bounds = BOUNDS

    def setUp(self):
        patch = mock.patch("tests.test_entry_host.BOUNDS", self.bounds)
        self.addCleanup(patch.stop)
        patch.start()
        super().setUp()

    def put(self, version, organisations):
        """Write a configuration, whose route r-open needs no key."""
        spec = configuration(version, **{"r-open": "/open/"})
        spec["routes"]["r-open"]["allowAnonymous"] = True
        if organisations is not None:
            spec["tenants"] = organisations
        self.store.put("config", "main", spec=spec)

    def serve(self, version=7):
        self.register_all()
        self.put(version, tenants(court=KEY, city=OTHER_KEY))
        self.wait_until(self.is_ready, "the host is ready")
        self.wait_until(self.are_all_registered, "all instances are registered")

    def ask(self, headers=(), path="/look/1", port=0):
        return send(port or self.ports[0], headers, path)

    def status_with(self, key, path="/look/1", port=0):
        return self.ask(bearer(key), path, port=port).status

    def senders(self):
        return [run.sender for run in self.executed_requests()]

    def log_line(self, request_id):
        """Return the line with which a request ended."""

        def find():
            return [
                line
                for line in self.log.read_text().splitlines()
                if f" id={request_id} " in line and "event=request " in line
            ]

        self.wait_until(find, f"request {request_id} is logged")
        return find()[0]

    def tearDown(self):
        self.assertNotIn("s3cret", self.log.read_text())
        self.assertNotIn("event=request-failed", self.log.read_text())


class KeyTest(OrganisationsTest):
    @params(
        # headers, status on a route that needs a key and one that doesn't, tenants
        (["Bearer " + KEY], [(TENANT, "city")], (200, 200), ("court", "court")),
        (["bearer " + OTHER_KEY], [], (200, 200), ("city", "city")),
        (["Bearer no"], [("X_Dogwoodtack_Tenant", "city")], (401, 200), (None,)),
        ([], [(TENANT, "city"), (TENANT, "court")], (401, 200), (None,)),
        (["Basic " + KEY], [], (401, 200), (None,)),
        (["Bearer " + "k" * 8192], [], (401, 200), (None,)),
        (["Bearer \xff"], [], (401, 200), (None,)),
        (["Bearer"], [], (401, 200), (None,)),
        (["Bearer " + KEY] * 2, [], (400, 400), ()),
    )
    def test_what_reaches_an_instance(self, keys, others, statuses, names):
        """A caller chose the organisation that instances take it for."""
        self.serve()
        headers = [("Authorization", key) for key in keys] + others
        found = [self.ask(headers, path).status for path in ("/look/1", "/open/1")]
        self.assertEqual(tuple(found), statuses, self.log.read_text())
        expected = [() if name is None else ((TENANT.lower(), name),) for name in names]
        self.assertEqual(self.senders(), expected)

    def test_order_of_errors(self):
        self.wait_until(
            lambda: self.get_status(self.ports[1], "/dogwoodtack/ready"),
            "the ready port responds",
        )
        self.assertEqual(self.ask().status, 503)
        self.serve()
        self.assertEqual(self.ask(path="/none/1").status, 404)
        self.assertEqual(self.ask().status, 401)

    def test_keys_come_and_go_with_versions(self):
        self.serve()
        self.assertEqual(self.status_with(KEY), 200)
        self.put(8, tenants(court="k9-s3cret", city=OTHER_KEY))
        begin = time.monotonic()
        self.wait_until(lambda: self.status_with(KEY) == 401, "the key is removed")
        self.wait_until(lambda: self.status_with("k9-s3cret") == 200, "it is replaced")
        self.assertLess(time.monotonic() - begin, CONFIG_S)
        self.assertEqual(self.status_with(OTHER_KEY), 200)

    def test_long_body_without_a_key_is_not_read(self):
        self.serve()
        conn = http.client.HTTPConnection("127.0.0.1", self.ports[0], 10)
        self.addCleanup(conn.close)
        headers = {"Host": HOST, "Content-Length": "50000", "Expect": "100-continue"}
        conn.putrequest("POST", "/book/1", skip_host=True)
        for name, value in headers.items():
            conn.putheader(name, value)
        conn.endheaders()
        self.assertEqual(conn.getresponse().status, 401)

    def test_log_and_metrics_name_the_organisation(self):
        self.serve()
        served = self.ask(bearer(KEY))
        rejected = self.ask(bearer("wrong-s3cret"))
        line = self.log_line(served.request_id)
        self.assertIn(" organisation=court", line)
        line = self.log_line(rejected.request_id)
        self.assertIn("reason=unauthorized", line)
        self.assertIn('detail="unknown key"', line)
        conn = http.client.HTTPConnection("127.0.0.1", max(self.ports[3:]), 10)
        self.addCleanup(conn.close)
        conn.request("GET", "/metrics")
        metrics = conn.getresponse().read().decode()
        self.assertIn('{organisation="court",result="served"} 1', metrics)
        self.assertNotIn("s3cret", metrics)


class StrictRevocationTest(OrganisationsTest):
    bounds = [*BOUNDS, "strictRevocation=true", f"revokeS={REVOKE_S}"]

    def test_host_without_contact_rejects_keys(self):
        """A host that had lost the store went on with keys that were removed."""
        self.serve()
        self.assertEqual(self.status_with(KEY), 200)
        self.store.is_down = True
        begin = time.monotonic()
        self.assertEqual(self.status_with(KEY), 200)
        self.wait_until(lambda: self.status_with(KEY) == 503, "the keys are too old")
        self.assertLess(time.monotonic() - begin, REVOKE_S + 1.0)
        self.assertEqual(self.ask(path="/open/1").status, 200)
        self.assertEqual(self.status_with(KEY, "/open/1"), 200)
        self.assertEqual(self.senders()[-2:], [(), ()])
        self.wait_until(
            lambda: "event=keys-unconfirmed" in self.log.read_text(), "that is logged"
        )
        self.store.is_down = False
        self.wait_until(lambda: self.status_with(KEY) == 200, "the store is back")


class LenientRevocationTest(OrganisationsTest):
    bounds = [*BOUNDS, "strictRevocation=false", f"revokeS={REVOKE_S}"]

    def test_host_without_contact_goes_on(self):
        self.serve()
        self.store.is_down = True
        time.sleep(2 * REVOKE_S)
        self.assertEqual(self.status_with(KEY), 200)


class SeveralHostsTest(unittest.TestCase):
    """Three hosts of a zone; the first one loses a link."""

    def setUp(self):
        bounds = [*BOUNDS, "strictRevocation=true", f"revokeS={REVOKE_S}"]
        self.site = Site(
            3, 2, zones=ZONES[:1], program="tests/cut_host.py", bounds=bounds
        )
        self.addCleanup(self.site.close)
        self.site.wait_ready()
        self.put(8, KEY)
        self.wait_for([200, 200, 200], KEY)

    def put(self, version, key):
        spec = configuration(version)
        spec["tenants"] = tenants(court=key)
        self.site.store.put("config", "main", spec=spec)

    def statuses(self, key, path="/look/1"):
        hosts = self.site.hosts
        return [send(host.port, bearer(key), path).status for host in hosts]

    def wait_for(self, statuses, key):
        """Wait until the hosts answer requests with a key so."""
        end = time.monotonic() + CONFIG_S
        while self.statuses(key) != statuses:
            self.assertLess(time.monotonic(), end, self.logs())
            time.sleep(0.02)

    def logs(self):
        return "\n".join(host.log_text() for host in self.site.hosts)

    def cut_from_store(self, count):
        for proxy in self.site.store_proxies[:count]:
            proxy.close()

    def tearDown(self):
        self.assertNotIn("s3cret", self.logs())

    def test_host_without_the_store_learns_of_keys_from_peers(self):
        self.cut_from_store(2)
        time.sleep(2 * REVOKE_S)
        self.assertEqual(self.statuses(KEY), [200, 200, 200], self.logs())
        self.put(9, "k9-s3cret")
        self.wait_for([401, 401, 401], KEY)
        self.wait_for([200, 200, 200], "k9-s3cret")

    def test_zone_without_the_store_rejects_keys(self):
        self.cut_from_store(3)
        time.sleep(REVOKE_S + 1.0)
        self.assertEqual(self.statuses(KEY), [503, 503, 503])

    @params("/look/1", "/book/1")
    def test_key_goes_with_a_request_that_is_handed_over(self, path):
        """A host without paths lost the key, and callers got 401."""
        ports = [one.proxy.address.port for one in self.site.instances]
        cut = self.site.hosts[0].settings_path.with_suffix(".cut")
        cut.write_text(json.dumps({"mode": "refuse-new", "ports": ports}))
        port = self.site.hosts[0].port
        end = time.monotonic() + 10.0
        while "event=instance-paths lost=True" not in self.site.hosts[0].log_text():
            self.assertLess(time.monotonic(), end, self.logs())
            send(port, bearer(KEY))
        served = send(port, [*bearer(KEY), (TENANT, "city")], path)
        self.assertEqual(served.status, 200, self.logs())
        self.assertEqual(send(port, [(TENANT, "court")], path).status, 401)
        runs = [
            run
            for one in self.site.instances
            for run in one.backend.ran
            if run.request_id == served.request_id
        ]
        self.assertEqual([run.sender for run in runs], [((TENANT.lower(), "court"),)])
        self.assertIn(f"id={served.request_id}", self.site.hosts[0].log_text())
        others = "".join(host.log_text() for host in self.site.hosts[1:])
        self.assertIn(f"id={served.request_id}", others)


if __name__ == "__main__":
    unittest.main()
