"""Attainment per accelerator and moves, compared with baselines and a bound."""

import argparse
from concurrent.futures import ProcessPoolExecutor
from itertools import chain, repeat
from statistics import median

from _reporting import Report
from replay import (
    ASSOCIATION,
    TUMEN,
    EvenStatic,
    FollowDemand,
    Result,
    RunhatchPlacement,
    Size,
    make_workload,
    pooled_bound,
    replay,
)

SEEDS = (1, 2, 3, 4, 5)
SECONDS = 1_800.0
LOAD = 0.6
PLACEMENTS = (RunhatchPlacement, EvenStatic, FollowDemand)


def measure(size: Size, seconds: float, load: float) -> dict[str, list[Result]]:
    """Return the results of all seeds by placement."""
    results: dict[str, list[Result]] = {}
    with ProcessPoolExecutor(len(SEEDS)) as pool:
        by_seed = pool.map(
            measure_seed, SEEDS, repeat(size), repeat(seconds), repeat(load)
        )
        for result in chain.from_iterable(by_seed):
            results.setdefault(result.placement, []).append(result)
    return results


def measure_seed(seed: int, size: Size, seconds: float, load: float) -> list[Result]:
    """Return the results of all placements and the bound for one seed."""
    workload = make_workload(size, seed, seconds, load)
    results = [
        replay(workload, placement_class(workload.deployment), seed)
        for placement_class in PLACEMENTS
    ]
    return [*results, pooled_bound(workload)]


def main() -> None:
    """Run the benchmark and write its report."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument("--load", type=float, default=LOAD)
    parser.add_argument("--trial", action="store_true", help="write no page")
    arguments = parser.parse_args()
    report = Report(
        "placement",
        "Placement: attainment per accelerator and moves",
        f"make bench-placement ({arguments.seconds:g} s, load {arguments.load:g})",
    )
    for size in (TUMEN, ASSOCIATION):
        results = measure(size, arguments.seconds, arguments.load)
        for name, seed_results in results.items():
            shares = sorted(
                r.attainment_per_accelerator * r.accelerators for r in seed_results
            )
            moves = sorted(result.moves for result in seed_results)
            report.add(
                deployment=size.name,
                placement=name,
                in_time=round(median(shares), 4),
                in_time_spread=f"{shares[0]:.3f} to {shares[-1]:.3f}",
                per_accelerator=round(median(shares) / size.workers, 5),
                moves=median(moves),
                moves_spread=f"{moves[0]} to {moves[-1]}",
                requests=median(result.requests for result in seed_results),
            )
    report.add_note(
        "Medians of seeds 1 to 5. In time: share of requests answered before their "
        "deadline. The bound serves every model on every worker."
    )
    if not arguments.trial:
        report.write()


if __name__ == "__main__":
    main()
