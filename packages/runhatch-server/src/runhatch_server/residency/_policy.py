"""Which model goes where: decided by what requests wait for and what would be lost.

All values are in weighted requests.  What waits for a model, and what would ask for
it within a few seconds, speaks for loading it; the same measure speaks for keeping
what must give way.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

from runhatch_server.placement import Spread, spread
from runhatch_server.residency._control import TargetControl
from runhatch_server.residency._demand import DemandBook
from runhatch_server.routing import EngineModel, EngineSpec

HORIZON_SECONDS = 3.0
"""How long a model that gave way is missed: it is back that much after it is asked
for, where a target kept a copy on disk."""
PERSISTENCE_SECONDS = 10.0
"""How long demand is taken to stay with a model.  Loads that take longer win nothing
but what waits for them."""
STORE_LOAD_PRICE = 1.0
"""What a load from the weight store costs, in weighted requests; one loaded from a
target's own copy costs the time alone."""
LOAD_SECOND_PRICE = 0.25
"""What each second costs that a load keeps its target from other orders."""
BUSY_PRICE = 0.5
"""What a load on a target costs whose time is all taken."""
HYSTERESIS = 1.3
"""Times what is lost that must be won: against models that take turns."""
REPLICA_LOAD = 0.5
"""Share of a target's time for prompts beyond which requests wait long enough for
another replica to be worth its load: at 0.5 a prompt of 100 ms waits half as long
again, and requests come in clumps."""
LEAST_DIFFERENCE = 0.2
"""A replica goes only to targets with so much less to do."""
EASY_LOAD = 0.25
"""Share of a target's time up to which it takes over another replica's requests
without a loss; at ``REPLICA_LOAD`` all of them are counted as lost."""
UNKNOWN_MODEL = 1.5
"""What the last replica of a model is worth that nobody has asked for yet, in
weighted requests: demand moves to other models without warning, and the targets
were given these models by those who know the demand."""
URGENT_MODEL = 3.0
"""What it is worth beside its rate if urgent routes have asked for it lately: the
rate of demand that has just begun is told too low."""
MUCH_SOONER = timedelta(seconds=2)
"""A load that is under way is passed by if another would be done so much sooner, as
when a target with a copy on its disk has come back."""
KNOWN_MODEL = 0.2
"""The same of a model that has been asked for; its rate tells the rest."""
WORTH_KEEPING_RATE = 0.05
"""Requests a second from which a model that no target holds any more is loaded again
without waiting for the next request."""
SELDOM_SECONDS = 4.0
"""The same for a model that a few requests have asked for: they tell of no demand
that stays."""
UNMET_WEIGHT = 0.7
"""What each missed request but the first still counts, until its model is held."""
ADAPTER_RATE_PER_REPLICA = 1.5
"""Requests a second for one adapter from which it is put on another target."""


@dataclass(frozen=True, slots=True)
class LoadModel:
    """Load ``model`` on ``target`` after unloading ``evict``."""

    target: str
    model: str
    evict: tuple[str, ...]
    reason: str
    value: float
    startable: bool = True


@dataclass(frozen=True, slots=True)
class LoadAdapter:
    """Load an adapter on ``target``, after unloading ``evict`` if it has no room."""

    target: str
    model: str
    adapter: str
    evict: tuple[str, str] | None


class FleetView:
    """The targets of one service as they are to be planned for."""

    def __init__(
        self,
        service: str,
        engine: EngineSpec,
        controls: Sequence[TargetControl],
        demand: DemandBook,
        now: timedelta,
    ) -> None:
        self.service = service
        self.engine = engine
        self.controls = controls
        self.demand = demand
        self.now = now
        self._reserve_mb = engine.adapter_slots * max(
            (model.adapter_mb for model in engine.models), default=0.0
        )
        self._holders: dict[str, list[TargetControl]] = {}
        for control in controls:
            for model in control.held:
                if control.holds(model):
                    self._holders.setdefault(model, []).append(control)
        work = {
            model.name: demand.model(service, model.name, now).work
            for model in engine.models
        }
        hosts = {
            model: [control.target.incarnation for control in holders]
            for model, holders in self._holders.items()
        }
        capacities = {control.target.incarnation: 1.0 for control in controls}
        self.spread: Spread = spread(work, hosts, capacities)

    def holders(self, model: str) -> list[TargetControl]:
        """Return the targets that hold ``model``."""
        return self._holders.get(model, [])

    def coming_at(self, model: str) -> timedelta | None:
        """Return when a load of ``model`` that is under way or planned is done."""
        ready = [
            control.free_at(self.engine, self.now)
            for control in self.controls
            if control.loading == model
            or (control.intent is not None and control.intent.model == model)
        ]
        return min(ready, default=None)

    def free_mb(self, control: TargetControl) -> float:
        """Return the memory for models that is free, room for adapters apart."""
        used = control.used_mb(self.engine)
        return self.engine.memory_mb - self._reserve_mb - used

    def load_of(self, control: TargetControl) -> float:
        """Return the share of a target's time that prompts take."""
        return self.spread.utilisation(control.target.incarnation)

    def is_last_asked(self, control: TargetControl, model: str) -> bool:
        """Tell whether ``control`` alone holds a model that is asked for."""
        if any(holder is not control for holder in self.holders(model)):
            return False
        demand = self.demand.model(self.service, model, self.now)
        return demand.rate >= WORTH_KEEPING_RATE

    def keep_value(self, control: TargetControl, model: str) -> float:
        """Return what would be lost if ``control`` dropped ``model``."""
        demand = self.demand.model(self.service, model, self.now)
        value = demand.weighted * HORIZON_SECONDS
        others = [c for c in self.holders(model) if c is not control]
        if not others:
            unasked = KNOWN_MODEL if demand.asked else UNKNOWN_MODEL
            if demand.is_urgent(self.now):
                unasked += URGENT_MODEL
            return unasked + value + demand.waiting(self.now)
        share = self.spread.share(model, control.target.incarnation)
        moved = share / len(others)
        after = min(self.load_of(other) + moved for other in others)
        crowded = (after - EASY_LOAD) / (REPLICA_LOAD - EASY_LOAD)
        return value / (len(others) + 1) * min(max(crowded, 0.0), 1.0)


def plan_models(view: FleetView) -> list[LoadModel]:
    """Return the loads to begin now, no two on one target."""
    taken: set[str] = set()
    planned = []
    for need in _needs(view):
        best = _best_place(view, need, taken)
        if best is None:
            continue
        # A target that is busy for a moment may still be the best place.
        taken.add(best.target)
        if best.startable:
            planned.append(best)
    return planned


@dataclass(frozen=True, slots=True)
class _Need:
    """A model to load: what waits for it, and what it would serve a second."""

    model: EngineModel
    waiting: float
    rate: float
    reason: str

    persistence: float = PERSISTENCE_SECONDS

    def won(self, seconds: float) -> float:
        """Return what a load that is done after ``seconds`` wins."""
        lasting = max(0.0, self.persistence - seconds)
        return self.waiting + self.rate * lasting


def _needs(view: FleetView) -> list[_Need]:
    """Return the models to load, the most valuable first."""
    needs = []
    for model in view.engine.models:
        demand = view.demand.model(view.service, model.name, view.now)
        coming_at = view.coming_at(model.name)
        holders = view.holders(model.name)
        if coming_at is not None and (holders or coming_at - view.now < MUCH_SOONER):
            continue
        if not holders:
            waiting = demand.waiting(view.now)
            waiting += max(0.0, demand.unmet - 1.0) * UNMET_WEIGHT
            if waiting > 0 or demand.rate >= WORTH_KEEPING_RATE:
                lasts = PERSISTENCE_SECONDS if demand.is_steady else SELDOM_SECONDS
                need = _Need(model, waiting, demand.weighted, "not held", lasts)
                needs.append(need)
            continue
        relief = _relief(view, model.name)
        if relief > 0:
            needs.append(_Need(model, 0.0, relief * demand.weighted, "too busy"))
    needs.sort(key=lambda need: need.won(0.0), reverse=True)
    return needs


def _relief(view: FleetView, model: str) -> float:
    """Return the share of a model's requests that wait too long where they go."""
    holders = view.holders(model)
    total = sum(view.spread.share(model, c.target.incarnation) for c in holders)
    if total <= 0:
        return 0.0
    beyond = 0.0
    for control in holders:
        load = view.load_of(control)
        if load > REPLICA_LOAD:
            share = view.spread.share(model, control.target.incarnation)
            beyond += share * (load - REPLICA_LOAD) / load
    return min(1.0, beyond / total)


def _best_place(view: FleetView, need: _Need, taken: set[str]) -> LoadModel | None:
    places = [
        place
        for control in view.controls
        if control.target.incarnation not in taken
        if (place := _place(view, control, need)) is not None
    ]
    return max(places, key=lambda place: place.value, default=None)


def _place(view: FleetView, control: TargetControl, need: _Need) -> LoadModel | None:
    """Return what loading a model on ``control`` would win, if it would."""
    model = need.model
    if model.name in control.held:
        return None
    holders = view.holders(model.name)
    if holders:
        busiest = max(view.load_of(holder) for holder in holders)
        if busiest - view.load_of(control) < LEAST_DIFFERENCE:
            return None
    free_in = control.free_at(view.engine, view.now) - view.now
    ready_in = free_in + control.load_time(model)
    coming_at = view.coming_at(model.name)
    if coming_at is not None and coming_at - view.now - ready_in < MUCH_SOONER:
        return None
    evicted = _victims(view, control, model, replica=bool(holders))
    if evicted is None:
        return None
    victims, lost = evicted
    from_store = control.loads_from_store(model.name)
    if victims and holders and from_store:
        # What gives way would be missed all the time that the load takes.
        return None
    seconds = ready_in.total_seconds()
    missed = lost * max(1.0, seconds / HORIZON_SECONDS)
    won = need.won(seconds) - missed * HYSTERESIS - seconds * LOAD_SECOND_PRICE
    if from_store:
        won -= STORE_LOAD_PRICE
    if won <= 0:
        return None
    # Between places that win as much, the least busy one.
    won -= view.load_of(control) * BUSY_PRICE
    startable = control.is_free_at(view.now) and control.intent is None
    name = control.target.incarnation
    return LoadModel(name, model.name, victims, need.reason, won, startable)


def _victims(
    view: FleetView, control: TargetControl, model: EngineModel, replica: bool
) -> tuple[tuple[str, ...], float] | None:
    """Return what must give way for ``model``, and what is lost by it.

    For one more replica no other model loses its last one while it is asked for.
    """
    lacking = model.memory_mb - view.free_mb(control)
    if lacking <= 0:
        return (), 0.0
    known = view.engine.by_name
    candidates = [
        (view.keep_value(control, name), name)
        for name in control.held
        if not control.protected(name, "", view.now)
        if not (replica and view.is_last_asked(control, name))
    ]
    victims: list[str] = []
    lost = 0.0
    for value, name in sorted(candidates):
        if lacking <= 0:
            break
        victims.append(name)
        lost += value
        lacking -= known[name].memory_mb if name in known else 0.0
    return (tuple(victims), lost) if lacking <= 0 else None


def plan_adapters(view: FleetView) -> list[LoadAdapter]:
    """Return the adapters to load now, no two on one target."""
    taken: set[str] = set()
    planned = []
    for model, adapter in _adapters_wanted(view):
        best = _adapter_place(view, model, adapter, taken)
        if best is not None:
            taken.add(best.target)
            planned.append(best)
    return planned


def _adapters_wanted(view: FleetView) -> Iterable[tuple[str, str]]:
    """Return adapters to load, those most waited for first."""
    wanted: list[tuple[float, str, str]] = []
    for model, adapter in view.demand.adapters(view.service):
        holders = view.holders(model)
        demand = view.demand.adapter(view.service, model, adapter, view.now)
        have = sum(control.holds(model, adapter) for control in holders)
        if not holders or have == len(holders):
            continue
        waiting = demand.waiting(view.now) + demand.unmet * UNMET_WEIGHT
        enough = max(1, round(demand.rate / ADAPTER_RATE_PER_REPLICA))
        if (not have and (waiting > 0 or demand.rate > WORTH_KEEPING_RATE)) or (
            have and have < enough
        ):
            wanted.append((waiting + demand.weighted, model, adapter))
    wanted.sort(reverse=True)
    return [(model, adapter) for _, model, adapter in wanted]


def _adapter_place(
    view: FleetView, model: str, adapter: str, taken: set[str]
) -> LoadAdapter | None:
    """Return the best holder of ``model`` for ``adapter``: one with room first."""
    places: list[tuple[float, LoadAdapter]] = []
    own = view.demand.adapter(view.service, model, adapter, view.now)
    worth = own.weighted + own.waiting(view.now) + own.unmet * UNMET_WEIGHT
    for control in view.holders(model):
        name = control.target.incarnation
        if name in taken or not control.is_free_at(view.now):
            continue
        if control.holds(model, adapter):
            continue
        if control.intent is not None and model in control.intent.evict:
            continue
        crowding = control.adapter_count() / max(1, view.engine.adapter_slots)
        if control.adapter_count() < view.engine.adapter_slots:
            cost = view.load_of(control) + crowding
            places.append((cost, LoadAdapter(name, model, adapter, None)))
            continue
        victim = _adapter_victim(view, control)
        if victim is not None and victim[0] < worth:
            cost = 2.0 + view.load_of(control) + victim[0]
            places.append((cost, LoadAdapter(name, model, adapter, victim[1])))
    return min(places, key=lambda place: place[0])[1] if places else None


def _adapter_victim(
    view: FleetView, control: TargetControl
) -> tuple[float, tuple[str, str]] | None:
    """Return the adapter that is asked for least, and how much that is."""
    found = [
        (
            view.demand.adapter(view.service, model, adapter, view.now).weighted,
            (model, adapter),
        )
        for model, adapters in control.held.items()
        for adapter in adapters
        if not control.protected(model, adapter, view.now)
    ]
    return min(found, default=None)


def by_service(
    controls: Iterable[TargetControl],
) -> Mapping[str, list[TargetControl]]:
    """Return the targets of each service, in a fixed order."""
    services: dict[str, list[TargetControl]] = {}
    for control in sorted(controls, key=lambda each: each.target.incarnation):
        services.setdefault(control.target.service, []).append(control)
    return services
