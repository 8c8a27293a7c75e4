"""Which bytes a connection accepts as the response to its request."""

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
