"""The same days played on two versions of the sources, and what differs.

``play BENCH SITE OUT WHY [DAY:SEED ...]`` plays days on the users' bench, whose program
is BENCH, and keeps their reports in the folder OUT.  ``compare OLD NEW`` prints, over
the days that two such folders share, the mean of each figure before and after and
the spread of the difference.  Without days, a fixed list of seeds is played.
"""

import json
import statistics
import subprocess
import sys
from collections.abc import Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

AT_ONCE = 7
"""Days played at once; one core is left to the machine."""
DAYS = ("quiet-1", "trouble-1", "scale-1", "trouble-2", "scale-2", "trouble-3", "mix")
SEEDS = (101, 202, 303, 404)
LEAST_TOLD = 0.0003
"""Prices whose change is below this share of a day's worth are left out."""


def play(bench: str, site: str, out: str, days: list[str], why: str) -> None:
    """Play ``days``, each called DAY:SEED, several at once."""
    folder = Path(out)
    folder.mkdir(parents=True, exist_ok=True)
    wanted = days or [f"{day}:{seed}" for day in DAYS for seed in SEEDS]

    def play_one(day: str) -> str:
        name, _, seed = day.partition(":")
        report = folder / f"{name}-{seed}.json"
        command = [bench, "run", site, name, "--seed", seed]
        command += ["--report", str(report), "--why", why]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        (folder / f"{name}-{seed}.txt").write_text(done.stdout + done.stderr)
        return day if report.exists() else f"{day} gave no report: {done.stderr[-300:]}"

    with ThreadPoolExecutor(AT_ONCE) as executor:
        for told in executor.map(play_one, wanted):
            if "no report" in told:
                print(told)


def figures(report: Mapping[str, Any]) -> Iterator[tuple[str, float]]:
    """Yield the figures of one day by name."""
    yield "worth", report["G"]
    for name in ("served", "refused", "failed"):
        yield name, report[name]
    for name, _, share in report["parts"]:
        yield f"part: {name}", share
    for name, _, price in report["prices"]:
        yield f"price: {name}", price
    for one in report["classes"]:
        yield f"class: {one['name']}", one["worth"]
    yield "rules broken", float(len(report["breaks"]))


def reports(folder: str) -> dict[str, dict[str, float]]:
    """Return the figures of each day in ``folder``."""
    return {
        path.stem: dict(figures(json.loads(path.read_text())))
        for path in sorted(Path(folder).glob("*.json"))
    }


def compare(old: str, new: str) -> None:
    """Print what differs between two folders, over the days that both have."""
    before, after = reports(old), reports(new)
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
        if name.startswith("price") and abs(mean) < LEAST_TOLD:
            continue
        first = statistics.mean(first for first, _ in pairs)
        error = statistics.stdev(differences) / len(days) ** 0.5 if len(days) > 1 else 0
        print(f"{name:55} {first:8.4f} {first + mean:8.4f} {mean:+8.4f} +-{error:.4f}")


def main() -> None:
    """Run the command that the arguments name."""
    match sys.argv[1:]:
        case ["play", bench, site, out, why, *days]:
            play(bench, site, out, days, why)
        case ["compare", old, new]:
            compare(old, new)
        case _:
            print(__doc__)


if __name__ == "__main__":
    main()
