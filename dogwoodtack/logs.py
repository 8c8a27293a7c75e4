"""Structured logs: one line of key=value pairs for each event."""

import os
import select
import sys
from collections import deque
from typing import TextIO

from loguru import logger

__all__ = ["LineSink", "log_event", "set_up_logs"]

LINE_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {message}"
QUOTED_CHARS = set(' "=\\\t\r\n')
# Lines kept for a reader that is behind: some seconds at the rates of a busy host.
MAX_WAITING_LINES = 2000
# A pipe that is writable takes this many bytes without blocking (POSIX).
SAFE_WRITE_BYTES = select.PIPE_BUF


class LineSink:
    """Write lines to a descriptor without ever waiting for its reader.

    Lines wait in a bounded buffer while the reader is behind; what does not fit is
    counted, and the count is written once there is room again.
    """

    def __init__(self, fd: int, max_lines: int = MAX_WAITING_LINES) -> None:
        self._fd = fd
        self._max_lines = max_lines
        self._waiting: deque[bytes] = deque()
        self._rest = b""
        self._unsaid = 0
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)
        self.dropped = 0

    def __call__(self, text: str) -> None:
        """Take one line, and write what can be written now."""
        if len(self._waiting) >= self._max_lines:
            self.flush()
        if len(self._waiting) >= self._max_lines:
            self.dropped += 1
            self._unsaid += 1
            return
        if self._unsaid:
            note = format_event("log-lines-dropped", count=self._unsaid)
            self._waiting.append(note.encode() + b"\n")
            self._unsaid = 0
        self._waiting.append(text.encode("utf-8", "replace"))
        self.flush()

    def flush(self) -> None:
        """Write as much as the reader takes now."""
        while (self._rest or self._waiting) and self._is_writable():
            if not self._rest:
                self._rest = self._waiting.popleft()
            try:
                sent = os.write(self._fd, self._rest[:SAFE_WRITE_BYTES])
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; the host serves on, and counts.
                self.dropped += 1 + len(self._waiting)
                self._waiting.clear()
                self._rest = b""
                return
            self._rest = self._rest[sent:]

    def _is_writable(self) -> bool:
        return bool(self._poll.poll(0))


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


def set_up_logs(
    level: str, stream: TextIO | None = None, **context: object
) -> LineSink:
    """Send events of a level and above to a stream, without ever blocking on it.

    Args:
        level: the least severe level that is written, such as `INFO`.
        stream: where they go; standard error if it is None.
        context: fields that stand on every line, such as the node's name.

    Returns:
        the sink, which counts the lines that it had to drop.
    """
    fixed = "".join(f" {key}={quote_value(value)}" for key, value in context.items())
    line = LINE_FORMAT.replace(" {message}", fixed.replace("{", "{{") + " {message}")
    logger.remove()
    sink = LineSink((stream or sys.stderr).fileno())
    logger.add(sink, format=line, level=level, backtrace=False, diagnose=False)
    return sink
