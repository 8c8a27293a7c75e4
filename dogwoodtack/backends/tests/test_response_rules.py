"""Which bytes a connection accepts as the response to its request."""

import itertools
import socket
import unittest

from nose2.tools import params

from dogwoodtack.backends import BackendConnection, OutgoingHead, ResponseRules
from dogwoodtack.backends.tests.test_pool import (
    ADDRESS,
    FakeReactor,
    _SocketWithoutOptions,
)

OUT = OutgoingHead(b"GET", b"/a", [(b"host", b"x")])


def response(request_id, body=b"yes", length=True):
    head = b"HTTP/1.1 200 OK\r\nX-Id: " + request_id + b"\r\n"
    if length:
        head += b"Content-Length: " + str(len(body)).encode() + b"\r\n"
    return head + b"\r\n" + body


OWN = response(b"mine")
OTHER = response(b"other", b"another's")


class Owner:
    """Record the response that a connection delivers."""

    def __init__(self):
        self.body = b""
        self.outcome = None

    def on_head(self, head):
        self.body = b""

    def on_body(self, data):
        self.body += data

    def on_end(self):
        self.outcome = "complete"

    def on_fail(self, exc):
        self.outcome = str(exc.kind)


class ResponseRulesTest(unittest.TestCase):
    def setUp(self):
        near, self.far = socket.socketpair(socket.AF_UNIX)
        near.setblocking(False)
        self.conn = BackendConnection(
            FakeReactor(), _SocketWithoutOptions(near), ADDRESS
        )
        self.addCleanup(self.far.close)
        self.addCleanup(self.conn.close)
        self.owner = Owner()

    def feed(self, pieces, rules, closes=False):
        self.conn.send_request(OUT, self.owner, b"", rules)
        self.conn.end_body()
        for piece in pieces:
            self.conn.on_bytes(piece)
        if closes:
            self.conn.on_eof()

    @params(
        # received pieces, closed after them, outcome, body, connection still open
        ([OWN], False, "complete", b"yes", True),
        ([OTHER + OWN], False, "complete", b"yes", True),
        ([OTHER, OWN], False, "complete", b"yes", True),
        (
            [OTHER[:30], OTHER[30:] + OWN[:20], OWN[20:]],
            False,
            "complete",
            b"yes",
            True,
        ),
        ([OTHER + OTHER + OWN], False, "complete", b"yes", True),
        ([OWN + OTHER], False, "complete", b"yes", False),
        ([OWN + b"rubbish"], False, "complete", b"yes", False),
        ([OTHER], True, "backend-cut", b"", False),
        ([OTHER[:-2]], True, "backend-cut", b"", False),
        ([response(b"mine", length=False)], True, "complete", b"yes", False),
        ([OWN[:-1]], True, "backend-cut", b"ye", False),
        ([b"rubbish\r\n\r\n"], False, "backend-malformed", b"", False),
    )
    def test_responses_with_a_request_id(self, pieces, closes, outcome, body, is_open):
        def belongs_to_request(head):
            return head.header(b"x-id") == b"mine"

        rules = ResponseRules(
            belongs_to_request, allow_close_delimited=True, allow_trailing_bytes=True
        )
        self.feed(pieces, rules, closes)
        self.assertEqual(self.owner.outcome, outcome)
        self.assertEqual(self.owner.body, body)
        self.assertEqual(self.conn.is_open, is_open)

    @params(
        ([OWN + OTHER], "backend-malformed"),
        ([response(b"mine", length=False)], "backend-malformed"),
    )
    def test_default_rules_are_strict(self, pieces, outcome):
        self.feed(pieces, ResponseRules(), closes=True)
        self.assertEqual(self.owner.outcome, outcome)


ENTRY_RULES = ResponseRules(
    lambda head: head.header(b"x-id") == b"mine",
    allow_close_delimited=True,
    allow_trailing_bytes=True,
)
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nye\r\n1;a=b\r\ns\r\n0\r\nX-End: 1\r\n\r\n"
)
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
UNFRAMED = response(b"mine", length=False)
EMPTY = response(b"mine", b"")
BARE_NEWLINES = OWN.replace(b"\r\n", b"\n")


INTERIM = (
    b"HTTP/1.1 100 Go\r\n\r\n",
    b"HTTP/1.1 102 Wait\r\nX-Id: mine\r\n\r\n",
    HINTS,
)


class StatusLineTest(unittest.TestCase):
    """An instance in trouble writes statuses that HTTP does not have."""

    def setUp(self):
        near, far = socket.socketpair(socket.AF_UNIX)
        near.setblocking(False)
        self.reactor = FakeReactor()
        self.conn = BackendConnection(
            self.reactor, _SocketWithoutOptions(near), ADDRESS
        )
        self.addCleanup(far.close)
        self.addCleanup(self.conn.close)

    def outcome(self, data, rules, is_first=True):
        """Return the outcome of a request that gets some bytes in response."""
        owner = Owner()
        for one, received in ((Owner(), OWN), (owner, data))[is_first:]:
            self.conn.send_request(OUT, one, b"", rules)
            self.conn.end_body()
            self.conn.on_bytes(received)
        return owner.outcome

    @params(
        *itertools.product(
            (
                # Numbers that are no status.
                b"000",
                b"007",
                b"099",
                b"600",
                b"700",
                b"999",
                # What is no number of three digits.
                b"2x0",
                b"abc",
                b"\xb2\xb0\xb0",
                b"+20",
                b"2.0",
                b"20",
                b"2000",
                b"",
            ),
            (ResponseRules(), ENTRY_RULES),
            (True, False),
        )
    )
    def test_status_that_is_none(self, status, rules, is_first):
        """Statuses from 600 on reached callers as answers."""
        data = OWN.replace(b"200", status, 1)
        self.assertEqual(self.outcome(data, rules, is_first), "backend-malformed")
        self.assertFalse(self.conn.is_open)

    @params(b"200", b"299", b"404", b"499", b"500", b"599")
    def test_status_at_the_ends_of_its_range(self, status):
        data = OWN.replace(b"200", status, 1)
        for rules in (ResponseRules(), ENTRY_RULES):
            self.assertEqual(self.outcome(data, rules), "complete")

    @params(*itertools.product(INTERIM, (ResponseRules(), ENTRY_RULES)))
    def test_endless_interim_responses(self, interim, rules):
        self.assertEqual(self.outcome(interim * 1000, rules), "backend-malformed")
        self.assertFalse(self.conn.is_open)

    @params(
        # interim responses, seconds between them, outcome
        (8, 5.0, "complete"),
        (20, 0.05, "complete"),
        (20, 0.1, "backend-malformed"),
        (10, 0.2, "backend-malformed"),
        (33, 0.001, "backend-malformed"),
    )
    def test_interim_responses_that_come_slowly(self, count, pause_s, outcome):
        """The request waited for its deadline, too late for another instance."""
        owner = Owner()
        self.conn.send_request(OUT, owner, b"", ENTRY_RULES)
        self.conn.end_body()
        for _ in range(count):
            self.conn.on_bytes(INTERIM[0])
            self.reactor.clock.now += pause_s
        if self.conn.is_open:
            self.conn.on_bytes(OWN)
        self.assertEqual(owner.outcome, outcome)


class UnsentBodyTest(unittest.TestCase):
    """A response to an earlier request comes while a body is being sent."""

    @params(
        # whether the body's end is sent before the own response, connection still open
        (True, True),
        (False, False),
    )
    def test_body_is_sent_on_after_a_skipped_response(self, is_complete, is_open):
        """Sending the rest raised, and the request waited until its deadline."""
        near, far = socket.socketpair(socket.AF_UNIX)
        near.setblocking(False)
        self.addCleanup(far.close)
        conn = BackendConnection(FakeReactor(), _SocketWithoutOptions(near), ADDRESS)
        self.addCleanup(conn.close)
        owner = Owner()
        head = OutgoingHead(
            b"POST", b"/a", [(b"host", b"x"), (b"content-length", b"6")]
        )
        conn.send_request(head, owner, b"abc", ENTRY_RULES)
        conn.on_bytes(OTHER)
        conn.send_body(b"de")
        if is_complete:
            conn.send_body(b"f")
            conn.end_body()
        conn.on_bytes(OWN)
        self.assertEqual((owner.outcome, owner.body), ("complete", b"yes"))
        self.assertEqual(conn.is_open, is_open)
        sent = far.recv(10_000)
        self.assertTrue(sent.endswith(b"abcdef" if is_complete else b"abcde"), sent)
        if is_open:
            conn.send_request(OUT, owner, b"", ENTRY_RULES)
            conn.end_body()
            conn.on_bytes(OWN)
            self.assertEqual(owner.outcome, "complete")


def refusal(status, id_field):
    return (
        b"HTTP/1.1 %d Odd\r\nX-Not-Executed: 1\r\nX-Reason: full\r\n" % status
        + id_field
        + b"Content-Length: 0\r\n\r\n"
    )


class PartialRefusalTest(unittest.TestCase):
    """Part of an earlier response comes before the response on a kept connection."""

    @params(
        *itertools.product(
            (200, 408, 421, 429, 500, 503), (b"", b"X-Id: other\r\n"), (False, True)
        )
    )
    def test_no_part_lends_its_head_to_a_response(self, status, id_field, is_split):
        whole = refusal(status, id_field)
        taken = []
        for size in range(1, len(whole)):
            pieces = [whole[:size], OWN] if is_split else [whole[:size] + OWN]
            taken += [size for head in self.heads_after(pieces) if head.status != 200]
            taken += [
                size
                for head in self.heads_after(pieces)
                if head.header(b"x-not-executed") is not None
            ]
        self.assertEqual(taken, [])

    def heads_after(self, pieces):
        """Return the heads that the owner of a used connection gets."""
        near, far = socket.socketpair(socket.AF_UNIX)
        near.setblocking(False)
        conn = BackendConnection(FakeReactor(), _SocketWithoutOptions(near), ADDRESS)
        heads = []
        owner = Owner()
        owner.on_head = heads.append
        for received in ([OWN], pieces):
            heads.clear()
            conn.send_request(OUT, owner, b"", ENTRY_RULES)
            conn.end_body()
            for piece in received:
                conn.on_bytes(piece)
        conn.close()
        far.close()
        return heads


class CutResponseTest(unittest.TestCase):
    """An instance stops in the middle of a response, and closes."""

    @params(
        *itertools.product(
            (
                # response, and how many of its bytes make it complete
                ("length", OWN, len(OWN)),
                ("no-body", EMPTY, len(EMPTY)),
                ("chunked", CHUNKED, len(CHUNKED)),
                # Its body may end anywhere.
                ("unframed", UNFRAMED, UNFRAMED.index(b"\r\n\r\n") + 4),
                ("after-hints", HINTS + OWN, len(HINTS + OWN)),
                ("after-another", OTHER + OWN, len(OTHER + OWN)),
                ("bare-newlines", BARE_NEWLINES, len(BARE_NEWLINES)),
            ),
            ("close", "reset"),
            (True, False),
        )
    )
    def test_cut_anywhere_is_not_complete(self, case, end, is_first):
        """Callers got a 200 with an empty or short body, framed as whole."""
        _name, data, complete = case
        for cut in range(complete):
            owner = self.receive(data[:cut], end, is_first)
            with self.subTest(cut=cut, received=data[:cut]):
                self.assertIn(owner.outcome, ("backend-cut", "backend-malformed"))

    def receive(self, data, end, is_first):
        """Receive bytes and the end of the connection, and return the owner."""
        near, far = socket.socketpair(socket.AF_UNIX)
        near.setblocking(False)
        conn = BackendConnection(FakeReactor(), _SocketWithoutOptions(near), ADDRESS)
        owner = Owner()
        for one in (owner,) if is_first else (Owner(), owner):
            conn.send_request(OUT, one, b"", ENTRY_RULES)
            conn.end_body()
            if one is not owner:
                conn.on_bytes(OWN)
        if data:
            conn.on_bytes(data)
        if end == "close":
            conn.on_eof()
        else:
            conn.on_closed()
        conn.close()
        far.close()
        return owner
