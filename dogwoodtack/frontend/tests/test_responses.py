"""A caller gets the complete response to its own request, or a correct error."""

import unittest
from unittest import mock

from nose2.tools import params

from .harness import HOST, TIMEOUT_MS, Harness, Reply, is_response_complete

GET = b"GET /racks/7 HTTP/1.1\r\nHost: jobtrack.example\r\n\r\n"
POST = (
    b"POST /release HTTP/1.1\r\nHost: jobtrack.example\r\nContent-Length: 4\r\n\r\nabcd"
)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nrack 7 done"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nrack \r\n6\r\n7 done\r\n0\r\n\r\n"
)
SHED = b"HTTP/1.1 503 No\r\nX-Not-Executed: shed\r\nContent-Length: "
NAMED_OK = OK.replace(b"Content", b"X-Request-Id: REQUEST-ID\r\nContent")
BIG = 100_000


class ResponsesTest(unittest.TestCase):
    def start(self, backends=1, **fields):
        harness = Harness(backends, **fields)
        self.addCleanup(harness.close)
        return harness

    def outcome(self, peer):
        head = peer.data.partition(b"\r\n\r\n")[0].lower()
        status = int(head.split(b" ")[1]) if head else 0
        for line in head.split(b"\r\n"):
            if line.startswith(b"x-dogwoodtack-outcome: "):
                return status, line.partition(b": ")[2].decode()
        return status, ""

    @params(OK, CHUNKED)
    def test_idempotent_request_is_retried_after_a_cut_at_any_byte(self, response):
        harness = self.start(backends=2)
        for cut in range(len(response)):
            for then in ("close", "reset"):
                with self.subTest(cut=cut, then=then):
                    for backend in harness.backends:
                        backend.replies = [Reply(OK)]
                    first = Reply(response[:cut], then)
                    harness.backends[cut % 2].replies.insert(0, first)
                    peer = harness.send(GET)
                    self.assertEqual(self.outcome(peer), (200, "ran"))
                    self.assertTrue(peer.data.endswith(b"rack 7 done"))
                    peer.stream.close()

    @params(OK, CHUNKED)
    def test_other_request_is_not_retried_after_a_cut_at_any_byte(self, response):
        harness = self.start(backends=2)
        for cut in range(len(response)):
            with self.subTest(cut=cut):
                harness.script(Reply(response[:cut], "close"))
                before = len(harness.requests)
                peer = harness.send(POST)
                self.assertEqual(self.outcome(peer), (502, "unknown"))
                self.assertEqual(len(harness.requests) - before, 1)
                peer.stream.close()

    @params(
        # method, methods in the store, whether that is reached, whether the request
        # has a key, runs, confirmations
        ("POST", ["GET", "POST"], True, False, 2, 1),
        ("POST", ["GET"], True, False, 1, 1),
        ("POST", ["GET", "POST"], False, False, 1, 1),
        ("POST", ["GET", "POST"], True, True, 1, 0),
        ("GET", ["GET", "POST"], True, False, 2, 1),
        ("GET", ["POST"], True, False, 1, 1),
        ("GET", ["GET", "POST"], False, False, 1, 1),
        # Its key was ignored here, and another host ran the request by it.
        ("GET", ["GET", "POST"], True, True, 1, 0),
    )
    def test_request_is_not_repeated_by_methods_that_have_changed(
        self, method, methods, is_reached, has_key, runs, confirmations
    ):
        """A host that did not know the newest configuration sent a request twice."""
        known = {"host": HOST, "prefix": "/", "timeout_ms": TIMEOUT_MS}
        known["idempotent_methods"] = ["GET", "POST"]
        harness = self.start(backends=2, routes=[known])
        harness.change_in_store = {"routes": [{**known, "idempotent_methods": methods}]}
        harness.is_store_reached = is_reached
        harness.script(Reply(b"", "close"))
        request = POST.replace(b"POST", method.encode(), 1)
        if has_key:
            key = f"Idempotency-Key: {harness.keys.prefix}abcdefgh\r\nContent"
            request = request.replace(b"Content", key.encode(), 1)
        harness.send(request)
        self.assertEqual(len(harness.requests), runs)
        self.assertEqual(harness.confirmations, confirmations)

    def test_new_prefix_below_a_route(self):
        """A GET request was repeated by the route that its host knew above it."""
        above = {"host": HOST, "prefix": "/", "timeout_ms": TIMEOUT_MS}
        below = {**above, "prefix": "/racks/", "idempotent_methods": ["HEAD"]}
        harness = self.start(backends=2, routes=[above])
        harness.change_in_store = {"routes": [above, below]}
        harness.script(Reply(b"", "close"))
        peer = harness.send(GET)
        self.assertEqual(self.outcome(peer), (502, "unknown"))
        self.assertEqual((len(harness.requests), harness.confirmations), (1, 1))

    def test_methods_that_change_while_a_retry_waits(self):
        """A retry was sent by methods that had changed while it waited."""
        harness = self.start(backends=2)
        harness.script(Reply(b"", "close"))
        acquire, waiting = harness.limits.acquire, []

        def acquire_later(req, on_slot):
            if not req.is_retry:
                return acquire(req, on_slot)
            waiting.append((req, on_slot))
            return mock.Mock()

        harness.limits.acquire = acquire_later
        peer = harness.caller(GET)
        harness.run_until(lambda: waiting)
        route = {"host": HOST, "prefix": "/", "idempotent_methods": ["HEAD"]}
        harness.change({"routes": [route]})
        acquire(*waiting[0])
        harness.run_until(lambda: is_response_complete(peer.data))
        self.assertEqual(self.outcome(peer), (502, "unknown"))
        self.assertEqual(len(harness.requests), 1)

    @params(
        ("unexpected bytes", OK + b"more"),
        ("second response", OK + OK),
        ("two lengths", OK.replace(b"\r\n\r\n", b"\r\nContent-Length: 3\r\n\r\n")),
        (
            "both framings",
            CHUNKED.replace(b"\r\n\r\n", b"\r\nContent-Length: 9\r\n\r\n", 1),
        ),
        ("no framing", b"HTTP/1.1 200 OK\r\n\r\nrack 7 done"),
        ("bad chunk", CHUNKED.replace(b"5\r\n", b"zz\r\n")),
        ("not HTTP", b"SSH-2.0-OpenSSH\r\n\r\n"),
        ("switch", b"HTTP/1.1 101 Switch\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"),
        ("crossed", OK.replace(b"\r\n\r\n", b"\r\nX-Request-Id: other\r\n\r\n")),
        ("status 000", OK.replace(b"200", b"000")),
        ("status 099", OK.replace(b"200", b"099")),
        ("status 600", OK.replace(b"200", b"600")),
        ("status 700", OK.replace(b"200", b"700")),
        ("status 999", OK.replace(b"200", b"999")),
        ("no number", OK.replace(b"200", b"2x0")),
        ("endless interim", b"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" * 1000),
        ("long head", b"HTTP/1.1 200 OK\r\nX: " + b"y" * 200_000 + b"\r\n\r\n"),
    )
    def test_malformed_response_is_not_forwarded(self, _name, data):
        harness = self.start()
        harness.script(Reply(data))
        for request in (GET, POST):
            peer = harness.send(request)
            self.assertEqual(self.outcome(peer), (502, "unknown"))
            self.assertNotIn(b"rack 7", peer.data)

    @params(b"099", b"600", b"700", b"999", b"2x0")
    def test_idempotent_request_is_retried_after_a_status_that_is_none(self, status):
        harness = self.start(backends=2)
        for number in range(4):
            for backend in harness.backends:
                backend.replies = [Reply(OK)]
            odd = Reply(OK.replace(b"200", status))
            harness.backends[number % 2].replies.insert(0, odd)
            self.assertEqual(self.outcome(harness.send(GET)), (200, "ran"))

    @params(
        (GET, b"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 103 Hints\r\n\r\n" + OK, 200, b"done"),
        (GET.replace(b"GET", b"HEAD"), OK[:-11], 200, b"\r\n\r\n"),
        (GET, b"HTTP/1.1 204 None\r\n\r\n", 204, b"\r\n\r\n"),
        (GET, b"HTTP/1.1 304 Same\r\nContent-Length: 9\r\n\r\n", 304, b"\r\n\r\n"),
        (GET, CHUNKED[:-2] + b"X-Sum: 1\r\n\r\n", 200, b"0\r\n\r\n"),
    )
    def test_framing_without_plain_length(self, request, data, status, end):
        harness = self.start()
        harness.script(Reply(data))
        peer = harness.send(request)
        self.assertEqual(self.outcome(peer), (status, "ran"))
        self.assertTrue(peer.data.endswith(end), peer.data)
        self.assertEqual(len(harness.requests), 1)

    @params(10, BIG)
    def test_shed_request_is_retried_for_any_response_size(self, size):
        harness = self.start(backends=2)
        shed = SHED + b"%d\r\n\r\n" % size + b"s" * size
        harness.backends[0].replies = [Reply(shed)]
        harness.backends[1].replies = [Reply(OK)]
        for _ in range(6):
            peer = harness.send(POST)
            self.assertEqual(self.outcome(peer), (200, "ran"))
            self.assertNotIn(b"sss", peer.data)

    def test_connection_of_an_unnamed_shed_is_not_reused(self):
        """A back end repeated it there, while it ran the next request."""
        harness = self.start()
        harness.script(Reply(SHED + b"0\r\n\r\n"), Reply(OK))
        self.assertEqual(self.outcome(harness.send(POST)), (503, "not-run"))
        self.assertEqual(self.outcome(harness.send(POST)), (200, "ran"))
        self.assertEqual(len(harness.backends[0].peers), 2)
        self.assertEqual(self.outcome(harness.send(GET)), (200, "ran"))
        self.assertEqual(len(harness.backends[0].peers), 2)

    @params(
        # response of the back end, connections after the second request
        (NAMED_OK, 1),
        (OK, 2),
    )
    def test_other_request_reuses_a_connection_with_named_responses(
        self, response, connections
    ):
        harness = self.start()
        harness.script(Reply(response))
        for _ in range(2):
            self.assertEqual(self.outcome(harness.send(POST)), (200, "ran"))
        self.assertEqual(len(harness.backends[0].peers), connections)

    @params(
        SHED + b"0\r\n\r\n",
        SHED.replace(b"503", b"429") + b"4\r\n\r\nshed",
        b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nrack 9",
        # Part of a refusal, and the request's own response.
        b"HTTP/1.1 503 No\r\nX-Not-Executed:" + NAMED_OK,
        b"HTTP/1.1 503 No\r\nX-Not-Executed: shed\r\nX-Why: a" + NAMED_OK,
    )
    def test_unnamed_response_left_on_a_connection_is_not_used(self, left):
        """A late refusal was taken for the next request's, which ran twice."""
        harness = self.start(backends=2)
        harness.script(Reply(NAMED_OK))
        while sum(bool(backend.requests) for backend in harness.backends) < 2:
            harness.send(POST)
        harness.script(Reply(left))
        before = len(harness.requests)
        peer = harness.send(POST)
        self.assertEqual(len(harness.requests), before + 1)
        self.assertEqual(self.outcome(peer)[1], "unknown")

    @params(503, 429, 421)
    def test_repeated_refusal_is_not_taken_for_the_next_attempts(self, status):
        """Two names of one address shared a connection, and so a refusal."""
        harness = self.start(backends=2)
        address, other = (str(one.address) for one in harness.backends)
        instances = [
            {"name": name, "address": address, "slots": 1} for name in ("jt-0", "jt-1")
        ]
        instances.append({"name": "jt-2", "address": other, "slots": 1})
        harness.change({"instances": instances})
        refusal = SHED.replace(b"503", b"%d" % status)
        refusal = refusal.replace(b"Content", b"X-Request-Id: cafe-1\r\nContent")
        tokens = "dogwoodtack.frontend.exchange.new_token"
        for _ in range(8):
            first, second = harness.backends
            first.replies = [Reply(refusal + b"0\r\n\r\n")]
            second.replies = [Reply(NAMED_OK)]
            before = len(first.requests), len(second.requests)
            with mock.patch(tokens, return_value="cafe"):
                peer = harness.send(POST)
            sent = len(first.requests) - before[0], len(second.requests) - before[1]
            if sent[0] == 2:
                self.assertEqual(sent[1], 0)
                self.assertEqual(self.outcome(peer)[1], "unknown")
                return
        self.fail("no request was sent to both names of the address")

    @params(
        # seconds to the end of a planned stop, limit of the request, status
        (0.3, b"", 503),
        (0.3, b"X-Deadline-Ms: 200\r\n", 200),
        (0.5, b"", 200),
    )
    def test_request_that_a_stop_would_cut_is_rejected(self, left_s, field, status):
        """It was sent to a back end and cut at the limit of the stop."""
        harness = self.start()
        harness.script(Reply(OK))
        harness.frontend.ends_at = harness.reactor.clock.monotonic() + left_s
        for request in (GET, POST):
            sent = len(harness.requests)
            peer = harness.send(
                request.replace(b"\r\n\r\n", b"\r\n" + field + b"\r\n", 1)
            )
            self.assertEqual(self.outcome(peer)[0], status)
            self.assertEqual(len(harness.requests) - sent, status == 200)

    def test_large_response_that_is_cut_is_aborted(self):
        harness = self.start()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BIG
        harness.script(Reply(head + b"x" * (BIG - 1), "close"))
        peer = harness.send(GET)
        self.assertTrue(peer.reset)
        self.assertFalse(peer.data.endswith(b"x" * BIG))

    def test_short_response_must_be_complete_by_the_deadline(self):
        harness = self.start()
        harness.script(Reply(OK[:-1]))
        request = GET.replace(b"\r\n\r\n", b"\r\nX-Deadline-Ms: 100\r\n\r\n")
        began = harness.reactor.clock.monotonic()
        peer = harness.send(request)
        self.assertEqual(self.outcome(peer), (504, "unknown"))
        self.assertLess(harness.reactor.clock.monotonic() - began, 0.2)

    def test_unknown_outcome_is_kept_after_a_later_attempt(self):
        harness = self.start(backends=2)
        harness.script(Reply(b"", "close"), Reply(SHED + b"0\r\n\r\n"))
        harness.backends[1].replies = [Reply(SHED + b"0\r\n\r\n")]
        outcomes = set()
        for _ in range(8):
            harness.backends[0].replies = [Reply(b"", "close")]
            outcomes.add(self.outcome(harness.send(GET))[1])
        self.assertEqual(outcomes, {"unknown"})

    def test_unexpected_response_on_an_idle_connection_is_not_used(self):
        harness = self.start()
        harness.script(Reply(OK))
        harness.send(POST)
        unexpected = OK.replace(b"rack 7", b"rack 9")
        harness.backends[0].peers[0].stream._sock.send(unexpected)
        peer = harness.send(POST)
        self.assertNotIn(b"rack 9", peer.data)
        self.assertEqual(self.outcome(peer), (200, "ran"))

    def test_late_response_reaches_no_caller(self):
        harness = self.start()
        harness.script(Reply(b""))
        peer = harness.send(POST)
        self.assertEqual(self.outcome(peer), (504, "unknown"))
        harness.backends[0].peers[0].stream.write(OK)
        harness.script(Reply(OK.replace(b"rack 7", b"rack 8")))
        peer = harness.send(POST)
        self.assertIn(b"rack 8 done", peer.data)

    def test_response_before_the_end_of_the_request(self):
        harness = self.start()
        harness.script(Reply(OK, early=True))
        request = POST.replace(b"Content-Length: 4", b"Content-Length: 200000")
        peer = harness.send(request + b"x" * 90_000)
        self.assertEqual(self.outcome(peer)[0], 200)
        self.assertIn(b"connection: close", peer.data.lower())
        self.assertTrue(harness.run_until(lambda: peer.ended))

    def test_responses_to_pipelined_requests_are_in_order(self):
        harness = self.start()
        responses = [OK.replace(b"rack 7", b"rack %d" % number) for number in range(5)]
        harness.script(*[Reply(response) for response in responses])
        peer = harness.caller(GET * 5)
        harness.run_until(lambda: peer.data.count(b"done") == 5)
        offsets = [peer.data.find(b"rack %d done" % number) for number in range(5)]
        self.assertEqual(offsets, sorted(offsets))
        self.assertNotIn(-1, offsets)

    def test_generated_response_to_a_head_request_has_no_body(self):
        harness = self.start()
        unknown = GET.replace(b"jobtrack", b"nobody").replace(b"GET", b"HEAD")
        peer = harness.caller(unknown * 2)
        self.assertTrue(
            harness.run_until(lambda: peer.data.count(b"HTTP/1.1 404") == 2)
        )
        self.assertTrue(peer.data.endswith(b"\r\n\r\n"))

    def test_keep_alive_after_generated_responses(self):
        harness = self.start()
        unknown = GET.replace(b"jobtrack", b"nobody")
        found = GET.replace(b"/racks/7", b"/.well-known/dogwoodtack/x")
        peer = harness.caller(unknown + found + unknown)
        self.assertTrue(harness.run_until(lambda: peer.data.count(b"HTTP/1.1") == 3))
        self.assertFalse(peer.ended)
