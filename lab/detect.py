"""Compare rules for ejecting instances: detection time against false ejections.

Without `--baselines` all rules are evaluated.  With it only the baseline rules are
evaluated again on the same attempts, and the report uses these results for them.

`--mode=faults` and `--mode=calm` (no faults) each add one JSON file of results.  Run
them for every site, then print the tables and draw the plot by `--mode=report`.
"""

import json
import math
import time
from pathlib import Path
from typing import Any

import numpy as np
from absl import app, flags

from .detect_report import write_report
from .detect_rules import CAUTIONS, SimulatedFleet, run_all_rules
from .detect_simulation import SITES, Fault, Site, make_attempts

FLAGS = flags.FLAGS
flags.DEFINE_enum(
    "mode", "faults", ["faults", "calm", "report"], "Experiment to run, or the report."
)
flags.DEFINE_enum("site", "jobtrack", list(SITES), "Service whose size is simulated.")
flags.DEFINE_integer("seeds", 20, "Number of runs per case.")
flags.DEFINE_integer("first_seed", 1, "Seed of the first run.")
flags.DEFINE_integer("hosts", 36, "Number of entry hosts.")
flags.DEFINE_integer(
    "calm_hosts", 4, "Number of entry hosts in calm runs; few, to save time."
)
flags.DEFINE_bool("baselines", False, "Evaluate only the three baseline rules.")
flags.DEFINE_list(
    "loads", ["0.3", "0.6", "0.9"], "Offered loads as shares of the capacity."
)
flags.DEFINE_float("minutes", 10.0, "Virtual minutes per calm run.")
flags.DEFINE_string("out", "lab/out/detect", "Folder of the result files.")
flags.DEFINE_string("plot", "docs/plots/detect.png", "Path of the plot.")

ONSET_AFTER_S = 40.0
OBSERVATION_S = 40.0
WARM_UP_S = 20.0

FAULTS = (
    Fault("errors 5%", error_ratio=0.05),
    Fault("errors 20%", error_ratio=0.2),
    Fault("errors 100%", error_ratio=1.0),
    Fault("never answers", hang_ratio=1.0),
    Fault("slow 2x", slow_factor=2.0),
    Fault("slow 5x", slow_factor=5.0),
    Fault("slow 20x", slow_factor=20.0),
    Fault("flaps 2 s", error_ratio=1.0, period_s=2.0),
    Fault("flaps 10 s", error_ratio=1.0, period_s=10.0),
    Fault("flaps 40 s", error_ratio=1.0, period_s=40.0),
    Fault("all slow 3x", slow_factor=3.0, affects_all=True),
    Fault("all errors 20%", error_ratio=0.2, affects_all=True),
    Fault("bad caller 5%", error_ratio=0.05, affects_all=True),
    Fault("cold start", slow_factor=5.0, is_cold_start=True),
)


def run_with_fault(site: Site, load: float, fault: Fault) -> dict[str, Any]:
    """Return each rule's detection times and false ejections under a fault."""
    fleet = (
        None if FLAGS.baselines else SimulatedFleet(FLAGS.hosts, computes_weights=True)
    )
    detection_times: dict[str, list[float]] = {}
    false_ejections: dict[str, int] = {}
    for seed in range(FLAGS.first_seed, FLAGS.first_seed + FLAGS.seeds):
        rng = np.random.default_rng([seed, site.instances, site.slots])
        onset_s = ONSET_AFTER_S + rng.random()
        end_s = onset_s + OBSERVATION_S
        attempts = make_attempts(site, load, fault, FLAGS.hosts, onset_s, end_s, rng)
        for rule, ejections in run_all_rules(
            site, attempts, fleet, end_s, onset_s
        ).items():
            for ejection in ejections:
                if ejection.at < WARM_UP_S:
                    continue
                is_unhealthy = not fault.affects_all and not fault.is_cold_start
                is_expected = is_unhealthy and ejection.instance == 0
                if is_expected and ejection.at >= onset_s:
                    detection_times.setdefault(rule, []).append(ejection.at - onset_s)
                    continue
                false_ejections[rule] = false_ejections.get(rule, 0) + 1
    return {"times": detection_times, "wrong": false_ejections, "runs": FLAGS.seeds}


def run_without_fault(site: Site, load: float) -> dict[str, Any]:
    """Return each rule's false ejections in long runs without a fault."""
    fleet = SimulatedFleet(FLAGS.calm_hosts, computes_weights=False)
    false_ejections: dict[str, int] = {}
    end_s = FLAGS.minutes * 60
    for seed in range(FLAGS.first_seed, FLAGS.first_seed + FLAGS.seeds):
        rng = np.random.default_rng([seed, site.instances, site.slots, 1])
        attempts = make_attempts(
            site, load, Fault("none"), fleet.hosts, math.inf, end_s, rng
        )
        for rule, ejections in run_all_rules(site, attempts, fleet, end_s).items():
            count = sum(1 for one in ejections if one.at >= WARM_UP_S)
            false_ejections[rule] = false_ejections.get(rule, 0) + count
    instance_days = FLAGS.seeds * (end_s - WARM_UP_S) * site.instances / 86400
    return {"wrong": false_ejections, "instance_days": instance_days}


def main(argv: list[str]) -> None:
    """Run one mode of the experiment."""
    folder = Path(FLAGS.out)
    if FLAGS.mode == "report":
        write_report(folder, Path(FLAGS.plot), FAULTS, CAUTIONS)
        return
    folder.mkdir(parents=True, exist_ok=True)
    site = SITES[FLAGS.site]
    for text in FLAGS.loads:
        load = float(text)
        started_at = time.perf_counter()
        result: dict[str, Any] = {"site": site.name, "load": load}
        if FLAGS.mode == "calm":
            result["calm"] = run_without_fault(site, load)
        else:
            result["faults"] = {
                fault.name: run_with_fault(site, load, fault) for fault in FAULTS
            }
        mode = "faults-baselines" if FLAGS.baselines else FLAGS.mode
        name = f"{mode}-{site.name}-{text}-{FLAGS.first_seed}.json"
        (folder / name).write_text(json.dumps(result))
        print(name, f"{time.perf_counter() - started_at:.1f} s", flush=True)


if __name__ == "__main__":
    app.run(main)
