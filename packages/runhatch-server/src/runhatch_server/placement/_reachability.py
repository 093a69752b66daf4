"""Keeps every declared model, version and adapter resident, and retires others."""

from collections.abc import Iterator, Sequence

from runhatch_server.configuration import ModelSpec
from runhatch_server.placement._actions import LoadUnit, Urgency
from runhatch_server.placement._draft import PRESENT_STATES, Draft
from runhatch_server.placement._ledger import Charge, ChargeState


def load_missing_models(draft: Draft) -> None:
    """Load models with too few replicas, those without any first, then pins."""
    missing = sorted(_missing_models(draft), key=lambda entry: entry[0])
    for urgency, model, reason in missing:
        if not draft.load_on_best_target(model, urgency, reason):
            _free_memory(draft, model, draft.targets_for(model))
    for model, target in _missing_pins(draft):
        if not draft.load_on_best_target(model, Urgency.TOO_FEW, "pinned", [target]):
            _free_memory(draft, model, [target])


def load_adapters(draft: Draft) -> None:
    """Load missing adapters on all targets on which their base serves."""
    for model in draft.state.models:
        for host in draft.state.hosts(model.unit_name, ChargeState.SERVING):
            for adapter in draft.state.adapters_of(model):
                row = draft.rows[host]
                fits = row.free_mb >= adapter.memory_mb
                if row.find_charge(adapter.unit) is not None or not fits:
                    continue
                draft.add_load(
                    LoadUnit(
                        host,
                        adapter.unit,
                        adapter.memory_mb,
                        0,
                        Urgency.ADAPTER,
                        f"adapter of {model.name}",
                        base=model.unit_name,
                    )
                )


def retire_obsolete_units(draft: Draft) -> None:
    """Retire units that are undeclared, replaced, banned or on a closed target."""
    state = draft.state
    declared = {model.unit_name for model in state.models}
    declared |= {adapter.unit for adapter in state.adapters}
    replaced = {pair: m for m in state.models for pair in state.old_version_units(m)}
    for name, row in state.rows.items():
        for charge in row.charges:
            if charge.unit not in declared:
                _retire_undeclared(draft, name, charge, replaced)
    _retire_from_closed(draft)
    _retire_banned(draft)


def _missing_models(draft: Draft) -> Iterator[tuple[Urgency, ModelSpec, str]]:
    """Yield urgency, model and reason for each model with too few replicas."""
    state = draft.state
    for model in state.models:
        hosts = state.hosts(model.unit_name, *PRESENT_STATES)
        present = [host for host in hosts if host not in state.excluded]
        older = state.old_version_units(model)
        if not present and older:
            yield Urgency.NEW_VERSION, model, "new version"
        elif not present:
            yield Urgency.UNREACHABLE, model, "no replica"
        elif len(present) < model.min_replicas:
            yield Urgency.TOO_FEW, model, f"{len(present)} replicas"


def _missing_pins(draft: Draft) -> Iterator[tuple[ModelSpec, str]]:
    """Yield model and target of each pin without a charge."""
    models = {model.name: model for model in draft.state.models}
    for name, target in sorted(draft.state.pins):
        model = models.get(name)
        if model is None or not draft.state.accepts_loads(target):
            continue
        row = draft.rows.get(target)
        if row is not None and row.find_charge(model.unit_name) is None:
            yield model, target


def _free_memory(draft: Draft, needing: ModelSpec, targets: Sequence[str]) -> None:
    """Free memory for ``needing`` on the target with the fewest retirements.

    If surplus replicas free too little on every target, retire old versions, and
    otherwise load another model's only replica elsewhere.
    """
    needed = draft.needed_mb(needing)
    best: tuple[str, list[ModelSpec]] | None = None
    for name in targets:
        victims = draft.find_evictions(name, needed - draft.rows[name].free_mb)
        if victims is not None and (best is None or len(victims) < len(best[1])):
            best = name, victims
    if best is not None:
        for model in best[1]:
            draft.retire(best[0], model.unit_name, f"frees memory for {needing.name}")
        return
    if not _retire_superseded(draft, needing, needed, targets):
        _load_elsewhere(draft, needing, needed)


def _retire_superseded(
    draft: Draft, needing: ModelSpec, needed: int, targets: Sequence[str]
) -> bool:
    """Retire old versions of models of which another replica serves.

    Otherwise a pool full of old versions would never have memory for the first new
    version, because an old one is kept until its new version serves.
    """
    for name in targets:
        lacking = needed - draft.rows[name].free_mb - draft.unloading_mb(name)
        chosen: list[str] = []
        for charge in _superseded_charges(draft, name):
            if lacking <= 0:
                break
            if _is_served_without(draft, charge.unit, name, chosen):
                chosen.append(charge.unit)
                lacking -= charge.reserved_mb
        if lacking > 0:
            continue
        for unit in chosen:
            draft.retire(name, unit, f"old version, frees memory for {needing.name}")
        return True
    return False


def _superseded_charges(draft: Draft, target: str) -> list[Charge]:
    """Return the serving charges of older model versions on ``target``."""
    older = {
        pair for m in draft.state.models for pair in draft.state.old_version_units(m)
    }
    return [
        charge
        for charge in draft.rows[target].charges
        if (target, charge.unit) in older and charge.state is ChargeState.SERVING
    ]


def _is_served_without(
    draft: Draft, unit: str, target: str, removed: Sequence[str]
) -> bool:
    """Whether any version of the unit's model serves without this replica.

    ``removed`` are units of ``target`` that do not count.
    """
    model = unit.rpartition("@")[0]
    return any(
        charge.state is ChargeState.SERVING
        and charge.unit.rpartition("@")[0] == model
        and not (name == target and charge.unit in (unit, *removed))
        for name, row in draft.rows.items()
        if name not in draft.state.excluded
        for charge in row.charges
    )


def _load_elsewhere(draft: Draft, needing: ModelSpec, needed: int) -> None:
    """Load a model's only replica on another target as well.

    A later plan may then retire it and use its memory for ``needing``.
    """
    state = draft.state
    for name, row in draft.rows.items():
        if name in state.excluded:
            continue
        for model in state.models:
            if not draft.serves(name, model.unit_name):
                continue
            frees_enough = row.free_mb + state.footprint_mb(model) >= needed
            is_only_replica = len(state.hosts(model.unit_name, *PRESENT_STATES)) == 1
            reason = f"frees memory for {needing.name} on {name}"
            if (
                frees_enough
                and is_only_replica
                and draft.load_on_best_target(model, Urgency.TOO_FEW, reason)
            ):
                return


def _retire_undeclared(
    draft: Draft,
    target: str,
    charge: Charge,
    replaced: dict[tuple[str, str], ModelSpec],
) -> None:
    """Retire an undeclared unit unless it is an old version still in use.

    ``replaced`` maps target and unit of old versions to the declared model.
    """
    if charge.base and not _is_adapter_replaced(draft, charge.unit):
        return
    model = replaced.get((target, charge.unit))
    if model is not None and not _is_replaced(draft, model):
        return
    reason = "not declared" if model is None else f"{model.unit_name} serves"
    draft.retire(target, charge.unit, reason)


def _is_replaced(draft: Draft, model: ModelSpec) -> bool:
    """Whether the new version and its adapters serve on a reachable target."""
    hosts = draft.state.hosts(model.unit_name, ChargeState.SERVING)
    return any(
        host not in draft.state.silent and draft.is_complete(host, model)
        for host in hosts
    )


def _is_adapter_replaced(draft: Draft, unit: str) -> bool:
    """Whether the adapter is no longer declared or its new version serves."""
    name = unit.rpartition("@")[0]
    declared = [a.unit for a in draft.state.adapters if a.name == name]
    if not declared:
        return True
    return bool(draft.state.hosts(declared[0], ChargeState.SERVING))


def _retire_from_closed(draft: Draft) -> None:
    """Retire models from closed, reachable targets once enough others serve."""
    for name in draft.state.excluded - draft.state.silent:
        row = draft.state.rows.get(name)
        if row is None:
            continue
        for model in draft.state.models:
            if row.find_charge(model.unit_name) is not None and draft.may_retire(
                model, name
            ):
                draft.retire(name, model.unit_name, "the target accepts no new work")


def _retire_banned(draft: Draft) -> None:
    """Retire models from targets on which they are banned."""
    for model in draft.state.models:
        for host in draft.state.hosts(model.unit_name, ChargeState.SERVING):
            banned = (model.name, host) in draft.state.bans
            if banned and draft.may_retire(model, host):
                draft.retire(host, model.unit_name, "banned by an operator")
