"""Confirmation of a plan: a conditional write whose outcome is verified.

If the store's response is lost, the write may or may not have taken effect. Every
plan adds a unique mark to the value and keeps the earlier marks, so reading the
object back decides: a version above the base version carries the mark exactly if
this plan's write came first. A read that returns the base version or an older one
decides nothing, because reads may be stale; the write is then retried.
"""

from collections.abc import Callable

from ..catalog import is_removed
from ..errors import ErrorKind, RequestError, StoreConflict, StoreError
from ..logs import log_event
from ..reactor import Reactor
from ..replication import ConfigState
from ..store import Store, StoreObject
from .messages import Plan, Receipt

__all__ = ["Confirmation"]

MAX_WRITES = 4
RETRY_DELAY_S = 0.3

OnOutcome = Callable[[Receipt | None, RequestError | None], None]


class Confirmation:
    """Writes one plan; calls `on_outcome(receipt, exc)` exactly once."""

    def __init__(
        self,
        plan: Plan,
        store: Store,
        state: ConfigState,
        reactor: Reactor,
        on_outcome: OnOutcome,
    ) -> None:
        self._plan = plan
        self._mark = plan["value"]["marks"][-1]
        self._store = store
        self._state = state
        self._reactor = reactor
        self._on_outcome = on_outcome
        self._writes = 0
        self._may_have_applied = False
        self._write()

    def _write(self) -> None:
        plan = self._plan
        self._writes += 1
        self._store.put(
            plan["object_kind"],
            plan["object_name"],
            plan["value"],
            plan["base_version"],
            self._on_written,
        )

    def _on_written(self, version: int | None, exc: StoreError | None) -> None:
        if exc is None:
            self._accept(self._object(version, self._plan["value"]))
            return
        if isinstance(exc, StoreConflict):
            self._read_back()
            return
        if exc.maybe_applied:
            self._may_have_applied = True
            self._read_back()
            return
        if self._may_have_applied:
            self._retry_write(str(exc))
            return
        self._refuse(ErrorKind.STORE_UNAVAILABLE, str(exc))

    def _read_back(self) -> None:
        plan = self._plan
        self._store.get(plan["object_kind"], plan["object_name"], self._on_read)

    def _on_read(self, obj: StoreObject | None, exc: StoreError | None) -> None:
        if exc is not None:
            self._retry_write(str(exc))
            return
        if obj.version <= self._plan["base_version"]:
            self._retry_write("the store still shows the base version")
            return
        if self._mark in (obj.value or {}).get("marks", ()):
            self._accept(obj)
            return
        self._state.apply(obj)
        self._refuse(ErrorKind.CONFLICT, _conflict_text(self._plan, obj))

    def _retry_write(self, detail: str) -> None:
        """Retry the write, which is safe: it is conditional on the base version."""
        if self._writes < MAX_WRITES:
            self._reactor.call_later(RETRY_DELAY_S, self._write)
            return
        self._refuse(ErrorKind.NOT_CONFIRMED, detail)

    def _object(self, version: int, value: object) -> StoreObject:
        plan = self._plan
        return StoreObject(plan["object_kind"], plan["object_name"], version, value)

    def _accept(self, obj: StoreObject) -> None:
        self._state.apply(obj)
        plan = self._plan
        log_event(
            "intent-accepted",
            plan=plan["plan_id"],
            object=f"{obj.kind}/{obj.name}",
            version=obj.version,
            writes=self._writes,
        )
        receipt = Receipt(
            plan_id=plan["plan_id"],
            result="accepted",
            object_kind=obj.kind,
            object_name=obj.name,
            version=obj.version,
        )
        self._on_outcome(receipt, None)

    def _refuse(self, kind: ErrorKind, detail: str) -> None:
        log_event(
            "intent-refused",
            "WARNING",
            plan=self._plan["plan_id"],
            object=f"{self._plan['object_kind']}/{self._plan['object_name']}",
            kind=kind,
            detail=detail,
        )
        self._on_outcome(None, RequestError(kind, detail))


def _conflict_text(plan: Plan, obj: StoreObject) -> str:
    what = "was removed" if is_removed(obj.value) else "changed"
    return (
        f"{obj.kind} {obj.name} {what} at version {obj.version}; the plan was made "
        f"on version {plan['base_version']}; submit the intent again"
    )
