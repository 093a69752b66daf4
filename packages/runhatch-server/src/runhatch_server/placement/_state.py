"""What a plan is made from: one pool's models, targets, charges and demand."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from runhatch_server.configuration import (
    AdapterSpec,
    Deployment,
    ModelSpec,
    PolicySpec,
    PoolSpec,
    TargetSpec,
)
from runhatch_server.placement._ledger import ChargeState, LedgerRow


@dataclass(frozen=True, slots=True)
class PoolState:
    """A pool at one moment.

    ``closed`` are targets whose replicas do not count: drained, leaving or silent.
    ``unread`` are those that take no loads now because their report is missing.
    ``pins`` and ``bans`` are pairs of model and target.  ``work`` is the concurrent
    requests expected of each model, ``ages`` how long each replica, by target and
    unit, has been there.
    """

    pool: PoolSpec
    models: tuple[ModelSpec, ...]
    adapters: tuple[AdapterSpec, ...]
    policy: PolicySpec
    rows: Mapping[str, LedgerRow]
    work: Mapping[str, float]
    closed: frozenset[str] = frozenset()
    silent: frozenset[str] = frozenset()
    unread: frozenset[str] = frozenset()
    ages: Mapping[tuple[str, str], timedelta] = field(default_factory=dict)
    pins: frozenset[tuple[str, str]] = frozenset()
    bans: frozenset[tuple[str, str]] = frozenset()

    def takes_loads(self, name: str) -> bool:
        """Tell whether a load may be ordered from the target now."""
        return name not in self.closed and name not in self.unread

    def target(self, name: str) -> TargetSpec:
        """Return the declared target called ``name``."""
        return next(t for t in self.pool.targets if t.name == name)

    def adapters_of(self, model: ModelSpec) -> tuple[AdapterSpec, ...]:
        """Return the adapters of ``model``."""
        return tuple(a for a in self.adapters if a.base == model.name)

    def footprint_mb(self, model: ModelSpec) -> int:
        """Return what one replica holds once loaded, adapters included."""
        adapters = sum(adapter.memory_mb for adapter in self.adapters_of(model))
        return model.memory_mb + model.kv_reserve_mb + adapters

    def hosts(self, unit: str, *states: ChargeState) -> list[str]:
        """Return the targets on which ``unit`` is charged in one of ``states``."""
        return [
            name
            for name, row in self.rows.items()
            if (charge := row.find(unit)) is not None and charge.state in states
        ]

    def older_units(self, model: ModelSpec) -> list[tuple[str, str]]:
        """Return target and unit of all other versions of ``model``."""
        return [
            (name, charge.unit)
            for name, row in self.rows.items()
            for charge in row.charges
            if not charge.base
            and charge.unit != model.unit
            and charge.unit.rpartition("@")[0] == model.name
            and charge.state is not ChargeState.UNLOADING
        ]


def pool_models(deployment: Deployment, pool: PoolSpec) -> tuple[ModelSpec, ...]:
    """Return the models declared for ``pool``."""
    return tuple(model for model in deployment.models if model.pool == pool.name)
