"""A drain notice reaches every host, also one that becomes known later."""

import unittest
from unittest.mock import Mock

from nose2.tools import params

from dogwoodtack.calls import Reply
from dogwoodtack.draining import DrainNotice, DrainNoticeSender
from dogwoodtack.errors import ErrorKind, WireError
from dogwoodtack.membership import Member
from dogwoodtack.misc import Address
from lab.virtual import VirtualLoop

NOTICE = DrainNotice("jobtrack", "jt-1")


def member(number):
    address = Address("127.0.0.1", 1000 + number)
    return Member(f"entry-{number}", f"{number}", "zone-a", address, address)


class DrainNoticeSenderTest(unittest.TestCase):
    def setUp(self):
        self.loop, self.peers, self.assignments = VirtualLoop(), Mock(), Mock()
        self.assignments.for_service.return_value = [member(0)]
        membership = Mock(local_member=member(0))
        self.sender = DrainNoticeSender(
            self.loop, self.peers, membership, self.assignments, Mock()
        )

    def calls_to(self, number):
        """Return the callbacks of the calls to a member."""
        return [
            call.args[3]
            for call in self.peers.call.call_args_list
            if call.args[0] == member(number).peer_address
        ]

    @params(0.5, 8.0, 25.0)
    def test_host_that_becomes_known_later_is_notified(self, known_after_s):
        self.sender.send(NOTICE)
        self.loop.run_for(known_after_s)
        self.peers.call.assert_not_called()
        self.assignments.for_service.return_value = [member(0), member(1)]
        self.loop.run_for(2.0)
        self.assertGreater(len(self.calls_to(1)), 0)

    @params(
        # reply, error, calls in five seconds
        (Reply(200, [], {}), None, 1),
        (Reply(503, [], {}), None, 5),
        (None, WireError(ErrorKind.BACKEND_TIMEOUT, "no reply in time"), 5),
    )
    def test_notice_is_repeated_until_the_host_has_it(self, reply, exc, calls):
        self.assignments.for_service.return_value = [member(0), member(1)]
        self.peers.call.side_effect = lambda *args: args[3](reply, exc)
        self.sender.send(NOTICE)
        self.loop.run_for(4.5)
        self.assertEqual(len(self.calls_to(1)), calls)

    def test_process_that_replaces_a_notified_one_is_notified(self):
        self.peers.call.side_effect = lambda *args: args[3](Reply(200, [], {}), None)
        for incarnation in ("a", "b"):
            one = member(1)._replace(incarnation=incarnation)
            self.assignments.for_service.return_value = [member(0), one]
            if incarnation == "a":
                self.sender.send(NOTICE)
            self.loop.run_for(3.0)
        self.assertEqual(len(self.calls_to(1)), 2)
