"""The floor's periodic tick for leases, decisions and pulls, and its routes."""

from typing import Any

from ..control import ControlRequest, Route
from .dependencies import FloorDependencies
from .floor import Floor
from .leases import LeaseManager
from .messages import PullRequest
from .puller import PULL_PATH, Puller
from .report import Report

__all__ = ["FloorControl"]

TICK_S = 0.5


class FloorControl:
    """Run the floor protocol of one node."""

    def __init__(self, deps: FloorDependencies, floor: Floor) -> None:
        self._deps = deps
        self._floor = floor
        self._leases = LeaseManager(deps, floor.pause_detector)
        self._puller = Puller(deps, floor, self._leases)
        self._report = Report(deps, floor, self._leases)
        floor.on_first_use = self._schedule_pull

    def begin(self) -> None:
        """Run a tick, which reviews, claims and pulls, and schedule the next one."""
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
        """Schedule a pull for a service that has received its first request."""
        self._deps.reactor.call_soon(self._pull_now)

    def _pull_now(self) -> None:
        self._puller.pull_due(self._floor.pause_detector.check())

    def release(self) -> None:
        """Release every lease before the process exits."""
        self._leases.release()

    def routes(self) -> list[Route]:
        """Return the routes of the peer port."""
        return [Route("POST", PULL_PATH, self._view_pull)]

    def operator_routes(self) -> list[Route]:
        """Return the routes of the operator port."""
        return self._report.routes()

    def _view_pull(self, req: ControlRequest) -> Any:
        return self._leases.handle_pull(PullRequest(services=req.body["services"]))
