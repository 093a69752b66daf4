"""Demonstrate a small system under mixed requests, a drain and a killed node."""

import random
import sys
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from runhatch_standins._callers import Got, Shape, Wanted, send, send_until_settled
from runhatch_standins._cluster import Cluster, Sizes, call, start_cluster
from runhatch_standins._history import Event, EventKind, check_history

REQUESTS = 300
WORKERS = 24
SEED = 7
KILLED = "n3"
DRAINED = "e3"
RESIDENT_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class Outcome:
    """One request with its responses and those to its repeats."""

    wanted: Wanted
    gots: tuple[Got, ...]
    repeats: tuple[Got, ...] = ()

    @property
    def last(self) -> EventKind:
        """Return the kind of the response that settled the request."""
        return self.gots[-1].event.kind


def say(text: str) -> None:
    """Print one line of progress."""
    print(text, flush=True)


def make_requests(seed: int) -> list[Wanted]:
    """Return requests of all shapes, equal for equal seeds."""
    rng = random.Random(seed)
    shapes = [*Shape]
    requests = []
    for index in range(REQUESTS):
        shape = shapes[index % len(shapes)]
        names = [f"m{i}" for i in range(8)] + [f"a{i}" for i in range(4)]
        model = rng.choice(names)
        tokens = rng.randint(4, 40)
        requests.append(Wanted(f"request-{index:04d}", shape, model, tokens))
    return requests


def serve_one(cluster: Cluster, index: int, wanted: Wanted) -> Outcome:
    """Send one request, and repeat it at all nodes if it may run only once."""
    survivors = [name for name in cluster.settings if name != KILLED]
    names = [*cluster.settings]
    start = index % len(names)
    order = names[start:] + names[:start]
    if wanted.once:
        # The outcome of a run interrupted by the kill would stay unknown; the soak
        # covers that case.
        order = survivors if index % 2 else survivors[::-1]
    urls = [cluster.caller_url(name) for name in order]
    gots = tuple(send_until_settled(urls, wanted))
    if not wanted.once:
        return Outcome(wanted, gots)
    repeats = tuple(send(cluster.caller_url(name), wanted) for name in names)
    return Outcome(wanted, gots, repeats)


def disturb(cluster: Cluster, progress: list[int]) -> None:
    """Drain a target after a third of the requests, kill a node after two thirds."""
    while progress[0] < REQUESTS // 3:
        time.sleep(0.02)
    node = cluster.operator_url("n1")
    cluster.runhatch("query", f"drain {DRAINED}", "--node", node)
    say(f"  drained target {DRAINED} at request {progress[0]}")
    while progress[0] < 2 * REQUESTS // 3:
        time.sleep(0.02)
    cluster.nodes[KILLED].kill()
    say(f"  killed node {KILLED} at request {progress[0]}")


def run_requests(cluster: Cluster, requests: list[Wanted]) -> list[Outcome]:
    """Send all requests during a drain and the kill of a node."""
    progress = [0]
    lock = threading.Lock()
    disturber = threading.Thread(target=disturb, args=(cluster, progress))
    disturber.start()

    def serve_and_count(indexed_request: tuple[int, Wanted]) -> Outcome:
        outcome = serve_one(cluster, *indexed_request)
        with lock:
            progress[0] += 1
            if progress[0] % 100 == 0:
                say(f"  {progress[0]} requests settled")
        return outcome

    with ThreadPoolExecutor(WORKERS) as pool:
        outcomes = list(pool.map(serve_and_count, enumerate(requests)))
    disturber.join()
    return outcomes


def count_runs(cluster: Cluster) -> Counter[str]:
    """Return the number of runs of each request from the records of the targets."""
    runs: Counter[str] = Counter()
    for engine in cluster.engines:
        record = call(engine.url, "GET", "/record")
        runs.update(r["prompt"] for r in record["runs"] if r["what"] == "began")
    bookings = call(cluster.booking.url, "GET", "/record")["bookings"]
    runs.update(booking["drum"] for booking in bookings)
    return runs


def history_of(outcomes: list[Outcome]) -> list[Event]:
    """Return the events of all responses, repeats included."""
    return [got.event for o in outcomes for got in (*o.gots, *o.repeats)]


def memory_violations(cluster: Cluster) -> list[str]:
    """Return violations of memory and load limits recorded by the stand-ins."""
    violations: list[str] = []
    for engine in cluster.engines:
        violations += call(engine.url, "GET", "/record")["violations"]
    stats = call(cluster.weights.url, "GET", "/stats")
    if stats["breaches"]:
        violations.append(
            f"weight store: {stats['breaches']} loads exceeded its limits"
        )
    return violations


def report(cluster: Cluster, outcomes: list[Outcome]) -> int:
    """Print a table and a summary line; return the exit status."""
    runs = count_runs(cluster)
    # The service does not record lookups, so their runs cannot be counted.
    lookups = {o.wanted.name for o in outcomes if o.wanted.shape is Shape.LOOKUP}
    runs.update(dict.fromkeys(lookups, 1))
    violations = check_history(history_of(outcomes), runs)
    violations += memory_violations(cluster)
    say(f"\n{'kind':<14}{'sent':>6}{'answered':>10}{'refused':>9}{'repeats':>9}")
    for shape in Shape:
        of_shape = [o for o in outcomes if o.wanted.shape is shape]
        answered = sum(o.last is EventKind.ANSWERED for o in of_shape)
        refused = sum(o.last is EventKind.REFUSED_NO for o in of_shape)
        repeats = sum(len(o.repeats) for o in of_shape)
        say(
            f"{shape.value:<14}{len(of_shape):>6}{answered:>10}{refused:>9}{repeats:>9}"
        )
    answered = sum(o.last is EventKind.ANSWERED for o in outcomes)
    refused = sum(o.last is EventKind.REFUSED_NO for o in outcomes)
    lost = len(outcomes) - answered - refused
    doubled = sum(runs[o.wanted.name] > 1 for o in outcomes if o.wanted.once)
    for violation in violations[:20]:
        say(f"VIOLATION {violation}")
    say(
        f"demo: {len(outcomes)} requests, {answered} answered once, "
        f"{refused} refused as not run, {lost} lost, {doubled} doubled"
    )
    return 1 if violations or lost or doubled else 0


def main() -> int:
    """Run the demonstration and return the exit status."""
    say("starting the platform, 3 engines, a plain service and 3 nodes")
    cluster = start_cluster(Sizes())
    try:
        say(f"  {cluster.apply(cluster.deployment(), 'demo')}")
        for name in cluster.nodes:
            if not cluster.wait_resident(name, RESIDENT_SECONDS):
                say(f"demo: {name} lacks a replica of some model or adapter")
                return 1
        say("  8 models and 4 adapters are resident")
        say(f"sending {REQUESTS} requests")
        outcomes = run_requests(cluster, make_requests(SEED))
        return report(cluster, outcomes)
    finally:
        cluster.close()


if __name__ == "__main__":
    sys.exit(main())
