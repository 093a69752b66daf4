"""Keeping every declared model, version and adapter resident."""

from collections.abc import Iterator, Sequence

from runhatch_server.configuration import ModelSpec
from runhatch_server.placement._actions import LoadUnit, Urgency
from runhatch_server.placement._draft import PRESENT, Draft
from runhatch_server.placement._ledger import Charge, ChargeState


def keep_reachable(draft: Draft) -> None:
    """Load what has too few replicas, those with none first, then pins."""
    needs = sorted(_missing(draft), key=lambda need: need[0])
    for urgency, model, reason in needs:
        if not draft.load_somewhere(model, urgency, reason):
            _make_room(draft, model, draft.targets_for(model))
    for model, target in _missing_pins(draft):
        if not draft.load_somewhere(model, Urgency.TOO_FEW, "pinned", [target]):
            _make_room(draft, model, [target])


def load_adapters(draft: Draft) -> None:
    """Load missing adapters wherever their base serves."""
    for model in draft.state.models:
        for host in draft.state.hosts(model.unit, ChargeState.SERVING):
            for adapter in draft.state.adapters_of(model):
                row = draft.rows[host]
                fits = row.free_mb >= adapter.memory_mb
                if row.find(adapter.unit) is not None or not fits:
                    continue
                draft.add(
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


def retire_obsolete(draft: Draft) -> None:
    """Retire what is undeclared, replaced, banned, or on a target that goes."""
    state = draft.state
    declared = {model.unit for model in state.models}
    declared |= {adapter.unit for adapter in state.adapters}
    replaced = {pair: m for m in state.models for pair in state.older_units(m)}
    for name, row in state.rows.items():
        for charge in row.charges:
            if charge.unit not in declared:
                _retire_undeclared(draft, name, charge, replaced)
    _retire_from_closed(draft)
    _retire_banned(draft)


def _missing(draft: Draft) -> Iterator[tuple[Urgency, ModelSpec, str]]:
    state = draft.state
    for model in state.models:
        hosts = state.hosts(model.unit, *PRESENT)
        present = [host for host in hosts if host not in state.closed]
        older = state.older_units(model)
        if not present and older:
            yield Urgency.NEW_VERSION, model, "new version"
        elif not present:
            yield Urgency.UNREACHABLE, model, "no replica"
        elif len(present) < model.min_replicas:
            yield Urgency.TOO_FEW, model, f"{len(present)} replicas"


def _missing_pins(draft: Draft) -> Iterator[tuple[ModelSpec, str]]:
    models = {model.name: model for model in draft.state.models}
    for name, target in sorted(draft.state.pins):
        model = models.get(name)
        if model is None or not draft.state.takes_loads(target):
            continue
        row = draft.rows.get(target)
        if row is not None and row.find(model.unit) is None:
            yield model, target


def _make_room(draft: Draft, needing: ModelSpec, targets: Sequence[str]) -> None:
    """Retire surplus replicas on that of ``targets`` where the fewest must go."""
    needed = draft.needed_mb(needing)
    best: tuple[str, list[ModelSpec]] | None = None
    for name in targets:
        victims = draft.victims(name, needed - draft.rows[name].free_mb)
        if victims is not None and (best is None or len(victims) < len(best[1])):
            best = name, victims
    if best is not None:
        for model in best[1]:
            draft.retire(best[0], model.unit, f"room for {needing.name}")
        return
    if not _retire_superseded(draft, needing, needed, targets):
        _relocate(draft, needing, needed)


def _retire_superseded(
    draft: Draft, needing: ModelSpec, needed: int, targets: Sequence[str]
) -> bool:
    """Retire replicas of old versions of which another one serves.

    Without this a pool full of old versions, none of which may go before its
    successor serves, never has room for the first successor.
    """
    for name in targets:
        lacking = needed - draft.rows[name].free_mb - draft.unloading_mb(name)
        chosen: list[str] = []
        for charge in _superseded(draft, name):
            if lacking <= 0:
                break
            if _serves_without(draft, charge.unit, name, chosen):
                chosen.append(charge.unit)
                lacking -= charge.held_mb
        if lacking > 0:
            continue
        for unit in chosen:
            draft.retire(name, unit, f"old version, room for {needing.name}")
        return True
    return False


def _superseded(draft: Draft, target: str) -> list[Charge]:
    """Return the serving charges on ``target`` of models' older versions."""
    older = {pair for m in draft.state.models for pair in draft.state.older_units(m)}
    return [
        charge
        for charge in draft.rows[target].charges
        if (target, charge.unit) in older and charge.state is ChargeState.SERVING
    ]


def _serves_without(draft: Draft, unit: str, target: str, gone: Sequence[str]) -> bool:
    """Whether any version of the unit's model serves beside this replica."""
    model = unit.rpartition("@")[0]
    return any(
        charge.state is ChargeState.SERVING
        and charge.unit.rpartition("@")[0] == model
        and not (name == target and charge.unit in (unit, *gone))
        for name, row in draft.rows.items()
        if name not in draft.state.closed
        for charge in row.charges
    )


def _relocate(draft: Draft, needing: ModelSpec, needed: int) -> None:
    """Load a sole replica elsewhere, so that a later plan may retire it here."""
    state = draft.state
    for name, row in draft.rows.items():
        if name in state.closed:
            continue
        for model in state.models:
            if not draft.serves(name, model.unit):
                continue
            frees = row.free_mb + state.footprint_mb(model) >= needed
            alone = len(state.hosts(model.unit, *PRESENT)) == 1
            reason = f"makes room for {needing.name} on {name}"
            if frees and alone and draft.load_somewhere(model, Urgency.TOO_FEW, reason):
                return


def _retire_undeclared(
    draft: Draft,
    target: str,
    charge: Charge,
    replaced: dict[tuple[str, str], ModelSpec],
) -> None:
    if charge.base and not _adapter_replaced(draft, charge.unit):
        return
    model = replaced.get((target, charge.unit))
    if model is not None and not _replaced(draft, model):
        return
    why = "not declared" if model is None else f"{model.unit} serves"
    draft.retire(target, charge.unit, why)


def _replaced(draft: Draft, model: ModelSpec) -> bool:
    """Whether the new version serves, with its adapters, somewhere."""
    hosts = draft.state.hosts(model.unit, ChargeState.SERVING)
    return any(
        host not in draft.state.silent and draft.is_complete(host, model)
        for host in hosts
    )


def _adapter_replaced(draft: Draft, unit: str) -> bool:
    """Whether the adapter is declared no more, or its new version serves."""
    name = unit.rpartition("@")[0]
    declared = [a.unit for a in draft.state.adapters if a.name == name]
    if not declared:
        return True
    return bool(draft.state.hosts(declared[0], ChargeState.SERVING))


def _retire_from_closed(draft: Draft) -> None:
    """Empty targets that are to go, once their models serve elsewhere."""
    for name in draft.state.closed - draft.state.silent:
        row = draft.state.rows.get(name)
        if row is None:
            continue
        for model in draft.state.models:
            if row.find(model.unit) is not None and draft.may_retire(model, name):
                draft.retire(name, model.unit, "the target takes no new work")


def _retire_banned(draft: Draft) -> None:
    for model in draft.state.models:
        for host in draft.state.hosts(model.unit, ChargeState.SERVING):
            banned = (model.name, host) in draft.state.bans
            if banned and draft.may_retire(model, host):
                draft.retire(host, model.unit, "an operator wants it gone")
