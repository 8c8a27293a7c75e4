"""Explain from collected log lines why a request got its response."""

import re
from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["Explanation", "explain_request"]

FIELD_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
UNHEALTHY_THRESHOLD = 0.45

CAUSE_BY_REASON = {
    "cut-off": "The host had no configuration yet, or none recent enough; "
    "nothing was sent.",
    "overloaded": "No slot would have been free in time; nothing was sent.",
    "quarantined": "Instances had crashed under this request; nothing was sent.",
    "deadline-passed": "The deadline passed before an instance was free.",
    "unauthorized": "The key is not valid for this route; nothing was sent.",
    "bad-request": "The request is malformed; nothing was sent.",
    "no-route": "The configuration in force has no route for this host and path.",
    "backend-shed": "Every instance that was tried rejected the request unexecuted.",
    "backend-refused": "No instance could be reached; nothing was sent.",
    "host-exhausted": "The entry host could open no connection; nothing was sent.",
    "backend-cut": "The connection ended before a complete response; "
    "the request may have run.",
    "backend-malformed": "The bytes received were not a valid response to the request; "
    "it may have run.",
    "backend-timeout": "No complete response came in time; the request may have run.",
    "caller-gone": "The caller closed its connection.",
}
UNFINISHED = "No host has logged its end: the host was killed, or the line is lost."


class Explanation(NamedTuple):
    """A request's log lines and the explanation derived from them.

    Attributes:
        lines: every log line with the request's id, ordered by time.
        cause: a sentence on why the request ended as it did.
        tries: a sentence for each attempt, and for each time it was sent.
    """

    lines: list[str]
    cause: str
    tries: list[str]

    def text(self) -> str:
        """Return the explanation as text for an operator."""
        return "\n".join([*self.lines, f"cause: {self.cause}", *self.tries])


def explain_request(lines: Iterable[str], request_id: str) -> Explanation | None:
    """Explain a request from the logs of all hosts.

    Args:
        lines: log lines in any order.
        request_id: the request's id.

    Returns:
        The explanation, or None if no line has the id.
    """
    names = {f"id={request_id}", f"request={request_id}"}
    found = [line.rstrip() for line in lines if names.intersection(line.split())]
    if not found:
        return None
    found.sort(key=_timestamp_of)
    events = [
        {name: value.strip('"') for name, value in FIELD_PATTERN.findall(line)}
        for line in found
    ]
    ends = [fields for fields in events if fields.get("event") == "request"]
    sends = [
        _send_text(fields)
        for fields in events
        if fields.get("event") in ("request-sent", "request-resent")
    ]
    if not ends:
        return Explanation(found, UNFINISHED, sends)
    attempts = [text for text in ends[-1].get("tries", "").split("|") if text]
    return Explanation(
        found,
        _cause(ends[-1], attempts),
        [_attempt_text(attempt) for attempt in attempts] + sends,
    )


def _timestamp_of(line: str) -> str:
    timestamp = re.search(r"\d{4}-\d\d-\d\dT\S+", line)
    return timestamp.group() if timestamp else ""


def _cause(fields: dict[str, str], attempts: list[str]) -> str:
    reason = fields.get("reason", "")
    if reason != "served":
        cause = CAUSE_BY_REASON.get(reason, f"The host responded with {reason}.")
        detail = fields.get("detail")
        return f"{cause} ({detail})" if detail else cause
    if fields.get("status", "").startswith("5"):
        retry = "was retried" if len(attempts) > 1 else "was not retried"
        return f"The instance failed the request ({fields.get('kind')}); it {retry}."
    return "The request was served."


def _send_text(fields: dict[str, str]) -> str:
    text = (
        f"sent by {fields.get('node')} to {fields.get('target')} as attempt"
        f" {fields.get('attempt')}"
    )
    if fields.get("after"):
        text += f", as {fields['after']} ended with {fields.get('outcome')}"
    text += (
        f"; requests below {fields.get('prefix')} are {fields.get('kind')} in version"
        f" {fields.get('version')}"
    )
    if "connection" in fields:
        text += (
            f"; on connection {fields['connection']} to {fields.get('address')}, which"
            f" had carried {fields.get('carried')} requests"
        )
    return f"{text}, the last one {fields['last']}" if fields.get("last") else text


def _attempt_text(attempt: str) -> str:
    instance, probability, ending, ms = attempt.rsplit("/", 3)
    if probability == "-":
        return f"handed over to entry host {instance}: {ending} after {ms} ms"
    health = (
        "likely unhealthy"
        if float(probability) > UNHEALTHY_THRESHOLD
        else "likely healthy"
    )
    return (
        f"attempt at {instance}: {ending} after {ms} ms; then {health} ({probability})"
    )
