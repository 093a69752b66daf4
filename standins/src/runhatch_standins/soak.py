"""Run a cluster of processes under random faults and check its guarantees.

The seed fixes the schedule of faults and requests, but not how the operating system
schedules processes: a violation may need several runs of a seed to recur.
"""

import argparse
import json
import random
import sys
import threading
import time
from collections import Counter
from concurrent.futures import Executor, ThreadPoolExecutor
from dataclasses import dataclass, field

from runhatch_standins._callers import Got, Shape, Wanted, send
from runhatch_standins._cluster import Cluster, Sizes, call, start_cluster
from runhatch_standins._disturbances import Disturber, make_schedule
from runhatch_standins._history import EventKind, check_history
from runhatch_standins.demo import count_runs, memory_violations, say

CALLERS = 12
OPERATORS = 2
SETTLE_SECONDS = 60.0
IN_FORCE_SECONDS = 5.0
EXIT_BROKEN_INVARIANT = 70


@dataclass(slots=True)
class Observed:
    """Responses and revisions observed in a run; shared by its threads."""

    gots: list[Got] = field(default_factory=list)
    accepted: list[int] = field(default_factory=list)
    conflicts: int = 0
    reverted: list[str] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)


class Soak:
    """One run: callers, operators, a watcher of revisions, and injected faults."""

    def __init__(self, cluster: Cluster, seed: int, seconds: float) -> None:
        self._cluster = cluster
        self._seed = seed
        self._seconds = seconds
        self._stop = threading.Event()
        self.observed = Observed()
        self.disturber = Disturber(cluster)

    def run(self) -> None:
        """Run callers, operators and faults for the configured number of seconds."""
        workers = [
            *(lambda i=i: self._run_caller(i) for i in range(CALLERS)),
            *(lambda i=i: self._run_operator(i) for i in range(OPERATORS)),
            self._watch_revisions,
        ]
        with ThreadPoolExecutor(64) as pool:
            running = [pool.submit(worker) for worker in workers]
            try:
                self._inject_faults(pool)
            finally:
                self._stop.set()
            for future in running:
                future.result()

    def _inject_faults(self, pool: Executor) -> None:
        """Inject the scheduled faults and wait until all are reverted."""
        started = time.monotonic()
        futures = []
        for planned in make_schedule(self._seed, self._seconds):
            self._stop.wait(max(0.0, started + planned.at - time.monotonic()))
            futures.append(pool.submit(self.disturber.run, planned))
        self._stop.wait(max(0.0, started + self._seconds - time.monotonic()))
        for future in futures:
            future.result()

    def _rotation_urls(self) -> list[str]:
        """Return the URLs of the nodes that are in rotation at the load balancer."""
        names = sorted(set(self._cluster.settings) - self.disturber.avoided)
        return [self._cluster.caller_url(name) for name in names]

    def _run_caller(self, caller: int) -> None:
        rng = random.Random(self._seed * 1_000 + caller)
        count = 0
        while not self._stop.is_set():
            shape = rng.choice([*Shape])
            request = Wanted(
                f"s{self._seed}-{caller}-{count}",
                shape,
                f"m{rng.randrange(8)}",
                rng.randint(3, 60),
                rng.choice([2.0, 5.0, 15.0]),
            )
            count += 1
            attempt_count = rng.randint(2, 4) if request.once else 1
            for _ in range(attempt_count):
                url = rng.choice(self._rotation_urls())
                response = send(url, request)
                with self.observed.lock:
                    self.observed.gots.append(response)
            time.sleep(rng.uniform(0, 0.05))

    def _run_operator(self, operator: int) -> None:
        """Change an unimportant setting repeatedly, in competition with operators."""
        rng = random.Random(self._seed * 77 + operator)
        while not self._stop.wait(rng.uniform(0.5, 2.0)):
            name = rng.choice(sorted(self._cluster.settings))
            url = self._cluster.operator_url(name)
            try:
                current = call(url, "GET", "/v1/configuration", timeout=5)
                document = current["document"]
                policy = document.setdefault("policy", {})
                policy["horizon_seconds"] = rng.randint(60, 600)
                change = {"base": current["revision"], "document": document}
                answer = call(url, "PUT", "/v1/configuration", change, timeout=5)
            except RuntimeError as error:
                self.observed.conflicts += " 409 " in str(error)
            except (OSError, ValueError):
                continue
            else:
                with self.observed.lock:
                    self.observed.accepted.append(int(answer["revision"]))

    def _watch_revisions(self) -> None:
        """Record each decrease of a node's revision within one process."""
        last_revisions: dict[tuple[str, int], int] = {}
        while not self._stop.wait(0.2):
            for name in sorted(self._cluster.settings):
                process = self._cluster.nodes[name].process
                revision = self._fetch_revision(name)
                # A restarted process may answer on this port before it is in ``nodes``.
                if revision is None or process.poll() is not None:
                    continue
                if revision < last_revisions.get((name, process.pid), 0):
                    self.observed.reverted.append(
                        f"{name}: revision decreased to {revision}"
                    )
                last_revisions[name, process.pid] = revision

    def _fetch_revision(self, name: str) -> int | None:
        url = self._cluster.operator_url(name)
        try:
            query = {"noun": "configuration"}
            answer = call(url, "POST", "/v1/query", query, timeout=1)
        except (OSError, RuntimeError, ValueError):
            return None
        records = answer["records"]
        return int(records[0]["revision"]) if records else 0

    def wait_in_force(self) -> list[str]:
        """Return a violation per node that lacks the last accepted revision in time."""
        last_revision = max(self.observed.accepted, default=0)
        deadline = time.monotonic() + IN_FORCE_SECONDS
        names = sorted(self._cluster.settings)
        while time.monotonic() < deadline:
            names = [n for n in names if (self._fetch_revision(n) or 0) < last_revision]
            if not names:
                return []
            time.sleep(0.1)
        return [f"{name}: revision {last_revision} is not in force" for name in names]


def check(cluster: Cluster, soak: Soak) -> list[str]:
    """Return all violations; waits for the system to recover from the faults."""
    observed = soak.observed
    violations = soak.wait_in_force()
    for name in sorted(cluster.settings):
        if not cluster.wait_resident(name, SETTLE_SECONDS):
            models = cluster.query(name, {"noun": "models"})
            unavailable = [m["name"] for m in models if not m["replicas"]]
            violations.append(f"{name}: lists no replica of {unavailable}")
    runs = count_runs(cluster)
    lookups = [g.event.request for g in observed.gots if "free" in g.event.answer]
    runs.update(dict.fromkeys(lookups, 1))
    violations += check_history([got.event for got in observed.gots], runs)
    violations += memory_violations(cluster)
    violations += observed.reverted
    for code in soak.disturber.exit_codes:
        if code != 0:
            violations.append(f"a node exited with status {code}")
    for name, node in cluster.nodes.items():
        if node.process.poll() is not None:
            violations.append(
                f"{name} exited unexpectedly with status {node.process.returncode}"
            )
    return violations


def summarise(soak: Soak, violations: list[str]) -> None:
    """Print counts of faults, responses and changes, and the violations."""
    observed = soak.observed
    kinds = Counter(got.event.kind for got in observed.gots)
    say("\nfaults injected")
    for kind, count in sorted(soak.disturber.counts.items(), key=lambda p: p[0].value):
        say(f"  {kind.value:<32}{count:>5}")
    say("requests sent")
    for event, count in sorted(kinds.items(), key=lambda p: p[0].value):
        say(f"  {event.value:<32}{count:>5}")
    reasons = Counter(
        json.loads(got.event.answer or "{}").get("reason", "?")
        for got in observed.gots
        if got.event.kind in (EventKind.REFUSED_NO, EventKind.REFUSED_UNKNOWN)
        and got.event.answer.startswith("{")
    )
    for reason, count in reasons.most_common():
        say(f"    {reason:<30}{count:>5}")
    say(
        f"configuration: {len(observed.accepted)} changes accepted, "
        f"{observed.conflicts} conflicts"
    )
    say(
        "checked: at most once, complete and correct answers, refused means not run, "
        "memory, weight store, revisions, reachability, exit statuses"
    )
    for violation in violations[:30]:
        say(f"VIOLATION {violation}")
    say(f"soak: {len(observed.gots)} requests sent, {len(violations)} violations")


def main() -> int:
    """Run a soak and return the exit status, 1 if there is a violation."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    sizes = Sizes(seed=arguments.seed)
    cluster = start_cluster(sizes, relayed=True)
    try:
        cluster.apply(cluster.deployment(), "soak")
        for name in cluster.nodes:
            if not cluster.wait_resident(name, SETTLE_SECONDS):
                say(f"soak: {name} lacks a replica of some model or adapter")
                return 1
        say(f"soak: seed {arguments.seed}, {arguments.seconds:g} seconds")
        soak = Soak(cluster, arguments.seed, arguments.seconds)
        soak.run()
        violations = check(cluster, soak)
        summarise(soak, violations)
        return 1 if violations else 0
    finally:
        cluster.close()


if __name__ == "__main__":
    sys.exit(main())
