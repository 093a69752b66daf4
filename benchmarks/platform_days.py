"""Tables of the days played on the users' bench, from the entries in ``journal/``.

``python benchmarks/platform_days.py [SITE] [SINCE]`` prints one line a day: the
entry, the day and its seed, its worth and upper mark, rules broken and the kinds of
trouble in it.  Days played more than once are summed up below with their mean and
spread, and the kinds of trouble with how often they were played.
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
    """One day of one entry; ``mark`` is the worth that counts as full."""

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
            yield _day(path.stem, played_site, day)


def _day(entry: str, site: str, day: dict[str, Any]) -> PlayedDay:
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
    """Print the tables."""
    site, since, *_ = [*sys.argv[1:], "", ""]
    by_day: dict[tuple[str, str], list[float]] = defaultdict(list)
    troubles: Counter[str] = Counter()
    for day in played_days(site, since):
        by_day[day.site, day.name].append(day.worth)
        troubles.update(day.troubles)
        told = f"{day.entry} {day.site} {day.name} {day.seed} {day.worth:.3f}"
        print(f"{told} {day.mark} {day.broken} {','.join(day.troubles)}")
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
