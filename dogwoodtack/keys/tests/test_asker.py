"""Questions about keys over the peer port, with replies that fail."""

import unittest

from nose2.tools import params

from dogwoodtack.calls import Reply
from dogwoodtack.errors import ErrorKind, RequestError, WireError
from dogwoodtack.keys import PeerAsker, SettleAsk, SettleReply, SettleWord
from dogwoodtack.keys.wire import ask_form, parse_ask, reply_form
from dogwoodtack.misc import Address

PEER = Address("127.0.0.1", 7101)
ASK = SettleAsk("a" * 32, "b" * 32, "t", f"{'a' * 32}.0/x", "00" * 16)
SILENT = WireError(ErrorKind.BACKEND_TIMEOUT, "no reply in time")
VOIDED = SettleReply(SettleWord.VOIDED, successor="c" * 32)
UNREACHABLE = SettleReply(SettleWord.UNREACHABLE)


def reply(body, status=200):
    return Reply(status, [], body)


class Peers:
    """Answer calls from a list of replies and errors."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.bodies = []

    def call(self, address, target, body, on_reply, timeout_s):
        self.bodies.append(body)
        answer = self.answers.pop(0)
        if isinstance(answer, WireError):
            on_reply(None, answer)
        else:
            on_reply(answer, None)


class AskerTest(unittest.TestCase):
    @params(
        ([reply(reply_form(VOIDED))], VOIDED),
        ([SILENT, reply(reply_form(VOIDED))], VOIDED),
        ([SILENT, SILENT], UNREACHABLE),
        ([reply({"error": "internal"}, 500)], UNREACHABLE),
        ([reply(None)], UNREACHABLE),
        ([reply({"word": "granted", "answer": None, "successor": ""})], UNREACHABLE),
        ([reply({**reply_form(VOIDED), "answer": {"status": 200}})], UNREACHABLE),
    )
    def test_reply(self, answers, expected):
        peers = Peers(answers)
        seen = []
        PeerAsker(peers, lambda incarnation: PEER).ask(ASK, seen.append)
        self.assertEqual(seen, [expected])
        self.assertEqual(peers.bodies, [ask_form(ASK)] * len(answers))

    def test_unknown_incarnation_is_not_called(self):
        seen = []
        PeerAsker(Peers([]), lambda incarnation: None).ask(ASK, seen.append)
        self.assertEqual(seen, [SettleReply(SettleWord.NOT_HERE)])

    @params(None, [], {}, {**ask_form(ASK), "seal": "x"}, {**ask_form(ASK), "to": 1})
    def test_malformed_question_is_refused(self, value):
        with self.assertRaises(RequestError) as caught:
            parse_ask(value)
        self.assertEqual(caught.exception.kind, ErrorKind.BAD_REQUEST)
