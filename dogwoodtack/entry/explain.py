"""Say from collected log lines why a request got its answer."""

import re
from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["Explanation", "explain_request"]

PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
LIKELY_SICK = 0.45

CAUSES = {
    "cut-off": "The host knew no configuration yet; nothing was sent.",
    "overloaded": "No slot would be free in time; nothing was sent.",
    "deadline-passed": "Its time was over before an instance was free.",
    "no-route": "The configuration in force has no such host and path.",
    "backend-shed": "Every instance that was tried turned it away unexecuted.",
    "backend-refused": "No instance could be reached; nothing was sent.",
    "backend-cut": "The connection ended before a whole answer; it may have run.",
    "backend-malformed": "What came was no answer to it; it may have run.",
    "backend-timeout": "No whole answer came in time; it may have run.",
    "caller-gone": "The caller closed its connection.",
}


class Explanation(NamedTuple):
    """A request's lines and what they say.

    Attributes:
        lines: every line with the request's id, in order of time.
        cause: a sentence.
        tries: a sentence for each attempt.
    """

    lines: list[str]
    cause: str
    tries: list[str]

    def text(self) -> str:
        """Return it for a person."""
        return "\n".join([*self.lines, f"cause: {self.cause}", *self.tries])


def explain_request(lines: Iterable[str], request_id: str) -> Explanation | None:
    """Return what the logs of all hosts say of a request, None for nothing."""
    found = [line.rstrip() for line in lines if f"id={request_id}" in line.split()]
    if not found:
        return None
    found.sort(key=_time_of)
    fields = {name: value.strip('"') for name, value in PAIR.findall(found[-1])}
    tries = [text for text in fields.get("tries", "").split("|") if text]
    return Explanation(found, _cause(fields, tries), [_try_text(one) for one in tries])


def _time_of(line: str) -> str:
    stamp = re.search(r"\d{4}-\d\d-\d\dT\S+", line)
    return stamp.group() if stamp else ""


def _cause(fields: dict[str, str], tries: list[str]) -> str:
    reason = fields.get("reason", "")
    if reason != "served":
        cause = CAUSES.get(reason, f"The host answered {reason}.")
        detail = fields.get("detail")
        return f"{cause} ({detail})" if detail else cause
    if fields.get("status", "").startswith("5"):
        again = "was sent again" if len(tries) > 1 else "was not sent again"
        return f"Its instance failed it; a {fields.get('kind')} request, it {again}."
    return "It was served."


def _try_text(one: str) -> str:
    instance, sick, ending, ms = one.rsplit("/", 3)
    belief = "likely sick" if float(sick) > LIKELY_SICK else "likely sound"
    return f"try at {instance}: {ending} after {ms} ms; after it {belief} ({sick})"
