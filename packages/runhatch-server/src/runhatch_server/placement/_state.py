"""Input of a plan: one pool's models, targets, charges and demand."""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from functools import cached_property

from runhatch_server.configuration import (
    AdapterSpec,
    Deployment,
    ModelSpec,
    PolicySpec,
    PoolSpec,
    TargetSpec,
)
from runhatch_server.placement._ledger import Charge, ChargeState, LedgerRow


@dataclass(frozen=True)
class PoolState:
    """Snapshot of a pool.

    ``excluded`` are targets whose replicas do not count because the target is drained,
    draining or silent.  ``silent`` targets have sent no report for some time.
    ``unreported`` targets accept no loads now because their last report is missing.
    ``pins`` and ``bans`` are pairs of model and target.  ``work`` is the expected
    number of concurrent requests of each model, ``ages`` the time since the last
    state change of each replica, by target and unit.
    """

    pool: PoolSpec
    models: tuple[ModelSpec, ...]
    adapters: tuple[AdapterSpec, ...]
    policy: PolicySpec
    rows: Mapping[str, LedgerRow]
    work: Mapping[str, float]
    excluded: frozenset[str] = frozenset()
    silent: frozenset[str] = frozenset()
    unreported: frozenset[str] = frozenset()
    ages: Mapping[tuple[str, str], timedelta] = field(default_factory=dict)
    pins: frozenset[tuple[str, str]] = frozenset()
    bans: frozenset[tuple[str, str]] = frozenset()

    def accepts_loads(self, name: str) -> bool:
        """Whether the target ``name`` may be sent a load order now."""
        return name not in self.excluded and name not in self.unreported

    def target(self, name: str) -> TargetSpec:
        """Return the declared target ``name``; raises ``KeyError`` if there is none."""
        return self._targets[name]

    def adapters_of(self, model: ModelSpec) -> tuple[AdapterSpec, ...]:
        """Return the adapters of ``model``."""
        return self._adapters_by_base.get(model.name, ())

    def footprint_mb(self, model: ModelSpec) -> int:
        """Return the memory of one loaded replica, adapters included."""
        adapters = sum(adapter.memory_mb for adapter in self.adapters_of(model))
        return model.memory_mb + model.kv_reserve_mb + adapters

    def hosts(self, unit: str, *states: ChargeState) -> list[str]:
        """Return the targets on which ``unit`` is charged in one of ``states``."""
        placements = self._placements.get(unit, ())
        return [name for name, charge in placements if charge.state in states]

    def old_version_units(self, model: ModelSpec) -> list[tuple[str, str]]:
        """Return target and unit of all other versions of ``model`` not unloading."""
        return [
            (target, unit)
            for unit in self._units_by_name.get(model.name, ())
            if unit != model.unit_name
            for target, charge in self._placements[unit]
            if not charge.base and charge.state is not ChargeState.UNLOADING
        ]

    @cached_property
    def _targets(self) -> dict[str, TargetSpec]:
        return {target.name: target for target in self.pool.targets}

    @cached_property
    def _adapters_by_base(self) -> dict[str, tuple[AdapterSpec, ...]]:
        by_base: defaultdict[str, list[AdapterSpec]] = defaultdict(list)
        for adapter in self.adapters:
            by_base[adapter.base].append(adapter)
        return {base: tuple(adapters) for base, adapters in by_base.items()}

    @cached_property
    def _placements(self) -> dict[str, list[tuple[str, Charge]]]:
        """Targets and charges of each unit."""
        placements: defaultdict[str, list[tuple[str, Charge]]] = defaultdict(list)
        for name, row in self.rows.items():
            for charge in row.charges:
                placements[charge.unit].append((name, charge))
        return dict(placements)

    @cached_property
    def _units_by_name(self) -> dict[str, list[str]]:
        by_name: defaultdict[str, list[str]] = defaultdict(list)
        for unit in self._placements:
            by_name[unit.rpartition("@")[0]].append(unit)
        return dict(by_name)


def pool_models(deployment: Deployment, pool: PoolSpec) -> tuple[ModelSpec, ...]:
    """Return the models declared for ``pool``."""
    return tuple(model for model in deployment.models if model.pool == pool.name)
