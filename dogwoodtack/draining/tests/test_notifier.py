"""A drain notice reaches hosts that become known shortly after it was first sent."""

import unittest
from unittest.mock import Mock

from dogwoodtack.draining import DrainNotice, DrainNoticeSender
from dogwoodtack.membership import Member
from dogwoodtack.misc import Address
from lab.virtual import VirtualLoop

NOTICE = DrainNotice("jobtrack", "jt-1")
KNOWN_AFTER_S = 0.5


def member(number):
    address = Address("127.0.0.1", 1000 + number)
    return Member(f"entry-{number}", f"{number}", "zone-a", address, address)


class DrainNoticeSenderTest(unittest.TestCase):
    def test_host_that_becomes_known_later_is_notified(self):
        loop, peers, assignments = VirtualLoop(), Mock(), Mock()
        assignments.for_service.return_value = [member(0)]
        membership = Mock(local_member=member(0))
        DrainNoticeSender(loop, peers, membership, assignments, Mock()).send(NOTICE)
        loop.run_to(loop.clock.now + KNOWN_AFTER_S)
        peers.call.assert_not_called()
        assignments.for_service.return_value = [member(0), member(1)]
        loop.run_to(loop.clock.now + 5.0)
        notified = {call.args[0] for call in peers.call.call_args_list}
        self.assertEqual(notified, {member(1).peer_address})
