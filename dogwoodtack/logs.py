"""Structured logs: one line of key=value pairs for each event."""

import sys
from typing import TextIO

from loguru import logger

__all__ = ["log_event", "set_up_logs"]

LINE_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {message}"
QUOTED_CHARS = set(' "=\\\t\r\n')


def quote_value(value: object) -> str:
    """Return a value as it stands in a log line, quoted where it must be."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and not QUOTED_CHARS.intersection(text) and text.isprintable():
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = "".join(
        char if char.isprintable() else f"\\x{ord(char):02x}" for char in escaped
    )
    return f'"{escaped}"'


def format_event(event: str, **fields: object) -> str:
    """Return one log line for an event and its fields."""
    pairs = [f"event={quote_value(event)}"]
    pairs.extend(f"{key}={quote_value(value)}" for key, value in fields.items())
    return " ".join(pairs)


def log_event(event: str, level: str = "INFO", **fields: object) -> None:
    """Write one event to the log."""
    logger.opt(depth=1).log(level, "{}", format_event(event, **fields))


def set_up_logs(level: str, stream: TextIO | None = None, **context: object) -> None:
    """Send events of a level and above to a stream.

    Args:
        level: the least severe level that is written, such as `INFO`.
        stream: where they go; standard error if it is None.
        context: fields that stand on every line, such as the node's name.
    """
    fixed = "".join(f" {key}={quote_value(value)}" for key, value in context.items())
    line = LINE_FORMAT.replace(" {message}", fixed.replace("{", "{{") + " {message}")
    logger.remove()
    sink = stream or sys.stderr
    logger.add(sink, format=line, level=level, backtrace=False, diagnose=False)
