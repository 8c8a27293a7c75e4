"""The latest requests of this host, which operators can look up by id."""

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from ..control import ControlRequest, Route
from ..errors import ErrorKind, Outcome, RequestError
from ..health import SampleKind

__all__ = ["AttemptRecord", "RequestHistory", "RequestRecord"]

MAX_RECORDS = 5000


class AttemptRecord(NamedTuple):
    """One attempt of a request.

    Attributes:
        instance: name of the instance.
        kind: how the attempt ended.
        ms: milliseconds to the response's head or to the failure.
    """

    instance: str
    kind: SampleKind
    ms: float


class RequestRecord(NamedTuple):
    """The result of one request.

    Attributes:
        id: the X-Request-Id of its response.
        service: name of the service, empty if no route matched.
        method: HTTP method.
        reason: `served`, `replayed`, an error kind, or why the connection was cut.
        status: HTTP status, 0 if the connection was aborted.
        outcome: what the caller may conclude.
        ms: milliseconds from the request's head to its end.
        attempts: the attempts, in order.
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
    """Keep the records of the latest requests.

    Args:
        on_record: called with each record, for the metrics.
        max_records: how many are kept.
    """

    def __init__(
        self, on_record: Callable[[RequestRecord], None], max_records: int = MAX_RECORDS
    ) -> None:
        self._on_record = on_record
        self._max_records = max_records
        self._records: OrderedDict[str, RequestRecord] = OrderedDict()

    def add(self, record: RequestRecord) -> None:
        """Add a record; discard the oldest one beyond the limit."""
        self._on_record(record)
        self._records[record.id] = record
        if len(self._records) > self._max_records:
            self._records.popitem(last=False)

    def find(self, request_id: str) -> RequestRecord:
        """Return a request's record.

        Raises:
            RequestError: NOT_FOUND if this host has no record of it.
        """
        record = self._records.get(request_id)
        if record is None:
            raise RequestError(ErrorKind.NOT_FOUND, f"request {request_id[:100]}")
        return record

    def operator_routes(self) -> list[Route]:
        """Return the routes on the operator port."""
        return [Route("GET", "/explain/request/(?P<id>[^/]+)", self._view)]

    def _view(self, req: ControlRequest) -> object:
        record = self.find(req.params["id"])
        attempts = [attempt._asdict() for attempt in record.attempts]
        return {**record._asdict(), "attempts": attempts}
