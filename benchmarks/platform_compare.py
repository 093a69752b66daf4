"""Compares the results of the same benchmark days on two versions of the code.

``play BENCH SITE OUT WHY [DAY:SEED ...]`` runs days with the users' program BENCH and
writes their reports to the folder OUT.  ``compare OLD NEW`` prints, over the days
that both folders have, the mean of each figure before and after and the standard
error of the difference.  Without days, a fixed list of days and seeds is run.
"""

import json
import statistics
import subprocess
import sys
from collections.abc import Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

MAX_CONCURRENT_DAYS = 7
"""Days run concurrently; leaves one core to the rest of the machine."""
DAYS = ("quiet-1", "trouble-1", "scale-1", "trouble-2", "scale-2", "trouble-3", "mix")
SEEDS = (101, 202, 303, 404)
MIN_PRINTED_CHANGE = 0.0003
"""Changes of prices below this share of a day's worth are not printed."""


def run_days(bench: str, site: str, out: str, days: list[str], why: str) -> None:
    """Run ``days``, each given as DAY:SEED, several at a time."""
    folder = Path(out)
    folder.mkdir(parents=True, exist_ok=True)
    names = days or [f"{day}:{seed}" for day in DAYS for seed in SEEDS]

    def play_one(day: str) -> str:
        name, _, seed = day.partition(":")
        report = folder / f"{name}-{seed}.json"
        command = [bench, "run", site, name, "--seed", seed]
        command += ["--report", str(report), "--why", why]
        process = subprocess.run(command, capture_output=True, text=True, check=False)
        (folder / f"{name}-{seed}.txt").write_text(process.stdout + process.stderr)
        return (
            day
            if report.exists()
            else f"{day} wrote no report: {process.stderr[-300:]}"
        )

    with ThreadPoolExecutor(MAX_CONCURRENT_DAYS) as executor:
        for result in executor.map(play_one, names):
            if "no report" in result:
                print(result)


def read_figures(report: Mapping[str, Any]) -> Iterator[tuple[str, float]]:
    """Yield the names and values of one day's figures."""
    yield "worth", report["G"]
    for name in ("served", "refused", "failed"):
        yield name, report[name]
    for name, _, share in report["parts"]:
        yield f"part: {name}", share
    for name, _, price in report["prices"]:
        yield f"price: {name}", price
    for request_class in report["classes"]:
        yield f"class: {request_class['name']}", request_class["worth"]
    yield "rules broken", float(len(report["breaks"]))


def read_reports(folder: str) -> dict[str, dict[str, float]]:
    """Return the figures of each day in ``folder`` by name."""
    return {
        path.stem: dict(read_figures(json.loads(path.read_text())))
        for path in sorted(Path(folder).glob("*.json"))
    }


def compare_folders(old: str, new: str) -> None:
    """Print the differences between two folders over the days that both have."""
    before, after = read_reports(old), read_reports(new)
    days = sorted(before.keys() & after.keys())
    print(f"{len(days)} days in both")
    for day in days:
        broken = "  RULES BROKEN" if after[day]["rules broken"] else ""
        first, second = before[day]["worth"], after[day]["worth"]
        print(f"  {day:18} {first:.3f} {second:.3f} {second - first:+.3f}{broken}")
    for name in before[days[0]]:
        pairs = [(before[d].get(name, 0.0), after[d].get(name, 0.0)) for d in days]
        differences = [second - first for first, second in pairs]
        mean = statistics.mean(differences)
        if name.startswith("price") and abs(mean) < MIN_PRINTED_CHANGE:
            continue
        first = statistics.mean(first for first, _ in pairs)
        error = statistics.stdev(differences) / len(days) ** 0.5 if len(days) > 1 else 0
        print(f"{name:55} {first:8.4f} {first + mean:8.4f} {mean:+8.4f} +-{error:.4f}")


def main() -> None:
    """Run the command given in the arguments."""
    match sys.argv[1:]:
        case ["play", bench, site, out, why, *days]:
            run_days(bench, site, out, days, why)
        case ["compare", old, new]:
            compare_folders(old, new)
        case _:
            print(__doc__)


if __name__ == "__main__":
    main()
