"""Merges the burn reports of several entry hosts, and formats one."""

from .burn import burn_rate
from .messages import BurnPoint, BurnReport, BurnRow
from .series import RequestCounts

__all__ = ["format_report", "merge_reports"]

SECONDS_PER_MINUTE = 60


def merge_reports(reports: list[BurnReport]) -> BurnReport:
    """Return one report with the sums of the reports' counts."""
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


def _add_row(sums: BurnRow | None, row: BurnRow) -> BurnRow:
    if sums is None:
        return row
    total = sums["total"] + row["total"]
    bad = sums["bad"] + row["bad"]
    burn = burn_rate(RequestCounts(total, bad), row["good_ratio"])
    return {**row, "total": total, "bad": bad, "burn": burn}


def _add_point(sums: BurnPoint | None, point: BurnPoint) -> BurnPoint:
    if sums is None:
        return point
    total = sums["total"] + point["total"]
    return {**point, "total": total, "bad": sums["bad"] + point["bad"]}


def format_report(report: BurnReport) -> str:
    """Return the rows of a report as a text table."""
    header = ("SERVICE", "CLASS", "WINDOW", "REQUESTS", "BAD", "OBJECTIVE", "BURN")
    table = [header]
    for row in report["rows"]:
        table.append(
            (
                row["service"],
                "idempotent" if row["idempotent"] else "non-idempotent",
                f"{row['window_s'] // SECONDS_PER_MINUTE}m",
                str(row["total"]),
                str(row["bad"]),
                f"{row['good_ratio']:.3%}",
                f"{row['burn']:.2f}",
            )
        )
    widths = [
        max(len(cells[column]) for cells in table) for column in range(len(header))
    ]
    lines = []
    for cells in table:
        padded = [cell.ljust(width) for cell, width in zip(cells, widths)]
        lines.append("  ".join(padded).rstrip())
    return "\n".join(lines)
