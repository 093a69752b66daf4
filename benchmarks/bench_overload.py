"""Goodput at and beyond the targets' capacity, compared with two baselines.

Runs the real dispatcher on a simulated clock, so that the capacity is exact.
"""

import random
from dataclasses import replace
from datetime import timedelta

from _reporting import Report
from replay import TUMEN, EvenStatic, make_workload, replay
from replay._run import Baseline

SECONDS = 240.0
LOADS = (0.5, 1.0, 1.5, 3.0)
SEED = 3


def main() -> None:
    """Run the benchmark and write its report."""
    random.seed(SEED)
    report = Report("overload", "In time at and beyond capacity", "make bench-overload")
    size = replace(TUMEN, models=6, adapters=0)
    for baseline in Baseline:
        for load in LOADS:
            workload = make_workload(size, SEED, SECONDS, load, bursts=False)
            placement = EvenStatic(workload.deployment)
            result = replay(workload, placement, SEED, baseline)
            report.add(
                routing=baseline.value,
                load=load,
                requests=result.requests,
                in_time_s=round(result.in_time / SECONDS, 2),
                refused=result.refused,
                late=result.late,
            )
    report.add_note(
        "Load 1 is the capacity of all slots. Every model is on every worker, so only "
        "routing and admission differ. In time a second is the goodput. Round "
        "robin and least outstanding admit every request and queue at the engines; "
        f"deadline {timedelta(seconds=8).total_seconds():g} s."
    )
    report.write()


if __name__ == "__main__":
    main()
