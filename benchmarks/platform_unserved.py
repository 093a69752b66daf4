"""Models and adapters that were asked for and never answered, from gateways' lines.

``python benchmarks/platform_unserved.py LOG...`` reads what they wrote and prints, for
each log, what was asked for several times over some seconds without one answer: how
often, when, why it was refused, and what plans that left it said of it.
"""

import sys
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

from platform_losses import lines

LEAST_ASKED = 4
"""Requests from which a model that had no answer is told of."""
LEAST_SECONDS = 8.0
"""Time between the first and the last of them."""


@dataclass(slots=True)
class Asked:
    """Requests for one model or adapter; times are those of the lines."""

    times: list[float] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    answered: int = 0
    left: Counter[str] = field(default_factory=Counter)

    def take(self, line: dict[str, Any]) -> None:
        """Count one request line."""
        self.times.append(line["timestamp"])
        self.outcomes[str(line["outcome"])] += 1
        self.answered += line["status"] == 200

    @property
    def counts(self) -> bool:
        """Whether it was asked for often enough, for long enough."""
        lasting = self.times and max(self.times) - min(self.times) >= LEAST_SECONDS
        return len(self.times) >= LEAST_ASKED and bool(lasting)


def read(path: str) -> dict[tuple[str, str], Asked]:
    """Return what one log asks for, by model and adapter."""
    asked: defaultdict[tuple[str, str], Asked] = defaultdict(Asked)
    for line in lines([path], "request", "load_left"):
        if line["message_type"] == "load_left":
            asked[line["model"], ""].left[str(line["because"])] += 1
        elif line["model"]:
            asked[line["model"], line["adapter"]].take(line)
    return asked


def main() -> None:
    """Print the tables."""
    for path in sys.argv[1:]:
        asked = {name: each for name, each in read(path).items() if each.counts}
        unserved = {name: each for name, each in asked.items() if not each.answered}
        print(f"{path}: {len(unserved)} of {len(asked)} never answered")
        for (model, adapter), each in sorted(unserved.items()):
            begun, ended = min(each.times), max(each.times)
            print(
                f"  {model}/{adapter}" if adapter else f"  {model}",
                f"{len(each.times)} times in {ended - begun:.1f} s,",
                ", ".join(f"{n} {outcome}" for outcome, n in each.outcomes.items()),
                f"; left as {dict(each.left)}" if each.left else "",
            )


if __name__ == "__main__":
    main()
