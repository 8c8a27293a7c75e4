"""Which bytes a link takes for the answer to its request."""

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


def answer(request_id, body=b"yes", length=True):
    head = b"HTTP/1.1 200 OK\r\nX-Id: " + request_id + b"\r\n"
    if length:
        head += b"Content-Length: " + str(len(body)).encode() + b"\r\n"
    return head + b"\r\n" + body


OWN = answer(b"mine")
OTHER = answer(b"other", b"another's")


class Owner:
    """Note what a link tells."""

    def __init__(self):
        self.body = b""
        self.ending = None

    def on_head(self, head):
        self.body = b""

    def on_body(self, data):
        self.body += data

    def on_end(self):
        self.ending = "whole"

    def on_fail(self, exc):
        self.ending = str(exc.kind)


class AnswerRulesTest(unittest.TestCase):
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
        # what comes, whether the end follows, ending, body, link usable again
        ([OWN], False, "whole", b"yes", True),
        ([OTHER + OWN], False, "whole", b"yes", True),
        ([OTHER, OWN], False, "whole", b"yes", True),
        ([OTHER[:30], OTHER[30:] + OWN[:20], OWN[20:]], False, "whole", b"yes", True),
        ([OTHER + OTHER + OWN], False, "whole", b"yes", True),
        ([OWN + OTHER], False, "whole", b"yes", False),
        ([OWN + b"rubbish"], False, "whole", b"yes", False),
        ([OTHER], True, "backend-cut", b"", False),
        ([OTHER[:-2]], True, "backend-cut", b"", False),
        ([answer(b"mine", length=False)], True, "whole", b"yes", False),
        ([OWN[:-1]], True, "backend-cut", b"ye", False),
        ([b"rubbish\r\n\r\n"], False, "backend-malformed", b"", False),
    )
    def test_with_an_id(self, pieces, closes, ending, body, is_open):
        def belongs_to_request(head):
            return head.header(b"x-id") == b"mine"

        rules = ResponseRules(
            belongs_to_request, allow_close_delimited=True, allow_trailing_bytes=True
        )
        self.feed(pieces, rules, closes)
        self.assertEqual(self.owner.ending, ending)
        self.assertEqual(self.owner.body, body)
        self.assertEqual(self.conn.is_open, is_open)

    @params(
        ([OWN + OTHER], "backend-malformed"),
        ([answer(b"mine", length=False)], "backend-malformed"),
    )
    def test_without_rules_all_is_strict(self, pieces, ending):
        self.feed(pieces, ResponseRules(), closes=True)
        self.assertEqual(self.owner.ending, ending)
