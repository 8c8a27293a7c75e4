"""Tables and the trade-off plot of the detection experiment."""

import json
import math
from collections import defaultdict
from pathlib import Path
from typing import Any, NamedTuple

import matplotlib
import numpy as np

from .detect_rules import ideal_s
from .detect_simulation import SITES, Fault

matplotlib.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402

__all__ = ["write_report"]

UNDETECTED_S = 40.0
FALSE_A_DAY = 0.05
POINT_LOAD = 0.6
RULE_OF_THREE = 3.0
FAMILIES = ("dogwoodtack", "consecutive", "error rate", "latency")
TENANTS = {"jobtrack": 0.0, "certdocs": 0.0, "enrol-core": 1.0, "pack-store": 1.0}
DOTS_PER_INCH = 80


class Times(NamedTuple):
    """Detection times of one rule; runs that were not detected count as 40 s."""

    median_s: float
    p99_s: float
    mean_s: float
    missed: int
    runs: int


class Calm(NamedTuple):
    """False ejections over a number of instance-days."""

    count: int
    days: float

    def text(self) -> str:
        """Return the rate, or an upper limit at 95% where none was seen."""
        if not self.days:
            return "not run"
        if not self.count:
            return f"0 (< {RULE_OF_THREE / self.days:.2g})"
        return f"{self.count / self.days:.2g}"


def _baselines_last(path: Path) -> tuple[bool, str]:
    return "baselines" in path.name, path.name


class Results:
    """What all result files say together."""

    def __init__(self, folder: Path) -> None:
        self.calm: dict[tuple[str, float], dict[str, int]] = {}
        self.days: dict[tuple[str, float], float] = defaultdict(float)
        self.faults: dict[tuple[str, float], dict[str, Any]] = {}
        for path in sorted(folder.glob("*.json"), key=_baselines_last):
            self._add(json.loads(path.read_text()))

    def _add(self, value: dict[str, Any]) -> None:
        place = value["site"], value["load"]
        if "faults" in value:
            known = self.faults.setdefault(place, {})
            for name, case in value["faults"].items():
                known.setdefault(name, case)["times"].update(case["times"])
            return
        counts = self.calm.setdefault(place, defaultdict(int))
        for rule, count in value["calm"]["wrong"].items():
            counts[rule] += count
        self.days[place] += value["calm"]["instance_days"]

    def false_rate(self, place: tuple[str, float], rule: str) -> Calm:
        """Return a rule's false ejections at one site and load."""
        counts = self.calm.get(place, {})
        return Calm(counts.get(rule, 0), self.days.get(place, 0.0))

    def times(self, place: tuple[str, float], faults: list[str], rule: str) -> Times:
        """Return a rule's detection times over some faults."""
        values: list[float] = []
        runs = 0
        for name in faults:
            case = self.faults[place][name]
            runs += case["runs"]
            values.extend(case["times"].get(rule, [])[: case["runs"]])
        missed = runs - len(values)
        values.extend([UNDETECTED_S] * missed)
        return Times(
            float(np.median(values)),
            float(np.quantile(values, 0.99, method="higher")),
            float(np.mean(values)),
            missed,
            runs,
        )

    def rules(self, family: str) -> list[str]:
        """Return a family's rules with any result, all sites together."""
        names: set[str] = set()
        for counts in self.calm.values():
            names.update(counts)
        for cases in self.faults.values():
            for case in cases.values():
                names.update(case["times"])
        return sorted(name for name in names if name.startswith(family))

    def best(self, place: tuple[str, float], faults: list[str], family: str) -> str:
        """Return the rule of a family that detects best within false ejections.

        It is the smallest mean detection time among those with at most one
        false ejection per instance-day; where there is none, the one with the
        fewest.
        """

        def order(rule: str) -> tuple[float, float]:
            calm = self.false_rate(place, rule)
            rate = calm.count / calm.days if calm.days else math.inf
            return max(rate, 1.0), self.times(place, faults, rule).mean_s

        return min(self.rules(family), key=order)


def write_report(
    folder: Path, plot: Path, faults: tuple[Fault, ...], cautions: tuple[float, ...]
) -> None:
    """Print the tables and draw the plot."""
    results = Results(folder)
    one_sick = [one for one in faults if not one.is_whole and not one.is_cold_start]
    names = [one.name for one in one_sick]
    for site in SITES:
        if (site, POINT_LOAD) in results.faults:
            _print_rules(results, site, names, cautions)
            _print_faults(results, site, one_sick)
    _print_loads(results, names)
    _print_whole(results, faults)
    _draw(results, plot, names)


def _table(title: str, head: list[str], rows: list[list[str]]) -> None:
    print(f"\n{title}\n")
    print("| " + " | ".join(head) + " |")
    print("|" + "---|" * len(head))
    for row in rows:
        print("| " + " | ".join(row) + " |")


def _print_rules(
    results: Results, site: str, names: list[str], cautions: tuple[float, ...]
) -> None:
    """All faults with one sick instance together, the best of each family."""
    place = site, POINT_LOAD
    rules = [f"dogwoodtack {caution:g}" for caution in cautions]
    rules += [results.best(place, names, family) for family in FAMILIES[1:]]
    rules += ["consecutive 3", "consecutive 5", "error rate 0.1/10s"]
    rows = []
    for rule in dict.fromkeys(rules):
        seen = results.times(place, names, rule)
        rows.append(
            [
                rule,
                f"{seen.mean_s:.1f}",
                f"{seen.median_s:.1f}",
                f"{seen.p99_s:.1f}",
                f"{seen.missed}/{seen.runs}",
                results.false_rate(place, rule).text(),
            ]
        )
    days = results.days.get(place, 0.0)
    head = ["rule", "mean s", "median s", "p99 s", "not found", "false/day"]
    title = f"{site}, {POINT_LOAD:.0%} load, {days:.1f} calm instance-days"
    _table(title, head, rows)
    _print_dominance(results, place, names)


def _print_dominance(
    results: Results, place: tuple[str, float], names: list[str]
) -> None:
    """Say for each family how many parameters are beaten on both measures."""
    own = f"dogwoodtack {TENANTS[place[0]]:g}"
    own_false = results.false_rate(place, own).count
    own_mean_s = results.times(place, names, own).mean_s
    print(f"\n`{own}` against each parameter of the baselines:")
    for family in FAMILIES[1:]:
        rules = results.rules(family)
        slower = [
            one for one in rules if results.times(place, names, one).mean_s > own_mean_s
        ]
        beaten = [
            one for one in slower if results.false_rate(place, one).count > own_false
        ]
        tied = [
            one for one in slower if results.false_rate(place, one).count == own_false
        ]
        print(
            f"- {family}: {len(beaten)} of {len(rules)} beaten on both, "
            f"{len(tied)} slower with as many false ejections, "
            f"{len(rules) - len(slower)} faster"
        )


def _print_faults(results: Results, site: str, faults: list[Fault]) -> None:
    """Each fault by itself: median, p99 and how many were not found."""
    place = site, POINT_LOAD
    names = [one.name for one in faults]
    rules = ["dogwoodtack 0", "dogwoodtack 1"]
    rules += [results.best(place, names, family) for family in FAMILIES[1:]]
    rows = []
    for fault in faults:
        row = [fault.name]
        for rule in rules:
            seen = results.times(place, [fault.name], rule)
            text = f"{seen.median_s:.1f} / {seen.p99_s:.1f}"
            row.append(text + (f" ({seen.missed} not)" if seen.missed else ""))
        ideal = ideal_s(SITES[site], POINT_LOAD, fault, FALSE_A_DAY)
        row.append("" if ideal is None else f"{ideal:.2f}")
        rows.append(row)
    runs = results.faults[place][names[0]]["runs"]
    title = f"{site}, {POINT_LOAD:.0%} load, {runs} seeds: median / p99 in seconds"
    _table(title, ["fault", *rules, "ideal mean"], rows)


def _print_loads(results: Results, names: list[str]) -> None:
    """The tenants' own settings at every load."""
    rows = []
    for place in sorted(results.faults):
        rule = f"dogwoodtack {TENANTS[place[0]]:g}"
        seen = results.times(place, names, rule)
        calm = results.false_rate(place, rule)
        rows.append(
            [
                place[0],
                f"{place[1]:.0%}",
                rule,
                f"{seen.mean_s:.1f}",
                f"{seen.median_s:.1f}",
                f"{seen.p99_s:.1f}",
                f"{seen.missed}/{seen.runs}",
                calm.text(),
                f"{calm.days:.1f}",
            ]
        )
    head = ["site", "load", "rule", "mean s", "median s", "p99 s", "not found"]
    _table("All loads", [*head, "false/day", "days"], rows)


def _print_whole(results: Results, faults: tuple[Fault, ...]) -> None:
    """Wrong ejections in runs where nothing should be ejected."""
    rules = ["dogwoodtack 0", "dogwoodtack 1", "consecutive 3"]
    rules += ["error rate 0.1/10s", "latency 2x/10s"]
    rows = []
    for fault in faults:
        if not fault.is_whole and not fault.is_cold_start:
            continue
        totals = dict.fromkeys(rules, 0)
        runs = 0
        for cases in results.faults.values():
            case = cases[fault.name]
            runs += case["runs"]
            for rule in rules:
                totals[rule] += case["wrong"].get(rule, 0)
        rows.append([fault.name, str(runs), *(str(totals[rule]) for rule in rules)])
    title = "Instances ejected where none should be, all sites and loads"
    _table(title, ["case", "runs", *rules], rows)


def _draw(results: Results, plot: Path, names: list[str]) -> None:
    """Draw mean detection time against false ejections for every parameter."""
    sites = [site for site in SITES if (site, POINT_LOAD) in results.faults]
    figure, axes = plt.subplots(1, len(sites), figsize=(4 * len(sites), 3.6))
    for axis, site in zip(np.atleast_1d(axes), sites):
        place = site, POINT_LOAD
        for family, mark in zip(FAMILIES, "o^sx"):
            rules = results.rules(family)
            calms = [results.false_rate(place, rule) for rule in rules]
            axis.scatter(
                [max(one.count, 0.5) / max(one.days, 0.01) for one in calms],
                [results.times(place, names, rule).mean_s for rule in rules],
                marker=mark,
                label=family,
            )
        axis.set_xscale("log")
        axis.set_title(f"{site}, {POINT_LOAD:.0%} load")
        axis.set_xlabel("false ejections per instance-day\n(none seen: drawn as half)")
        axis.grid(alpha=0.3)
    np.atleast_1d(axes)[0].set_ylabel("mean detection time, s (40: not found)")
    np.atleast_1d(axes)[0].legend(fontsize=8)
    figure.tight_layout()
    plot.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(plot, dpi=DOTS_PER_INCH)
