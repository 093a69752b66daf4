"""A randomised run of real processes under faults, with its promises checked.

The schedule of faults and requests is fixed by the seed; what the operating system
makes of it is not, so a violation may take several runs of a seed to show again.
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
    """What was seen during the run; shared by its threads."""

    gots: list[Got] = field(default_factory=list)
    accepted: list[int] = field(default_factory=list)
    conflicts: int = 0
    reverted: list[str] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)


class Soak:
    """One run: callers, operators, watchers and disturbances."""

    def __init__(self, cluster: Cluster, seed: int, seconds: float) -> None:
        self._cluster = cluster
        self._seed = seed
        self._seconds = seconds
        self._stop = threading.Event()
        self.observed = Observed()
        self.disturber = Disturber(cluster)

    def run(self) -> None:
        """Run for the set time."""
        workers = [
            *(lambda i=i: self._call(i) for i in range(CALLERS)),
            *(lambda i=i: self._operate(i) for i in range(OPERATORS)),
            self._watch,
        ]
        with ThreadPoolExecutor(64) as pool:
            running = [pool.submit(worker) for worker in workers]
            try:
                self._disturb(pool)
            finally:
                self._stop.set()
            for future in running:
                future.result()

    def _disturb(self, pool: Executor) -> None:
        """Make the scheduled disturbances, and wait until all are over."""
        started = time.monotonic()
        disturbances = []
        for planned in make_schedule(self._seed, self._seconds):
            self._stop.wait(max(0.0, started + planned.at - time.monotonic()))
            disturbances.append(pool.submit(self.disturber.run, planned))
        self._stop.wait(max(0.0, started + self._seconds - time.monotonic()))
        for future in disturbances:
            future.result()

    def _urls(self) -> list[str]:
        """Return the nodes that a balancer sends to."""
        names = sorted(set(self._cluster.settings) - self.disturber.avoided)
        return [self._cluster.caller_url(name) for name in names]

    def _call(self, caller: int) -> None:
        source = random.Random(self._seed * 1_000 + caller)
        count = 0
        while not self._stop.is_set():
            shape = source.choice([*Shape])
            wanted = Wanted(
                f"s{self._seed}-{caller}-{count}",
                shape,
                f"m{source.randrange(8)}",
                source.randint(3, 60),
                source.choice([2.0, 5.0, 15.0]),
            )
            count += 1
            sendings = source.randint(2, 4) if wanted.once else 1
            for _ in range(sendings):
                url = source.choice(self._urls())
                got = send(url, wanted)
                with self.observed.lock:
                    self.observed.gots.append(got)
            time.sleep(source.uniform(0, 0.05))

    def _operate(self, operator: int) -> None:
        """Race another operator with changes that do not matter in themselves."""
        source = random.Random(self._seed * 77 + operator)
        while not self._stop.wait(source.uniform(0.5, 2.0)):
            name = source.choice(sorted(self._cluster.settings))
            url = self._cluster.operator_url(name)
            try:
                current = call(url, "GET", "/v1/configuration", timeout=5)
                document = current["document"]
                policy = document.setdefault("policy", {})
                policy["horizon_seconds"] = source.randint(60, 600)
                change = {"base": current["revision"], "document": document}
                answer = call(url, "PUT", "/v1/configuration", change, timeout=5)
            except RuntimeError as error:
                self.observed.conflicts += " 409 " in str(error)
            except (OSError, ValueError):
                continue
            else:
                with self.observed.lock:
                    self.observed.accepted.append(int(answer["revision"]))

    def _watch(self) -> None:
        """See that no node's revision ever falls while the node lives."""
        seen: dict[tuple[str, int], int] = {}
        while not self._stop.wait(0.2):
            for name in sorted(self._cluster.settings):
                process = self._cluster.nodes[name].process
                revision = self._revision(name)
                # Its successor answers on the same port before it is known here.
                if revision is None or process.poll() is not None:
                    continue
                if revision < seen.get((name, process.pid), 0):
                    self.observed.reverted.append(f"{name} went back to {revision}")
                seen[name, process.pid] = revision

    def _revision(self, name: str) -> int | None:
        url = self._cluster.operator_url(name)
        try:
            query = {"noun": "configuration"}
            answer = call(url, "POST", "/v1/query", query, timeout=1)
        except (OSError, RuntimeError, ValueError):
            return None
        records = answer["records"]
        return int(records[0]["revision"]) if records else 0

    def wait_in_force(self) -> list[str]:
        """Return the nodes that lack the last accepted revision in the end."""
        last = max(self.observed.accepted, default=0)
        give_up = time.monotonic() + IN_FORCE_SECONDS
        names = sorted(self._cluster.settings)
        while time.monotonic() < give_up:
            names = [n for n in names if (self._revision(n) or 0) < last]
            if not names:
                return []
            time.sleep(0.1)
        return [f"{name}: revision {last} is not in force" for name in names]


def check(cluster: Cluster, soak: Soak) -> list[str]:
    """Return every violation, after the system had time to settle."""
    observed = soak.observed
    violations = soak.wait_in_force()
    for name in sorted(cluster.settings):
        if not cluster.wait_resident(name, SETTLE_SECONDS):
            models = cluster.query(name, {"noun": "models"})
            lacking = [m["name"] for m in models if not m["replicas"]]
            violations.append(f"{name}: knows no replica of {lacking}")
    runs = count_runs(cluster)
    lookups = [g.event.request for g in observed.gots if "free" in g.event.answer]
    runs.update(dict.fromkeys(lookups, 1))
    violations += check_history([got.event for got in observed.gots], runs)
    violations += memory_violations(cluster)
    violations += observed.reverted
    for code in soak.disturber.exit_codes:
        if code != 0:
            violations.append(f"a node ended with status {code}")
    for name, node in cluster.nodes.items():
        if node.process.poll() is not None:
            violations.append(f"{name} ended by itself: {node.process.returncode}")
    return violations


def summarise(soak: Soak, violations: list[str]) -> None:
    """Print what happened."""
    observed = soak.observed
    kinds = Counter(got.event.kind for got in observed.gots)
    say("\nfaults injected")
    for kind, count in sorted(soak.disturber.counts.items(), key=lambda p: p[0].value):
        say(f"  {kind.value:<32}{count:>5}")
    say("sendings")
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
        "checked: at most once, whole and own answers, refused means not run, "
        "memory, weight store, revisions, reachability, exit statuses"
    )
    for violation in violations[:30]:
        say(f"VIOLATION {violation}")
    say(f"soak: {len(observed.gots)} sendings, {len(violations)} violations")


def main() -> int:
    """Run a soak; exit status 1 on a violation."""
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
                say(f"soak: {name} knows no replica of some model")
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
