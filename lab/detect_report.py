"""Tables and the trade-off plot of the detection experiment."""

import json
import math
from collections import defaultdict
from pathlib import Path
from typing import Any, NamedTuple

import matplotlib
import numpy as np

from .detect_rules import lorden_bound_s
from .detect_simulation import SITES, Fault

matplotlib.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402

__all__ = ["write_report"]

UNDETECTED_S = 40.0
FALSE_EJECTIONS_PER_DAY = 0.05
PLOTTED_LOAD = 0.6
RULE_OF_THREE = 3.0
FAMILIES = ("dogwoodtack", "consecutive", "error rate", "latency")
SITE_CAUTIONS = {"jobtrack": 0.0, "certdocs": 0.0, "enrol-core": 1.0, "pack-store": 1.0}
DOTS_PER_INCH = 80


class DetectionTimes(NamedTuple):
    """Detection times of one rule; a fault that was not detected counts as 40 s."""

    median_s: float
    p99_s: float
    mean_s: float
    missed: int
    runs: int


class FalseEjectionRate(NamedTuple):
    """Number of false ejections in a number of instance-days."""

    count: int
    instance_days: float

    def text(self) -> str:
        """Return the rate per day, or its upper 95% confidence bound if count is 0."""
        if not self.instance_days:
            return "not run"
        if not self.count:
            return f"0 (< {RULE_OF_THREE / self.instance_days:.2g})"
        return f"{self.count / self.instance_days:.2g}"


def _baseline_order(path: Path) -> tuple[bool, str]:
    return "baselines" in path.name, path.name


class Results:
    """The results of all result files, merged."""

    def __init__(self, folder: Path) -> None:
        self.false_ejections: dict[tuple[str, float], dict[str, int]] = {}
        self.instance_days: dict[tuple[str, float], float] = defaultdict(float)
        self.faults: dict[tuple[str, float], dict[str, Any]] = {}
        for path in sorted(folder.glob("*.json"), key=_baseline_order):
            self._add(json.loads(path.read_text()))

    def _add(self, value: dict[str, Any]) -> None:
        site_load = value["site"], value["load"]
        if "faults" in value:
            cases = self.faults.setdefault(site_load, {})
            for name, case in value["faults"].items():
                cases.setdefault(name, case)["times"].update(case["times"])
            return
        counts = self.false_ejections.setdefault(site_load, defaultdict(int))
        for rule, count in value["calm"]["wrong"].items():
            counts[rule] += count
        self.instance_days[site_load] += value["calm"]["instance_days"]

    def false_rate(self, site_load: tuple[str, float], rule: str) -> FalseEjectionRate:
        """Return a rule's false ejection rate at one site and load."""
        counts = self.false_ejections.get(site_load, {})
        return FalseEjectionRate(
            counts.get(rule, 0), self.instance_days.get(site_load, 0.0)
        )

    def times(
        self, site_load: tuple[str, float], faults: list[str], rule: str
    ) -> DetectionTimes:
        """Return a rule's detection times over several faults."""
        values: list[float] = []
        runs = 0
        for name in faults:
            case = self.faults[site_load][name]
            runs += case["runs"]
            values.extend(case["times"].get(rule, [])[: case["runs"]])
        missed = runs - len(values)
        values.extend([UNDETECTED_S] * missed)
        return DetectionTimes(
            float(np.median(values)),
            float(np.quantile(values, 0.99, method="higher")),
            float(np.mean(values)),
            missed,
            runs,
        )

    def rules(self, family: str) -> list[str]:
        """Return a family's rules that have a result at any site."""
        names: set[str] = set()
        for counts in self.false_ejections.values():
            names.update(counts)
        for cases in self.faults.values():
            for case in cases.values():
                names.update(case["times"])
        return sorted(name for name in names if name.startswith(family))

    def best(self, site_load: tuple[str, float], faults: list[str], family: str) -> str:
        """Return the rule of a family with the best trade-off.

        That is the rule with the shortest mean detection time among those with at
        most one false ejection per instance-day, or if there is none, the rule with
        the fewest false ejections.
        """

        def order(rule: str) -> tuple[float, float]:
            false_rate = self.false_rate(site_load, rule)
            rate = (
                false_rate.count / false_rate.instance_days
                if false_rate.instance_days
                else math.inf
            )
            return max(rate, 1.0), self.times(site_load, faults, rule).mean_s

        return min(self.rules(family), key=order)


def write_report(
    folder: Path, plot: Path, faults: tuple[Fault, ...], cautions: tuple[float, ...]
) -> None:
    """Print the tables and draw the plot."""
    results = Results(folder)
    single_instance_faults = [
        one for one in faults if not one.affects_all and not one.is_cold_start
    ]
    names = [one.name for one in single_instance_faults]
    for site in SITES:
        if (site, PLOTTED_LOAD) in results.faults:
            _print_rules(results, site, names, cautions)
            _print_faults(results, site, single_instance_faults)
    _print_loads(results, names)
    _print_unwarranted(results, faults)
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
    """Print the best rule of each family over all faults of a single instance."""
    site_load = site, PLOTTED_LOAD
    rules = [f"dogwoodtack {caution:g}" for caution in cautions]
    rules += [results.best(site_load, names, family) for family in FAMILIES[1:]]
    rules += ["consecutive 3", "consecutive 5", "error rate 0.1/10s"]
    rows = []
    for rule in dict.fromkeys(rules):
        times = results.times(site_load, names, rule)
        rows.append(
            [
                rule,
                f"{times.mean_s:.1f}",
                f"{times.median_s:.1f}",
                f"{times.p99_s:.1f}",
                f"{times.missed}/{times.runs}",
                results.false_rate(site_load, rule).text(),
            ]
        )
    instance_days = results.instance_days.get(site_load, 0.0)
    head = ["rule", "mean s", "median s", "p99 s", "not detected", "false/day"]
    title = (
        f"{site}, {PLOTTED_LOAD:.0%} load, {instance_days:.1f} fault-free instance-days"
    )
    _table(title, head, rows)
    _print_dominance(results, site_load, names)


def _print_dominance(
    results: Results, site_load: tuple[str, float], names: list[str]
) -> None:
    """Print for each family how many parameter settings are worse on both measures."""
    dogwoodtack_rule = f"dogwoodtack {SITE_CAUTIONS[site_load[0]]:g}"
    dogwoodtack_false = results.false_rate(site_load, dogwoodtack_rule).count
    dogwoodtack_mean_s = results.times(site_load, names, dogwoodtack_rule).mean_s
    print(f"\n`{dogwoodtack_rule}` against each parameter setting of the baselines:")
    for family in FAMILIES[1:]:
        rules = results.rules(family)
        slower = [
            one
            for one in rules
            if results.times(site_load, names, one).mean_s > dogwoodtack_mean_s
        ]
        beaten = [
            one
            for one in slower
            if results.false_rate(site_load, one).count > dogwoodtack_false
        ]
        tied = [
            one
            for one in slower
            if results.false_rate(site_load, one).count == dogwoodtack_false
        ]
        print(
            f"- {family}: {len(beaten)} of {len(rules)} worse on both measures, "
            f"{len(tied)} slower with as many false ejections, "
            f"{len(rules) - len(slower)} faster"
        )


def _print_faults(results: Results, site: str, faults: list[Fault]) -> None:
    """Print the median, p99 and missed detections of each fault."""
    site_load = site, PLOTTED_LOAD
    names = [one.name for one in faults]
    rules = ["dogwoodtack 0", "dogwoodtack 1"]
    rules += [results.best(site_load, names, family) for family in FAMILIES[1:]]
    rows = []
    for fault in faults:
        row = [fault.name]
        for rule in rules:
            times = results.times(site_load, [fault.name], rule)
            text = f"{times.median_s:.1f} / {times.p99_s:.1f}"
            row.append(text + (f" ({times.missed} missed)" if times.missed else ""))
        bound_s = lorden_bound_s(
            SITES[site], PLOTTED_LOAD, fault, FALSE_EJECTIONS_PER_DAY
        )
        row.append("" if bound_s is None else f"{bound_s:.2f}")
        rows.append(row)
    runs = results.faults[site_load][names[0]]["runs"]
    title = f"{site}, {PLOTTED_LOAD:.0%} load, {runs} seeds: median / p99 in seconds"
    _table(title, ["fault", *rules, "lower bound of mean"], rows)


def _print_loads(results: Results, names: list[str]) -> None:
    """Print the results of each site's own caution setting at every load."""
    rows = []
    for site_load in sorted(results.faults):
        rule = f"dogwoodtack {SITE_CAUTIONS[site_load[0]]:g}"
        times = results.times(site_load, names, rule)
        false_rate = results.false_rate(site_load, rule)
        rows.append(
            [
                site_load[0],
                f"{site_load[1]:.0%}",
                rule,
                f"{times.mean_s:.1f}",
                f"{times.median_s:.1f}",
                f"{times.p99_s:.1f}",
                f"{times.missed}/{times.runs}",
                false_rate.text(),
                f"{false_rate.instance_days:.1f}",
            ]
        )
    head = ["site", "load", "rule", "mean s", "median s", "p99 s", "not detected"]
    _table("All loads", [*head, "false/day", "days"], rows)


def _print_unwarranted(results: Results, faults: tuple[Fault, ...]) -> None:
    """Print ejections in runs in which no instance should be ejected."""
    rules = ["dogwoodtack 0", "dogwoodtack 1", "consecutive 3"]
    rules += ["error rate 0.1/10s", "latency 2x/10s"]
    rows = []
    for fault in faults:
        if not fault.affects_all and not fault.is_cold_start:
            continue
        totals = dict.fromkeys(rules, 0)
        runs = 0
        for cases in results.faults.values():
            case = cases[fault.name]
            runs += case["runs"]
            for rule in rules:
                totals[rule] += case["wrong"].get(rule, 0)
        rows.append([fault.name, str(runs), *(str(totals[rule]) for rule in rules)])
    title = "Ejections in cases in which none is warranted, all sites and loads"
    _table(title, ["case", "runs", *rules], rows)


def _draw(results: Results, plot: Path, names: list[str]) -> None:
    """Plot mean detection time against false ejections for every parameter setting."""
    sites = [site for site in SITES if (site, PLOTTED_LOAD) in results.faults]
    figure, axes = plt.subplots(1, len(sites), figsize=(4 * len(sites), 3.6))
    for axis, site in zip(np.atleast_1d(axes), sites):
        site_load = site, PLOTTED_LOAD
        for family, marker in zip(FAMILIES, "o^sx"):
            rules = results.rules(family)
            false_rates = [results.false_rate(site_load, rule) for rule in rules]
            axis.scatter(
                [
                    max(one.count, 0.5) / max(one.instance_days, 0.01)
                    for one in false_rates
                ],
                [results.times(site_load, names, rule).mean_s for rule in rules],
                marker=marker,
                label=family,
            )
        axis.set_xscale("log")
        axis.set_title(f"{site}, {PLOTTED_LOAD:.0%} load")
        axis.set_xlabel(
            "false ejections per instance-day\n(0 is drawn as 0.5 ejections)"
        )
        axis.grid(alpha=0.3)
    np.atleast_1d(axes)[0].set_ylabel("mean detection time, s (40: not detected)")
    np.atleast_1d(axes)[0].legend(fontsize=8)
    figure.tight_layout()
    plot.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(plot, dpi=DOTS_PER_INCH)
