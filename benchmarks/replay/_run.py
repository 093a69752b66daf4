"""Replays a workload under one placement."""

import heapq
import itertools
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from replay._placements import Placement
from replay._slots import Slots
from replay._workload import DEADLINE_SECONDS, SLOTS, Arrival, Workload
from runhatch_coordination.testing import ManualClock
from runhatch_server.placement import ChargeState, LedgerRow, LoadUnit, hosting_from_row
from runhatch_server.placement._store import VersionedRow
from runhatch_server.refusals import Refusal
from runhatch_server.serving import (
    CallerRequest,
    Dispatcher,
    Grant,
    PlacementCache,
    Route,
    RouteKind,
    Waiter,
)
from runhatch_server.targets import ReportedLoad

ENTRY_NODES = 3
ERA = 0
"""Era of the table, which is never restored here."""
STEP_SECONDS = 1.0
PREFILL_DURATION = timedelta(milliseconds=100)
ROUNDING_SECONDS = 1e-5
"""Seconds; the clock rounds to microseconds, which could prevent a poll's end."""
LOAD_SECONDS = 15.0
UNLOAD_SECONDS = 4.0
"""Seconds until routing has stopped, plus the unload itself."""


@dataclass(slots=True)
class Result:
    """The counts of a replay."""

    placement: str
    requests: int
    in_time: int
    refused: int
    late: int
    moves: int
    accelerators: int

    @property
    def attainment_per_accelerator(self) -> float:
        """The share of requests answered in time, divided by the accelerators."""
        return self.in_time / self.requests / self.accelerators


class Baseline(Enum):
    """The routing and admission policy of a replay."""

    RUNHATCH = "runhatch"
    ROUND_ROBIN = "round robin"
    LEAST_OUTSTANDING = "least outstanding"


class _Replay:
    def __init__(
        self, workload: Workload, placement: Placement, seed: int, baseline: Baseline
    ) -> None:
        self._baseline = baseline
        self._round_robin = itertools.count()
        self._workload = workload
        self._placement = placement
        self._clock = ManualClock()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        targets = workload.deployment.pools[0].targets
        self._engines = {target.name: Slots(SLOTS) for target in targets}
        self._rows = {t.name: LedgerRow(t.name, t.memory_mb) for t in targets}
        self._versions: Counter[str] = Counter()
        self._state_changed_at: dict[tuple[str, str], timedelta] = {}
        self._picture = PlacementCache()
        self._picture.set_deployment(workload.deployment)
        self._nodes = [
            Dispatcher(self._picture, self._clock, f"d{i % 3}", 64, 1.0, seed + i)
            for i in range(ENTRY_NODES)
        ]
        self._counts: Counter[str] = Counter()
        self._loads_in_progress = 0
        self._pending_loads: deque[tuple[str, str]] = deque()
        self._load_permits = 0.0
        self._started = False
        accelerators = sum(target.accelerators for target in targets)
        self.result = Result(
            placement.name, len(workload.arrivals), 0, 0, 0, 0, accelerators
        )

    def run(self) -> Result:
        """Load the first placement, then replay all arrivals."""
        self._load_first_placement()
        for index, arrival in enumerate(self._workload.arrivals):
            node = self._nodes[index % ENTRY_NODES]
            self._schedule(arrival.at, lambda a=arrival, n=node: self._arrive(a, n))
        steps = int(self._workload.seconds / STEP_SECONDS)
        for step in range(1, steps):
            self._schedule(step * STEP_SECONDS, self._run_step)
        while self._events:
            at, _, work = heapq.heappop(self._events)
            self._clock._elapsed = timedelta(seconds=at)
            work()
        return self.result

    def _load_first_placement(self) -> None:
        """Load units until no more are planned, without counting moves."""
        while True:
            actions = self._placement.step(timedelta(), {}, self._rows, {})
            loads = [action for action in actions if isinstance(action, LoadUnit)]
            for load in loads:
                row = self._rows[load.target].with_charge(
                    load.new_charge().as_serving()
                )
                self._write_row(row)
            if not loads:
                break
            if self._placement.name != "runhatch":
                break
        self._started = True

    def _schedule(self, seconds: float, work: Callable[[], None]) -> None:
        heapq.heappush(self._events, (seconds, next(self._event_numbers), work))

    @property
    def _now(self) -> float:
        return self._clock.elapsed().total_seconds()

    def _arrive(self, arrival: Arrival, node: Dispatcher) -> None:
        self._counts[arrival.model] += 1
        now = self._clock.elapsed()
        request = CallerRequest(
            "",
            "caller",
            Route(RouteKind.MODEL, arrival.model),
            "POST",
            "/",
            3,
            now,
            now + timedelta(seconds=DEADLINE_SECONDS),
            True,
            None,
            b"",
        )
        if self._baseline is not Baseline.RUNHATCH:
            self._send_unadmitted(arrival, request)
            return
        admission = node.try_acquire(request)
        if isinstance(admission, Waiter):
            wait_until = self._now + max(0.0, admission.patience.total_seconds())
            self._poll(admission, arrival, node, request, wait_until)
        else:
            self._run_granted(admission, arrival, node, request)

    def _send_unadmitted(self, arrival: Arrival, request: CallerRequest) -> None:
        """Send a request to a host chosen by the baseline, without admission."""
        hosts = self._picture.hosts(request.route)
        engines = [self._engines[host.target] for host in hosts]
        if self._baseline is Baseline.ROUND_ROBIN:
            engine = engines[next(self._round_robin) % len(engines)]
        else:
            engine = min(engines, key=lambda e: e.running + len(e.queue))

        def end() -> None:
            engine.end()
            self._record_answer(request)

        engine.begin(lambda: self._schedule(self._now + arrival.service, end))

    def _record_answer(self, request: CallerRequest) -> None:
        if self._clock.elapsed() <= request.deadline:
            self.result.in_time += 1
        else:
            self.result.late += 1

    def _poll(
        self,
        waiter: Waiter[Grant],
        arrival: Arrival,
        node: Dispatcher,
        request: CallerRequest,
        wait_until: float,
    ) -> None:
        """Check every 20 ms whether the waiter is settled."""
        if waiter.settled.is_set() or self._now >= wait_until - ROUNDING_SECONDS:
            self._run_granted(node.finish_waiting(waiter), arrival, node, request)
            return
        next_poll = min(wait_until, self._now + 0.02)
        self._schedule(
            next_poll, lambda: self._poll(waiter, arrival, node, request, wait_until)
        )

    def _run_granted(
        self,
        grant: Grant | Refusal,
        arrival: Arrival,
        node: Dispatcher,
        request: CallerRequest,
    ) -> None:
        if isinstance(grant, Refusal):
            self.result.refused += 1
            return
        engine = self._engines[grant.host.target]
        sent = self._clock.elapsed()

        def end() -> None:
            engine.end()
            load = ReportedLoad(engine.running, len(engine.queue))
            elapsed = self._clock.elapsed() - sent
            # The first token follows the wait in the engine's queue and the prefill.
            queued = elapsed - timedelta(seconds=arrival.service)
            node.release_completed(grant, queued + PREFILL_DURATION, load)
            self._record_answer(request)

        engine.begin(lambda: self._schedule(self._now + arrival.service, end))

    def _run_step(self) -> None:
        counts = dict(self._counts)
        self._counts.clear()
        now = self._clock.elapsed()
        ages = {pair: now - since for pair, since in self._state_changed_at.items()}
        for action in self._placement.step(now, counts, self._rows, ages):
            row = self._rows[action.target]
            if isinstance(action, LoadUnit):
                self._write_row(row.with_charge(action.new_charge()))
                self._pending_loads.append((action.target, action.unit))
                self.result.moves += 1
                continue
            charge = row.find_charge(action.unit)
            assert charge is not None
            self._write_row(row.with_charge(charge.as_unloading()))
            self.result.moves += 1
            target, unit = action.target, action.unit
            self._schedule(
                self._now + UNLOAD_SECONDS,
                lambda t=target, u=unit: self._remove_unit(t, u),
            )
        self._begin_loads()

    def _begin_loads(self) -> None:
        size = self._workload.size
        self._load_permits = min(
            2.0, self._load_permits + size.loads_per_second * STEP_SECONDS
        )
        while (
            self._pending_loads
            and self._load_permits >= 1
            and self._loads_in_progress < size.max_concurrent_loads
        ):
            self._load_permits -= 1
            self._loads_in_progress += 1
            target, unit = self._pending_loads.popleft()
            self._schedule(
                self._now + LOAD_SECONDS,
                lambda t=target, u=unit: self._finish_load(t, u),
            )

    def _finish_load(self, target: str, unit: str) -> None:
        self._loads_in_progress -= 1
        charge = self._rows[target].find_charge(unit)
        if charge is not None and charge.state is ChargeState.LOADING:
            self._write_row(self._rows[target].with_charge(charge.as_serving()))

    def _remove_unit(self, target: str, unit: str) -> None:
        self._write_row(self._rows[target].without_units([unit]))
        self._state_changed_at.pop((target, unit), None)

    def _write_row(self, row: LedgerRow) -> None:
        row.check_charges()
        for charge in row.charges:
            previous = self._rows[row.target].find_charge(charge.unit)
            if previous is None or previous.state is not charge.state:
                self._state_changed_at[row.target, charge.unit] = self._clock.elapsed()
        self._rows[row.target] = row
        self._versions[row.target] += 1
        stored = VersionedRow(row, self._versions[row.target], ERA)
        self._picture.apply_hosting(hosting_from_row(stored))
        for node in self._nodes:
            node.grant_free_slots()


def replay(
    workload: Workload,
    placement: Placement,
    seed: int,
    baseline: Baseline = Baseline.RUNHATCH,
) -> Result:
    """Replay ``workload`` under ``placement`` with the routing of ``baseline``."""
    return _Replay(workload, placement, seed, baseline).run()
