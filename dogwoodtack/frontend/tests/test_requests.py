"""Malformed requests and slow or disconnected callers affect no other requests."""

import unittest
from socket import SO_RCVBUF, SO_SNDBUF, SOL_SOCKET

from nose2.tools import params

from dogwoodtack.health import SampleKind

from .harness import MAX_BODY_BYTES, MAX_CONNECTIONS, STALL_S, Harness, Reply

HOST = b"Host: jobtrack.example\r\n"
KERNEL_BUFFER_BYTES = 32_768
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nrack 7 done"
CHUNKED = b"POST /r HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
UPLOAD = b"POST /r HTTP/1.1\r\n" + HOST + b"Content-Length: 200000\r\n\r\n"


def get(extra=b"", target=b"/racks/7", host=HOST):
    return b"GET " + target + b" HTTP/1.1\r\n" + host + extra + b"\r\n"


MALFORMED = (
    ("two lengths", 400, get(b"Content-Length: 3\r\nContent-Length: 4\r\n") + b"abcd"),
    ("length and coding", 400, CHUNKED.replace(b"Tr", b"Content-Length: 4\r\nTr")),
    ("negative length", 400, get(b"Content-Length: -1\r\n")),
    ("huge length", 400, get(b"Content-Length: " + b"9" * 40 + b"\r\n")),
    ("body over the limit", 413, get(b"Content-Length: 999999\r\n")),
    ("unknown coding", 501, get(b"Transfer-Encoding: gzip\r\n")),
    ("bad chunk size", 400, CHUNKED + b"zz\r\nabc\r\n0\r\n\r\n"),
    ("bad chunk end", 400, CHUNKED + b"3\r\nabcX\r\n0\r\n\r\n"),
    ("no host", 400, get(host=b"")),
    ("two hosts", 400, get(HOST)),
    ("folded header", 400, get(b"X-A: one\r\n two\r\n")),
    ("bare line feed", 400, get(b"X-A: one\nX-B: two\r\n")),
    ("NUL in a header", 400, get(b"X-A: o\x00ne\r\n")),
    ("space before colon", 400, get(b"X-A : one\r\n")),
    ("absolute target", 400, get(target=b"http://other.example/")),
    ("star target", 400, get(target=b"*")),
    ("tunnel", 400, get().replace(b"GET", b"CONNECT")),
    ("upgrade", 400, get(b"Upgrade: websocket\r\nConnection: upgrade\r\n")),
    ("HTTP/1.0", 505, get().replace(b"1.1", b"1.0")),
    ("not HTTP", 400, b"\x16\x03\x01\x02\x00\r\n\r\n"),
    ("long head in one write", 431, get(b"X-A: " + b"y" * 50_000 + b"\r\n")),
    ("long head without an end", 431, get(b"X-A: " + b"y" * 200_000)),
    ("bad deadline", 400, get(b"X-Deadline-Ms: soon\r\n")),
)


class RequestsTest(unittest.TestCase):
    def start(self, backends=1, **fields):
        harness = Harness(backends, **fields)
        harness.script(Reply(OK))
        self.addCleanup(harness.close)
        return harness

    @params(*MALFORMED)
    def test_malformed_request_is_rejected(self, _name, status, data):
        harness = self.start()
        peer = harness.send(data)
        self.assertEqual(peer.data[:12], b"HTTP/1.1 %d" % status)
        self.assertIn(b"x-dogwoodtack-outcome: not-run", peer.data.lower())
        self.assertEqual(harness.requests, [])

    @params(*MALFORMED)
    def test_malformed_request_after_a_valid_one(self, _name, status, data):
        harness = self.start()
        peer = harness.caller(get() + data)
        self.assertTrue(harness.run_until(lambda: b"HTTP/1.1 %d" % status in peer.data))
        self.assertTrue(peer.data.startswith(b"HTTP/1.1 200"))
        self.assertEqual(len(harness.requests), 1)

    def test_head_sent_byte_by_byte_is_accepted_or_times_out(self):
        harness = self.start()
        peer = harness.caller()
        for offset in range(len(get())):
            peer.stream.write(get()[offset : offset + 1])
            harness.run_for(0.001)
        self.assertTrue(harness.run_until(lambda: peer.data.endswith(b"done")))
        slow = harness.send(get()[:20], STALL_S * 3)
        self.assertTrue(slow.data.startswith(b"HTTP/1.1 408"))

    @params(
        ("nothing forwarded", UPLOAD + b"x" * 10),
        ("streamed body", UPLOAD + b"x" * 100_000),
        ("chunks", CHUNKED + b"3\r\nabc\r\n"),
    )
    def test_stalled_body_ends_at_the_stall_timeout(self, _name, data):
        harness = self.start()
        peer = harness.send(data, STALL_S * 4)
        self.assertTrue(peer.ended or peer.data.startswith(b"HTTP/1.1 408"))
        self.assertEqual(harness.frontend.in_flight, 0)
        bad = [one for one in harness.health.samples if one.kind is not SampleKind.OK]
        self.assertEqual(bad, [])

    def test_streamed_body_over_the_limit_is_not_reported_as_not_run(self):
        harness = self.start()
        chunk = b"ffff\r\n" + b"x" * 0xFFFF + b"\r\n"
        peer = harness.send(CHUNKED + chunk * (MAX_BODY_BYTES // 0xFFFF + 2))
        self.assertTrue(peer.ended)
        self.assertNotIn(b"not-run", peer.data)

    @params(*range(0, 90, 7))
    def test_caller_that_disconnects_while_it_sends(self, cut):
        harness = self.start()
        peer = harness.caller((UPLOAD + b"x" * 200_000)[:cut])
        harness.run_for(0.01)
        peer.stream.abort()
        self.assertTrue(harness.run_until(lambda: harness.frontend.connections == 0))
        self.assertEqual(harness.frontend.in_flight, 0)
        self.assertEqual(harness.requests, [])

    @params(b"", OK[:20], OK[:-3])
    def test_caller_that_disconnects_cancels_an_idempotent_request(self, response):
        harness = self.start()
        harness.script(Reply(response))
        peer = harness.caller(get())
        harness.run_until(lambda: bool(harness.requests))
        harness.run_for(0.02)
        peer.stream.close()
        backend = harness.backends[0]
        self.assertTrue(harness.run_until(lambda: backend.peers[0].ended, STALL_S / 2))
        self.assertEqual(harness.frontend.in_flight, 0)

    def test_queued_request_of_a_disconnected_caller_is_not_sent(self):
        harness = self.start()
        harness.script(Reply(b""))
        waiting = [harness.caller(get()) for _ in range(2)]
        harness.run_until(lambda: len(harness.requests) == 2)
        queued = harness.caller(get(target=b"/queued"))
        harness.run_for(0.02)
        queued.stream.close()
        harness.run_for(0.02)
        self.assertEqual(harness.frontend.in_flight, 2)
        for peer in waiting:
            peer.stream.close()
        harness.run_for(0.05)
        self.assertFalse(any(b"/queued" in one for one in harness.requests))

    def test_caller_that_reads_nothing_ends_at_the_stall_timeout(self):
        harness = self.start()
        size = 60_000_000
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size
        harness.script(Reply(head + bytes(size)))
        peer = harness.caller(get())
        peer.stream.pause()
        harness.run_until(lambda: harness.frontend.in_flight == 1)
        buffered = []

        def is_over():
            for conn in harness.frontend._conns:
                buffered.append(conn._stream.buffered_bytes)
            return harness.frontend.in_flight == 0

        self.assertTrue(harness.run_until(is_over, STALL_S * 4))
        self.assertLess(max(buffered), 1_000_000)

    def test_slow_caller_that_reads_on_is_kept(self):
        harness = self.start()
        size = 12_000_000
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size
        harness.script(Reply(head + bytes(size)))
        peer = harness.caller(get())
        while len(peer.data) < size and not peer.ended:
            peer.stream.pause()
            harness.run_for(STALL_S / 2)
            peer.stream.resume()
            harness.run_for(0.01)
        self.assertTrue(harness.run_until(lambda: harness.frontend.in_flight == 0))
        self.assertGreaterEqual(len(peer.data), size)

    def start_slow_download(self):
        """Return a harness and a caller that has yet to read the end of its response.

        The request has ended for the frontend: the rest is in its write buffer, as
        the kernel's buffers are small.
        """
        harness = self.start()
        size = 300_000
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size
        harness.script(Reply(head + bytes(size)))
        peer = harness.caller(get())
        peer.stream._sock.setsockopt(SOL_SOCKET, SO_RCVBUF, KERNEL_BUFFER_BYTES)
        harness.run_until(lambda: harness.frontend.connections == 1)
        (conn,) = harness.frontend._conns
        conn._stream._sock.setsockopt(SOL_SOCKET, SO_SNDBUF, KERNEL_BUFFER_BYTES)
        harness.run_until(lambda: harness.frontend.in_flight == 1)
        while harness.frontend.in_flight:
            self.read_some(harness, peer, 10_000)
        self.assertGreater(conn._stream.buffered_bytes, 0)
        return harness, peer, size

    def read_some(self, harness, peer, size):
        """Let a caller read some more bytes and then pause."""
        end = len(peer.data) + size

        def pause_at_end(peer):
            if len(peer.data) >= end:
                peer.stream.pause()

        peer.on_data = pause_at_end
        peer.stream.resume()
        harness.run_until(lambda: len(peer.data) >= end, STALL_S / 4)
        peer.on_data = None

    @params("idle", "stop")
    def test_end_of_a_response_reaches_a_slow_caller(self, how):
        """Neither the idle timeout nor a planned stop discards what is buffered."""
        harness, peer, size = self.start_slow_download()
        if how == "stop":
            harness.frontend.stop_accepting()
        for _ in range(4):
            self.read_some(harness, peer, 10_000)
            harness.run_for(STALL_S * 0.8)
        peer.stream.resume()
        harness.run_until(lambda: peer.ended or len(peer.data) >= size, STALL_S * 20)
        self.assertGreaterEqual(len(peer.data), size)
        self.assertTrue(harness.run_until(lambda: harness.frontend.connections == 0))

    def test_caller_that_stops_reading_the_end_of_a_response_is_closed(self):
        harness, peer, size = self.start_slow_download()
        is_closed = harness.run_until(
            lambda: harness.frontend.connections == 0, STALL_S * 4
        )
        self.assertTrue(is_closed)
        self.assertLess(len(peer.data), size)

    def test_connection_over_the_limit_is_rejected(self):
        harness = self.start()
        connected = [harness.caller() for _ in range(MAX_CONNECTIONS)]
        harness.run_until(lambda: harness.frontend.connections == MAX_CONNECTIONS)
        peer = harness.send(get())
        self.assertTrue(peer.data.startswith(b"HTTP/1.1 503"), peer.data)
        self.assertIn(b"retry-after: 1", peer.data.lower())
        self.assertTrue(harness.run_until(lambda: peer.ended))
        connected.pop().stream.close()
        harness.run_until(lambda: harness.frontend.connections < MAX_CONNECTIONS)
        self.assertTrue(harness.send(get()).data.startswith(b"HTTP/1.1 200"))

    def test_rejected_request_gets_no_100_continue(self):
        harness = self.start()
        request = UPLOAD.replace(b"200000", b"999999")
        peer = harness.send(
            request.replace(b"\r\n\r\n", b"\r\nExpect: 100-continue\r\n\r\n")
        )
        self.assertTrue(peer.data.startswith(b"HTTP/1.1 413"), peer.data[:50])
