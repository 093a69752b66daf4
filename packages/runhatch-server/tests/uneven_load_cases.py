"""Replay demand at a fleet whose targets load models as planned, without a network."""

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

from gateway_cases import make_target, seconds

from runhatch_server.fleet import HeldModels, StoredCopies
from runhatch_server.residency import (
    ControlState,
    DemandBook,
    DemandKey,
    DemandShare,
    FleetView,
    LoadPermits,
    ModelLoad,
    TargetControl,
    TargetReport,
    plan_models,
)
from runhatch_server.routing import EngineModel, EngineSpec, LoadTimes

LONG_LOADS = LoadTimes(seconds(9), seconds(2.3), seconds(0.8))
SHORT_LOADS = LoadTimes(seconds(1.5), seconds(1.1), seconds(0.8))
WORK_TIMES = {f"t{i + 1}": (0.7, 0.7, 1.7)[i % 3] for i in range(12)}
"""Lasting work time factors by incarnation: two fast targets, then a slow one."""
PROMPT_MS = 75.0
MODELS_ON_DISK = 6
STEP = seconds(0.25)
PERMIT_WINDOW = seconds(5)
GOALS = (seconds(0.8), seconds(1.2), seconds(8))
"""Goals of routes by priority; requests of the last can wait for a load."""


def make_engine(loads, model_count=24, loads_per_second=8.5):
    """Return an engine whose targets have places for three models."""
    return EngineSpec(
        models=tuple(EngineModel(f"m{i}", 70.0, loads) for i in range(model_count)),
        slots=64,
        memory_mb=220.0,
        adapter_slots=0,
        kv_tokens=94_000,
        loads_per_second=loads_per_second,
    )


def make_control(name, models, on_disk=()):
    control = TargetControl(make_target(name, models=models))
    _report_models(control, models, {*models, *on_disk}, seconds(0))
    return control


def make_full_fleet(target_count):
    """Return targets that hold m0 to m2, m3 to m5 and so on."""
    return [
        make_control(f"t{i + 1}", [f"m{3 * i + place}" for place in range(3)])
        for i in range(target_count)
    ]


def add_requests(book, model, priority, requests, missed, now):
    """Add requests at ``now``, each with a usual prompt."""
    key = DemandKey("engine", model, "", priority, GOALS[priority])
    share = DemandShare(key, requests, missed, requests * PROMPT_MS)
    book.add_requests("n1", share, now)


def _report_models(control, models, on_disk, now):
    held = HeldModels({model: frozenset() for model in models})
    copies = StoredCopies(on_disk=frozenset(on_disk))
    control.apply_report(TargetReport(0, held, False, frozenset(), copies, 0, 0), now)


@dataclass(frozen=True)
class Stream:
    """Requests for one model from ``start`` to ``end``, in seconds."""

    model: str
    per_second: float
    priority: int = 0
    start: float = 0.0
    end: float = 1e9

    def count_until(self, now):
        """Return the number of requests before ``now``."""
        active = min(now.total_seconds(), self.end) - self.start
        return int(max(0.0, active) * self.per_second + 1e-9)


@dataclass(frozen=True)
class StartedLoad:
    """A load that a plan started."""

    at: timedelta
    plan: int
    load: ModelLoad
    from_store: bool
    holders: int
    """Number of targets that held the model when its load started."""
    loading: int
    """Number of targets that then loaded it, this one included."""


@dataclass
class FleetSimulation:
    """Targets that receive the requests of ``streams`` and load models as planned."""

    engine: EngineSpec
    controls: list[TargetControl]
    streams: list[Stream]
    work_times: dict[str, float] = field(default_factory=lambda: WORK_TIMES)
    book: DemandBook = field(default_factory=DemandBook)
    now: timedelta = timedelta()
    started: list[StartedLoad] = field(default_factory=list)
    lost_models: list[tuple[timedelta, str]] = field(default_factory=list)
    """Models whose copies several targets evicted in one plan, down to none."""
    missed: Counter = field(default_factory=Counter)
    max_used_mb: float = 0.0
    _plan_count: int = 0
    _permits: LoadPermits = field(
        default_factory=lambda: LoadPermits(PERMIT_WINDOW, -PERMIT_WINDOW)
    )

    def simulate(self, until):
        """Simulate up to ``until``, in seconds."""
        while self.now < seconds(until):
            self._finish_loads()
            self._request_models()
            self._start_loads()
            self.now += STEP

    def holders(self, model):
        """Return the names of the targets that hold ``model``."""
        return [c.target.incarnation for c in self.controls if c.holds(model)]

    def remove_targets(self, names):
        """Remove the targets ``names``, with the models they hold."""
        self.controls = [
            c for c in self.controls if c.target.incarnation not in set(names)
        ]

    def make_view(self):
        return FleetView(
            "engine",
            self.engine,
            self.controls,
            self.book,
            self.now,
            work_times=self.work_times,
        )

    def _request_models(self):
        for model in {m for c in self.controls for m in c.held if c.holds(m)}:
            self.book.record_held("engine", model, ())
        for stream in self.streams:
            count = stream.count_until(self.now + STEP) - stream.count_until(self.now)
            if not count:
                continue
            missed = 0 if self.holders(stream.model) else count
            self.missed[stream.model] += missed
            add_requests(
                self.book, stream.model, stream.priority, count, missed, self.now
            )

    def _finish_loads(self):
        for control in self.controls:
            if (
                control.state is not ControlState.LOADING
                or self.now < control.load_ready_at
            ):
                continue
            models = [*control.held, control.loading_model]
            oldest = sorted(control.copies_on_disk - set(models))
            kept = oldest[: MODELS_ON_DISK - len(models)]
            _report_models(control, models, {*models, *kept}, self.now)

    def _start_loads(self):
        self._plan_count += 1
        before = Counter(m for c in self.controls for m in c.held if c.holds(m))
        evictions = Counter()
        for load in plan_models(self.make_view()).loads:
            if self._start_load(load):
                evictions.update(load.evictions)
        self.lost_models += [
            (self.now, model)
            for model, count in evictions.items()
            if count > 1 and count >= before[model]
        ]
        self.max_used_mb = max(
            (self.max_used_mb, *(c.used_mb(self.engine) for c in self.controls))
        )

    def _start_load(self, load):
        control = next(c for c in self.controls if c.target.incarnation == load.target)
        assert control.state is ControlState.IDLE, load
        from_store = control.loads_from_store(load.model)
        if from_store and not self._permits.try_acquire(
            self.engine.loads_per_second, self.now
        ):
            return False
        holders = len(self.holders(load.model))
        for model in load.evictions:
            del control.held[model]
        control.loading_model, control.state = load.model, ControlState.LOADING
        control.loading_reason = load.reason
        spec = self.engine.by_name[load.model]
        control.load_ready_at = self.now + control.load_time(spec)
        loading = sum(c.loading_model == load.model for c in self.controls)
        self.started.append(
            StartedLoad(self.now, self._plan_count, load, from_store, holders, loading)
        )
        return True
