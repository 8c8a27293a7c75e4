"""The floor's work on the loop: one tick for titles, decisions and pulls."""

from typing import Any

from ..surface import Route, SurfaceRequest
from .dependencies import FloorDependencies
from .floor import Floor
from .leases import LeaseManager
from .messages import PullRequest
from .puller import PULL_PATH, Puller
from .report import Report

__all__ = ["FloorControl"]

TICK_S = 0.5


class FloorControl:
    """Drive the floor of one node."""

    def __init__(self, deps: FloorDependencies, floor: Floor) -> None:
        self._deps = deps
        self._floor = floor
        self._leases = LeaseManager(deps, floor.pause_detector)
        self._puller = Puller(deps, floor, self._leases)
        self._report = Report(deps, floor, self._leases)
        floor.on_first_use = self._schedule_pull

    def begin(self) -> None:
        """Begin to pull, decide and claim."""
        self._deps.reactor.call_later(TICK_S, self.begin)
        now = self._floor.pause_detector.check()
        served = self._floor.served(now)
        for name in served:
            service = self._deps.catalog.get(name)
            if service is None:
                self._floor.forget(name)
                continue
            removals = self._floor.removals(name)
            self._puller.handle_changes(name, removals.expire(now))
            self._puller.handle_changes(name, removals.apply_service(service, now))
        self._leases.review_and_claim(served, now)
        self._puller.pull_due(now)

    def _schedule_pull(self) -> None:
        """Ask for what is out of work in a service that had its first request."""
        self._deps.reactor.call_soon(self._pull_now)

    def _pull_now(self) -> None:
        self._puller.pull_due(self._floor.pause_detector.check())

    def release(self) -> None:
        """Give up every title, because this process is about to end."""
        self._leases.release()

    def routes(self) -> list[Route]:
        """Return what the peer port answers."""
        return [Route("POST", PULL_PATH, self._view_pull)]

    def operator_routes(self) -> list[Route]:
        """Return what the operator port answers."""
        return self._report.routes()

    def _view_pull(self, req: SurfaceRequest) -> Any:
        return self._leases.handle_pull(PullRequest(services=req.body["services"]))
