"""Prints why requests were not answered in time, from the request logs of gateways.

``python benchmarks/platform_losses.py LOG...`` reads the logs and counts the requests
for models that were not answered in time: by reason and route, by reason, by
two-second window, and by the models and targets with the most losses.  Each lost
request counts once in each table, so that all tables have the same total.
"""

import json
import sys
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

WINDOW_SECONDS = 2
MAX_ROWS = 12


@dataclass(frozen=True, slots=True)
class LostRequest:
    """One request that was not answered in time."""

    reason: str
    route: str
    model: str
    target: str
    window: int


def read_messages(paths: Iterable[str], *types: str) -> Iterator[dict[str, Any]]:
    """Yield log messages of these types, ignoring prefixes added by a log collector."""
    patterns = tuple(f'"message_type": "{each}"' for each in types)
    for path in paths:
        for raw in Path(path).read_text(errors="replace").splitlines():
            _, brace, rest = raw.partition("{")
            if not any(each in rest for each in patterns):
                continue
            try:
                yield json.loads(brace + rest)
            except ValueError:
                continue


def loss_reason(line: dict[str, Any]) -> str:
    """Return why a request was not answered in time."""
    if line["outcome"] != "answered":
        return str(line["outcome"])
    if line["status"] >= 300:
        return "failed by its target"
    began, goal = line["began_ms"], line["goal_ms"]
    return "paused too long" if began is not None and began <= goal else "began late"


def find_lost_requests(messages: list[dict[str, Any]]) -> Iterator[LostRequest]:
    """Yield the requests for models that were not answered in time."""
    first = min((line["timestamp"] for line in messages), default=0.0)
    for line in messages:
        if line["in_time"] or not line["model"]:
            continue
        began = line["timestamp"] - line["took_ms"] / 1000 - first
        window = max(0, int(began // WINDOW_SECONDS) * WINDOW_SECONDS)
        target = line["attempts"][-1].partition(":")[0] if line["attempts"] else "none"
        yield LostRequest(
            loss_reason(line), line["route"], line["model"], target, window
        )


def print_table(title: str, counts: Counter[tuple[str, ...]]) -> None:
    """Print one table by descending count; the last row sums up the remainder."""
    print(f"\n{title}: {counts.total()} lost")
    rows = counts.most_common(MAX_ROWS)
    for names, count in rows:
        print(f"{count:7} {'  '.join(names)}")
    rest = counts.total() - sum(count for _, count in rows)
    if rest:
        print(f"{rest:7} in {len(counts) - len(rows)} more rows")


def main() -> None:
    """Print the tables for the logs given as arguments."""
    messages = list(read_messages(sys.argv[1:], "request"))
    if not messages:
        print(__doc__)
        return
    losses = list(find_lost_requests(messages))
    model_requests = sum(bool(line["model"]) for line in messages)
    print(f"{model_requests} requests for models, {len(losses)} not answered in time")
    print_table(
        "by reason and route", Counter((each.reason, each.route) for each in losses)
    )
    print_table("by reason", Counter((each.reason,) for each in losses))
    print_table("by seconds", Counter((f"{each.window:3} s",) for each in losses))
    print_table("by model", Counter((each.model, each.reason) for each in losses))
    print_table("by target", Counter((each.target, each.reason) for each in losses))


if __name__ == "__main__":
    main()
