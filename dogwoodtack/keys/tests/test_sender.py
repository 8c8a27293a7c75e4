"""Settle requests over the peer port, with failed and malformed replies."""

import unittest

from nose2.tools import params

from dogwoodtack.calls import Reply
from dogwoodtack.errors import ErrorKind, RequestError, WireError
from dogwoodtack.keys import PeerSettleSender, SettleReply, SettleRequest, SettleStatus
from dogwoodtack.keys.wire import reply_to_json, request_from_json, request_to_json
from dogwoodtack.misc import Address

PEER = Address("127.0.0.1", 7101)
REQUEST = SettleRequest("a" * 32, "b" * 32, "t", f"{'a' * 32}.0/x", "00" * 16)
SILENT = WireError(ErrorKind.BACKEND_TIMEOUT, "no reply in time")
VOIDED = SettleReply(SettleStatus.VOIDED, successor="c" * 32)
UNREACHABLE = SettleReply(SettleStatus.UNREACHABLE)


# As an owner of the previous build kept it.
ODD_ANSWER = {"status": 700, "headers": [], "body": ""}


def reply(body, status=200):
    return Reply(status, [], body)


class Peers:
    """Replies to each call with the next of a list of replies and errors."""

    def __init__(self, replies):
        self.replies = list(replies)
        self.bodies = []

    def call(self, address, target, body, on_reply, timeout_s):
        self.bodies.append(body)
        reply = self.replies.pop(0)
        if isinstance(reply, WireError):
            on_reply(None, reply)
        else:
            on_reply(reply, None)


class SettleSenderTest(unittest.TestCase):
    @params(
        ([reply(reply_to_json(VOIDED))], VOIDED),
        ([SILENT, reply(reply_to_json(VOIDED))], VOIDED),
        ([SILENT, SILENT], UNREACHABLE),
        ([reply({"error": "internal"}, 500)], UNREACHABLE),
        ([reply(None)], UNREACHABLE),
        ([reply({"word": "granted", "answer": None, "successor": ""})], UNREACHABLE),
        ([reply({**reply_to_json(VOIDED), "answer": {"status": 200}})], UNREACHABLE),
        ([reply({**reply_to_json(VOIDED), "answer": ODD_ANSWER})], UNREACHABLE),
    )
    def test_reply(self, replies, expected):
        peers = Peers(replies)
        seen = []
        PeerSettleSender(peers, lambda incarnation: PEER).send(REQUEST, seen.append)
        self.assertEqual(seen, [expected])
        self.assertEqual(peers.bodies, [request_to_json(REQUEST)] * len(replies))

    def test_unknown_incarnation_is_not_called(self):
        seen = []
        PeerSettleSender(Peers([]), lambda incarnation: None).send(REQUEST, seen.append)
        self.assertEqual(seen, [SettleReply(SettleStatus.NOT_HERE)])

    @params(
        None,
        [],
        {},
        {**request_to_json(REQUEST), "seal": "x"},
        {**request_to_json(REQUEST), "to": 1},
    )
    def test_malformed_request_is_refused(self, value):
        with self.assertRaises(RequestError) as caught:
            request_from_json(value)
        self.assertEqual(caught.exception.kind, ErrorKind.BAD_REQUEST)
