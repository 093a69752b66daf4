"""From bytes to a checked deployment."""

from collections import Counter
from collections.abc import Iterable

from pydantic import ValidationError

from runhatch_server._errors import DeploymentError
from runhatch_server.border import fault_lines
from runhatch_server.configuration._deployment import Deployment
from runhatch_server.configuration._fit import shortfalls


def parse_deployment(body: bytes) -> Deployment:
    """Return the deployment in ``body``, a JSON document.

    Raises :class:`~runhatch_server._errors.DeploymentError` with one line for
    each fault, memory shortfalls included.
    """
    try:
        deployment = Deployment.model_validate_json(body)
    except ValidationError as error:
        raise DeploymentError(fault_lines(error)) from None
    faults = (*_repeated_names(deployment), *_dangling_names(deployment))
    if not faults:
        faults = shortfalls(deployment)
    if faults:
        raise DeploymentError(faults)
    return deployment


def _repeated_names(deployment: Deployment) -> tuple[str, ...]:
    callables = [model.name for model in deployment.models]
    callables += [adapter.name for adapter in deployment.adapters]
    targets = [target.name for pool in deployment.pools for target in pool.targets]
    for service in deployment.plain_services:
        targets += [target.name for target in service.targets]
    return (
        *_twice("models", callables),
        *_twice("targets", targets),
        *_twice("pools", [pool.name for pool in deployment.pools]),
        *_twice("plain_services", [item.name for item in deployment.plain_services]),
    )


def _twice(field: str, names: Iterable[str]) -> list[str]:
    return [
        f"{field}: found {name!r} {count} times, allowed: once"
        for name, count in Counter(names).items()
        if count > 1
    ]


def _dangling_names(deployment: Deployment) -> tuple[str, ...]:
    pools = {pool.name for pool in deployment.pools}
    models = {model.name for model in deployment.models}
    targets = {target.name for pool in deployment.pools for target in pool.targets}
    for service in deployment.plain_services:
        targets |= {target.name for target in service.targets}
    faults = []
    for index, model in enumerate(deployment.models):
        if model.pool not in pools:
            faults.append(_dangling(f"models.{index}.pool", model.pool, pools))
    for index, adapter in enumerate(deployment.adapters):
        if adapter.base not in models:
            faults.append(_dangling(f"adapters.{index}.base", adapter.base, models))
    for index, name in enumerate(deployment.drained_targets):
        if name not in targets:
            faults.append(_dangling(f"drained_targets.{index}", name, targets))
    for field, pairs in (("pins", deployment.pins), ("bans", deployment.bans)):
        for index, pair in enumerate(pairs):
            if pair.model not in models:
                faults.append(_dangling(f"{field}.{index}.model", pair.model, models))
            if pair.target not in targets:
                faults.append(
                    _dangling(f"{field}.{index}.target", pair.target, targets)
                )
    return tuple(faults)


def _dangling(field: str, found: str, known: set[str]) -> str:
    shown = ", ".join(sorted(known)[:8]) or "none is declared"
    return f"{field}: found {found!r}, allowed: one of {shown}"
