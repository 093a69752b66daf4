"""Claims per second, with and without group commit, on a table with latency."""

import time
from concurrent.futures import ThreadPoolExecutor

from _reporting import Report

from runhatch_coordination import (
    Claims,
    Committer,
    GroupCommitter,
    SystemClock,
    Taken,
    commit,
)
from runhatch_coordination.testing import MemoryTable
from runhatch_standins._callers import Shape, Wanted, send
from runhatch_standins._cluster import Sizes, call, start_cluster

CALL_SECONDS = 0.004
THREADS = 32
CLAIMS = 1_500
NODES = (1, 3, 9, 27)
KEYED_REQUESTS = 600
CREATED = 201
IDLE_WRITES_PER_SECOND = 0.42


class SlowTable(MemoryTable):
    """A table whose writes take as long as those to a store in another hall."""

    def transact(self, writes):
        time.sleep(CALL_SECONDS)
        return super().transact(writes)


class SingleCommitter:
    """Commits each transaction separately."""

    def __init__(self, table):
        self._table = table

    def commit(self, writes):
        return commit(self._table, writes)


def run_claims(nodes: int, grouped: bool) -> tuple[float, float]:
    """Return the claims per second and the table calls per claim."""
    table = SlowTable()
    committers: list[Committer] = [
        GroupCommitter(table) if grouped else SingleCommitter(table)
        for _ in range(nodes)
    ]
    clock = SystemClock()
    claims = [Claims(table, each, f"n{i}", clock) for i, each in enumerate(committers)]

    def claim(index: int) -> None:
        node = claims[index % nodes]
        taken = node.acquire(f"key-{index}", "digest")
        assert isinstance(taken, Taken)
        node.finish(taken, "answer")

    started = time.perf_counter()
    with ThreadPoolExecutor(THREADS) as pool:
        list(pool.map(claim, range(CLAIMS)))
    elapsed = time.perf_counter() - started
    return CLAIMS / elapsed, table.transaction_count / CLAIMS


def count_store_writes(inline_bytes: int, concurrency: int) -> dict[str, float]:
    """Return the store writes and latency of a keyed request in a real cluster."""
    serving = {"inline_answer_bytes": inline_bytes}
    cluster = start_cluster(Sizes(models=1, adapters=0), {"serving": serving})
    try:
        cluster.apply(cluster.deployment(), "bench")
        urls = [cluster.caller_url(name) for name in cluster.nodes]
        before = call(cluster.platform.url, "GET", "/stats")
        started = time.perf_counter()
        with ThreadPoolExecutor(concurrency) as pool:
            wanted = [Wanted(f"b{i}", Shape.BOOKING, "") for i in range(KEYED_REQUESTS)]
            times = sorted(
                pool.map(
                    lambda i: _request_ms(urls[i % 3], wanted[i]), range(KEYED_REQUESTS)
                )
            )
        elapsed = time.perf_counter() - started
        after = call(cluster.platform.url, "GET", "/stats")
    finally:
        cluster.close()
    idle = IDLE_WRITES_PER_SECOND * elapsed
    rows = (after["writes"] - before["writes"] - idle) / KEYED_REQUESTS
    objects = (after["object_puts"] - before["object_puts"]) / KEYED_REQUESTS
    return {
        "table_writes": round(rows, 2),
        "object_writes": round(objects, 2),
        "store_writes": round(rows + objects, 2),
        "p50_ms": round(times[KEYED_REQUESTS // 2], 1),
        "p95_ms": round(times[KEYED_REQUESTS * 95 // 100], 1),
    }


def _request_ms(url: str, wanted: Wanted) -> float:
    """Return the duration of one request in ms; raise ``RuntimeError`` if it fails."""
    started = time.perf_counter()
    outcome = send(url, wanted)
    if outcome.status != CREATED:
        raise RuntimeError(f"{wanted.name}: status {outcome.status}")
    return (time.perf_counter() - started) * 1_000


def report_store_writes() -> None:
    """Report the store writes saved by storing small answers in claim rows."""
    report = Report("kept", "Store writes of a keyed request", "make bench-claims")
    for inline_bytes in (0, 8_192):
        for at_once in (1, 32):
            report.add(
                inline_answer_bytes=inline_bytes,
                at_once=at_once,
                **count_store_writes(inline_bytes, at_once),
            )
    report.add_note(
        f"{KEYED_REQUESTS} bookings through three nodes to one "
        f"plain service, 20 ms each; "
        f"without the {IDLE_WRITES_PER_SECOND:g} writes a second of an idle system."
    )
    report.write()


def main() -> None:
    """Run the benchmark and write its report."""
    report_store_writes()
    report = Report("claims", "Claims and group commit", "make bench-claims")
    for nodes in NODES:
        for grouped in (False, True):
            rate, calls = run_claims(nodes, grouped)
            report.add(
                nodes=nodes,
                grouped=grouped,
                claims_s=round(rate),
                table_calls_a_claim=round(calls, 3),
            )
    report.add_note(
        f"{THREADS} concurrent requests over all nodes, {CALL_SECONDS * 1000:g} ms per "
        "table call. A claim is two transactions: taken and done."
    )
    report.write()


if __name__ == "__main__":
    main()
