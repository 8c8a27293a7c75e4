"""The latest requests of this host, so that an operator can ask about one."""

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from ..errors import ErrorKind, Outcome, RequestError
from ..health import SampleKind
from ..surface import Route, SurfaceRequest

__all__ = ["AttemptRecord", "RequestRecord", "RequestHistory"]

MAX_NOTES = 5000


class AttemptRecord(NamedTuple):
    """One attempt of a request.

    Attributes:
        instance: which instance was tried.
        kind: how the attempt ended.
        ms: milliseconds to the answer's head or to the failure.
    """

    instance: str
    kind: SampleKind
    ms: float


class RequestRecord(NamedTuple):
    """What became of one request.

    Attributes:
        id: the X-Request-Id of its answer.
        service: its service, empty where no route matched.
        method: HTTP method.
        reason: `served`, `replayed`, an error kind, or how it was cut.
        status: HTTP status, 0 where the connection was cut.
        outcome: what the caller may conclude.
        ms: milliseconds from the head to the end.
        attempts: what was tried, in order.
    """

    id: str
    service: str
    method: str
    reason: str
    status: int
    outcome: Outcome
    ms: float
    attempts: tuple[AttemptRecord, ...]


class RequestHistory:
    """Keep the notes of the latest requests.

    Args:
        on_note: is told of each note, for counting.
        max_notes: how many are kept.
    """

    def __init__(
        self, on_note: Callable[[RequestRecord], None], max_notes: int = MAX_NOTES
    ) -> None:
        self._on_note = on_note
        self._max_notes = max_notes
        self._notes: OrderedDict[str, RequestRecord] = OrderedDict()

    def add(self, note: RequestRecord) -> None:
        """Keep a note, and forget the oldest where there are too many."""
        self._on_note(note)
        self._notes[note.id] = note
        if len(self._notes) > self._max_notes:
            self._notes.popitem(last=False)

    def find(self, request_id: str) -> RequestRecord:
        """Return a request's note.

        Raises:
            RequestError: NOT_FOUND where this host does not remember it.
        """
        note = self._notes.get(request_id)
        if note is None:
            raise RequestError(ErrorKind.NOT_FOUND, f"request {request_id[:100]}")
        return note

    def operator_routes(self) -> list[Route]:
        """Return what the operator port answers for this slice."""
        return [Route("GET", "/explain/request/(?P<id>[^/]+)", self._view)]

    def _view(self, req: SurfaceRequest) -> object:
        note = self.find(req.params["id"])
        attempts = [attempt._asdict() for attempt in note.attempts]
        return {**note._asdict(), "attempts": attempts}
