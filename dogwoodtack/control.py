"""Control servers: JSON over HTTP by circuits.web, guarded by an access key."""

import json
import re
from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, unquote

from circuits import BaseComponent, handler
from circuits.net.sockets import TCPServer
from circuits.web.events import response
from circuits.web.http import HTTP

from .errors import ErrorKind, RequestError, answer_for
from .jsontext import parse_json
from .logs import log_event
from .misc import Address, secrets_match

__all__ = [
    "ACCESS_HEADER",
    "ControlRequest",
    "ControlServer",
    "DeferredReply",
    "Responder",
    "Route",
]

ACCESS_HEADER = "X-Dogwoodtack-Access"
JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; charset=utf-8"


class ControlRequest(NamedTuple):
    """Request to a control server.

    Attributes:
        method: HTTP method.
        path: path without the query.
        params: named groups of the route's pattern, unquoted.
        query: query parameters; the last value of each name.
        body: decoded JSON, or None if the body was empty.
    """

    method: str
    path: str
    params: dict[str, str]
    query: dict[str, str]
    body: Any


class DeferredReply:
    """Returned by a view that sends its reply later, through its Responder."""

    def __init__(self, start: Callable[["Responder"], None]) -> None:
        self.start = start


class Route(NamedTuple):
    """Method, path pattern and view of a control endpoint.

    Attributes:
        method: HTTP method.
        pattern: a regular expression that must match the full path.
        view: gets a ControlRequest; returns a JSON-serializable object, a str
            for plain text, or a DeferredReply; raises RequestError to reject
            the request.
        is_open: whether it is served without the access key.
    """

    method: str
    pattern: str
    view: Callable[[ControlRequest], Any]
    is_open: bool = False


class Responder:
    """Reply to one request; only the first reply is sent."""

    def __init__(self, server: "ControlServer", req: Any, res: Any) -> None:
        self._server = server
        self._req = req
        self._res = res
        self._is_sent = False

    def send(self, body: Any, status: int = 200) -> None:
        """Reply with an object as JSON, or with a str as plain text."""
        if self._is_sent:
            return
        self._is_sent = True
        is_text = isinstance(body, str)
        self._res.status = status
        self._res.headers["Content-Type"] = TEXT_TYPE if is_text else JSON_TYPE
        self._res.body = body if is_text else json.dumps(body)
        self._server.fire(response(self._res), self._server.channel)

    def reject(self, exc: RequestError) -> None:
        """Reply with the status and texts of an error kind."""
        answer = answer_for(exc.kind)
        if answer.retry_after_s is not None:
            self._res.headers["Retry-After"] = str(answer.retry_after_s)
        self.send(
            {"error": str(exc.kind), "text": answer.text, "detail": exc.detail},
            answer.status,
        )


class ControlServer(BaseComponent):
    """Serve control routes on one port.

    circuits.web reads the attributes host, port, secure, server and http.
    """

    def __init__(
        self, name: str, address: Address, access_key: str, routes: list[Route]
    ) -> None:
        super().__init__(channel=name)
        self._access_key = access_key
        self._routes = [
            (route.method, re.compile(route.pattern), route) for route in routes
        ]
        self.host, self.port = address
        self.secure = False
        self.server = TCPServer(address, channel=name).register(self)
        self.http = HTTP(self, channel=name).register(self)

    @handler("request", priority=0.1)
    def _on_request(self, event: Any, req: Any, res: Any) -> bool:
        event.stop()
        responder = Responder(self, req, res)
        try:
            self._handle(req, responder)
        except RequestError as exc:
            responder.reject(exc)
        except Exception as exc:
            log_event("view-failed", level="ERROR", path=req.path, error=repr(exc))
            responder.reject(RequestError(ErrorKind.INTERNAL, repr(exc)))
        return True

    def _handle(self, req: Any, responder: Responder) -> None:
        path = "/" + req.path.lstrip("/")
        route, params = self._find_route(req.method, path)
        access_key = req.headers.get(ACCESS_HEADER) or ""
        if not route.is_open and not secrets_match(access_key, self._access_key):
            raise RequestError(ErrorKind.UNAUTHORIZED)
        query = dict(parse_qsl(req.qs or "", keep_blank_values=True))
        view_req = ControlRequest(req.method, path, params, query, _decode_body(req))
        result = route.view(view_req)
        if isinstance(result, DeferredReply):
            result.start(responder)
        else:
            responder.send(result)

    def _find_route(self, method: str, path: str) -> tuple[Route, dict[str, str]]:
        for route_method, pattern, route in self._routes:
            match = pattern.fullmatch(path)
            if match and route_method == method:
                groups = match.groupdict()
                return route, {key: unquote(value) for key, value in groups.items()}
        raise RequestError(ErrorKind.NOT_FOUND, f"{method} {path}")


def _decode_body(req: Any) -> Any:
    data = req.body.read()
    if not data:
        return None
    try:
        return parse_json(data)
    except ValueError as exc:
        raise RequestError(ErrorKind.BAD_REQUEST, f"body is not JSON: {exc}") from exc
