"""Random tests of requests at hosts that fail, hand over and lose their paths."""

import functools
import itertools
import random
import unittest
from collections import Counter
from typing import NamedTuple
from unittest import mock

from nose2.tools import params

from dogwoodtack.access import AccessControl
from dogwoodtack.backends import ConnectionUse, ResponseHead
from dogwoodtack.entry.buffers import RequestBuffers, ResponseBuffers
from dogwoodtack.entry.evidence import Evidence
from dogwoodtack.entry.exchange import Exchange, ExchangeDependencies
from dogwoodtack.entry.grace import GracePeriod
from dogwoodtack.entry.idle_limit import IdleLimit
from dogwoodtack.entry.notices import NoticeReader
from dogwoodtack.entry.rate_limiter import RateLimiter
from dogwoodtack.entry.recent_ids import RecentIds
from dogwoodtack.errors import ErrorKind, WireError
from dogwoodtack.frontend.conn import RequestHead
from dogwoodtack.misc import Address
from dogwoodtack.placement import (
    InstanceRegistry,
    Placer,
    Rejection,
    RetryRules,
    SelectionMode,
)
from dogwoodtack.placement.tests.test_parts import (
    apply_each,
    make_change,
    make_instance,
)
from dogwoodtack.platform.headers import HEADERS
from dogwoodtack.quarantine import Quarantine
from dogwoodtack.quotas import Quotas
from dogwoodtack.routing import (
    Organisation,
    Route,
    RouteKind,
    TrafficSplitter,
    WeightedService,
)
from lab.virtual import VirtualLoop

SEEDS = 400
HOSTS = 4
INSTANCES = 4
REQUESTS = 12
SPAN_S = 2.0
MAX_ATTEMPTS = 2
MAX_BODY_BYTES = 400_000
# Statuses with which a host says that a request has not run and will not.
REJECTION_STATUSES = (408, 429, 503)
ORGANISATION = Organisation("org-1", (), 1, 5.0, 5.0)
# What an instance does with a request, and whether it runs it then.
BEHAVIOURS = {
    "ok": True,
    "error": True,
    "cut": True,
    "silent": True,
    "lost": False,
    "shed": False,
    "misdirected": False,
}


class FakeHost(NamedTuple):
    name: str
    handover_address: Address


class FakePaths:
    """Paths to all instances, which a test cuts and heals."""

    is_suspect = False

    def __init__(self, world):
        self.is_cut_off = False
        self._world = world

    def on_connect(self, instance, is_reached):
        pass

    def check(self):
        pass

    def when_settled(self, fn):
        self._world.call_sometimes_later(0.2, fn)


class FakeCrashes:
    """Finds crashes at the rate of the world, at times after a while."""

    def __init__(self, world):
        self._world = world

    def check(self, cut, on_done=lambda: None):
        world = self._world
        if world.rng.random() < world.crash_rate:
            world.quarantine.on_crash(
                cut.digest, f"{world.rng.random()}", world.reactor.clock.now
            )
        world.call_sometimes_later(0.2, on_done)


class FakePool:
    """Connections whose ends are in the same process."""

    def __init__(self, world, host, serve):
        self._world = world
        self._host = host
        self._serve = serve

    def acquire(self, address, on_connection, max_idle_s, request_id):
        conn = FakeConn(self._world, address, self._serve)
        if self._host.paths.is_cut_off and address in self._world.instance_addresses:
            conn = None
        elif self._world.rng.random() < 0.15:
            conn = None
        exc = None if conn else WireError(ErrorKind.BACKEND_REFUSED, "refused")
        self._world.call_sometimes_later(0.1, on_connection, conn, exc)

    def release(self, conn):
        pass

    def close_idle(self, address):
        pass


class FakeConn:
    """A connection to an instance or to another host, from the sender's side."""

    def __init__(self, world, address, serve):
        self.address = address
        self.was_used = world.rng.random() < 0.5
        self.idle_since = world.reactor.clock.now
        self.on_close = lambda: None
        self.owner = None
        self._serve = serve

    is_full = False
    is_open = True

    @property
    def use(self):
        return ConnectionUse(self.address, 1, int(self.was_used), "")

    def send_body(self, data):
        pass

    def send_request(self, out, owner, body, rules, request_id):
        self.owner = owner
        self._serve(self, out)

    def end_body(self):
        pass

    def close(self):
        self.owner = None
        self.on_close()

    def respond(self, status, headers, body):
        if self.owner is not None:
            owner = self.owner
            owner.on_head(ResponseHead(status, headers))
        if self.owner is not None:
            owner.on_body(body)
            self.owner = None
            owner.on_end()

    def fail(self):
        if self.owner is not None:
            owner, self.owner = self.owner, None
            owner.on_fail(WireError(ErrorKind.BACKEND_CUT, "reset"))


class FakeCallerConn:
    """The connection on which a host receives a request."""

    peer = Address("127.0.0.9", 9000)

    def __init__(self, on_response):
        self._on_response = on_response
        self._head = None
        self._body = b""

    def send_head(self, status, headers):
        self._head = status, headers

    def send_body(self, data):
        self._body += data

    def end_response(self):
        self._on_response(*self._head, self._body)


class World:
    """Hosts and instances, whose behaviour is drawn from a seed."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.reactor = VirtualLoop()
        self.behaviours = [
            name for name in BEHAVIOURS for _ in range(self.rng.choice((0, 1, 1, 6)))
        ] or ["ok"]
        self.instances = [make_instance(f"i-{n}") for n in range(INSTANCES)]
        self.instance_addresses = {one.address for one in self.instances}
        self.crash_rate = self.rng.choice((0.0, 0.0, 0.3, 1.0))
        self.store_rate = 0.6
        self.quarantine = Quarantine()
        self.hosts = [Host(self, number) for number in range(HOSTS)]
        self.runs = Counter()
        self.responses = {}

    def call_sometimes_later(self, max_delay_s, fn, *args):
        if self.rng.random() < 0.5:
            fn(*args)
        else:
            self.reactor.call_later(self.rng.random() * max_delay_s, fn, *args)

    def serve_at_instance(self, conn, out):
        request_id = dict(out.headers)[HEADERS.request_id]
        behaviour = self.rng.choice(self.behaviours)
        self.runs[request_id] += BEHAVIOURS[behaviour]
        headers = [(HEADERS.request_id, request_id), (HEADERS.signature, b"s")]
        delay_s = self.rng.choice((0.0, 0.02, 0.3, 1.5)) * self.rng.random()
        not_executed = [(HEADERS.not_executed, b"1")]
        responses = {
            "ok": (200, headers, b"."),
            "error": (500, headers, b"."),
            "shed": (503, headers + not_executed, b""),
            "misdirected": (421, [], b""),
        }
        if behaviour in responses:
            self.reactor.call_later(delay_s, conn.respond, *responses[behaviour])
        elif behaviour != "silent":
            self.call_sometimes_later(delay_s, conn.fail)

    def serve_at_host(self, conn, out):
        host = next(
            one for one in self.hosts if one.record.handover_address == conn.address
        )
        exchange = host.receive(out, conn.respond, is_handed_over=True)
        conn.on_close = exchange.on_caller_gone
        if self.rng.random() < 0.1:
            self.reactor.call_later(self.rng.random(), conn.fail)

    def send(self, number, hosts=None):
        request_id = f"{number:016x}".encode()
        method = self.rng.choice(("GET", "POST"))
        target = self.rng.choice(("/look/", "/book/"))
        deadline_ms = self.rng.choice((500, 630, 1000, 4000))
        headers = [
            (b"host", b"shop.example"),
            (HEADERS.request_id, request_id),
            (HEADERS.deadline_ms, str(deadline_ms).encode()),
        ]

        def on_response(status, headers, body):
            self.responses.setdefault((request_id, target), []).append(status)

        head = RequestHead(method, target, headers)
        exchange = self.rng.choice(hosts or self.hosts).start(head, on_response)
        if self.rng.random() < 0.1:
            delay_s = self.rng.random()
            self.reactor.call_later(delay_s, exchange.on_caller_gone)

    def flip_paths(self):
        host = self.rng.choice(self.hosts[: HOSTS // 2])
        host.paths.is_cut_off = not host.paths.is_cut_off
        if host.paths.is_cut_off:
            host.placer.reject_queued("no instance is reached")

    def run(self):
        for number in range(REQUESTS):
            delay_s = self.rng.random() * SPAN_S
            self.reactor.call_later(delay_s, self.send, number)
        for _ in range(self.rng.randrange(6)):
            self.reactor.call_later(self.rng.random() * SPAN_S, self.flip_paths)
        self.reactor.run_for(SPAN_S + 6.0)


class Host:
    """One entry host without network."""

    def __init__(self, world, number):
        self.record = FakeHost(f"h-{number}", Address("127.0.0.1", 8000 + number))
        self.is_configuration_old = False
        self.confirmations = 0
        self.paths = FakePaths(world)
        self._world = world
        clock, rng = world.reactor.clock, world.rng
        registry = InstanceRegistry()
        for revision, one in enumerate(world.instances, 1):
            apply_each(registry, make_change(revision, one, name=one.id))
        self.access = AccessControl(lambda: True)
        self.placer = Placer(registry, "a", rng, RetryRules(2.0, 10.0, 500.0))
        idle_limit = IdleLimit()
        self.grace = GracePeriod(clock)
        self.quotas = Quotas(rng)
        self.request_log = mock.Mock()
        fleet = mock.Mock()
        fleet.handover_hosts = self.handover_hosts
        self._deps = ExchangeDependencies(
            reactor=world.reactor,
            placer=self.placer,
            fleet=fleet,
            pool=FakePool(world, self, world.serve_at_instance),
            host_pool=FakePool(world, self, world.serve_at_host),
            buffers=ResponseBuffers(),
            request_buffers=RequestBuffers(1_000_000),
            paths=self.paths,
            crashes=FakeCrashes(world),
            quarantine=world.quarantine,
            rate_limiter=RateLimiter(clock, self.quotas),
            header_names=HEADERS,
            notices=NoticeReader(HEADERS, lambda: 300.0, clock.monotonic),
            evidence=Evidence(clock, self.placer, self.paths, idle_limit),
            find_route=self.find_route,
            confirm_configuration=self.confirm_configuration,
            splitter=TrafficSplitter(rng.random()),
            grace=self.grace,
            idle_limit=idle_limit,
            request_log=self.request_log,
            recent_ids=RecentIds(),
            response_kb={},
            access=self.access,
        )

    def handover_hosts(self, exclude):
        """Return some other hosts, also ones that have lost their paths."""
        others = [
            host.record
            for host in self._world.hosts
            if host is not self and host.record.name not in exclude
        ]
        return self._world.rng.sample(others, self._world.rng.randrange(len(others)))

    def find_route(self, host, target):
        is_safe = target.startswith("/look/") or self.is_configuration_old
        kind = RouteKind.SAFE if is_safe else RouteKind.UNSAFE
        services = (WeightedService("jobs", 1.0),)
        route = Route("r", host, "/", kind, services, 2.0, 0.8, MAX_ATTEMPTS, 0)
        return route, 1 if self.is_configuration_old else 2

    def confirm_configuration(self, on_done):
        """Read the newest configuration, if the store is reached."""
        self.confirmations += 1
        is_reached = self._world.rng.random() < self._world.store_rate
        if is_reached:
            self.is_configuration_old = False
        self._world.call_sometimes_later(0.4, on_done, is_reached)

    def receive(self, out, on_response, is_handed_over):
        head = RequestHead(out.method.decode(), out.target.decode(), out.headers)
        return self.start(head, on_response, is_handed_over)

    def start(self, head, on_response, is_handed_over=False, body=b""):
        exchange = self.begin(head, on_response, is_handed_over)
        if body:
            exchange.on_body(body)
        exchange.on_body_end()
        return exchange

    def begin(self, head, on_response, is_handed_over=False):
        """Start an exchange whose body is still to come."""
        conn = FakeCallerConn(on_response)
        return Exchange(
            self._deps, conn, head, MAX_BODY_BYTES, lambda ended: None, is_handed_over
        )


def request_head(method, target):
    """Return the head of a request with the id `id` and a deadline of 1 s."""
    headers = [
        (b"host", b"shop.example"),
        (HEADERS.request_id, b"id"),
        (HEADERS.deadline_ms, b"1000"),
    ]
    return RequestHead(method, target, headers)


class ExchangeTest(unittest.TestCase):
    def test_runs_and_responses(self):
        for seed in range(SEEDS):
            world = World(seed)
            world.run()
            with self.subTest(seed=seed):
                for (request_id, target), statuses in world.responses.items():
                    self.assertEqual(len(statuses), 1)
                    runs = world.runs[request_id]
                    self.assertLessEqual(
                        runs, MAX_ATTEMPTS if target == "/look/" else 1
                    )
                    if statuses[0] in REJECTION_STATUSES:
                        self.assertEqual(runs, 0, statuses)

    def test_request_is_handed_over_to_hosts_that_take_it_for_idempotent(self):
        """Hosts that knew only an older configuration sent a booking twice."""
        for seed in range(SEEDS):
            world = World(seed)
            for host in world.hosts[1:]:
                host.is_configuration_old = True
            world.hosts[0].paths.is_cut_off = True
            for number in range(REQUESTS):
                delay_s = world.rng.random() * SPAN_S
                send = functools.partial(world.send, number, world.hosts[:1])
                world.reactor.call_later(delay_s, send)
            world.reactor.run_for(SPAN_S + 6.0)
            with self.subTest(seed=seed):
                for (request_id, target), statuses in world.responses.items():
                    if target == "/book/":
                        self.assertLessEqual(world.runs[request_id], 1)

    def test_request_is_not_repeated_by_a_kind_that_has_changed(self):
        """Hosts that did not know the newest configuration sent bookings twice."""
        for seed in range(SEEDS):
            world = World(seed)
            for host in world.hosts:
                host.is_configuration_old = world.rng.random() < 0.7
            world.run()
            with self.subTest(seed=seed):
                for (request_id, target), statuses in world.responses.items():
                    self.assertEqual(len(statuses), 1)
                    if target == "/book/":
                        self.assertLessEqual(world.runs[request_id], 1)

    @params("ok", "error", "cut", "silent", "shed")
    def test_body_counts_at_its_instance_while_it_is_there(self, behaviour):
        """Bodies at instances were not known, and those that held many ended."""
        world = World(1)
        world.behaviours = [behaviour]
        host = world.hosts[0]
        exchange = host.start(
            request_head("POST", "/book/"),
            lambda status, headers, body: None,
            body=b"x" * 20_000,
        )
        sizes_kb = list(host.placer.bodies.own.values())
        self.assertEqual(sizes_kb, [20])
        world.reactor.run_for(3.0)
        self.assertTrue(exchange.is_done)
        self.assertEqual(host.placer.bodies.own, {})

    @params(
        # method, whether the store is reached, runs, confirmations
        ("GET", True, 2, 1),
        ("GET", False, 1, 1),
        ("HEAD", False, 1, 1),
        ("POST", True, 2, 1),
        ("POST", False, 1, 1),
    )
    def test_repeat_of_an_idempotent_request(self, method, is_reached, runs, asked):
        world = World(1)
        world.behaviours = ["error"]
        world.store_rate = 1.0 if is_reached else 0.0
        host = world.hosts[0]
        statuses = []
        host.start(
            request_head(method, "/look/"),
            lambda status, headers, body: statuses.append(status),
        )
        world.reactor.run_for(2.0)
        self.assertEqual(statuses, [500])
        self.assertEqual((world.runs[b"id"], host.confirmations), (runs, asked))

    @params(
        # whether the store is reached, whether the kind has changed there; runs
        (True, False, 2),
        (True, True, 1),
        (False, False, 1),
    )
    def test_hedge_of_an_idempotent_request(self, is_reached, is_changed, runs):
        """A GET request was hedged by a kind that no longer held."""
        world = World(1)
        world.store_rate = 1.0 if is_reached else 0.0
        host = world.hosts[0]
        host.is_configuration_old = is_changed
        conns = []

        def serve(conn, out):
            world.runs[b"id"] += 1
            conns.append(conn)

        def acquire(address, on_connection, max_idle_s, request_id):
            on_connection(FakeConn(world, address, serve), None)

        host._deps.pool.acquire = acquire
        # Confirmations come at once.
        world.call_sometimes_later = lambda max_delay_s, fn, *args: fn(*args)
        target = "/book/" if is_changed else "/look/"
        exchange = host.start(
            request_head("GET", target), lambda status, headers, body: None
        )
        world.reactor.run_for(0.95)
        self.assertEqual((world.runs[b"id"], host.confirmations), (runs, 1))
        exchange.on_caller_gone()
        # Work for a caller that has left ends, unless it is known to run once at most.
        self.assertEqual(exchange.is_done, not is_changed)

    @params(("/look/", SelectionMode.EXPLORATORY), ("/book/", SelectionMode.CAUTIOUS))
    def test_mode_of_the_first_choice(self, target, mode):
        """Only an idempotent request may go to instances of unknown health."""
        world = World(1)
        host = world.hosts[0]
        with mock.patch.object(host.placer, "place", return_value=None) as place:
            host.start(request_head("GET", target), lambda status, headers, body: None)
        self.assertEqual(place.call_args.args[0].requirements.mode, mode)

    @params("GET", "POST")
    def test_kind_that_changes_while_a_request_is_under_way(self, method):
        """A request was repeated by its kind on arrival, not by the newest known."""
        world = World(1)
        world.behaviours = ["error"]
        host = world.hosts[0]
        host.is_configuration_old = True
        host.start(request_head(method, "/book/"), lambda status, headers, body: None)
        host.is_configuration_old = False
        world.reactor.run_for(2.0)
        self.assertEqual((world.runs[b"id"], host.confirmations), (1, 0))

    @params("GET", "POST")
    def test_kind_that_changes_while_a_retry_waits(self, method):
        """A retry was sent by a kind that had changed while it waited."""
        world = World(1)
        host = world.hosts[0]
        host.is_configuration_old = True
        host._deps = host._deps._replace(
            confirm_configuration=lambda on_done: on_done(True)
        )

        def serve(conn, out):
            world.runs[b"id"] += 1
            headers = [(HEADERS.request_id, b"id")]
            world.reactor.call_later(0.01, conn.respond, 500, headers, b".")

        def acquire(address, on_connection, max_idle_s, request_id):
            on_connection(FakeConn(world, address, serve), None)

        host._deps.pool.acquire = acquire
        statuses = []
        host.start(
            request_head(method, "/book/"),
            lambda status, headers, body: statuses.append(status),
        )
        with mock.patch.object(host.placer, "place", return_value=None) as place:
            world.reactor.run_for(0.5)
        host.is_configuration_old = False
        place.call_args.args[0].on_decision(world.instances[0])
        world.reactor.run_for(2.0)
        self.assertEqual((world.runs[b"id"], statuses), (1, [500]))

    @params(
        # connections, least number of attempts that use them
        ("pool", 2),
        ("host_pool", 1),
    )
    def test_no_attempt_uses_a_connection_that_had_its_request(self, name, attempts):
        """Two names of one host or instance shared a connection, and so an answer."""
        world = World(1)
        world.behaviours = ["shed"]
        host = world.hosts[0]
        host.paths.is_cut_off = name == "host_pool"
        host._deps.fleet.handover_hosts = lambda exclude: [
            one.record for one in world.hosts[1:] if one.record.name not in exclude
        ]
        pool = getattr(host._deps, name)
        with mock.patch.object(pool, "acquire", wraps=pool.acquire) as acquire:
            host.start(
                request_head("POST", "/book/"), lambda status, headers, body: None
            )
            world.reactor.run_for(2.0)
        asked = [call.kwargs["request_id"] for call in acquire.call_args_list]
        self.assertGreaterEqual(len(asked), attempts)
        self.assertEqual(set(asked), {b"id"})

    @params(("POST", "/book/", True), ("GET", "/look/", False))
    def test_evidence_of_a_retry_is_logged(self, method, target, is_logged):
        """Nothing told why a booking had been sent to a second instance."""
        world = World(1)
        world.behaviours = ["shed"]
        host = world.hosts[0]
        head = request_head(method, target)
        exchange = host.start(head, lambda status, headers, body: None)
        world.reactor.run_for(2.0)
        self.assertTrue(exchange.is_done)
        found = [call.args[0] for call in host.request_log.add_retry.call_args_list]
        self.assertEqual(bool(found), is_logged)
        for evidence in found:
            self.assertEqual(evidence.request, "id")
            self.assertEqual((evidence.outcome, evidence.status), ("not-executed", 503))

    @params(
        ("POST", "/look/", ["error"], ["failed"]),
        ("GET", "/look/", ["silent"], ["in-flight"]),
        ("POST", "/book/", ["shed"], ["not-executed"]),
        ("POST", "/book/", ["error"], []),
    )
    def test_each_send_is_logged_before_it(self, method, target, behaviours, outcomes):
        """Nothing was logged of a booking that had run twice at a killed host."""
        world = World(1)
        world.behaviours = behaviours
        host = world.hosts[0]
        events = []
        host.request_log.add_send.side_effect = events.append

        def serve(conn, out):
            events.append("sent")
            world.serve_at_instance(conn, out)

        def acquire(address, on_connection, max_idle_s, request_id):
            on_connection(FakeConn(world, address, serve), None)

        host._deps.pool.acquire = acquire
        host.start(request_head(method, target), lambda status, headers, body: None)
        world.reactor.run_for(2.0)
        self.assertEqual(events[1::2], ["sent"] * (len(events) // 2))
        logged = events[::2]
        self.assertGreaterEqual(len(logged), 1 + len(outcomes))
        found = [one.outcome for one in logged]
        self.assertEqual(found[: 1 + len(outcomes)], ["", *outcomes])
        for number, one in enumerate(logged, 1):
            self.assertEqual((one.request, one.attempt), ("id", number))
            self.assertNotEqual(one.target, one.after)
            self.assertIn(one.use.address, world.instance_addresses)


class StopTest(unittest.TestCase):
    @params((0.5, 503, 0), (5.0, 200, 1))
    def test_queued_request_at_a_stop_without_paths(self, left_s, status, runs):
        """It was handed over by a host that could not wait for its response."""
        world = World(0)
        world.behaviours = ["ok"]
        host = world.hosts[0]
        responses = []
        headers = [
            (b"host", b"shop.example"),
            (HEADERS.request_id, b"id"),
            (HEADERS.deadline_ms, b"1000"),
        ]
        host.handover_hosts = lambda exclude: [world.hosts[1].record]
        host._deps.fleet.handover_hosts = host.handover_hosts
        rejection = Rejection(0.1, "no instance is reached")
        with mock.patch.object(host.placer, "place") as place:
            head = RequestHead("POST", "/book/", headers)
            host.start(head, lambda status, headers, body: responses.append(status))
        host.grace.begin(left_s)
        host.paths.is_cut_off = True
        world.rng = mock.Mock(wraps=random.Random(1))
        world.rng.random.side_effect = itertools.repeat(0.4)
        place.call_args.args[0].on_decision(rejection)
        world.reactor.run_for(2.0)
        self.assertEqual((responses, world.runs[b"id"]), ([status], runs))


class LostCallbackTest(unittest.TestCase):
    """A component fails, and what a request waits for never comes."""

    def make_world(self):
        world = World(0)
        world.behaviours = ["cut"]
        world.rng = mock.Mock(wraps=random.Random(1))
        world.rng.choice.side_effect = lambda options: options[0]
        # Connections are made at once, and the instance cuts each of them.
        world.rng.random.side_effect = itertools.repeat(0.4)
        world.hosts[0].handover_hosts = lambda exclude: []
        deps = world.hosts[0]._deps
        deps.fleet.handover_hosts = lambda exclude: []
        return world, world.hosts[0]

    def send_lookup(self, world, host):
        """Send a lookup with a deadline of 1 s and return the list of its statuses."""
        responses = []
        head = request_head("GET", "/look/")
        host.start(head, lambda status, headers, body: responses.append(status))
        return responses

    def test_host_without_descriptors_rejects_at_once(self):
        """It reported healthy instances as unreachable and held the request."""
        world, host = self.make_world()
        exc = WireError(ErrorKind.HOST_EXHAUSTED, "too many open files")
        host.paths.on_connect = mock.Mock()

        def acquire(address, on_connection, max_idle_s, request_id):
            world.reactor.call_soon(on_connection, None, exc)

        with mock.patch.object(host._deps.pool, "acquire", acquire):
            responses = self.send_lookup(world, host)
            world.reactor.run_for(0.01)
        self.assertEqual(responses, [503])
        host.paths.on_connect.assert_not_called()
        observations = [
            call.args[1] for call in host._deps.fleet.report_instance.call_args_list
        ]
        self.assertEqual(set(observations), {None})
        self.assertFalse(any(host.placer.occupancy.own.values()))
        self.assertEqual(host.placer.bodies.own, {})

    @params(
        ("evidence", "record"),
        ("evidence", "observe"),
        ("fleet", "report_instance"),
        ("placer", "release"),
        ("placer", "record_service_time"),
        ("quarantine", "on_success"),
        ("crashes", "check"),
    )
    def test_fault_after_a_run_does_not_deny_it(self, component, method):
        """The host that had handed the request over sent it to a second host."""
        for behaviour in ("ok", "error", "cut"):
            world, host = self.make_world()
            world.behaviours = [behaviour]
            responses = []
            head = request_head("POST", "/book/")
            owner = getattr(host._deps, component)
            original = getattr(owner, method)

            def fail_after_the_run(*args, **kwargs):
                if world.runs[b"id"]:
                    raise RuntimeError("odd")
                return original(*args, **kwargs)

            with mock.patch.object(owner, method, fail_after_the_run):
                host.start(
                    head,
                    lambda status, headers, body: responses.append((status, headers)),
                    is_handed_over=True,
                )
                world.reactor.run_for(1.2)
            with self.subTest(behaviour=behaviour):
                self.assertEqual(world.runs[b"id"], 1)
                [(status, headers)] = responses
                self.assertNotIn(status, REJECTION_STATUSES)
                self.assertNotIn(HEADERS.not_executed, dict(headers))

    @params(
        # component, method, whether it raises or does nothing, status
        ("paths", "when_settled", False, 502),
        ("paths", "when_settled", True, 500),
        ("crashes", "check", False, 502),
        ("crashes", "check", True, 500),
        ("placer", "place", False, 503),
        ("placer", "place", True, 500),
        ("pool", "acquire", False, 503),
        ("pool", "acquire", True, 500),
        ("evidence", "record", True, 500),
        ("fleet", "report_instance", True, 500),
    )
    def test_request_has_its_answer_at_its_deadline(
        self, component, method, raises, status
    ):
        """Such requests were never answered, and their slots never released."""
        world, host = self.make_world()
        effect = RuntimeError("odd") if raises else lambda *args, **kwargs: None
        owner = getattr(host._deps, component)
        with mock.patch.object(owner, method, side_effect=effect):
            responses = self.send_lookup(world, host)
            world.reactor.run_for(1.2)
        self.assertEqual(responses, [status])
        self.assertFalse(any(host.placer.occupancy.own.values()))
        self.assertEqual(host.placer.bodies.own, {})


if __name__ == "__main__":
    unittest.main()


class LimitedExchange(Exchange):
    """A request whose key was found to be that of the organisation."""

    def _reject_over_limit(self):
        self._organisation = ORGANISATION
        return super()._reject_over_limit()


class RateLimitTest(unittest.TestCase):
    def setUp(self):
        patcher = mock.patch(f"{__name__}.Exchange", LimitedExchange)
        patcher.start()
        self.addCleanup(patcher.stop)

    def test_what_ran_is_charged_once_and_nothing_else(self):
        """Refused and unsent requests used up the limit, or hand-overs paid twice."""
        for seed in range(SEEDS):
            world = World(seed)
            world.run()
            admitted = sum(host.quotas.admitted for host in world.hosts)
            rejected = sum(
                statuses[0] in REJECTION_STATUSES
                for statuses in world.responses.values()
            )
            ran = sum(runs > 0 for runs in world.runs.values())
            with self.subTest(seed=seed):
                self.assertLessEqual(ran, admitted)
                self.assertLessEqual(admitted, REQUESTS - rejected)

    @params(
        # behaviour of the instances, status, requests that stay charged
        ("ok", 200, 1),
        ("error", 500, 1),
        ("cut", 502, 1),
        ("silent", 504, 1),
        ("shed", 503, 0),
        ("misdirected", 503, 0),
    )
    def test_endings(self, behaviour, status, charged):
        host, statuses = self.send(behaviour)
        self.assertEqual((statuses, host.quotas.admitted), ([status], charged))

    def send(self, behaviour, is_handed_over=False):
        world = World(1)
        world.behaviours = [behaviour]
        world.crash_rate = 0.0
        host = world.hosts[0]
        statuses = []
        host.start(
            request_head("POST", "/book/"),
            lambda status, headers, body: statuses.append(status),
            is_handed_over,
        )
        world.reactor.run_for(3.0)
        return host, statuses

    def test_second_host_of_a_handover_charges_nothing(self):
        host, statuses = self.send("ok", is_handed_over=True)
        self.assertEqual((statuses, host.quotas.admitted), ([200], 0))

    def test_caller_that_goes_while_its_request_is_queued_is_refunded(self):
        host = World(1).hosts[0]
        host.placer.place = mock.Mock(return_value=None)
        exchange = host.start(request_head("POST", "/book/"), mock.Mock())
        self.assertEqual(host.quotas.admitted, 1)
        exchange.on_caller_gone()
        self.assertEqual((host.quotas.admitted, host.quotas.refunded), (0, 1))

    def test_response_above_the_limit(self):
        host = World(1).hosts[0]
        host.quotas.set_limits([ORGANISATION], 0.0)
        answers = []
        for _ in range(30):
            host.start(
                request_head("POST", "/book/"),
                lambda status, headers, body: answers.append((status, dict(headers))),
            )
        status, headers = answers[-1]
        self.assertEqual(status, 429)
        self.assertGreater(float(headers[b"retry-after"]), 0.0)
