"""Deciding which units to load and which to retire in one pool.

Reachability first: what is declared and not resident is loaded, a version is made
before the old one is broken, and the last replica is never retired.  After that a
replica is added where the requests in time it wins over the horizon exceed the
price of the moves it costs; a replica is retired only to make room.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import IntEnum

from runhatch_server.configuration import ModelSpec
from runhatch_server.placement._balance import Balance, balance
from runhatch_server.placement._ledger import Charge, ChargeState, LedgerRow
from runhatch_server.placement._state import PoolState

PRESENT = (ChargeState.SERVING, ChargeState.LOADING)
MAX_ADDITIONS = 2
"""Replicas added for value in one plan; the next sees what they did."""


class Urgency(IntEnum):
    """Why a unit is loaded; lower goes first when loads must wait."""

    UNREACHABLE = 0
    NEW_VERSION = 1
    TOO_FEW = 2
    ADAPTER = 3
    VALUE = 4


@dataclass(frozen=True, slots=True)
class LoadUnit:
    """Load a unit on a target; ``base`` is set for adapters."""

    target: str
    unit: str
    memory_mb: int
    peak_mb: int
    urgency: Urgency
    reason: str
    base: str = ""

    def charge(self) -> Charge:
        """Return the charge to write before ordering."""
        return Charge(
            self.unit,
            self.memory_mb,
            self.peak_mb,
            ChargeState.LOADING,
            base=self.base,
        )


@dataclass(frozen=True, slots=True)
class RetireUnit:
    """Stop routing to a unit on a target, then unload it."""

    target: str
    unit: str
    reason: str


Action = LoadUnit | RetireUnit


def plan(state: PoolState) -> list[Action]:
    """Return what to do now, most urgent first.

    The actions together fit the ledger as it stands: an action for which memory
    must first be freed comes in a later plan, after the retirement it asks for.
    """
    planning = _Planning(state)
    planning.keep_reachable()
    planning.load_adapters()
    planning.retire_obsolete()
    if not state.policy.paused:
        planning.add_for_value()
    return planning.actions


class _Planning:
    """One plan in the making: actions so far, and rows as they would become."""

    def __init__(self, state: PoolState) -> None:
        self._state = state
        self._rows: dict[str, LedgerRow] = dict(state.rows)
        self._balance = balance(state)
        self.actions: list[Action] = []

    def keep_reachable(self) -> None:
        """Load what has too few replicas, those with none first."""
        needs = sorted(self._missing(), key=lambda need: need[0])
        for urgency, model, reason in needs:
            if not self._load(model, urgency, reason):
                self._make_room(model, self._targets_for(model))
        for model, target in self._missing_pins():
            if not self._load(model, Urgency.TOO_FEW, "pinned", [target]):
                self._make_room(model, [target])

    def load_adapters(self) -> None:
        """Load missing adapters wherever their base serves."""
        for model in self._state.models:
            for host in self._state.hosts(model.unit, ChargeState.SERVING):
                for adapter in self._state.adapters_of(model):
                    row = self._rows[host]
                    fits = row.free_mb >= adapter.memory_mb
                    if row.find(adapter.unit) is not None or not fits:
                        continue
                    self._add(
                        LoadUnit(
                            host,
                            adapter.unit,
                            adapter.memory_mb,
                            0,
                            Urgency.ADAPTER,
                            f"adapter of {model.name}",
                            base=model.unit,
                        )
                    )

    def retire_obsolete(self) -> None:
        """Retire what is not declared any more, and what was replaced."""
        declared = {model.unit for model in self._state.models}
        declared |= {adapter.unit for adapter in self._state.adapters}
        replaced = {
            pair: model
            for model in self._state.models
            for pair in self._state.older_units(model)
        }
        for name, row in self._state.rows.items():
            for charge in row.charges:
                if charge.state is ChargeState.UNLOADING or charge.unit in declared:
                    continue
                if charge.base and not self._adapter_replaced(charge.unit):
                    continue
                model = replaced.get((name, charge.unit))
                if model is not None and not self._replaced(model):
                    continue
                why = "not declared" if model is None else f"{model.unit} serves"
                self._retire(name, charge.unit, why)
        self._retire_from_closed()
        self._retire_banned()

    def add_for_value(self) -> None:
        """Add the replicas that win more than they cost."""
        for _ in range(MAX_ADDITIONS):
            best = max(
                self._candidates(), key=lambda candidate: candidate.value, default=None
            )
            if best is None:
                return
            if best.evicted:
                for unit in best.evicted:
                    self._retire(best.target, unit, f"room for {best.model.name}")
                return
            reason = f"wins {best.value:.0f} requests in time over its price"
            self._load_on(best.target, best.model, Urgency.VALUE, reason)

    def _missing(self) -> Iterator[tuple[Urgency, ModelSpec, str]]:
        for model in self._state.models:
            present = [
                host
                for host in self._state.hosts(model.unit, *PRESENT)
                if host not in self._state.closed
            ]
            older = self._state.older_units(model)
            if not present and older:
                yield Urgency.NEW_VERSION, model, "new version"
            elif not present:
                yield Urgency.UNREACHABLE, model, "no replica"
            elif len(present) < model.min_replicas:
                yield Urgency.TOO_FEW, model, f"{len(present)} replicas"

    def _missing_pins(self) -> Iterator[tuple[ModelSpec, str]]:
        models = {model.name: model for model in self._state.models}
        for name, target in sorted(self._state.pins):
            model = models.get(name)
            if model is None or not self._state.takes_loads(target):
                continue
            row = self._rows.get(target)
            if row is not None and row.find(model.unit) is None:
                yield model, target

    def _targets_for(self, model: ModelSpec) -> list[str]:
        """Return the targets that may take a load of ``model`` now."""
        return [
            name
            for name, row in self._rows.items()
            if self._state.takes_loads(name)
            and row.find(model.unit) is None
            and (model.name, name) not in self._state.bans
        ]

    def _load(
        self,
        model: ModelSpec,
        urgency: Urgency,
        reason: str,
        targets: Sequence[str] | None = None,
    ) -> bool:
        needed = self._state.footprint_mb(model) + model.loading_peak_mb
        allowed = self._targets_for(model) if targets is None else targets
        hosts = [name for name in allowed if self._rows[name].free_mb >= needed]
        if not hosts:
            return False
        domains = self._domains_of(model)
        best = min(hosts, key=lambda name: self._placement_order(name, domains))
        self._load_on(best, model, urgency, reason)
        return True

    def _placement_order(
        self, target: str, domains: frozenset[str]
    ) -> tuple[bool, float, int]:
        """Another failure domain first, then the least utilised, then the emptiest."""
        same = self._state.target(target).failure_domain in domains
        # Coarse steps, so that memory decides between targets about as busy.
        busy = round(self._balance.utilisation(target), 1)
        return same, busy, -self._rows[target].free_mb

    def _domains_of(self, model: ModelSpec) -> frozenset[str]:
        hosts = self._state.hosts(model.unit, *PRESENT)
        known = [host for host in hosts if host in self._balance.capacities]
        return frozenset(self._state.target(h).failure_domain for h in known)

    def _load_on(
        self, target: str, model: ModelSpec, urgency: Urgency, reason: str
    ) -> None:
        self._add(
            LoadUnit(
                target,
                model.unit,
                model.memory_mb + model.kv_reserve_mb,
                model.loading_peak_mb,
                urgency,
                reason,
            )
        )

    def _add(self, load: LoadUnit) -> None:
        self._rows[load.target] = self._rows[load.target].with_charge(load.charge())
        self.actions.append(load)

    def _retire(self, target: str, unit: str, reason: str) -> None:
        charge = self._rows[target].find(unit)
        if charge is None or charge.state is ChargeState.UNLOADING:
            return
        self._rows[target] = self._rows[target].with_charge(charge.unloading())
        self.actions.append(RetireUnit(target, unit, reason))

    def _replaced(self, model: ModelSpec) -> bool:
        """Whether the new version serves, with its adapters, somewhere."""
        hosts = self._state.hosts(model.unit, ChargeState.SERVING)
        return any(
            host not in self._state.silent and self._is_complete(host, model)
            for host in hosts
        )

    def _adapter_replaced(self, unit: str) -> bool:
        """Whether the adapter is declared no more, or its new version serves."""
        name = unit.rpartition("@")[0]
        declared = [a.unit for a in self._state.adapters if a.name == name]
        return not declared or bool(self._state.hosts(declared[0], ChargeState.SERVING))

    def _is_complete(self, host: str, model: ModelSpec) -> bool:
        """Whether ``model`` and all its adapters serve on ``host``."""
        units = [model.unit, *(a.unit for a in self._state.adapters_of(model))]
        return all(self._still_there(host, unit) for unit in units)

    def _retire_from_closed(self) -> None:
        """Empty targets that are to go, once their models serve elsewhere."""
        for name in self._state.closed - self._state.silent:
            row = self._state.rows.get(name)
            if row is None:
                continue
            for model in self._state.models:
                charge = row.find(model.unit)
                if charge is not None and self.may_retire(model, name):
                    self._retire(name, model.unit, "the target takes no new work")

    def _retire_banned(self) -> None:
        for model in self._state.models:
            for host in self._state.hosts(model.unit, ChargeState.SERVING):
                banned = (model.name, host) in self._state.bans
                if banned and self.may_retire(model, host):
                    self._retire(host, model.unit, "an operator wants it gone")

    def may_retire(self, model: ModelSpec, target: str) -> bool:
        """Whether another replica serves, so that this one may go."""
        if (model.name, target) in self._state.pins:
            return False
        serving = self._state.hosts(model.unit, ChargeState.SERVING)
        others = [
            host
            for host in serving
            if host != target
            and host not in self._state.closed
            # One already retired by this plan no longer counts.
            and self._is_complete(host, model)
        ]
        return len(others) >= model.min_replicas

    def _still_there(self, host: str, unit: str) -> bool:
        charge = self._rows[host].find(unit)
        return charge is not None and charge.state is ChargeState.SERVING

    def _make_room(self, needing: ModelSpec, targets: Sequence[str]) -> None:
        """Retire surplus replicas on that of ``targets`` that then fits."""
        needed = self._state.footprint_mb(needing) + needing.loading_peak_mb
        best: list[tuple[str, str]] | None = None
        for name in targets:
            victims = self._victims(name, needed - self._rows[name].free_mb)
            if victims is not None and (best is None or len(victims) < len(best)):
                best = victims
        if best is None:
            self._relocate(needing, needed)
        for target, unit in best or []:
            self._retire(target, unit, f"room for {needing.name}")

    def _relocate(self, needing: ModelSpec, needed: int) -> None:
        """Load a sole replica elsewhere, so that a later plan may retire it here."""
        for name, row in self._rows.items():
            if name in self._state.closed:
                continue
            for model in self._state.models:
                if not self._still_there(name, model.unit):
                    continue
                frees = row.free_mb + self._state.footprint_mb(model) >= needed
                alone = len(self._state.hosts(model.unit, *PRESENT)) == 1
                reason = f"makes room for {needing.name} on {name}"
                if frees and alone and self._load(model, Urgency.TOO_FEW, reason):
                    return

    def _victims(self, target: str, lacking: int) -> list[tuple[str, str]] | None:
        """Return surplus replicas that free ``lacking`` MB, ``None`` if too few."""
        freed = sum(
            charge.held_mb
            for charge in self._rows[target].charges
            if charge.state is ChargeState.UNLOADING
        )
        victims = []
        surplus = [
            model
            for model in self._state.models
            if self._still_there(target, model.unit) and self.may_retire(model, target)
        ]
        surplus.sort(key=lambda model: self._state.work.get(model.name, 0.0))
        for model in surplus:
            if freed >= lacking:
                break
            victims.append((target, model.unit))
            freed += self._state.footprint_mb(model)
        return victims if freed >= lacking else None

    def _candidates(self) -> Iterator["_Candidate"]:
        policy = self._state.policy
        high = policy.high_utilisation
        for model in self._state.models:
            hosts = [h for h in self._hosts_in_plan(model) if h in self._balance.loads]
            relief = sum(self._relief(model, host, high) for host in hosts)
            if relief <= 0:
                continue
            for target in self._open_targets(model):
                won = min(relief, self._balance.headroom(target, high))
                rate = won / model.service_seconds
                gained = rate * policy.horizon_seconds
                evicted = self._eviction_for(model, target)
                if evicted is None:
                    continue
                moves = 1 + len(evicted)
                value = gained - moves * policy.move_price
                if value > 0:
                    yield _Candidate(model, target, value, evicted)

    def _hosts_in_plan(self, model: ModelSpec) -> list[str]:
        return [
            name
            for name, row in self._rows.items()
            if (charge := row.find(model.unit)) is not None and charge.state in PRESENT
        ]

    def _relief(self, model: ModelSpec, host: str, high: float) -> float:
        share = self._balance.shares.get((model.name, host), 0.0)
        return min(share, self._balance.overload(host, high))

    def _open_targets(self, model: ModelSpec) -> list[str]:
        loading = any(
            isinstance(action, LoadUnit) and action.unit == model.unit
            for action in self.actions
        )
        return [] if loading else self._targets_for(model)

    def _eviction_for(self, model: ModelSpec, target: str) -> tuple[str, ...] | None:
        """Return the units to retire first, ``None`` if that is not worth it.

        Only replicas that have been there long enough and whose work the others
        carry with ease are retired for value.
        """
        needed = self._state.footprint_mb(model) + model.loading_peak_mb
        lacking = needed - self._rows[target].free_mb
        if lacking <= 0:
            return ()
        victims = self._victims(target, lacking)
        if not victims:
            # Too little can go, or enough is going and the next plan will load.
            return None
        units = tuple(unit for _, unit in victims)
        if all(self._may_go_for_value(target, unit) for unit in units):
            return units
        return None

    def _may_go_for_value(self, target: str, unit: str) -> bool:
        residence = self._state.ages.get((target, unit), timedelta())
        policy = self._state.policy
        if residence.total_seconds() < policy.min_residence_seconds:
            return False
        return self._is_idle(unit, policy.low_utilisation)

    def _is_idle(self, unit: str, low: float) -> bool:
        """Whether the other replicas of ``unit`` carry its work with ease."""
        name = unit.rpartition("@")[0]
        hosts = [h for h in self._state.hosts(unit, ChargeState.SERVING)]
        known = [h for h in hosts if h in self._balance.capacities]
        room = sum(self._balance.capacities[h] for h in known[1:])
        return self._state.work.get(name, 0.0) <= low * max(room, 1.0)


@dataclass(frozen=True, slots=True)
class _Candidate:
    model: ModelSpec
    target: str
    value: float
    evicted: tuple[str, ...]


def explain(state: PoolState, model: ModelSpec) -> list[str]:
    """Return lines that tell where ``model`` is, and what speaks for changes."""
    spread: Balance = balance(state)
    lines = [
        f"expected work: {state.work.get(model.name, 0.0):.2f} concurrent requests"
    ]
    for name, row in state.rows.items():
        charge = row.find(model.unit)
        if charge is None:
            continue
        busy = spread.utilisation(name) if name in spread.capacities else 0.0
        lines.append(
            f"{name}: {charge.state.value}, {charge.held_mb} MB, "
            f"target at {busy:.0%} of its concurrency"
        )
    for action in plan(state):
        if action.unit == model.unit:
            verb = "load on" if isinstance(action, LoadUnit) else "retire from"
            lines.append(f"next: {verb} {action.target}: {action.reason}")
    return lines
