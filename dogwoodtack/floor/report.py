"""The operator's view of the floor: which instances are removed, and why."""

from typing import Any

from ..catalog import Service
from ..control import ControlRequest, Route
from ..errors import ErrorKind, RequestError
from .dependencies import FloorDependencies
from .floor import Floor
from .leases import LeaseManager

__all__ = ["Report"]


class Report:
    """The floor's routes of the operator port, from one node's view."""

    def __init__(
        self, deps: FloorDependencies, floor: Floor, leases: LeaseManager
    ) -> None:
        self._deps = deps
        self._floor = floor
        self._leases = leases

    def routes(self) -> list[Route]:
        """Return the routes of the operator port."""
        explain = "/explain/instance/(?P<service>[^/]+)/(?P<instance>[^/]+)"
        return [
            Route("GET", "/floor", self._view_floor),
            Route("GET", explain, self._view_explain),
        ]

    def _view_floor(self, req: ControlRequest) -> Any:
        now = self._floor.pause_detector.check()
        return {
            "node": self._leases.local_holder.name,
            "boottime": now,
            "services": {
                service.name: self._service(service, now)
                for service in self._deps.catalog.services()
            },
        }

    def _service(self, service: Service, now: float) -> Any:
        removals = self._floor.removals(service.name)
        lease = self._leases.get(service.name)
        holder = lease.ownership.holder
        report = {
            "instances": len(service.instances),
            "floor": service.floor,
            "ejected": {
                name: round(until - now, 3)
                for name, until in removals.granted(now).items()
            },
            "drained": sorted(removals.drained),
            "drains_wanted": sorted(service.drains),
            "holder": None if holder is None else holder.name,
        }
        if lease.holder is not None:
            report["held_here"] = {
                "may_grant": self._leases.may_grant(lease, service, now),
                "limit": lease.holder.budget.limit,
                "out_of_work": sorted(lease.holder.removed(now)),
                "ejections": sorted(lease.holder.ejections),
                "refused": sorted(lease.holder.refused),
            }
        return report

    def _view_explain(self, req: ControlRequest) -> Any:
        service = self._deps.catalog.get(req.params["service"])
        instance = service.instance(req.params["instance"]) if service else None
        if instance is None:
            raise RequestError(ErrorKind.NOT_FOUND, req.path)
        return self._explain(service, instance.name)

    def _explain(self, service: Service, instance: str) -> Any:
        now = self._floor.pause_detector.check()
        removals = self._floor.removals(service.name)
        is_draining = self._deps.draining.is_draining(service.name, instance)
        is_removed = removals.is_removed(instance, now)
        until = removals.granted(now).get(instance)
        verdicts = self._deps.health.verdicts(service)
        seen = [one._asdict() for one in verdicts if one.instance == instance]
        return {
            "service": service.name,
            "instance": instance,
            "seen_by": self._leases.local_holder.name,
            "takes_work": not is_removed and not is_draining,
            "weight": self._deps.health.weight(service.name, instance),
            "ejected_for_s": None if until is None else round(until - now, 3),
            "drain": self._drain_status(service, instance),
            "leaving": is_draining,
            "verdict": seen[0] if seen else None,
            "evidence": self._deps.health.explain(service.name, instance)._asdict(),
            "floor": self._service(service, now),
        }

    def _drain_status(self, service: Service, instance: str) -> str:
        if instance not in service.drains:
            return "none"
        is_drained = self._floor.is_drained(service.name, instance)
        return "in effect" if is_drained else "waits for the floor"
