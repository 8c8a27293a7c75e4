"""Tests of organisations' keys at a host: whose request it is, and what is sent on."""

import hashlib
import unittest
from unittest import mock

from nose2.tools import params

from dogwoodtack.entry.tests.test_exchange import World, request_head
from dogwoodtack.errors import ErrorKind
from dogwoodtack.platform.headers import HEADERS
from dogwoodtack.routing import Organisation

KEY = b"k1-s3cret"
VALID = (b"authorization", b"Bearer " + KEY)
INVALID = (b"authorization", b"Bearer none")
TENANT = HEADERS.tenant
LONG = b"20000"
ORGANISATIONS = (
    Organisation("court", (hashlib.sha256(KEY).hexdigest(),), priority=2),
    Organisation("Zoë & co", (hashlib.sha256(b"k2").hexdigest(),)),
)
OTHERS = (Organisation("other", (hashlib.sha256(b"k3").hexdigest(),)),)


class Site(World):
    """A world whose instances answer at once, and the headers that they get."""

    def __init__(self, organisations=ORGANISATIONS, is_anonymous=False):
        super().__init__(1)
        self.behaviours = ["ok"]
        self.received = []
        self.responses = []
        for host in self.hosts:
            host.access.set_organisations(organisations)
            deps = host._deps
            host._deps = deps._replace(
                find_route=lambda name, target, find=deps.find_route: (
                    find(name, target)[0]._replace(allows_anonymous=is_anonymous),
                    2,
                )
            )

    def serve_at_instance(self, conn, out):
        self.received.append(out.headers)
        super().serve_at_instance(conn, out)

    def start(self, headers, method="GET", host=0):
        """Send the head of a request to a host that loses no connection."""
        self.rng.random = lambda: 0.5
        head = request_head(method, "/look/")
        head.headers.extend(headers)
        return self.hosts[host].start(head, self.on_response)

    def on_response(self, status, headers, body):
        self.responses.append((status, headers))

    def send(self, headers, method="GET", host=0):
        """Send a request and return the status of its response."""
        self.start(headers, method, host)
        self.reactor.run_for(3.0)
        return self.responses[-1][0]

    def log_of(self, host=0):
        return [call.args[0] for call in self.hosts[host].request_log.add.mock_calls]


def identifying(headers):
    """Return the values of headers in which an instance could see an organisation."""
    names = {TENANT.replace(b"-", b"_"), b"authorization"}
    return [value for name, value in headers if name.replace(b"-", b"_") in names]


class KeyTest(unittest.TestCase):
    @params(
        # headers, status, and what an instance gets on a route with and without keys
        ([VALID], 200, [b"court"], [b"court"]),
        ([VALID, (TENANT, b"city")], 200, [b"court"], [b"court"]),
        ([(TENANT, b"a"), (TENANT, b"b"), VALID], 200, [b"court"], [b"court"]),
        ([(b"x_dogwoodtack_tenant", b"a"), VALID], 200, [b"court"], [b"court"]),
        ([(b"X-Dogwoodtack_Tenant ", b"a"), VALID], 200, [b"court"], [b"court"]),
        ([(b"connection", TENANT), VALID], 200, [b"court"], [b"court"]),
        ([(b"connection", b"authorization"), VALID], 200, [b"court"], [b"court"]),
        ([(b"authorization", b"bearer k2")], 200, ["Zoë & co".encode()], None),
        ([], 401, None, []),
        ([INVALID], 401, None, []),
        ([(TENANT, b"court")], 401, None, []),
        ([(b"x_dogwoodtack_tenant", b"court"), INVALID], 401, None, []),
        ([(b"authorization", b"Basic a1")], 401, None, []),
        ([VALID, VALID], 400, None, None),
        ([VALID, (b"Authorization ", b"Bearer k2")], 400, None, None),
    )
    def test_what_instances_get(self, headers, status, tenant, anonymous_tenant):
        """A caller named another organisation than that of its key."""
        site = Site()
        self.assertEqual(site.send(headers), status)
        found = [identifying(one) for one in site.received]
        self.assertEqual(found, [] if tenant is None else [tenant])
        if status == 401:
            self.assertIn((b"www-authenticate", b"Bearer"), site.responses[-1][1])
        if anonymous_tenant is not None:
            site = Site(is_anonymous=True)
            self.assertEqual(site.send(headers), 200)
            self.assertEqual(identifying(site.received[0]), anonymous_tenant)

    def test_headers_pass_without_organisations(self):
        """Earlier deployments have callers whose headers are for instances alone."""
        sent = [(TENANT, b"a"), INVALID, (b"x_dogwoodtack_tenant", b"b"), VALID]
        site = Site(organisations=None)
        self.assertEqual(site.send(sent), 200)
        self.assertEqual([one for one in site.received[0] if one in sent], sent)

    def test_organisation_goes_to_the_placer_and_the_log(self):
        site = Site()
        placer = site.hosts[0].placer
        with mock.patch.object(placer, "place", wraps=placer.place) as place:
            site.send([VALID])
        request = place.call_args.args[0]
        found = request.organisation, request.organisation_priority
        self.assertEqual(found, ("court", 2))
        self.assertEqual([one.organisation for one in site.log_of()], ["court"])
        site.send([INVALID])
        entry = site.log_of()[-1]
        self.assertEqual((entry.organisation, entry.detail), ("", "unknown key"))
        self.assertEqual((entry.reason, entry.route), ("unauthorized", "r"))

    @params([VALID], [VALID, VALID], [(b"authorization", b"Basic " + KEY)])
    def test_key_is_not_logged(self, headers):
        site = Site()
        log = []
        with mock.patch("dogwoodtack.entry.exchange.log_failure", log.append):
            exchange = site.start(headers)
            # h11 quotes the line that it can't parse.
            detail = f"illegal header line: bytearray(b'x: {KEY.decode()}\\x00')"
            exchange.on_request_error(ErrorKind.BAD_REQUEST, detail)
            site.reactor.run_for(3.0)
        calls = [host.request_log.mock_calls for host in site.hosts]
        self.assertTrue(site.log_of())
        self.assertNotIn(KEY.decode(), repr((calls, log, site.responses)))

    def test_equal_requests_of_two_organisations_are_held_back_apart(self):
        """One organisation's crashing request held back the same one of others."""
        site = Site()
        keys = (KEY, b"k2", KEY)
        digests = [
            site.start([(b"authorization", b"Bearer " + key)])._digest for key in keys
        ]
        self.assertNotEqual(digests[0], digests[1])
        self.assertEqual(digests[0], digests[2])


class HandOverTest(unittest.TestCase):
    def hand_over(self, organisations, headers=(VALID,), first=ORGANISATIONS):
        """Return the status that a host without paths gets for a request, and more."""
        site = Site()
        hosts = site.hosts
        hosts[0].paths.is_cut_off = True
        hosts[0].access.set_organisations(first)
        hosts[1].access.set_organisations(organisations)
        hosts[0]._deps.fleet.handover_hosts = lambda exclude: [
            hosts[1].record for _ in range(1) if "h-1" not in exclude
        ]
        return site.send(headers, "POST"), site

    @params(
        # organisations at the second host, status, what an instance gets
        (ORGANISATIONS, 200, [b"court"]),
        ((ORGANISATIONS[0]._replace(name="new"),), 200, [b"new"]),
        (OTHERS, 503, None),
        ((), 503, None),
    )
    def test_second_host_checks_the_key(self, organisations, status, tenant):
        """The second host's answer is not final: only it may know a version."""
        found, site = self.hand_over(organisations)
        self.assertEqual(found, status)
        self.assertEqual(
            [identifying(one) for one in site.received],
            [] if tenant is None else [tenant],
        )

    def test_tenant_header_of_a_host_is_not_trusted(self):
        headers = [(TENANT, b"court")]
        found, site = self.hand_over(ORGANISATIONS, headers, first=None)
        self.assertEqual((found, site.received), (503, []))
        self.assertEqual([one.status for one in site.log_of(1)], [401])

    def test_host_without_organisations_passes_the_key_on(self):
        found, site = self.hand_over(ORGANISATIONS, first=None)
        self.assertEqual(found, 200)
        self.assertEqual(identifying(site.received[0]), [b"court"])


class BodyTest(unittest.TestCase):
    """Bodies without a valid key used memory until they were complete."""

    def begin(self, site, headers):
        head = request_head("POST", "/look/")
        head.headers.extend(headers)
        exchange = site.hosts[0].begin(head, site.on_response)
        exchange.on_head()
        return exchange

    @params(
        # headers, whether the route is anonymous, status before the body
        ([VALID, (b"content-length", LONG)], False, None),
        ([INVALID, (b"content-length", LONG)], False, 401),
        ([(b"content-length", LONG)], False, 401),
        ([(b"transfer-encoding", b"chunked")], False, 401),
        ([VALID, VALID, (b"content-length", LONG)], False, 400),
        ([INVALID, (b"content-length", b"10")], False, None),
        ([INVALID, (b"content-length", LONG)], True, None),
    )
    def test_key_is_checked_before_a_long_body(self, headers, is_anonymous, status):
        site = Site(is_anonymous=is_anonymous)
        exchange = self.begin(site, headers)
        statuses = [status for status, _ in site.responses]
        self.assertEqual(statuses, [] if status is None else [status])
        exchange.on_body(b"x" * 10)
        buffers = site.hosts[0]._deps.request_buffers
        self.assertEqual(bool(buffers.total_bytes), status is None)
        exchange.on_body_end()
        site.reactor.run_for(3.0)
        self.assertEqual(len(site.responses), 1)
        self.assertEqual(buffers.total_bytes, 0)

    def test_share_of_an_organisation(self):
        """One organisation's uploads took the memory of all."""
        site = Site()
        site.hosts[0]._deps.request_buffers.bounds_callers = True
        sized = (b"content-length", b"300000")
        other = (b"authorization", b"Bearer k2")
        city = self.begin(site, [other, (b"content-length", b"10000")])
        city.on_body(b"x")
        for _ in range(4):
            self.begin(site, [VALID, sized]).on_body(b"x")
        statuses = [status for status, _ in site.responses]
        self.assertEqual(statuses, [503, 503, 503])
        retry_after = dict(site.responses[0][1])[b"retry-after"]
        self.assertGreater(float(retry_after), 0.0)
        self.assertIn("organisation court holds 300000", site.log_of()[0].detail)
        self.begin(site, [other, sized]).on_body(b"x")
        self.assertEqual(len(site.responses), 3)


if __name__ == "__main__":
    unittest.main()
