"""Tests of where a request would go, and that asking changes nothing."""

import itertools
import json
import random
import threading
import unittest
from collections import deque
from contextlib import redirect_stdout
from http.server import BaseHTTPRequestHandler, HTTPServer
from io import StringIO
from unittest.mock import patch

from nose2.tools import params

from dogwoodtack import cmdline
from dogwoodtack.entry.placement_preview import (
    HostView,
    Question,
    parse_question,
    preview_request,
)
from dogwoodtack.misc import Address
from dogwoodtack.placement import (
    Instance,
    InstanceChange,
    InstanceRegistry,
    Observation,
    PlacementRequest,
    Placer,
    Requirements,
    RetryRules,
    SelectionMode,
)
from dogwoodtack.position import StorePosition
from dogwoodtack.quotas import Quotas
from dogwoodtack.routing import (
    CallerLimits,
    Configuration,
    Organisation,
    Route,
    RouteKind,
    RouteTable,
    TrafficSplitter,
    WeightedService,
)

NOW = 100.0
SEEN_AT = StorePosition(1, 1)
SHARES = (WeightedService("s", 90.0), WeightedService("t", 10.0))
ROUTES = (
    Route("r-1", "a.example", "/x/", RouteKind.UNSAFE, SHARES, 2.0, 0.9, 1, 1),
    Route("r-2", "a.example", "/y/", RouteKind.SAFE, SHARES[:1], 2.0, 0.9, 2, 0),
)
ORGANISATIONS = (
    Organisation("org-1", (), 1, 10.0, 20.0),
    Organisation("org-2", (), 0, 1.0, 1.0),
)
ASKED = Question("POST", "a.example", "/x/1", "org-1")


def make_view():
    """Return a host with two instances of two slots, and org-2 over its limit."""
    registry = InstanceRegistry()
    address = Address("h", 1)
    listed = [Instance(n, "s", address, "a", 2, False, 0.0, 0) for n in ("i-1", "i-2")]
    registry.apply([InstanceChange(one.id, SEEN_AT, one) for one in listed], SEEN_AT)
    placer = Placer(registry, "a", random.Random(1), RetryRules())
    placer.fair_services = frozenset({"s"})
    quotas = Quotas(random.Random(1))
    quotas.set_limits((), NOW)
    quotas.set_limits(ORGANISATIONS, NOW)
    while quotas.try_admit("org-2", NOW) is None:
        pass
    # A source that is silent by now, whose admissions are not charged yet.
    quotas.on_usage("h-2", {"org-1": 1}, NOW - 1.0)
    quotas.on_usage("h-2", {"org-1": 3}, NOW - 0.9)
    configuration = Configuration(7, ROUTES, (), CallerLimits(), ORGANISATIONS)
    table = RouteTable(ROUTES)
    splitter = TrafficSplitter(0.5)
    for _ in range(3):
        splitter.next_service(ROUTES[0])
    return HostView(
        configuration,
        lambda host, target: (table.match(host, target), 7),
        splitter,
        placer,
        quotas,
        {},
    )


def fill(view, queued=0):
    """Use all slots, and queue some requests besides."""
    for number in range(4 + queued):
        req = PlacementRequest(
            "s",
            Requirements(SelectionMode.CAUTIOUS),
            1,
            NOW + 0.5,
            NOW + 1.5,
            NOW,
            lambda decision: None,
            "org-1",
        )
        view.placer.place(req, NOW)


def fail(view, *names):
    """Make instances look unhealthy."""
    for name in names:
        for _ in range(4):
            view.placer.health.observe(name, Observation.ERROR, NOW)


def limit(view):
    """Let an instance name a rate limit."""
    view.placer.rate_limits.on_response("i-1", 5.0, NOW - 0.5, NOW - 0.2)


def state_of(value):
    """Return all that an object holds, in a form that can be compared."""
    if isinstance(value, random.Random):
        return value.getstate()
    if isinstance(value, (str, int, float, type(None), itertools.count)):
        return repr(value)
    if callable(value) and not hasattr(value, "__dict__"):
        return repr(value)
    if isinstance(value, dict):
        return {key: state_of(one) for key, one in value.items()}
    if isinstance(value, (list, tuple, deque)):
        return [state_of(one) for one in value]
    if isinstance(value, (set, frozenset)):
        return sorted(map(repr, value))
    names = getattr(type(value), "__slots__", None) or vars(value)
    return {name: state_of(getattr(value, name)) for name in names}


class PreviewTest(unittest.TestCase):
    """What is told of requests, in the states that a host may be in."""

    @params(
        # prepare, question, outcome, start of the reason, first choices
        (None, ASKED, "placed", "", ("i-1", "i-2")),
        (None, ASKED._replace(target="/z"), "refused", "404", ("",)),
        (None, ASKED._replace(organisation=""), "refused", "401", ("",)),
        (None, ASKED._replace(organisation="org-2"), "refused", "429", ("",)),
        (None, ASKED._replace(method="GET", target="/y/"), "placed", "", None),
        (limit, ASKED, "placed", "", ("i-1", "i-2")),
        (fill, ASKED, "queued", "no instance", ("",)),
        (lambda view: fill(view, 40), ASKED, "refused", "503: ahead", ("",)),
        (lambda view: fail(view, "i-1"), ASKED, "placed", "", ("i-2",)),
        (lambda view: fail(view, "i-1", "i-2"), ASKED, "queued", "no inst", ("",)),
    )
    def test_outcome_and_that_nothing_has_changed(
        self, prepare, question, outcome, reason, choices
    ):
        """Guards against a preview that takes a slot, a turn, a token or a chance."""
        view = make_view()
        if prepare is not None:
            prepare(view)
        before = state_of(view)
        previews = [preview_request(question, view, NOW + 0.01) for _ in range(3)]
        self.assertEqual(state_of(view), before)
        self.assertEqual(len(set(previews)), 1)
        preview = previews[0]
        self.assertEqual(preview.outcome, outcome)
        self.assertTrue(preview.reason.startswith(reason), preview.reason)
        if choices is not None:
            self.assertIn(preview.instance, choices)
        if preview.instance:
            self.assertEqual(preview.candidates[0].instance, preview.instance)
        json.dumps(preview.to_json(), allow_nan=False)

    def test_service_without_instances_and_host_without_configuration(self):
        view = make_view()
        while view.splitter.peek_service(ROUTES[0]) != "t":
            view.splitter.next_service(ROUTES[0])
        preview = preview_request(ASKED, view, NOW)
        self.assertEqual(preview.reason, "503: no instance is known")
        view = view._replace(configuration=None)
        self.assertIn("no configuration", preview_request(ASKED, view, NOW).reason)

    def test_splitter_is_asked_for_its_next_turn(self):
        """Guards against a preview of another service than the next request gets."""
        splitter = TrafficSplitter(0.3)
        for _ in range(30):
            peeked = splitter.peek_service(ROUTES[0])
            self.assertEqual(splitter.next_service(ROUTES[0]), peeked)

    @params("/place", "/place?method=GET", "/place?method=G&host=h&target=/&key=k")
    def test_incomplete_question_is_refused(self, target):
        with self.assertRaises(ValueError):
            parse_question(target)


class CommandTest(unittest.TestCase):
    """The command against a fake entry host."""

    def run_command(self, *flags):
        targets = []

        class Handler(BaseHTTPRequestHandler):
            def do_GET(self):
                targets.append(self.path)
                question = parse_question(self.path)
                reply = preview_request(question, make_view(), NOW).to_json()
                body = json.dumps(reply).encode()
                self.send_response(200)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *args):
                pass

        server = HTTPServer(("127.0.0.1", 0), Handler)
        self.addCleanup(server.server_close)
        thread = threading.Thread(target=server.handle_request)
        thread.start()
        address = f"127.0.0.1:{server.server_address[1]}"
        args = ["dogwoodtack", "place", address, "POST", "a.example", "/x/1?a=b&c"]
        output = StringIO()
        with redirect_stdout(output), patch.dict("os.environ", clear=True):
            code = cmdline.main([*args, *flags])
        thread.join()
        self.addCleanup(cmdline.FLAGS.unparse_flags)
        return code, output.getvalue(), targets

    def test_text(self):
        """Guards against a lost query of the target, and a request for a key."""
        code, text, targets = self.run_command("--organisation=org-1")
        self.assertEqual(code, cmdline.ExitCode.OK)
        self.assertEqual(parse_question(targets[0]).target, "/x/1?a=b&c")
        self.assertIn("POST a.example/x/1?a=b&c: placed at i-", text)
        for part in (
            "s 90.0, t 10.0",
            "organisation: org-1",
            "in a: 0/2",
            "rate limit",
        ):
            self.assertIn(part, text)
