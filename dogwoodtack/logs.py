"""Structured logs: one line of key=value pairs per event."""

import os
import select
import sys
import time
from collections import deque
from collections.abc import Callable
from typing import TextIO

from loguru import logger

__all__ = ["LimitedLog", "LineSink", "log_event", "log_failure", "set_up_logs"]

LINE_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {message}"
QUOTED_CHARS = set(' "=\\\t\r\n')
# An error may quote the whole of an odd value.
MAX_VALUE_CHARS = 2000
# Lines buffered for a slow reader: a few seconds of logs of a busy host.
MAX_BUFFERED_LINES = 2000
# A writable pipe accepts this many bytes without blocking (POSIX).
MAX_WRITE_BYTES = select.PIPE_BUF
LIMITED_INTERVAL_S = 1.0


class LineSink:
    """Writes lines to a descriptor without ever blocking on its reader.

    Lines are buffered while the reader is slow.  Lines that do not fit are dropped
    and counted, and the count is logged once there is room again.

    Attributes:
        dropped: number of lines dropped so far.
    """

    def __init__(self, fd: int, max_lines: int = MAX_BUFFERED_LINES) -> None:
        self._fd = fd
        self._max_lines = max_lines
        self._buffer: deque[bytes] = deque()
        self._partial_line = b""
        self._unreported_drops = 0
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)
        self.dropped = 0

    def __call__(self, text: str) -> None:
        """Add one line, and write what can be written now."""
        if len(self._buffer) >= self._max_lines:
            self.flush()
        if len(self._buffer) >= self._max_lines:
            self.dropped += 1
            self._unreported_drops += 1
            return
        if self._unreported_drops:
            report = format_event("log-lines-dropped", count=self._unreported_drops)
            self._buffer.append(report.encode() + b"\n")
            self._unreported_drops = 0
        self._buffer.append(text.encode("utf-8", "replace"))
        self.flush()

    def flush(self) -> None:
        """Write as much as the descriptor accepts now."""
        while (self._partial_line or self._buffer) and self._is_writable():
            if not self._partial_line:
                self._partial_line = self._buffer.popleft()
            try:
                sent = os.write(self._fd, self._partial_line[:MAX_WRITE_BYTES])
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone: drop and count lines, and keep serving.
                self.dropped += 1 + len(self._buffer)
                self._buffer.clear()
                self._partial_line = b""
                return
            self._partial_line = self._partial_line[sent:]

    def _is_writable(self) -> bool:
        return bool(self._poll.poll(0))


def quote_value(value: object) -> str:
    """Return a value as written to a log line, quoted if necessary."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if len(text) > MAX_VALUE_CHARS:
        text = text[:MAX_VALUE_CHARS] + "..."
    if text and not QUOTED_CHARS.intersection(text) and text.isprintable():
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = "".join(
        char if char.isprintable() else f"\\x{ord(char):02x}" for char in escaped
    )
    return f'"{escaped}"'


def format_event(event: str, **fields: object) -> str:
    """Return the log line of an event and its fields."""
    pairs = [f"event={quote_value(event)}"]
    pairs.extend(f"{key}={quote_value(value)}" for key, value in fields.items())
    return " ".join(pairs)


def log_event(event: str, level: str = "INFO", **fields: object) -> None:
    """Log an event."""
    logger.opt(depth=1).log(level, "{}", format_event(event, **fields))


def log_failure(event: str, exc: Exception, **fields: object) -> None:
    """Log an exception that nobody expected, with where it was raised."""
    log_event(
        event, level="ERROR", error=repr(exc), trace=_format_traceback(exc), **fields
    )


def _format_traceback(exc: Exception) -> str:
    frames = []
    tb = exc.__traceback__
    while tb is not None:
        code = tb.tb_frame.f_code
        frames.append(f"{os.path.basename(code.co_filename)}:{tb.tb_lineno}")
        tb = tb.tb_next
    return ">".join(frames)


class LimitedLog:
    """Logs one event in LIMITED_INTERVAL_S at most, for bad input that keeps coming.

    Args:
        monotonic: returns the time in seconds.
    """

    def __init__(self, monotonic: Callable[[], float] = time.monotonic) -> None:
        self._monotonic = monotonic
        self._logged_at = float("-inf")

    def warn(self, event: str, **fields: object) -> None:
        """Log a warning unless the last one was logged a moment ago."""
        now = self._monotonic()
        if now - self._logged_at >= LIMITED_INTERVAL_S:
            self._logged_at = now
            log_event(event, level="WARNING", **fields)


def set_up_logs(
    level: str, stream: TextIO | None = None, **context: object
) -> LineSink:
    """Write events of a level and above to a stream, without ever blocking on it.

    Args:
        level: the lowest level that is logged, such as `INFO`.
        stream: the output stream; standard error if None.
        context: fields added to every line, such as the node's name.

    Returns:
        the sink, which counts the lines that it drops.
    """
    fields = "".join(f" {key}={quote_value(value)}" for key, value in context.items())
    line = LINE_FORMAT.replace(" {message}", fields.replace("{", "{{") + " {message}")
    logger.remove()
    sink = LineSink((stream or sys.stderr).fileno())
    logger.add(sink, format=line, level=level, backtrace=False, diagnose=False)
    return sink
