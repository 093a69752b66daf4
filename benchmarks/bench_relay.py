"""Overhead of the relay: first token and processor time per token."""

import random
from concurrent.futures import ProcessPoolExecutor

import numpy as np
from _cost import cpu_seconds, resident_mb
from _relay_load import Stream, run_streams
from _reporting import Report

from runhatch_standins._cluster import Sizes, start_cluster

ARRIVAL_SPREAD_SECONDS = 2.0
CASES = [(n, ARRIVAL_SPREAD_SECONDS) for n in (1, 20, 100, 300)] + [
    (n, 0.0) for n in (20, 100, 300)
]
TOKENS = 60
SECONDS_PER_TOKEN = 0.04
CALLER_PROCESSES = 3
SEED = 5


def run_load(
    url: str, models: list[str], concurrency: int, seed: int, spread: float
) -> tuple[list[float], list[float], int, int]:
    """Run callers in several processes.

    Returns the times to first token, the gaps between tokens, the number of tokens
    and the number of incomplete streams.
    """
    shares = [
        len(chunk) for chunk in np.array_split(np.arange(concurrency), CALLER_PROCESSES)
    ]
    shares = [share for share in shares if share]
    with ProcessPoolExecutor(len(shares)) as pool:
        futures = [
            pool.submit(
                run_streams,
                url,
                models,
                share,
                max(share * 2, 6) if spread else share,
                TOKENS,
                seed + i,
                spread,
            )
            for i, share in enumerate(shares)
        ]
        streams: list[Stream] = [s for future in futures for s in future.result()]
    first = [stream.first_token for stream in streams]
    gaps = [gap for stream in streams for gap in stream.gaps]
    incomplete = sum(not stream.complete for stream in streams)
    return first, gaps, sum(stream.tokens for stream in streams), incomplete


def percentile(values: list[float], share: float) -> float:
    """Return a percentile of ``values``, which are seconds, in milliseconds."""
    return round(float(np.percentile(values, share)) * 1000, 2)


def main() -> None:
    """Run the benchmark and write its report."""
    random.seed(SEED)
    report = Report("relay", "One node between callers and engines", "make bench-relay")
    sizes = Sizes(
        nodes=1,
        engines=3,
        models=6,
        adapters=0,
        slots=400,
        queue=400,
        per_token=SECONDS_PER_TOKEN,
    )
    settings = {"serving": {"threads": 400, "queue_limit": 400}}
    cluster = start_cluster(sizes, settings)
    try:
        cluster.apply(cluster.deployment(), "bench")
        cluster.wait_resident("n1", 30)
        hosted = {
            record["name"]: record["targets"][0]
            for record in cluster.query("n1", {"noun": "models"})
        }
        engine = cluster.engines[1]
        direct = [f"{name}@1" for name, target in hosted.items() if target == "e2"]
        pid = cluster.nodes["n1"].process.pid
        for at_once, spread in CASES:
            first, _, _, _ = run_load(engine.url, direct, at_once, SEED, spread)
            before = cpu_seconds(pid)
            through, gaps, tokens, incomplete = run_load(
                cluster.caller_url("n1"), [*hosted], at_once, SEED, spread
            )
            used_seconds = cpu_seconds(pid) - before
            report.add(
                streams=at_once,
                arrive="at random" if spread else "at once",
                direct_p50_ms=percentile(first, 50),
                direct_p95_ms=percentile(first, 95),
                through_p50_ms=percentile(through, 50),
                through_p95_ms=percentile(through, 95),
                added_p95_ms=round(percentile(through, 95) - percentile(first, 95), 2),
                gap_p95_ms=percentile(gaps, 95),
                cpu_us_a_token=round(used_seconds / tokens * 1e6, 1),
                not_whole=incomplete,
                resident_mb=round(resident_mb(pid), 1),
            )
    finally:
        cluster.close()
    report.add_note(
        f"Each stream has {TOKENS} tokens {SECONDS_PER_TOKEN * 1000:g} ms apart. "
        f"Callers, node "
        "and engines share one machine. Direct: one engine. Through: one node in "
        "front of three engines."
    )
    report.write()


if __name__ == "__main__":
    main()
