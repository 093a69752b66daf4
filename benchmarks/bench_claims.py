"""Claims a second, and what group commit saves, against a table with a delay."""

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
KEYED = 600
CREATED = 201
IDLE_WRITES_A_SECOND = 0.42


class SlowTable(MemoryTable):
    """A table whose every write takes as long as one in the next hall."""

    def transact(self, writes):
        time.sleep(CALL_SECONDS)
        return super().transact(writes)


class SingleCommitter:
    """Commits each transaction by itself."""

    def __init__(self, table):
        self._table = table

    def commit(self, writes):
        return commit(self._table, writes)


def run(nodes: int, grouped: bool) -> tuple[float, float]:
    """Return claims a second and calls to the table for each claim."""
    table = SlowTable()
    committers: list[Committer] = [
        GroupCommitter(table) if grouped else SingleCommitter(table)
        for _ in range(nodes)
    ]
    clock = SystemClock()
    claims = [Claims(table, each, f"n{i}", clock) for i, each in enumerate(committers)]

    def work(index: int) -> None:
        node = claims[index % nodes]
        taken = node.take(f"key-{index}", "digest")
        assert isinstance(taken, Taken)
        node.finish(taken, "answer")

    started = time.perf_counter()
    with ThreadPoolExecutor(THREADS) as pool:
        list(pool.map(work, range(CLAIMS)))
    took = time.perf_counter() - started
    return CLAIMS / took, table.writes / CLAIMS


def count_store_writes(inline_bytes: int, at_once: int) -> dict[str, float]:
    """Return what a keyed request writes to the store, by whole processes."""
    serving = {"inline_answer_bytes": inline_bytes}
    cluster = start_cluster(Sizes(models=1, adapters=0), {"serving": serving})
    try:
        cluster.apply(cluster.deployment(), "bench")
        urls = [cluster.caller_url(name) for name in cluster.nodes]
        before = call(cluster.platform.url, "GET", "/stats")
        started = time.perf_counter()
        with ThreadPoolExecutor(at_once) as pool:
            wanted = [Wanted(f"b{i}", Shape.BOOKING, "") for i in range(KEYED)]
            times = sorted(
                pool.map(lambda i: _time(urls[i % 3], wanted[i]), range(KEYED))
            )
        took = time.perf_counter() - started
        after = call(cluster.platform.url, "GET", "/stats")
    finally:
        cluster.close()
    idle = IDLE_WRITES_A_SECOND * took
    rows = (after["writes"] - before["writes"] - idle) / KEYED
    objects = (after["object_puts"] - before["object_puts"]) / KEYED
    return {
        "table_writes": round(rows, 2),
        "object_writes": round(objects, 2),
        "store_writes": round(rows + objects, 2),
        "p50_ms": round(times[KEYED // 2], 1),
        "p95_ms": round(times[KEYED * 95 // 100], 1),
    }


def _time(url: str, wanted: Wanted) -> float:
    """Return the milliseconds of one request; raises unless it is answered."""
    started = time.perf_counter()
    got = send(url, wanted)
    if got.status != CREATED:
        raise RuntimeError(f"{wanted.name}: status {got.status}")
    return (time.perf_counter() - started) * 1_000


def store_rows() -> None:
    """Report what keeping small answers in their claims' rows saves."""
    report = Report("kept", "Store writes of a keyed request", "make bench-claims")
    for inline_bytes in (0, 8_192):
        for at_once in (1, 32):
            report.add(
                inline_answer_bytes=inline_bytes,
                at_once=at_once,
                **count_store_writes(inline_bytes, at_once),
            )
    report.note(
        f"{KEYED} bookings through three nodes to one plain service, 20 ms each; "
        f"less {IDLE_WRITES_A_SECOND:g} writes a second of an idle system."
    )
    report.write()


def main() -> None:
    """Run and report."""
    store_rows()
    report = Report("claims", "Claims and group commit", "make bench-claims")
    for nodes in NODES:
        for grouped in (False, True):
            rate, calls = run(nodes, grouped)
            report.add(
                nodes=nodes,
                grouped=grouped,
                claims_s=round(rate),
                table_calls_a_claim=round(calls, 3),
            )
    report.note(
        f"{THREADS} requests at once over all nodes, {CALL_SECONDS * 1000:g} ms a call "
        "to the table. A claim is two transactions: taken and done."
    )
    report.write()


if __name__ == "__main__":
    main()
