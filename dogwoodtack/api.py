"""Operators' client, as used by the command-line tool."""

import http.client
import json
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

from .burn import BurnReport, merge_reports
from .control import ACCESS_HEADER
from .errors import DogwoodtackError, ErrorKind
from .intents import Plan, Receipt
from .misc import Address

__all__ = ["ApiError", "OperatorApi", "Unreachable", "fetch_placement"]

DEFAULT_TIMEOUT_S = 30.0
HTTP_OK = 200


class ApiError(DogwoodtackError):
    """An entry host rejected a call.

    Attributes:
        kind: the error kind.
        text: a sentence for people.
        detail: what exactly was wrong.
    """

    def __init__(self, kind: ErrorKind, text: str, detail: str) -> None:
        super().__init__(f"{kind}: {detail or text}")
        self.kind = kind
        self.text = text
        self.detail = detail


class Unreachable(DogwoodtackError):
    """No entry host replied.

    Attributes:
        was_sent: whether the call may have reached an entry host.
    """

    def __init__(self, detail: str, was_sent: bool) -> None:
        super().__init__(detail)
        self.was_sent = was_sent


class FleetBurn(NamedTuple):
    """Burn report merged from several entry hosts.

    Attributes:
        report: the merged report.
        answered: number of entry hosts that replied.
        silent: addresses of those that did not.
    """

    report: BurnReport
    answered: int
    silent: list[str]


class _Attempt(NamedTuple):
    """Outcome of a call to one entry host.

    Attributes:
        status: HTTP status code, or 0 if there was no usable reply.
        body: decoded JSON of the reply.
        failure: why there was no usable reply.
        was_sent: whether the call may have reached the entry host.
    """

    status: int
    body: Any
    failure: str
    was_sent: bool


class OperatorApi:
    """Calls the operator port of the first entry host that replies.

    Args:
        addresses: operator addresses, tried in this order.
        access_key: the operators' access key.
        timeout_s: timeout for one entry host in seconds.
    """

    def __init__(
        self,
        addresses: list[Address],
        access_key: str,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        self._addresses = addresses
        self._access_key = access_key
        self._timeout_s = timeout_s

    def submit(self, intent: Any) -> Plan:
        """Return the plan for an intent, without applying it."""
        return self.call("POST", "/intents", intent)

    def confirm(self, plan: Plan) -> Receipt:
        """Apply a plan; retrying with the same plan is safe."""
        return self.call("POST", f"/plans/{quote(plan['plan_id'])}/confirm", plan)

    def status(self) -> Any:
        """Return the status of one entry host."""
        return self.call("GET", "/status")

    def explain_instance(self, service: str, instance: str) -> Any:
        """Return why an instance gets the requests it gets."""
        target = f"/explain/instance/{quote(service)}/{quote(instance)}"
        return self.call("GET", target)

    def explain_request(self, request_id: str) -> Any:
        """Return the record of a request from the first host that has one.

        Raises:
            ApiError: NOT_FOUND if no host that replied has a record of it.
            Unreachable: no entry host replied.
        """
        error: ApiError | None = None
        failures = []
        for address in self._addresses:
            target = f"/explain/request/{quote(request_id, safe='')}"
            attempt = self._attempt(address, "GET", target, None)
            if attempt.status == HTTP_OK:
                return attempt.body
            if attempt.status:
                error = _make_error(attempt)
            failures.append(f"{address}: {attempt.failure or attempt.status}")
        raise error or Unreachable("; ".join(failures), False)

    def burn(self) -> "FleetBurn":
        """Return the merged burn report of all entry hosts that reply.

        Raises:
            ApiError: an entry host rejected the call.
            Unreachable: no entry host replied.
        """
        reports: list[BurnReport] = []
        silent: list[str] = []
        for address in self._addresses:
            attempt = self._attempt(address, "GET", "/burn", None)
            if attempt.status == HTTP_OK:
                reports.append(attempt.body)
            elif attempt.status:
                raise _make_error(attempt)
            else:
                silent.append(str(address))
        if not reports:
            raise Unreachable("; ".join(silent) or "no operator address", False)
        return FleetBurn(merge_reports(reports), len(reports), silent)

    def call(self, method: str, target: str, body: Any = None) -> Any:
        """Return the JSON reply of the first entry host that replies.

        Raises:
            ApiError: the entry host rejected the call.
            Unreachable: no entry host replied.
        """
        failures = []
        was_sent = False
        for address in self._addresses:
            attempt = self._attempt(address, method, target, body)
            if attempt.status == HTTP_OK:
                return attempt.body
            if attempt.status:
                raise _make_error(attempt)
            was_sent = was_sent or attempt.was_sent
            failures.append(f"{address}: {attempt.failure}")
        raise Unreachable("; ".join(failures) or "no operator address", was_sent)

    def _attempt(
        self, address: Address, method: str, target: str, body: Any
    ) -> _Attempt:
        conn = http.client.HTTPConnection(*address, timeout=self._timeout_s)
        was_sent = False
        try:
            conn.connect()
            was_sent = True
            data = None if body is None else json.dumps(body).encode()
            conn.request(method, target, data, {ACCESS_HEADER: self._access_key})
            resp = conn.getresponse()
            return _Attempt(resp.status, json.loads(resp.read()), "", was_sent)
        except (OSError, http.client.HTTPException, ValueError) as exc:
            return _Attempt(0, None, str(exc) or type(exc).__name__, was_sent)
        finally:
            conn.close()


def fetch_placement(
    address: Address,
    method: str,
    host: str,
    target: str,
    organisation: str,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> Any:
    """Return where an entry host would send a request now; it is not sent.

    Args:
        address: the entry host's relay address, which asks for no key.
        method: the request's method.
        host: the host name in its URL.
        target: its path and query.
        organisation: name of the organisation that sends it, empty if none.
        timeout_s: seconds to wait for the entry host.

    Raises:
        ApiError: the entry host rejected the call.
        Unreachable: the entry host did not reply.
    """
    query = {"method": method, "host": host, "target": target}
    if organisation:
        query["organisation"] = organisation
    conn = http.client.HTTPConnection(*address, timeout=timeout_s)
    try:
        conn.request("GET", f"/place?{urlencode(query)}")
        resp = conn.getresponse()
        body = resp.read()
        if resp.status == HTTP_OK:
            reply = json.loads(body)
            if isinstance(reply, dict) and "outcome" in reply:
                return reply
            raise ValueError("the reply is none of an entry host's")
    except (OSError, http.client.HTTPException, ValueError) as exc:
        detail = str(exc) or type(exc).__name__
        raise Unreachable(f"{address}: {detail}", False) from exc
    finally:
        conn.close()
    raise ApiError(
        ErrorKind.NOT_FOUND if resp.status == 404 else ErrorKind.BAD_REQUEST,
        "the entry host can't tell",
        f"{address}: status {resp.status}",
    )


def _make_error(attempt: _Attempt) -> ApiError:
    body = attempt.body if isinstance(attempt.body, dict) else {}
    try:
        kind = ErrorKind(body.get("error", ""))
    except ValueError:
        kind = ErrorKind.INTERNAL
    text = body.get("text", f"status {attempt.status}")
    return ApiError(kind, text, body.get("detail", ""))
