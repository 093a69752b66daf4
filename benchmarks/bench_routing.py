"""Prefix affinity with and without cache events, and detection of target faults."""

import statistics
from dataclasses import replace

import numpy as np
from _reporting import Report
from replay._routing import RoutingReplay, RoutingResult, RoutingSize

SEEDS = (1, 2, 3, 4, 5)
FAULT_AT, FAULT_UNTIL = 60.0, 100.0
FAULTY = "w0"
SLOWDOWN_FACTOR = 10.0
DETECTION_SHARE = 0.5
"""A fault counts as detected below this share of an even share of requests."""
WINDOW_SECONDS = 2.0
AFFINITIES = {
    "off": RoutingSize(affinity=False),
    "own answers": RoutingSize(),
    "and events": RoutingSize(events=True),
    "and events 5 s late, a third lost": RoutingSize(
        events=True, event_lag=5.0, event_gaps=0.33
    ),
}


def report_affinity() -> None:
    """Report prefix hits and first tokens by source of cache knowledge."""
    report = Report("affinity", "Prefix affinity", "make bench-routing")
    for load, rate in (("half", 40.0), ("nearly full", 75.0)):
        for name, size in AFFINITIES.items():
            runs = [
                RoutingReplay(replace(size, seed=seed, rate=rate)).run()
                for seed in SEEDS
            ]
            report.add(
                load=load,
                affinity=name,
                prefix_hits=_median(
                    [r.cached_blocks / r.requested_blocks for r in runs]
                ),
                first_token_p50_ms=_median([_percentile(r, 50) for r in runs]),
                first_token_p95_ms=_median([_percentile(r, 95) for r in runs]),
                in_time=_median([r.in_time / r.requests for r in runs]),
                requests=sum(r.requests for r in runs),
            )
    report.add_note(
        "9 workers of 8 slots and 9 nodes, 120 s, prompts of 8 blocks in 200 groups "
        "of uneven use (Zipf), 300 blocks cached per worker, 20 ms prefill per block "
        "that is not cached, then 0.6 s of tokens. Medians of seeds 1 to 5, on a "
        "simulated clock."
    )
    report.write()


def report_faults() -> None:
    """Report the cost of a target's fault and its detection time."""
    report = Report("faults", "A target slowed or gone", "make bench-routing")
    for fault in ("none", "slowed tenfold", "gone"):
        runs = [_run_fault(fault, seed) for seed in SEEDS]
        report.add(
            fault=fault,
            in_time_during=_median([_in_time_during(r) for r in runs]),
            refused=sum(r.refused for r in runs),
            failed_attempts=sum(r.failed_attempts for r in runs),
            misses=sum(r.requests - r.in_time for r in runs),
            noticed_s=_median([_detection_seconds(r) for r in runs])
            if fault != "none"
            else "",
            back_s=_median([_recovery_seconds(r) for r in runs])
            if fault != "none"
            else "",
            first_token_p95_ms=_median([_percentile(r, 95) for r in runs]),
            requests=sum(r.requests for r in runs),
        )
    report.add_note(
        f"As above at 50 requests a second. One of 9 workers has the fault from "
        f"{FAULT_AT:g} to {FAULT_UNTIL:g} s of 140. Noticed: seconds until the first "
        "2 s window in which it gets less than half of an even share. Back: seconds "
        "after the fault until it gets that again. In time during: share of the "
        "requests that arrived during the fault; misses are of all seeds. A "
        "connection to a target that is gone takes a second to fail."
    )
    report.write()


def _run_fault(fault: str, seed: int) -> RoutingResult:
    replay = RoutingReplay(RoutingSize(rate=50.0, seconds=140.0, seed=seed))
    engine = replay.engines[FAULTY]

    def begin() -> None:
        engine.slowdown = SLOWDOWN_FACTOR if fault == "slowed tenfold" else 1.0
        engine.crashed = fault == "gone"

    def end() -> None:
        engine.slowdown = 1.0
        engine.crashed = False

    replay.schedule(FAULT_AT, begin)
    replay.schedule(FAULT_UNTIL, end)
    return replay.run()


def _relative_share(result: RoutingResult, start: float) -> float:
    """Return the faulty target's requests in a window, relative to an even share."""
    window = [
        w for at, w in result.arrivals_by_worker if start <= at < start + WINDOW_SECONDS
    ]
    return 9 * window.count(FAULTY) / max(1, len(window))


def _in_time_during(result: RoutingResult) -> float:
    """Return the share in time of the requests that arrived during the fault."""
    in_time_flags = [
        in_time for at, in_time in result.outcomes if FAULT_AT <= at < FAULT_UNTIL
    ]
    return sum(in_time_flags) / len(in_time_flags)


def _detection_seconds(result: RoutingResult) -> float:
    seconds = np.arange(FAULT_AT, FAULT_UNTIL, WINDOW_SECONDS)
    matches = [s for s in seconds if _relative_share(result, s) < DETECTION_SHARE]
    return float(matches[0] - FAULT_AT) if matches else float("nan")


def _recovery_seconds(result: RoutingResult) -> float:
    seconds = np.arange(FAULT_UNTIL, 140.0, WINDOW_SECONDS)
    matches = [s for s in seconds if _relative_share(result, s) >= DETECTION_SHARE]
    return float(matches[0] - FAULT_UNTIL) if matches else float("nan")


def _percentile(result: RoutingResult, percent: float) -> float:
    return float(np.percentile(result.first_tokens, percent)) * 1_000


def _median(values: list[float]) -> float:
    return round(statistics.median(values), 4)


if __name__ == "__main__":
    report_affinity()
    report_faults()
