"""Operator views of a node: status, metrics and burn."""

from typing import TYPE_CHECKING, Any

from .control import ControlRequest, Route
from .misc import parse_address

if TYPE_CHECKING:
    from .node import Node

__all__ = ["NodeViews"]


class NodeViews:
    """Serves status, metrics and burn of a node."""

    def __init__(self, node: "Node") -> None:
        self._node = node

    def routes(self) -> list[Route]:
        """Return the node's own routes of the operator port."""
        return [
            Route("GET", "/metrics", self._view_metrics),
            Route("GET", "/status", self._view_status),
            Route("GET", "/burn", lambda req: self._node.burn.report()),
            *self._test_routes(),
        ]

    def _test_routes(self) -> list[Route]:
        """Return routes used only by tests; none unless a setting enables them."""
        if not self._node.settings.test_cuts:
            return []
        return [Route("PUT", "/test/cut", self._set_cut)]

    def _set_cut(self, req: ControlRequest) -> Any:
        """Cut off addresses: control calls to them time out."""
        addresses = frozenset(parse_address(text) for text in req.body["addresses"])
        self._node.client.cut_addresses = addresses
        return {"cut": len(addresses)}

    def _view_metrics(self, req: ControlRequest) -> str:
        node = self._node
        node.metrics.in_flight.set({}, node.frontend.in_flight)
        node.metrics.store_calls.set({}, node.store.calls_made)
        node.metrics.keys.set({}, node.keys.remembered)
        node.metrics.key_answer_bytes.set({}, node.keys.response_bytes)
        for status, count in node.keys.settlements.items():
            node.metrics.key_settlements.set({"word": status}, count)
        node.replication_report.update()
        return node.metrics.render()

    def _view_status(self, req: ControlRequest) -> Any:
        node = self._node
        return {
            "node": node.settings.node_name,
            "incarnation": node.incarnation,
            "zone": node.settings.node_zone,
            "leaving": node.is_stopping,
            "in_flight": node.frontend.in_flight,
            "connections": node.frontend.connections,
            "store_calls": node.store.calls_made,
            "control_bytes": node.client.bytes_sent + node.client.bytes_received,
            "control_calls": node.client.calls_made,
            "peer_calls": dict(node.peers.calls_by_area),
            "cut_off": node.membership.is_cut_off(),
            "config": node.replicator.status(),
            "members": node.gossip.status(),
            "limits": node.limits.view(),
            "services": {
                service.name: node.catalog.version(service.name)
                for service in node.catalog.services()
            },
        }
