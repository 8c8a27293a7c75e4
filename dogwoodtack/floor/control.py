"""The floor's work on the loop: one tick for titles, decisions and pulls."""

from typing import Any

from ..surface import Route, SurfaceRequest
from .floor import Floor
from .holdings import Holdings
from .messages import PullForm
from .parts import FloorParts
from .puller import PULL_PATH, Puller
from .report import Report

__all__ = ["FloorControl"]

TICK_S = 0.5


class FloorControl:
    """Drive the floor of one node."""

    def __init__(self, parts: FloorParts, floor: Floor) -> None:
        self._parts = parts
        self._floor = floor
        self._holdings = Holdings(parts, floor.turns)
        self._puller = Puller(parts, floor, self._holdings)
        self._report = Report(parts, floor, self._holdings)
        floor.on_first_use = self._pull_soon

    def begin(self) -> None:
        """Begin to pull, decide and claim."""
        self._parts.reactor.call_later(TICK_S, self.begin)
        now = self._floor.turns.note()
        served = self._floor.served(now)
        for name in served:
            service = self._parts.catalog.get(name)
            if service is None:
                self._floor.forget(name)
                continue
            usage = self._floor.usage(name)
            self._puller.note(name, usage.expire(now))
            self._puller.note(name, usage.take_service(service, now))
        self._holdings.mind(served, now)
        self._puller.pull_due(now)

    def _pull_soon(self) -> None:
        """Ask for what is out of work in a service that had its first request."""
        self._parts.reactor.call_soon(self._pull_now)

    def _pull_now(self) -> None:
        self._puller.pull_due(self._floor.turns.note())

    def release(self) -> None:
        """Give up every title, because this process is about to end."""
        self._holdings.release()

    def routes(self) -> list[Route]:
        """Return what the peer port answers."""
        return [Route("POST", PULL_PATH, self._view_pull)]

    def operator_routes(self) -> list[Route]:
        """Return what the operator port answers."""
        return self._report.routes()

    def _view_pull(self, req: SurfaceRequest) -> Any:
        return self._holdings.answer_pull(PullForm(services=req.body["services"]))
