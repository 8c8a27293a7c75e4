"""Exchange drain notices with other entry hosts, and probe draining instances."""

from functools import partial
from typing import Any

from ..calls import Call, Client, Reply
from ..catalog import Catalog
from ..control import ControlRequest, Route
from ..errors import WireError
from ..membership import HostAssignments, Membership
from ..peers import PeerClient
from ..reactor import Reactor
from .instances import FIRST_PROBE_DELAY_S, DrainingInstances
from .messages import DrainNotice, notice_from_json, notice_to_json

__all__ = ["NOTICE_PATH", "DrainNoticeSender", "DrainNotifier"]

NOTICE_PATH = "/leaving/hint"
RESEND_INTERVAL_S = 1.0
CHECK_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 1.0
HTTP_OK = 200
DRAINING_HEADERS = (b"x-draining", b"x-not-executed")


class DrainNoticeSender:
    """Sends a notice to each other host assigned to its service until it replies.

    One can be lost, and hosts become known later, as when the fleet has just started or
    a process was replaced.
    """

    def __init__(
        self,
        reactor: Reactor,
        peers: PeerClient,
        membership: Membership,
        assignments: HostAssignments,
        catalog: Catalog,
    ) -> None:
        self._reactor = reactor
        self._peers = peers
        self._membership = membership
        self._assignments = assignments
        self._catalog = catalog

    def send(self, notice: DrainNotice) -> None:
        """Send a notice until every assigned host has it or the instance is probed."""
        end = self._reactor.clock.monotonic() + FIRST_PROBE_DELAY_S
        self._send_missing(notice, set(), end)

    def _send_missing(
        self, notice: DrainNotice, notified: set[str], end: float
    ) -> None:
        """Send a notice to the assigned hosts whose incarnations are not notified."""
        if self._reactor.clock.monotonic() >= end:
            return
        self._reactor.call_later(
            RESEND_INTERVAL_S, self._send_missing, notice, notified, end
        )
        service = self._catalog.get(notice.service)
        members = () if service is None else self._assignments.for_service(service)
        body = notice_to_json(notice)
        for member in members:
            is_local = member.name == self._membership.local_member.name
            if not is_local and member.incarnation not in notified:
                on_reply = partial(_on_notice_reply, notified, member.incarnation)
                self._peers.call(member.peer_address, NOTICE_PATH, body, on_reply)


def _on_notice_reply(
    notified: set[str], incarnation: str, reply: Reply | None, exc: WireError | None
) -> None:
    """Note that a host has a notice; one that did not reply gets it again."""
    if reply is not None and reply.status == HTTP_OK:
        notified.add(incarnation)


class DrainNotifier:
    """Handles drain notices, follows the host list and probes draining instances."""

    def __init__(
        self,
        reactor: Reactor,
        client: Client,
        catalog: Catalog,
        membership: Membership,
        draining: DrainingInstances,
    ) -> None:
        self._reactor = reactor
        self._membership = membership
        self._client = client
        self._catalog = catalog
        self._draining = draining

    def begin(self) -> None:
        """Apply the host list and send the probes that are due, once a second."""
        self._reactor.call_later(CHECK_INTERVAL_S, self.begin)
        self._apply_host_list()
        self._draining.retain(
            {
                DrainNotice(service.name, instance.name)
                for service in self._catalog.services()
                for instance in service.instances
            }
        )
        for notice in self._draining.due_probes():
            self._probe(notice)

    def _apply_host_list(self) -> None:
        snapshot = self._membership.host_list.snapshot
        if snapshot is None:
            return
        newly_listed = self._draining.apply_host_list(snapshot.leaving)
        if not newly_listed:
            return
        for service in self._catalog.services():
            for instance in service.instances:
                if instance.name in newly_listed:
                    self._draining.record_listed(service.name, instance.name)

    def routes(self) -> list[Route]:
        """Return the routes of the peer port."""
        return [Route("POST", NOTICE_PATH, self._view_notice)]

    def _view_notice(self, req: ControlRequest) -> Any:
        self._draining.apply_notice(notice_from_json(req.body))
        return {}

    def _probe(self, notice: DrainNotice) -> None:
        service = self._catalog.get(notice.service)
        instance = service.instance(notice.instance) if service else None
        if instance is None:
            return

        def on_reply(reply: Reply | None, exc: WireError | None) -> None:
            self._draining.record_probe(notice, _accepts_requests(reply))

        call = Call(
            instance.address, "GET", service.probe_path, timeout_s=PROBE_TIMEOUT_S
        )
        self._client.call(call, on_reply)


def _accepts_requests(reply: Reply | None) -> bool:
    """Return whether a probe's response shows that the instance accepts requests."""
    if reply is None or reply.status != HTTP_OK:
        return False
    return not any(name in DRAINING_HEADERS for name, _ in reply.headers)
