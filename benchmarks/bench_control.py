"""Propagation time of changes and takeover time of leases, by number of nodes."""

import time
from statistics import median
from typing import Any

from _reporting import Report

from runhatch_standins._cluster import Cluster, Sizes, call, start_cluster

NODE_COUNTS = (3, 6, 9)
IDLE_SECONDS = 10.0
Counts = dict[str, Any]
CHANGES = 12
TIMEOUT_SECONDS = 30.0
POOL = "reader"


def measure_spread(cluster: Cluster) -> list[float]:
    """Apply changes; return the seconds until all nodes had applied each."""
    urls = [cluster.operator_url(name) for name in cluster.nodes]
    times = []
    for index in range(CHANGES):
        current = call(urls[0], "GET", "/v1/configuration")
        document = current["document"]
        document.setdefault("policy", {})["move_price"] = 100 + index
        change = {"base": current["revision"], "document": document}
        started = time.monotonic()
        revision = call(urls[0], "PUT", "/v1/configuration", change)["revision"]
        outdated = set(urls)
        while outdated and time.monotonic() - started < TIMEOUT_SECONDS:
            outdated = {url for url in outdated if _revision(url) < revision}
        times.append(time.monotonic() - started)
    return times


def measure_takeover(cluster: Cluster) -> float:
    """Kill the holder of the pool's lease; return the seconds until its takeover."""
    name = next(iter(cluster.nodes))
    records = cluster.query(name, {"noun": "leases"})
    holder, epoch = records[0]["holder"], records[0]["epoch"]
    cluster.nodes[holder].kill()
    started = time.monotonic()
    watcher = next(n for n in cluster.nodes if n != holder)
    while time.monotonic() - started < TIMEOUT_SECONDS:
        records = cluster.query(watcher, {"noun": "leases"})
        if records[0]["epoch"] > epoch and records[0]["holder"] != holder:
            break
        time.sleep(0.05)
    elapsed = time.monotonic() - started
    cluster.start_node(holder)
    return elapsed


def _calls_per_change(
    name: str, before: Counts, after: Counts, idle: Counts, change_seconds: float
) -> float:
    """Return the store calls per change, without those of an idle system."""
    idle_calls = (idle[name] - after[name]) / IDLE_SECONDS * change_seconds
    return round((after[name] - before[name] - idle_calls) / CHANGES, 2)


def _revision(url: str) -> int:
    answer = call(url, "POST", "/v1/query", {"noun": "configuration"})
    records = answer["records"]
    return int(records[0]["revision"]) if records else 0


def main() -> None:
    """Run the benchmark and write its report."""
    report = Report("control", "Spread of changes and takeover", "make bench-control")
    settings = {
        "serving": {"threads": 8},
        "placement": {
            "interval_seconds": 1,
            "lease_seconds": 6,
            "refresh_seconds": 10,
        },
    }
    for nodes in NODE_COUNTS:
        sizes = Sizes(nodes=nodes, engines=2, models=4, adapters=0)
        cluster = start_cluster(sizes, settings)
        try:
            cluster.apply(cluster.deployment(), "bench")
            cluster.wait_resident("n1", 30)
            time.sleep(2)
            before = call(cluster.platform.url, "GET", "/stats")
            started = time.monotonic()
            times = measure_spread(cluster)
            change_seconds = time.monotonic() - started
            after = call(cluster.platform.url, "GET", "/stats")
            time.sleep(IDLE_SECONDS)
            idle = call(cluster.platform.url, "GET", "/stats")
            takeover = measure_takeover(cluster)
        finally:
            cluster.close()
        report.add(
            nodes=nodes,
            spread_median_s=round(median(times), 3),
            spread_most_s=round(max(times), 3),
            changes=CHANGES,
            takeover_s=round(takeover, 2),
            reads_a_change=_calls_per_change(
                "reads", before, after, idle, change_seconds
            ),
            writes_a_change=_calls_per_change(
                "writes", before, after, idle, change_seconds
            ),
            object_gets_a_change=_calls_per_change(
                "object_gets", before, after, idle, change_seconds
            ),
        )
    report.add_note(
        "Spread: from the call that applies a change until the last node has applied "
        "it. Takeover: from the kill of the holder until another node holds the "
        "lease, once per size; the lease lasts 6 s and a challenger waits 1.5 times "
        "that. Reads, writes and objects read are the sum over all nodes for one "
        f"change, without those of {IDLE_SECONDS:g} s of an idle system."
    )
    report.write()


if __name__ == "__main__":
    main()
