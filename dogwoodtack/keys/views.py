"""The routes of the peer port for keys."""

from functools import partial

from ..control import ControlRequest, Route
from .table import KeyTable
from .wire import SETTLE_PATH, SettleReplyJson, reply_to_json, request_from_json

__all__ = ["key_routes"]


def key_routes(table: KeyTable) -> list[Route]:
    """Return the routes with which other entry hosts settle keys."""
    return [Route("POST", SETTLE_PATH, partial(_settle, table))]


def _settle(table: KeyTable, req: ControlRequest) -> SettleReplyJson:
    return reply_to_json(table.settle(request_from_json(req.body)))
