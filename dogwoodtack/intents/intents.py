"""The operators' HTTP interface for intents, plans and confirmations."""

from typing import Any

from ..control import ControlRequest, DeferredReply, Responder, Route
from ..errors import RequestError
from ..membership import Membership
from ..reactor import Reactor
from ..replication import ConfigState
from ..store import Store
from .confirm import Confirmation
from .draft import FleetView
from .messages import Plan, Receipt
from .plans import make_plan, verify_plan

__all__ = ["Intents"]


class Intents:
    """Responds to intents with plans, and writes confirmed plans to the store."""

    def __init__(
        self,
        reactor: Reactor,
        store: Store,
        state: ConfigState,
        membership: Membership,
        access_key: str,
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._state = state
        self._view = FleetView(state, membership)
        self._access_key = access_key

    def operator_routes(self) -> list[Route]:
        """Return the routes of the operator port."""
        confirm = "/plans/(?P<plan_id>[0-9a-f]+)/confirm"
        return [
            Route("POST", "/intents", self._view_submit),
            Route("POST", confirm, self._view_confirm),
        ]

    def _view_submit(self, req: ControlRequest) -> Plan:
        return make_plan(req.body, self._view, self._access_key)

    def _view_confirm(self, req: ControlRequest) -> Any:
        plan = verify_plan(req.body, req.params["plan_id"], self._access_key)
        return DeferredReply(lambda responder: self._confirm(plan, responder))

    def _confirm(self, plan: Plan, responder: Responder) -> None:
        def on_outcome(receipt: Receipt | None, exc: RequestError | None) -> None:
            if exc is not None:
                responder.reject(exc)
                return
            responder.send(receipt)

        Confirmation(plan, self._store, self._state, self._reactor, on_outcome)
