"""Check a recorded run against what callers may conclude from the responses.

A request is one operation, such as one batch release.  A caller sends it in one or more
copies under one key.  The back ends' journals record what was executed, and the entry
hosts' logs record the outcomes that they sent.
"""

import enum
import re
from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

__all__ = [
    "Execution",
    "Finding",
    "FindingKind",
    "History",
    "LoggedOutcome",
    "CopyResult",
    "check",
    "read_executions",
    "read_logged_outcomes",
]

RAN = "ran"
NOT_RUN = "not-run"
SERVER_ERROR = 500
LOG_PATTERN = re.compile(r"event=request id=(\w+) .*?outcome=([\w-]+)")


class FindingKind(enum.StrEnum):
    """Kinds of contradictions in a history."""

    EXECUTED_TWICE = "executed-twice"
    NOT_RUN_BUT_EXECUTED = "not-run-but-executed"
    RAN_BUT_NEVER_EXECUTED = "ran-but-never-executed"
    WRONG_ANSWER = "wrong-answer"
    LOG_DISAGREES = "log-disagrees"


class Finding(NamedTuple):
    """One contradiction that was found in a history."""

    kind: FindingKind
    request: str
    detail: str


class CopyResult(NamedTuple):
    """One copy of a request and the response that its caller received.

    Attributes:
        request: request target, unique to the request.
        key: idempotency key.
        host: entry host to which the copy was sent.
        began_at: CLOCK_BOOTTIME seconds when the copy was sent.
        ended_at: CLOCK_BOOTTIME seconds when the response was complete or the copy
            was abandoned.
        status: HTTP status; 0 without a complete response.
        outcome: outcome header of the response; empty without a complete response.
        answer_id: request id header of the response.
        echo: target that the back end's response repeats; empty without one.
    """

    request: str
    key: str
    host: str
    began_at: float
    ended_at: float
    status: int = 0
    outcome: str = ""
    answer_id: str = ""
    echo: str = ""


class Execution(NamedTuple):
    """One line of a back end's journal."""

    request: str
    key: str
    at: float
    backend: str
    attempt_id: str


class LoggedOutcome(NamedTuple):
    """The outcome that an entry host logged for one copy."""

    answer_id: str
    outcome: str


class History(NamedTuple):
    """All records of one run."""

    results: list[CopyResult]
    executions: list[Execution]
    logged: list[LoggedOutcome]


def read_executions(journal: Iterable[dict[str, Any]]) -> list[Execution]:
    """Return the executions with a key from a back end's journal."""
    return [
        Execution(
            line["target"], line["key"], line["at"], line["backend"], line["request"]
        )
        for line in journal
        if line["key"]
    ]


def read_logged_outcomes(text: str) -> list[LoggedOutcome]:
    """Return the logged outcomes from an entry host's log."""
    return [LoggedOutcome(*match.groups()) for match in LOG_PATTERN.finditer(text)]


def check(history: History) -> list[Finding]:
    """Return all contradictions in a history."""
    results: dict[str, list[CopyResult]] = defaultdict(list)
    executions: dict[str, list[Execution]] = defaultdict(list)
    for copy in history.results:
        results[copy.request].append(copy)
    for execution in history.executions:
        executions[execution.request].append(execution)
    findings = [*_find_double_executions(history), *_find_log_disagreements(history)]
    for request, copies in results.items():
        findings.extend(_find_false_not_run(copies, executions[request]))
        findings.extend(_find_false_ran(copies, executions[request]))
        findings.extend(_find_wrong_answers(copies))
    return findings


def _find_double_executions(history: History) -> Iterator[Finding]:
    by_key: dict[str, list[Execution]] = defaultdict(list)
    for execution in history.executions:
        by_key[execution.key].append(execution)
    for key, executions in by_key.items():
        if len(executions) > 1:
            where = ", ".join(f"{one.backend} {one.attempt_id}" for one in executions)
            yield Finding(
                FindingKind.EXECUTED_TWICE, executions[0].request, f"{key}: {where}"
            )


def _find_false_not_run(
    copies: list[CopyResult], executions: list[Execution]
) -> Iterator[Finding]:
    for copy in copies:
        if copy.outcome != NOT_RUN:
            continue
        for execution in executions:
            fault = _explain_false_not_run(copy, execution, copies)
            if fault:
                detail = f"{copy.host} {copy.answer_id}: {fault}"
                yield Finding(FindingKind.NOT_RUN_BUT_EXECUTED, copy.request, detail)


def _explain_false_not_run(
    copy: CopyResult, execution: Execution, copies: list[CopyResult]
) -> str:
    """Return why the outcome not-run of a copy is false, or an empty string.

    A later retry may have been executed, because its caller asked for that, and so may
    a copy whose caller was still waiting.  A copy that its caller had closed may not.
    """
    if execution.attempt_id.startswith(copy.answer_id + "-"):
        return "this copy was executed"
    if execution.at < copy.began_at:
        return "the request had been executed before"
    others = [
        other
        for other in copies
        if other.outcome != NOT_RUN
        and other.began_at <= execution.at
        and other.ended_at > copy.began_at
    ]
    return (
        ""
        if others
        else "a copy was executed after its caller had closed the connection"
    )


def _find_false_ran(
    copies: list[CopyResult], executions: list[Execution]
) -> Iterator[Finding]:
    """Find copies with outcome ran and no execution.

    A server error from the back end itself does not prove an execution.
    """
    for copy in copies:
        is_good = copy.outcome == RAN and copy.status < SERVER_ERROR
        if is_good and not any(one.at <= copy.ended_at for one in executions):
            detail = f"{copy.host} {copy.answer_id}"
            yield Finding(FindingKind.RAN_BUT_NEVER_EXECUTED, copy.request, detail)


def _find_wrong_answers(copies: list[CopyResult]) -> Iterator[Finding]:
    for copy in copies:
        if copy.echo and copy.echo != copy.request:
            detail = f"{copy.host} {copy.answer_id}: got the response for {copy.echo}"
            yield Finding(FindingKind.WRONG_ANSWER, copy.request, detail)


def _find_log_disagreements(history: History) -> Iterator[Finding]:
    logged = {entry.answer_id: entry.outcome for entry in history.logged}
    for copy in history.results:
        logged_outcome = logged.get(copy.answer_id, copy.outcome)
        if copy.outcome and logged_outcome != copy.outcome:
            detail = f"{copy.host} sent {copy.outcome} and logged {logged_outcome}"
            yield Finding(FindingKind.LOG_DISAGREES, copy.request, detail)
