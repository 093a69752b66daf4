"""Measures the slopes of docs/CAPACITY.md with the real code at several sizes."""

import argparse
import gc
import json
import os
import time
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from contextlib import ExitStack
from dataclasses import replace
from multiprocessing import get_context
from statistics import mean

from _cost import cpu_seconds, fit, resident_mb, time_call
from _reporting import Report

from runhatch_server.configuration import Deployment, parse_deployment
from runhatch_server.placement import (
    Charge,
    ChargeState,
    LedgerRow,
    LoadUnit,
    PoolState,
    hosting_from_row,
    plan,
)
from runhatch_server.placement._state import pool_models
from runhatch_server.placement._store import VersionedRow
from runhatch_server.serving import Hosting, PlacementCache
from runhatch_server.targets import EngineClient
from runhatch_standins import launch
from runhatch_standins._cluster import Sizes, call, start_cluster

TABLE_SIZES = ((100, 70), (400, 280), (860, 600), (1_500, 1_000), (2_000, 1_200))
POOL_SIZES = ((12, 8), (23, 16), (46, 32), (92, 64))
NODE_COUNTS = (3, 6, 9, 16, 32)
TARGET_NODES = 390
WATCH_SECONDS = 12.0
READ_ENGINES = 4
WORKERS_PER_POOL = 60
"""Workers per pool at the target size of ten pools."""


def make_document(models: int, workers: int) -> bytes:
    """Return a configuration with two adapters per model, encoded as JSON."""
    pools = max(1, workers // WORKERS_PER_POOL)
    by_pool: list[list[dict[str, object]]] = [[] for _ in range(pools)]
    for index in range(workers):
        target = {
            "name": f"worker-{index:04d}",
            "url": f"http://10.1.{index // 250}.{index % 250}:8000",
            "failure_domain": f"domain-{index % 10}",
            "memory_mb": 320_000,
            "accelerators": 4,
            "concurrency": 64,
            "fencing": "refuses",
        }
        by_pool[index % pools].append(target)
    return json.dumps(
        {
            "pools": [
                {"name": f"pool-{i}", "targets": targets}
                for i, targets in enumerate(by_pool)
            ],
            "models": [
                {
                    "name": f"model-{i:04d}",
                    "pool": f"pool-{i % pools}",
                    "memory_mb": 60_000,
                }
                for i in range(models)
            ],
            "adapters": [
                {
                    "name": f"adapter-{i:04d}",
                    "base": f"model-{i % models:04d}",
                    "memory_mb": 100,
                }
                for i in range(models * 2)
            ],
        }
    ).encode()


def make_hostings(deployment: Deployment) -> list[Hosting]:
    """Return a placement with each model on about three workers of its pool."""
    results = []
    for pool in deployment.pools:
        models = pool_models(deployment, pool)
        for index, target in enumerate(pool.targets):
            units = []
            for offset in range(max(1, 3 * len(models) // len(pool.targets))):
                model = models[(index * 4 + offset) % len(models)]
                units += [model.unit_name]
                units += [a.unit for a in deployment.adapters_of(model.name)]
            results.append(Hosting(target.name, 1, tuple(units)))
    return results


def measure_tables(size: tuple[int, int]) -> dict[str, float]:
    """Return the memory and processor time of one node's tables at ``size``."""
    import eliot  # noqa: F401 - imported by the daemon, so part of its memory
    import json5  # noqa: F401
    import prometheus_client  # noqa: F401
    import pynng  # noqa: F401
    import waitress  # noqa: F401

    body = make_document(*size)
    gc.collect()
    before = resident_mb(os.getpid())
    deployment = parse_deployment(body)
    picture = PlacementCache()
    picture.set_deployment(deployment)
    placement = make_hostings(deployment)
    for hosting in placement:
        picture.apply_hosting(hosting)
    gc.collect()
    after = resident_mb(os.getpid())
    version = [1]

    def learn() -> None:
        version[0] += 1
        hosting = placement[version[0] % len(placement)]
        units = hosting.units[version[0] % 2 :]
        picture.apply_hosting(replace(hosting, version=version[0], units=units))

    return {
        "body_kb": len(body) / 1024,
        "tables_mb": after - before,
        "resident_mb": after,
        "parse_ms": time_call(lambda: parse_deployment(body)) * 1000,
        "learn_ms": time_call(learn) * 1000,
    }


def make_pool_state(models: int, workers: int) -> PoolState:
    """Return the state of a fully loaded pool with evenly distributed work."""
    deployment = parse_deployment(make_document(models, workers))
    pool = deployment.pools[0]
    rows = {t.name: LedgerRow(t.name, t.memory_mb) for t in pool.targets}
    state = PoolState(
        pool, deployment.models, deployment.adapters, deployment.policy, rows, {}
    )
    while loads := [a for a in plan(state) if isinstance(a, LoadUnit)]:
        for load in loads:
            row = rows[load.target]
            charge: Charge = replace(load.new_charge(), state=ChargeState.SERVING)
            rows[load.target] = row.with_charge(charge)
    work = {model.name: 8.0 for model in deployment.models}
    return replace(state, work=work)


def measure_plan(size: tuple[int, int]) -> dict[str, float]:
    """Return the processor time of planning a pool of ``size`` once."""
    state = make_pool_state(*size)
    rows = [VersionedRow(row, 1, era=0) for row in state.rows.values()]
    return {
        "plan_ms": time_call(lambda: plan(state)) * 1000,
        "hostings_ms": time_call(lambda: [hosting_from_row(row) for row in rows])
        * 1000,
    }


def measure_nodes(nodes: int) -> dict[str, float]:
    """Return the resource use of an idle node in a cluster of ``nodes`` nodes."""
    # Few threads, so that many nodes fit on one machine; default intervals.
    settings = {
        "serving": {"threads": 8},
        "placement": {
            "interval_seconds": 1,
            "lease_seconds": 6,
            "refresh_seconds": 10,
        },
    }
    cluster = start_cluster(
        Sizes(nodes=nodes, engines=2, models=4, adapters=2), settings
    )
    try:
        cluster.apply(cluster.deployment(), "slopes")
        cluster.wait_resident("n1", 30)
        time.sleep(4)
        pids = [node.process.pid for node in cluster.nodes.values()]
        urls = [cluster.operator_url(name) for name in cluster.nodes]
        before = [cpu_seconds(pid) for pid in pids]
        peer_counts = [_peer_counts(url) for url in urls]
        store_stats = call(cluster.platform.url, "GET", "/stats")
        time.sleep(WATCH_SECONDS)
        after = [cpu_seconds(pid) for pid in pids]
        peer_counts_after = [_peer_counts(url) for url in urls]
        store_stats_after = call(cluster.platform.url, "GET", "/stats")
        memory = [resident_mb(pid) for pid in pids]
    finally:
        cluster.close()
    pairs = zip(peer_counts, peer_counts_after, strict=True)
    rates = [(b[0] - a[0], b[1] - a[1]) for a, b in pairs]
    cpu = [(b - a) / WATCH_SECONDS for a, b in zip(before, after, strict=True)]
    return {
        "cpu_percent": 100 * mean(cpu),
        "cpu_percent_most": 100 * max(cpu),
        "messages_s": mean(m for m, _ in rates) / WATCH_SECONDS,
        "bytes_s": mean(b for _, b in rates) / WATCH_SECONDS,
        "resident_mb": mean(memory),
        "store_reads_s": (store_stats_after["reads"] - store_stats["reads"])
        / WATCH_SECONDS,
        "store_writes_s": (store_stats_after["writes"] - store_stats["writes"])
        / WATCH_SECONDS,
    }


def _peer_counts(url: str) -> tuple[float, float]:
    """Return the numbers of messages and bytes a node has sent and received."""
    import http.client
    from urllib.parse import urlsplit

    parts = urlsplit(url)
    connection = http.client.HTTPConnection(str(parts.hostname), parts.port, timeout=10)
    connection.request("GET", "/metrics")
    text = connection.getresponse().read().decode()
    connection.close()
    totals = {"messages": 0.0, "bytes": 0.0}
    for line in text.splitlines():
        for kind in totals:
            for direction in ("in", "out"):
                prefix = f'runhatch_peer_{kind}_total{{direction="{direction}"}} '
                if line.startswith(prefix):
                    totals[kind] += float(line.removeprefix(prefix))
    return totals["messages"], totals["bytes"]


def report_tables() -> None:
    """Report the cost of tables, measured in a new process for each size."""
    report = Report("tables", "Tables of one node by size", "make slopes")
    results = []
    for size in TABLE_SIZES:
        with ProcessPoolExecutor(1, get_context("spawn")) as pool:
            figures = pool.submit(measure_tables, size).result()
        results.append(figures)
        rounded = {name: round(value, 3) for name, value in figures.items()}
        report.add(models=size[0], workers=size[1], **rounded)
    models = [float(size[0]) for size in TABLE_SIZES]
    for name, unit in (("tables_mb", "MB"), ("parse_ms", "ms"), ("learn_ms", "ms")):
        line = fit(models, [figures[name] for figures in results])
        report.add_note(
            f"{name}: {line.intercept:.3g} + {line.slope * 1000:.3g} {unit} for 1,000 "
            f"models (root mean square of residuals: {line.error:.2g} {unit})."
        )
    report.write()


def report_plans() -> None:
    """Report the cost of planning by pool size."""
    report = Report("plans", "One round of planning a pool", "make slopes")
    results = []
    for size in POOL_SIZES:
        figures = measure_plan(size)
        results.append(figures)
        rounded = {name: round(value, 3) for name, value in figures.items()}
        report.add(models=size[0], workers=size[1], **rounded)
    workers = [float(size[1]) for size in POOL_SIZES]
    line = fit(workers, [figures["plan_ms"] for figures in results])
    report.add_note(
        f"plan_ms: {line.intercept:.3g} + {line.slope:.3g} ms a worker (root mean "
        f"square of residuals: {line.error:.2g} ms)."
    )
    report.write()


def report_nodes() -> None:
    """Report the cost of idle nodes by cluster size."""
    report = Report("nodes", "An idle node among others", "make slopes")
    results = []
    for nodes in NODE_COUNTS:
        figures = measure_nodes(nodes)
        results.append(figures)
        rounded = {name: round(value, 3) for name, value in figures.items()}
        report.add(nodes=nodes, **rounded)
    counts = [float(nodes) for nodes in NODE_COUNTS]
    for name in ("store_reads_s", "store_writes_s", "resident_mb"):
        line = fit(counts, [figures[name] for figures in results])
        report.add_note(
            f"{name}: {line.intercept:.3g} + {line.slope:.3g} a node, so "
            f"{line.at(TARGET_NODES):.4g} at {TARGET_NODES} nodes (root mean square "
            f"of residuals: {line.error:.2g})."
        )
    report.write()


def report_readings() -> None:
    """Report the cost of reading the reports of a pool's workers."""
    report = Report("readings", "Reading a pool's reports", "make slopes")
    with ExitStack() as stack:
        engines = [
            launch(f"e{i}", "runhatch_standins.engine") for i in range(READ_ENGINES)
        ]
        for engine in engines:
            stack.callback(engine.kill)
        costs = []
        for _, workers in POOL_SIZES:
            urls = [engines[i % READ_ENGINES].url for i in range(workers)]
            clients = [EngineClient(url) for url in urls]
            with ThreadPoolExecutor(8) as pool:
                cost = time_call(
                    lambda: list(pool.map(_read_report, clients)),  # noqa: B023
                    min_seconds=1.0,
                )
            costs.append(cost * 1000)
            report.add(workers=workers, readings_ms=round(cost * 1000, 3))
    line = fit([float(size[1]) for size in POOL_SIZES], costs)
    report.add_note(
        f"readings_ms: {line.intercept:.3g} + {line.slope:.3g} ms a worker (root mean "
        f"square of residuals: {line.error:.2g} ms)."
    )
    report.write()


def _read_report(client: EngineClient) -> object:
    return client.fetch_report()


REPORTS = {
    "tables": report_tables,
    "plans": report_plans,
    "readings": report_readings,
    "nodes": report_nodes,
}


def main() -> None:
    """Run all reports, or those given as arguments."""
    parser = argparse.ArgumentParser()
    parser.add_argument("reports", nargs="*", choices=[*REPORTS, []])
    for name in parser.parse_args().reports or REPORTS:
        REPORTS[name]()


if __name__ == "__main__":
    main()
