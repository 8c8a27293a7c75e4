"""Carry hints to the other entry hosts of a service, and probe held instances."""

from typing import Any

from ..calls import Call, Client, Reply
from ..catalog import Catalog
from ..errors import WireError
from ..membership import HostAssignments, Membership
from ..peers import Peers
from ..reactor import Reactor
from ..surface import Route, SurfaceRequest
from .instances import Leaving
from .messages import Hint, hint_form, parse_hint

__all__ = ["HINT_PATH", "HintSender", "LeavingCourier"]

HINT_PATH = "/leaving/hint"
SEND_AFTER_S = (0.0, 1.0, 3.0)
TICK_S = 1.0
PROBE_TIMEOUT_S = 1.0
HTTP_OK = 200
DRAINING_HEADERS = (b"x-draining", b"x-not-executed")


class HintSender:
    """Send a hint to every other home host of its service, and repeat it.

    A hint can be lost, or be sent before this host knows all the others, as when
    the fleet has just started.
    """

    def __init__(
        self,
        reactor: Reactor,
        peers: Peers,
        membership: Membership,
        assignments: HostAssignments,
        catalog: Catalog,
    ) -> None:
        self._reactor = reactor
        self._peers = peers
        self._membership = membership
        self._assignments = assignments
        self._catalog = catalog

    def send(self, hint: Hint) -> None:
        """Send a hint now and twice more within a few seconds."""
        for delay_s in SEND_AFTER_S:
            self._reactor.call_later(delay_s, self._send_once, hint)

    def _send_once(self, hint: Hint) -> None:
        service = self._catalog.get(hint.service)
        if service is None:
            return
        for member in self._assignments.for_service(service):
            if member.name != self._membership.local_member.name:
                self._peers.call(
                    member.peer_address, HINT_PATH, hint_form(hint), _ignore_reply
                )


def _ignore_reply(reply: Reply | None, exc: WireError | None) -> None:
    """Take no notice: the receiver finds out by itself where a hint is lost."""


class LeavingCourier:
    """Receive hints and run the probes that end a hold."""

    def __init__(
        self,
        reactor: Reactor,
        client: Client,
        catalog: Catalog,
        membership: Membership,
        leaving: Leaving,
    ) -> None:
        self._reactor = reactor
        self._membership = membership
        self._client = client
        self._catalog = catalog
        self._leaving = leaving

    def begin(self) -> None:
        """Once a second take the host list as it is known and probe what is due."""
        self._reactor.call_later(TICK_S, self.begin)
        self._take_host_list()
        self._leaving.retain(
            {
                Hint(service.name, instance.name)
                for service in self._catalog.services()
                for instance in service.instances
            }
        )
        for hint in self._leaving.due_probes():
            self._probe(hint)

    def _take_host_list(self) -> None:
        snapshot = self._membership.host_list.snapshot
        if snapshot is None:
            return
        fresh = self._leaving.take_host_list(snapshot.leaving)
        if not fresh:
            return
        for service in self._catalog.services():
            for instance in service.instances:
                if instance.name in fresh:
                    self._leaving.note_listed(service.name, instance.name)

    def routes(self) -> list[Route]:
        """Return what the peer port answers for this slice."""
        return [Route("POST", HINT_PATH, self._view_hint)]

    def _view_hint(self, req: SurfaceRequest) -> Any:
        self._leaving.take_hint(parse_hint(req.body))
        return {}

    def _probe(self, hint: Hint) -> None:
        service = self._catalog.get(hint.service)
        instance = service.instance(hint.instance) if service else None
        if instance is None:
            return

        def on_reply(reply: Reply | None, exc: WireError | None) -> None:
            self._leaving.take_probe(hint, _takes_work(reply))

        call = Call(
            instance.address, "GET", service.probe_path, timeout_s=PROBE_TIMEOUT_S
        )
        self._client.call(call, on_reply)


def _takes_work(reply: Reply | None) -> bool:
    """Return whether a probe's answer shows a back end that takes work."""
    if reply is None or reply.status != HTTP_OK:
        return False
    return not any(name in DRAINING_HEADERS for name, _ in reply.headers)
