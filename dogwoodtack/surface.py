"""Control surfaces: JSON over HTTP by circuits.web, guarded by an access key."""

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
from .logs import log_event
from .misc import Address, same_secret

__all__ = ["ACCESS_HEADER", "Later", "Responder", "Route", "Surface", "SurfaceRequest"]

ACCESS_HEADER = "X-Dogwoodtack-Access"
JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; charset=utf-8"


class SurfaceRequest(NamedTuple):
    """One request to a control surface.

    Attributes:
        method: HTTP method.
        path: path without the query.
        params: what the route's pattern matched, by name.
        query: the query's last value of each name.
        body: decoded JSON, None where there was none.
    """

    method: str
    path: str
    params: dict[str, str]
    query: dict[str, str]
    body: Any


class Later:
    """Returned by a view whose answer comes later, through its Responder."""

    def __init__(self, start: Callable[["Responder"], None]) -> None:
        self.start = start


class Route(NamedTuple):
    """A view and the method and path pattern it answers.

    Attributes:
        method: HTTP method.
        pattern: a regular expression for the whole path.
        view: gets a SurfaceRequest; returns a JSON-able object, a str for plain
            text, or a Later; raises RequestError for a refusal.
        is_open: whether it answers without the access key.
    """

    method: str
    pattern: str
    view: Callable[[SurfaceRequest], Any]
    is_open: bool = False


class Responder:
    """Answer one request, once."""

    def __init__(self, surface: "Surface", req: Any, res: Any) -> None:
        self._surface = surface
        self._req = req
        self._res = res
        self._done = False

    def send(self, body: Any, status: int = 200) -> None:
        """Answer with an object as JSON, or with a str as plain text."""
        if self._done:
            return
        self._done = True
        is_text = isinstance(body, str)
        self._res.status = status
        self._res.headers["Content-Type"] = TEXT_TYPE if is_text else JSON_TYPE
        self._res.body = body if is_text else json.dumps(body)
        self._surface.fire(response(self._res), self._surface.channel)

    def refuse(self, exc: RequestError) -> None:
        """Answer with an error kind."""
        answer = answer_for(exc.kind)
        if answer.retry_after_s is not None:
            self._res.headers["Retry-After"] = str(answer.retry_after_s)
        self.send(
            {"error": str(exc.kind), "text": answer.text, "detail": exc.detail},
            answer.status,
        )


class Surface(BaseComponent):
    """Serve one port of control routes."""

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
            self._answer(req, responder)
        except RequestError as exc:
            responder.refuse(exc)
        except Exception as exc:
            log_event("view-failed", level="ERROR", path=req.path, error=repr(exc))
            responder.refuse(RequestError(ErrorKind.INTERNAL, repr(exc)))
        return True

    def _answer(self, req: Any, responder: Responder) -> None:
        path = "/" + req.path.lstrip("/")
        route, params = self._find(req.method, path)
        given = req.headers.get(ACCESS_HEADER) or ""
        if not route.is_open and not same_secret(given, self._access_key):
            raise RequestError(ErrorKind.UNAUTHORIZED)
        query = dict(parse_qsl(req.qs or "", keep_blank_values=True))
        view_req = SurfaceRequest(req.method, path, params, query, _decode(req))
        result = route.view(view_req)
        if isinstance(result, Later):
            result.start(responder)
        else:
            responder.send(result)

    def _find(self, method: str, path: str) -> tuple[Route, dict[str, str]]:
        for known_method, pattern, route in self._routes:
            match = pattern.fullmatch(path)
            if match and known_method == method:
                named = match.groupdict()
                return route, {key: unquote(value) for key, value in named.items()}
        raise RequestError(ErrorKind.NOT_FOUND, f"{method} {path}")


def _decode(req: Any) -> Any:
    data = req.body.read()
    if not data:
        return None
    try:
        return json.loads(data)
    except ValueError as exc:
        raise RequestError(ErrorKind.BAD_REQUEST, f"body is not JSON: {exc}") from exc
