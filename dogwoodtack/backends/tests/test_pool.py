"""An idle connection is reused only while no input is waiting on it."""

import socket
import unittest
from unittest import mock

from nose2.tools import params

from dogwoodtack.backends import ConnectionPool, OutgoingHead
from dogwoodtack.backends.connection import MAX_REQUEST_IDS, BackendConnection
from dogwoodtack.errors import ErrorKind, WireError
from dogwoodtack.misc import Address
from dogwoodtack.reactor import Reactor

ADDRESS = Address("127.0.0.1", 9)
UNEXPECTED_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class FakeReactor(Reactor):
    """A reactor that watches nothing and only records delayed calls."""

    def __init__(self):
        self.clock = self
        self.now = 0.0
        self.delayed_calls = []

    def monotonic(self):
        return self.now

    def watch(self, fd, owner, read=False, write=False):
        pass

    def unwatch(self, fd):
        pass

    def call_later(self, delay_s, fn, *args):
        self.delayed_calls.append(fn)


class PoolTest(unittest.TestCase):
    def setUp(self):
        self.reactor = FakeReactor()
        self.pool = ConnectionPool(self.reactor, 1.0)
        near, self.far = socket.socketpair(socket.AF_UNIX)
        near.setblocking(False)
        near = _SocketWithoutOptions(near)
        self.conn = BackendConnection(self.reactor, near, ADDRESS)
        self.addCleanup(self.far.close)
        self.addCleanup(self.conn.close)

    @params(
        ("quiet", b"", False),
        ("unexpected", UNEXPECTED_RESPONSE, True),
        ("ended", None, True),
    )
    def test_connection_with_unread_input_is_closed_instead_of_reused(
        self, _name, data, is_closed
    ):
        self.pool.release(self.conn)
        if data is None:
            self.far.close()
        elif data:
            self.far.send(data)
        reused = self.pool._pop_idle(ADDRESS, 30.0)
        self.assertEqual(reused is None, is_closed)
        self.assertEqual(self.conn.is_open, not is_closed)

    def test_idle_connections_to_an_address_are_closed(self):
        self.pool.release(self.conn)
        self.pool.close_idle(ADDRESS)
        self.assertFalse(self.conn.is_open)
        self.assertIsNone(self.pool._pop_idle(ADDRESS, 30.0))

    def test_connection_idle_for_too_long_is_not_reused(self):
        self.pool.release(self.conn)
        self.reactor.now = 2.0
        self.assertIsNone(self.pool._pop_idle(ADDRESS, 1.0))

    @params((b"", True), (b"id-1", False), (b"id-2", True))
    def test_connection_that_has_carried_an_id_is_left_to_others(self, id_, is_reused):
        """Two attempts of a booking shared a connection, and it ran twice."""
        self.send_request(b"id-1")
        self.pool.release(self.conn)
        reused = self.pool._pop_idle(ADDRESS, 30.0, request_id=id_)
        self.assertEqual(reused, self.conn if is_reused else None)
        self.assertTrue(self.conn.is_open)

    @params(
        # requests, whether they have ids, whether the connection stays open
        (MAX_REQUEST_IDS - 1, True, True),
        (MAX_REQUEST_IDS, True, False),
        (2 * MAX_REQUEST_IDS, False, True),
    )
    def test_connection_is_closed_before_it_forgets_an_id(
        self, requests, have_ids, is_open
    ):
        for number in range(requests):
            self.assertTrue(self.conn.is_open)
            self.send_request(b"%d" % number if have_ids else b"")
        self.assertEqual(self.conn.is_open, is_open)
        self.assertEqual(self.conn.has_carried(b"0"), have_ids)
        self.assertEqual(self.conn.use.carried, requests)

    def send_request(self, request_id):
        """Send a request and receive a complete response."""
        head = OutgoingHead(b"GET", b"/", [(b"host", b"x")])
        self.conn.send_request(head, mock.Mock(), request_id=request_id)
        self.conn.end_body()
        self.far.recv(65536)
        self.conn.on_bytes(UNEXPECTED_RESPONSE)

    def test_invalid_request_head_is_not_sent(self):
        invalid_head = OutgoingHead(b"GET", b"/a b", [(b"host", b"x")])
        with self.assertRaises(WireError) as caught:
            self.conn.send_request(invalid_head, None)
        self.assertEqual(caught.exception.kind, ErrorKind.BAD_REQUEST)
        self.assertFalse(caught.exception.bytes_sent)
        self.assertFalse(self.conn.is_open)


class _SocketWithoutOptions:
    """One end of a socket pair that ignores TCP options."""

    def __init__(self, sock):
        self._sock = sock

    def setsockopt(self, *args):
        pass

    def __getattr__(self, name):
        return getattr(self._sock, name)
