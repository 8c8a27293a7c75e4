"""Plots a burn report over time; needs the `plots` extra."""

from typing import Any

from ..errors import DogwoodtackError
from .burn import burn_rate
from .messages import BurnPoint, BurnReport, SeriesKey
from .series import RequestCounts

__all__ = ["PlotUnavailable", "draw_report"]

SECONDS_PER_MINUTE = 60
FIGURE_INCHES = (8.0, 4.0)
DOTS_PER_INCH = 80


class PlotUnavailable(DogwoodtackError):
    """The plotting library is not installed."""


def _figure() -> Any:
    try:
        from matplotlib.figure import Figure
    except ImportError as exc:
        raise PlotUnavailable(
            "a plot needs matplotlib: pip install 'dogwoodtack[plots]'"
        ) from exc
    return Figure(figsize=FIGURE_INCHES, dpi=DOTS_PER_INCH, layout="constrained")


def _points_by_key(points: list[BurnPoint]) -> dict[SeriesKey, list[BurnPoint]]:
    by_key: dict[SeriesKey, list[BurnPoint]] = {}
    for point in points:
        key = SeriesKey(point["service"], point["idempotent"])
        by_key.setdefault(key, []).append(point)
    return by_key


def draw_report(report: BurnReport, path: str) -> None:
    """Plot the burn rate of each series over the last hour into an image file.

    Raises:
        PlotUnavailable: matplotlib is not installed.
        OSError: the file cannot be written.
    """
    ratios = {
        SeriesKey(row["service"], row["idempotent"]): row["good_ratio"]
        for row in report["rows"]
    }
    figure = _figure()
    axes = figure.add_subplot()
    for key, points in sorted(_points_by_key(report["points"]).items()):
        points = sorted(points, key=lambda point: -point["age_s"])
        minutes = [-point["age_s"] / SECONDS_PER_MINUTE for point in points]
        rates = [
            burn_rate(RequestCounts(point["total"], point["bad"]), ratios[key])
            for point in points
        ]
        kind = "idempotent" if key.is_idempotent else "non-idempotent"
        axes.plot(minutes, rates, marker=".", label=f"{key.service}, {kind}")
    axes.axhline(1.0, linestyle="--", color="grey", label="budget used up on time")
    axes.set_xlabel("minutes ago")
    axes.set_ylabel("burn rate")
    axes.legend()
    figure.savefig(path)
