"""Prints tables of the benchmark days recorded in ``journal/``.

``python benchmarks/platform_days.py [SITE] [SINCE]`` prints one line per day:
the entry, the day and its seed, its worth and upper mark, the rules broken and the
kinds of trouble in it.  The mean and spread of repeated days follow, then the number
of days with each kind of trouble.
"""

import json
import statistics
import sys
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

JOURNAL = Path(__file__).resolve().parent.parent / "journal"


@dataclass(frozen=True, slots=True)
class PlayedDay:
    """One day of a journal entry; ``mark`` is the worth that counts as full marks."""

    entry: str
    site: str
    name: str
    seed: int
    worth: float
    mark: float | None
    broken: str
    troubles: tuple[str, ...]


def played_days(site: str, since: str) -> Iterator[PlayedDay]:
    """Yield the days of ``site`` in entries from ``since`` on, oldest first."""
    for path in sorted(JOURNAL.glob("*.json")):
        entry: dict[str, Any] = json.loads(path.read_text())
        played_site = str(entry.get("site") or "")
        if site not in played_site or path.stem < since:
            continue
        for day in entry.get("days") or []:
            yield _parse_day(path.stem, played_site, day)


def _parse_day(entry: str, site: str, day: dict[str, Any]) -> PlayedDay:
    return PlayedDay(
        entry,
        site,
        str(day.get("name")),
        int(day.get("seed") or 0),
        float(day.get("G") or 0.0),
        day.get("top"),
        " ".join(day.get("rules") or ()),
        tuple(day.get("troubles") or ()),
    )


def main() -> None:
    """Print the tables of the days selected by the arguments."""
    site, since, *_ = [*sys.argv[1:], "", ""]
    by_day: dict[tuple[str, str], list[float]] = defaultdict(list)
    troubles: Counter[str] = Counter()
    for day in played_days(site, since):
        by_day[day.site, day.name].append(day.worth)
        troubles.update(day.troubles)
        result = f"{day.entry} {day.site} {day.name} {day.seed} {day.worth:.3f}"
        print(f"{result} {day.mark} {day.broken} {','.join(day.troubles)}")
    print("\nsite day plays mean spread")
    for (played_site, name), worths in sorted(by_day.items()):
        if len(worths) > 1:
            mean, spread = statistics.mean(worths), statistics.pstdev(worths)
            print(f"{played_site} {name} {len(worths)} {mean:.3f} {spread:.3f}")
    print("\ntrouble days")
    for trouble, count in troubles.most_common():
        print(f"{trouble} {count}")


if __name__ == "__main__":
    main()
