"""Prints the models and adapters that were requested but never answered.

``python benchmarks/platform_unserved.py LOG...`` reads logs of gateways and prints,
for requests log, the models and adapters that were requested several times over some
seconds without an answer: the number of requests, their duration, their outcomes and
the reasons for which the planner did not load the model.
"""

import sys
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

from platform_losses import read_messages

MIN_REQUESTS = 4
"""Minimum number of requests for a model to be reported."""
MIN_SECONDS = 8.0
"""Minimum seconds between the first and the last request."""


@dataclass(slots=True)
class RequestSummary:
    """Requests for one model or adapter; ``times`` are timestamps of log lines."""

    times: list[float] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    answered: int = 0
    deferral_reasons: Counter[str] = field(default_factory=Counter)

    def add_request(self, line: dict[str, Any]) -> None:
        """Count the request of one log line."""
        self.times.append(line["timestamp"])
        self.outcomes[str(line["outcome"])] += 1
        self.answered += line["status"] == 200

    @property
    def is_significant(self) -> bool:
        """Whether there were enough requests over a long enough time."""
        long_enough = self.times and max(self.times) - min(self.times) >= MIN_SECONDS
        return len(self.times) >= MIN_REQUESTS and bool(long_enough)


def read_log(path: str) -> dict[tuple[str, str], RequestSummary]:
    """Return the requests in one log by model and adapter."""
    asked: defaultdict[tuple[str, str], RequestSummary] = defaultdict(RequestSummary)
    for line in read_messages([path], "request", "load_left"):
        if line["message_type"] == "load_left":
            asked[line["model"], ""].deferral_reasons[str(line["because"])] += 1
        elif line["model"]:
            asked[line["model"], line["adapter"]].add_request(line)
    return asked


def main() -> None:
    """Print the table of each log given as an argument."""
    for path in sys.argv[1:]:
        asked = {
            name: requests
            for name, requests in read_log(path).items()
            if requests.is_significant
        }
        unserved = {
            name: requests for name, requests in asked.items() if not requests.answered
        }
        print(f"{path}: {len(unserved)} of {len(asked)} never answered")
        for (model, adapter), requests in sorted(unserved.items()):
            first_at, last_at = min(requests.times), max(requests.times)
            print(
                f"  {model}/{adapter}" if adapter else f"  {model}",
                f"{len(requests.times)} times in {last_at - first_at:.1f} s,",
                ", ".join(f"{n} {outcome}" for outcome, n in requests.outcomes.items()),
                f"; left as {dict(requests.deferral_reasons)}"
                if requests.deferral_reasons
                else "",
            )


if __name__ == "__main__":
    main()
