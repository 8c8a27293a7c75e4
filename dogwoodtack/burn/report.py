"""Join the burn reports of several entry hosts, and print one."""

from .burn import burn_rate
from .messages import BurnPoint, BurnReport, BurnRow
from .series import Counted

__all__ = ["join_reports", "report_text"]

SECONDS_A_MINUTE = 60


def join_reports(reports: list[BurnReport]) -> BurnReport:
    """Return one report with the counts of all of them added up."""
    rows: dict[tuple[str, bool, int], BurnRow] = {}
    points: dict[tuple[str, bool, int], BurnPoint] = {}
    for report in reports:
        for row in report["rows"]:
            key = (row["service"], row["idempotent"], row["window_s"])
            rows[key] = _add_row(rows.get(key), row)
        for point in report["points"]:
            key = (point["service"], point["idempotent"], point["age_s"])
            points[key] = _add_point(points.get(key), point)
    return {
        "rows": [rows[key] for key in sorted(rows)],
        "points": [points[key] for key in sorted(points)],
    }


def _add_row(known: BurnRow | None, row: BurnRow) -> BurnRow:
    if known is None:
        return row
    total = known["total"] + row["total"]
    bad = known["bad"] + row["bad"]
    burn = burn_rate(Counted(total, bad), row["good_ratio"])
    return {**row, "total": total, "bad": bad, "burn": burn}


def _add_point(known: BurnPoint | None, point: BurnPoint) -> BurnPoint:
    if known is None:
        return point
    total = known["total"] + point["total"]
    return {**point, "total": total, "bad": known["bad"] + point["bad"]}


def report_text(report: BurnReport) -> str:
    """Return a report as a table for people."""
    head = ("SERVICE", "CLASS", "WINDOW", "REQUESTS", "BAD", "OBJECTIVE", "BURN")
    lines = [head]
    for row in report["rows"]:
        lines.append(
            (
                row["service"],
                "idempotent" if row["idempotent"] else "non-idempotent",
                f"{row['window_s'] // SECONDS_A_MINUTE}m",
                str(row["total"]),
                str(row["bad"]),
                f"{row['good_ratio']:.3%}",
                f"{row['burn']:.2f}",
            )
        )
    widths = [max(len(line[at]) for line in lines) for at in range(len(head))]
    texts = []
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths)]
        texts.append("  ".join(cells).rstrip())
    return "\n".join(texts)
