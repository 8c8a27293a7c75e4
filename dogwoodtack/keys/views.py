"""What the peer port answers about keys."""

from functools import partial

from ..surface import Route, SurfaceRequest
from .table import KeyTable
from .wire import SETTLE_PATH, ReplyForm, parse_ask, reply_form

__all__ = ["key_routes"]


def key_routes(table: KeyTable) -> list[Route]:
    """Return the routes by which other entry hosts settle keys."""
    return [Route("POST", SETTLE_PATH, partial(_settle, table))]


def _settle(table: KeyTable, req: SurfaceRequest) -> ReplyForm:
    return reply_form(table.settle(parse_ask(req.body)))
