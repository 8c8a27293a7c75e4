"""What operators see of the floor: removed instances, and why."""

from typing import Any

from ..catalog import Service
from ..errors import ErrorKind, RequestError
from ..surface import Route, SurfaceRequest
from .floor import Floor
from .holdings import Holdings
from .parts import FloorParts

__all__ = ["Report"]


class Report:
    """Answer operators' questions about one node's view."""

    def __init__(self, parts: FloorParts, floor: Floor, holdings: Holdings) -> None:
        self._parts = parts
        self._floor = floor
        self._holdings = holdings

    def routes(self) -> list[Route]:
        """Return what the operator port answers."""
        explain = "/explain/instance/(?P<service>[^/]+)/(?P<instance>[^/]+)"
        return [
            Route("GET", "/floor", self._view_floor),
            Route("GET", explain, self._view_explain),
        ]

    def _view_floor(self, req: SurfaceRequest) -> Any:
        now = self._floor.turns.note()
        return {
            "node": self._holdings.me.name,
            "boottime": now,
            "services": {
                service.name: self._service(service, now)
                for service in self._parts.catalog.services()
            },
        }

    def _service(self, service: Service, now: float) -> Any:
        usage = self._floor.usage(service.name)
        holding = self._holdings.get(service.name)
        holder = holding.ownership.holder
        report = {
            "instances": len(service.instances),
            "floor": service.floor,
            "ejected": {
                name: round(until - now, 3)
                for name, until in usage.granted(now).items()
            },
            "drained": sorted(usage.drained),
            "drains_wanted": sorted(service.drains),
            "holder": None if holder is None else holder.name,
        }
        if holding.holder is not None:
            report["held_here"] = {
                "may_grant": self._holdings.may_grant(holding, service, now),
                "limit": holding.holder.budget.limit,
                "out_of_work": sorted(holding.holder.removed(now)),
                "ejections": sorted(holding.holder.ejections),
                "refused": sorted(holding.holder.refused),
            }
        return report

    def _view_explain(self, req: SurfaceRequest) -> Any:
        service = self._parts.catalog.get(req.params["service"])
        instance = service.instance(req.params["instance"]) if service else None
        if instance is None:
            raise RequestError(ErrorKind.NOT_FOUND, req.path)
        return self._explain(service, instance.name)

    def _explain(self, service: Service, instance: str) -> Any:
        now = self._floor.turns.note()
        usage = self._floor.usage(service.name)
        is_leaving = self._parts.leaving.is_leaving(service.name, instance)
        is_removed = usage.is_removed(instance, now)
        until = usage.granted(now).get(instance)
        verdicts = self._parts.health.verdicts(service)
        seen = [one._asdict() for one in verdicts if one.instance == instance]
        return {
            "service": service.name,
            "instance": instance,
            "seen_by": self._holdings.me.name,
            "takes_work": not is_removed and not is_leaving,
            "weight": self._parts.health.weight(service.name, instance),
            "ejected_for_s": None if until is None else round(until - now, 3),
            "drain": self._drain_word(service, instance),
            "leaving": is_leaving,
            "verdict": seen[0] if seen else None,
            "evidence": self._parts.health.explain(service.name, instance)._asdict(),
            "floor": self._service(service, now),
        }

    def _drain_word(self, service: Service, instance: str) -> str:
        if instance not in service.drains:
            return "none"
        is_drained = self._floor.is_drained(service.name, instance)
        return "in effect" if is_drained else "waits for the floor"
