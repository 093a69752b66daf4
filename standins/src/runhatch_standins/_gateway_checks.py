"""Check the state of gateways and targets after a run of the gateway soak."""

import http.client
from collections.abc import Iterable
from functools import partial
from pathlib import Path
from typing import Any

from runhatch_standins._cluster import call
from runhatch_standins._gateways import MODELS, Gateway, GatewaySystem, wait_until
from runhatch_standins._history import Event, EventKind
from runhatch_standins._worker_faults import CLOSED_EARLY

RECOVERY_SECONDS = 15.0
MAX_MEMORY_KB = 300 * 1024
RATE_LIMIT = 1.0
"""Requests per second that a target with a rate limit accepts."""


def check_cut_streams(events: Iterable[Event], runs: Iterable[list[Any]]) -> list[str]:
    """Return a violation per unframed answer that lacks events of the target's."""
    closed_early = {run[0] for run in runs if run[2] == CLOSED_EARLY}
    return [
        f"{event.request}: ended after {event.answer[-60:]!r}, not closed by a target"
        for event in events
        if event.kind is EventKind.ANSWERED
        and event.is_cut_stream
        and event.request not in closed_early
    ]


def check_recovery(system: GatewaySystem, version: int) -> list[str]:
    """Return a violation per route that a gateway does not serve in time.

    The route that was added with configuration ``version`` is checked as well.
    """
    paths = [("/plain/x", ""), (f"/v{version}/x", "")]
    paths += [("/stream/x", str(model["name"])) for model in MODELS]
    return [
        f"{gate.name} does not serve {path} {model}"
        for i, gate in enumerate(system.gateways)
        for path, model in paths
        if path != "/v0/x"
        and not wait_until(
            partial(_is_route_served, system, i, path, model), RECOVERY_SECONDS
        )
    ]


def check_limits(limited: Iterable[tuple[str, float, float]]) -> list[str]:
    """Return a violation per target that received over 1.5 times its rate limit.

    ``limited`` has URLs of targets, and start and end of the time of their limit.
    """
    violations = []
    for url, starts, ends in limited:
        times = call(url, "GET", "/journal")["arrival_times"]
        arrivals = [at for at in times if starts <= at <= ends]
        peak = max(
            (sum(at <= t < at + 4 for t in arrivals) for at in arrivals), default=0
        )
        if peak > 1.5 * RATE_LIMIT * 4 + 5:
            violations.append(
                f"{url} received {peak} requests in 4 s, limit {RATE_LIMIT} per second"
            )
    return violations


def check_memory(gateways: Iterable[Gateway]) -> list[str]:
    """Return a violation per gateway that used more than ``MAX_MEMORY_KB``."""
    peaks = [(gate.name, _peak_memory_kb(gate)) for gate in gateways]
    return [
        f"{name} used {peak} KB of memory"
        for name, peak in peaks
        if peak > MAX_MEMORY_KB
    ]


def _is_route_served(system: GatewaySystem, gate: int, path: str, model: str) -> bool:
    method = "POST" if model else "GET"
    try:
        response, _ = system.answer(path, method, gate=gate, model=model)
    except (OSError, http.client.HTTPException):
        return False
    return response.status == 200


def _peak_memory_kb(gate: Gateway) -> int:
    status = Path(f"/proc/{gate.process.process.pid}/status").read_text()
    peak = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(peak.split()[1])
