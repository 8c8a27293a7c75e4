"""Write docs/operations/reference.md: every setting, metric, log event and error.

The page is generated from the code; a test checks that it is up to date.
"""

import ast
from pathlib import Path
from typing import NamedTuple

from absl import app

from dogwoodtack.errors import ErrorKind, answer_for
from dogwoodtack.settings import SETTINGS

__all__ = ["PAGE", "reference_text"]

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "operations" / "reference.md"
PACKAGE = ROOT / "dogwoodtack"
METRIC_TYPES = ("Counter", "Gauge", "Histogram", "Summary")
# Calls that log an event, and their levels where they name none.
LOG_CALLS = {"log_event": "INFO", "log_failure": "ERROR", "warn": "WARNING"}
# Fields that a call logs besides those that it is given.
IMPLIED_FIELDS = {"log_failure": ["error", "trace"]}


class Event(NamedTuple):
    """One kind of log line.

    Attributes:
        name: value of `event`; alternatives are joined by " or ".
        level: log level; alternatives are joined, empty if it is not a literal.
        fields: keys of the log line.
        module: module that logs it.
    """

    name: str
    level: str
    fields: str
    module: str


class Metric(NamedTuple):
    """The declaration of one metric."""

    name: str
    kind: str
    text: str


def _sources() -> list[Path]:
    return [path for path in sorted(PACKAGE.rglob("*.py")) if "tests" not in path.parts]


def _find_calls(path: Path) -> list[ast.Call]:
    tree = ast.parse(path.read_text())
    return [node for node in ast.walk(tree) if isinstance(node, ast.Call)]


def _callee_name(call: ast.Call) -> str:
    func = call.func
    return func.id if isinstance(func, ast.Name) else getattr(func, "attr", "")


def _strings(node: ast.expr) -> list[str]:
    """Return the strings that an expression can yield, with `*` for variable parts."""
    if isinstance(node, ast.Constant):
        return [str(node.value)]
    if isinstance(node, ast.IfExp):
        return _strings(node.body) + _strings(node.orelse)
    if isinstance(node, ast.JoinedStr):
        parts = [
            str(part.value) if isinstance(part, ast.Constant) else "*"
            for part in node.values
        ]
        return ["".join(parts)]
    return []


def _event(call: ast.Call, path: Path) -> Event | None:
    names = _strings(call.args[0])
    if not names:
        return None
    callee = _callee_name(call)
    level = LOG_CALLS[callee]
    level_nodes = call.args[1:2] or [
        keyword.value for keyword in call.keywords if keyword.arg == "level"
    ]
    if level_nodes and callee not in IMPLIED_FIELDS:
        level = " or ".join(_strings(level_nodes[0]))
    fields = IMPLIED_FIELDS.get(callee, []) + [
        keyword.arg if keyword.arg else "..."
        for keyword in call.keywords
        if keyword.arg != "level"
    ]
    module = str(path.relative_to(ROOT).with_suffix("")).replace("/", ".")
    return Event(" or ".join(names), level, ", ".join(fields), module)


def events() -> list[Event]:
    """Return every kind of log line in the package."""
    found = {
        event
        for path in _sources()
        for call in _find_calls(path)
        if _callee_name(call) in LOG_CALLS and call.args
        for event in [_event(call, path)]
        if event is not None
    }
    return sorted(found)


def metrics() -> list[Metric]:
    """Return every metric in the package."""
    found = []
    for path in _sources():
        for call in _find_calls(path):
            kind = _callee_name(call)
            if kind in METRIC_TYPES and len(call.args) >= 2:
                name, text = _strings(call.args[0]), _strings(call.args[1])
                if name and text:
                    found.append(Metric(name[0], kind.lower(), text[0]))
    return sorted(found)


def reference_text() -> str:
    """Return the text of the page."""
    lines = ["# Reference", "", "Made by `python -m lab.reference`.", ""]
    lines += ["## Settings", "", "| section | key | default | allowed |"]
    lines.append("| --- | --- | --- | --- |")
    for one in SETTINGS:
        default = "required" if one.default is None else f"`{one.default}`"
        lines.append(f"| {one.section} | {one.key} | {default} | {one.allowed} |")
    lines += ["", "## Metrics", "", "| name | type | meaning |", "| --- | --- | --- |"]
    for metric in metrics():
        lines.append(f"| {metric.name} | {metric.kind} | {metric.text} |")
    lines += ["", "## Log events", "", "| event | level | fields | module |"]
    lines.append("| --- | --- | --- | --- |")
    for event in events():
        lines.append(
            f"| {event.name} | {event.level} | {event.fields} | {event.module} |"
        )
    lines += ["", "## Error kinds", "", "| kind | status | outcome | Retry-After | |"]
    lines.append("| --- | --- | --- | --- | --- |")
    for kind in ErrorKind:
        answer = answer_for(kind)
        after = "" if answer.retry_after_s is None else f"{answer.retry_after_s} s"
        lines.append(
            f"| {kind} | {answer.status} | {answer.outcome} | {after} | {answer.text} |"
        )
    return "\n".join(lines) + "\n"


def main(argv: list[str]) -> int:
    """Write the page."""
    PAGE.write_text(reference_text())
    print(f"{PAGE.relative_to(ROOT)}: {len(events())} events, {len(metrics())} metrics")
    return 0


if __name__ == "__main__":
    app.run(main)
