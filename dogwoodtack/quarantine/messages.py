"""What hosts tell each other of requests that crash instances."""

from typing import Any, NamedTuple

__all__ = [
    "Crash",
    "CrashReport",
    "crash_record_from_json",
    "crash_record_to_json",
    "crash_reports_from_json",
    "crash_reports_to_json",
]


class Crash(NamedTuple):
    """The crash of one instance while a request was under way there.

    Attributes:
        instance_start: names the instance and its start.
        age_s: seconds since the crash.
        is_cleared: whether the same request has succeeded since.
    """

    instance_start: str
    age_s: float
    is_cleared: bool


class CrashReport(NamedTuple):
    """The crashes that a host knows of under one request.

    Attributes:
        digest: digest that repeats of the request share.
        has_succeeded: whether it is known to have succeeded before or since.
        crashes: the crashes.
    """

    digest: str
    has_succeeded: bool
    crashes: tuple[Crash, ...]


def crash_reports_to_json(reports: tuple[CrashReport, ...]) -> list[Any]:
    """Return reports as JSON arrays."""
    return [
        [
            report.digest,
            int(report.has_succeeded),
            [
                [crash.instance_start, round(crash.age_s, 3), int(crash.is_cleared)]
                for crash in report.crashes
            ],
        ]
        for report in reports
    ]


def crash_reports_from_json(rows: Any) -> tuple[CrashReport, ...]:
    """Return the reports in JSON arrays.

    Raises:
        LookupError, TypeError, ValueError: they lack members or have others.
    """
    return tuple(
        CrashReport(
            str(digest),
            bool(has_succeeded),
            tuple(
                Crash(str(start), float(age_s), bool(is_cleared))
                for start, age_s, is_cleared in crashes
            ),
        )
        for digest, has_succeeded, crashes in rows
    )


def crash_record_to_json(report: CrashReport, unix_s: float) -> dict[str, Any]:
    """Return a report as JSON fields that hold at any later time.

    Args:
        report: what is known now.
        unix_s: now, in Unix seconds.
    """
    return {"report": crash_reports_to_json((report,))[0], "written": round(unix_s, 3)}


def crash_record_from_json(fields: Any, unix_s: float) -> CrashReport:
    """Return the report in JSON fields, with ages as of now.

    Args:
        fields: what `crash_record_to_json` returned.
        unix_s: now, in Unix seconds, by the clock of any host.

    Raises:
        LookupError, TypeError, ValueError: they lack members or have others.
    """
    (report,) = crash_reports_from_json([fields["report"]])
    passed_s = max(0.0, unix_s - float(fields["written"]))
    crashes = tuple(
        crash._replace(age_s=crash.age_s + passed_s) for crash in report.crashes
    )
    return report._replace(crashes=crashes)
