"""A plan under construction: its actions and the ledger rows they result in."""

from collections.abc import Sequence

from runhatch_server.configuration import ModelSpec
from runhatch_server.placement._actions import (
    Action,
    LoadUnit,
    RetireUnit,
    Urgency,
)
from runhatch_server.placement._balance import balance_work
from runhatch_server.placement._ledger import ChargeState, LedgerRow
from runhatch_server.placement._state import PoolState

PRESENT_STATES = (ChargeState.SERVING, ChargeState.LOADING)


class Draft:
    """Collects actions that together fit the current ledger.

    If memory must be freed for a load, this plan has only the retirement; a later
    plan has the load.
    """

    def __init__(self, state: PoolState) -> None:
        self.state = state
        self.rows: dict[str, LedgerRow] = dict(state.rows)
        self.balance = balance_work(state)
        self.actions: list[Action] = []

    def add_load(self, load: LoadUnit) -> None:
        """Add ``load`` to the plan and its charge to the target's row."""
        self.rows[load.target] = self.rows[load.target].with_charge(load.new_charge())
        self.actions.append(load)

    def load_on(
        self, target: str, model: ModelSpec, urgency: Urgency, reason: str
    ) -> None:
        """Add a load of ``model`` on ``target``, which must have enough free memory."""
        self.add_load(
            LoadUnit(
                target,
                model.unit_name,
                model.memory_mb + model.kv_reserve_mb,
                model.loading_peak_mb,
                urgency,
                reason,
            )
        )

    def retire(self, target: str, unit: str, reason: str) -> None:
        """Retire ``unit`` unless it is absent or already being unloaded."""
        charge = self.rows[target].find_charge(unit)
        if charge is None or charge.state is ChargeState.UNLOADING:
            return
        self.rows[target] = self.rows[target].with_charge(charge.as_unloading())
        self.actions.append(RetireUnit(target, unit, reason))

    def needed_mb(self, model: ModelSpec) -> int:
        """Return the free memory that loading ``model`` takes, adapters included."""
        return self.state.footprint_mb(model) + model.loading_peak_mb

    def targets_for(self, model: ModelSpec) -> list[str]:
        """Return the targets that accept loads, lack ``model`` and do not ban it."""
        return [
            name
            for name, row in self.rows.items()
            if self.state.accepts_loads(name)
            and row.find_charge(model.unit_name) is None
            and (model.name, name) not in self.state.bans
        ]

    def load_on_best_target(
        self,
        model: ModelSpec,
        urgency: Urgency,
        reason: str,
        targets: Sequence[str] | None = None,
    ) -> bool:
        """Load ``model`` on the best target with enough free memory.

        Return false if no target has it.  ``targets`` restricts the choice.
        """
        needed = self.needed_mb(model)
        allowed = self.targets_for(model) if targets is None else targets
        hosts = [name for name in allowed if self.rows[name].free_mb >= needed]
        if not hosts:
            return False
        domains = self._failure_domains(model)
        best = min(hosts, key=lambda name: self._placement_order(name, domains))
        self.load_on(best, model, urgency, reason)
        return True

    def serves(self, target: str, unit: str) -> bool:
        """Whether ``unit`` serves on ``target`` and this plan does not retire it."""
        charge = self.rows[target].find_charge(unit)
        return charge is not None and charge.state is ChargeState.SERVING

    def is_complete(self, target: str, model: ModelSpec) -> bool:
        """Whether ``model`` and all its adapters serve on ``target``."""
        units = [model.unit_name, *(a.unit for a in self.state.adapters_of(model))]
        return all(self.serves(target, unit) for unit in units)

    def may_retire(self, model: ModelSpec, target: str) -> bool:
        """Whether the replica on ``target`` is unpinned and enough others serve."""
        if (model.name, target) in self.state.pins:
            return False
        others = [
            host
            for host in self.state.hosts(model.unit_name, ChargeState.SERVING)
            if host != target
            and host not in self.state.excluded
            and self.is_complete(host, model)
        ]
        return len(others) >= model.min_replicas

    def unloading_mb(self, target: str) -> int:
        """Return the memory of the units being unloaded from ``target``."""
        return sum(
            charge.reserved_mb
            for charge in self.rows[target].charges
            if charge.state is ChargeState.UNLOADING
        )

    def find_evictions(self, target: str, lacking_mb: int) -> list[ModelSpec] | None:
        """Return surplus replicas whose removal frees ``lacking_mb`` MB.

        Those with the least work come first.  Memory of units already being unloaded
        counts as freed.  Return ``None`` if all surplus replicas free too little.
        """
        freed = self.unloading_mb(target)
        surplus = [
            model
            for model in self.state.models
            if self.serves(target, model.unit_name) and self.may_retire(model, target)
        ]
        surplus.sort(key=lambda model: self.balance.share(model.name, target))
        chosen = []
        for model in surplus:
            if freed >= lacking_mb:
                break
            chosen.append(model)
            freed += self.state.footprint_mb(model)
        return chosen if freed >= lacking_mb else None

    def _placement_order(
        self, target: str, domains: frozenset[str]
    ) -> tuple[bool, float, int]:
        """Return the sort key: new failure domain, low utilisation, free memory."""
        is_shared = self.state.target(target).failure_domain in domains
        # Rounded, so that free memory decides between similarly utilised targets.
        utilisation = round(self.balance.utilisation(target), 1)
        return is_shared, utilisation, -self.rows[target].free_mb

    def _failure_domains(self, model: ModelSpec) -> frozenset[str]:
        """Return the failure domains in which ``model`` is present."""
        hosts = self.state.hosts(model.unit_name, *PRESENT_STATES)
        declared = [host for host in hosts if host in self.balance.capacities]
        return frozenset(self.state.target(h).failure_domain for h in declared)
