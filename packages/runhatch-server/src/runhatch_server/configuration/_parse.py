"""Parses and validates configuration documents."""

from collections import Counter
from collections.abc import Iterable

from pydantic import ValidationError

from runhatch_server._errors import DeploymentError
from runhatch_server.configuration._deployment import Deployment
from runhatch_server.configuration._fit import find_memory_shortfalls
from runhatch_server.validation import format_validation_errors


def parse_deployment(body: bytes) -> Deployment:
    """Return the deployment in ``body``, a JSON document.

    Raises :class:`~runhatch_server._errors.DeploymentError` with one line for each
    error, including memory shortfalls.
    """
    try:
        deployment = Deployment.model_validate_json(body)
    except ValidationError as error:
        raise DeploymentError(format_validation_errors(error)) from None
    faults = (*_check_unique_names(deployment), *_check_references(deployment))
    if not faults:
        faults = find_memory_shortfalls(deployment)
    if faults:
        raise DeploymentError(faults)
    return deployment


def _check_unique_names(deployment: Deployment) -> tuple[str, ...]:
    model_names = [model.name for model in deployment.models]
    model_names += [adapter.name for adapter in deployment.adapters]
    targets = [target.name for pool in deployment.pools for target in pool.targets]
    for service in deployment.plain_services:
        targets += [target.name for target in service.targets]
    return (
        *_find_duplicates("models", model_names),
        *_find_duplicates("targets", targets),
        *_find_duplicates("pools", [pool.name for pool in deployment.pools]),
        *_find_duplicates(
            "plain_services", [item.name for item in deployment.plain_services]
        ),
    )


def _find_duplicates(field: str, names: Iterable[str]) -> list[str]:
    return [
        f"{field}: found {name!r} {count} times, allowed: once"
        for name, count in Counter(names).items()
        if count > 1
    ]


def _check_references(deployment: Deployment) -> tuple[str, ...]:
    pools = {pool.name for pool in deployment.pools}
    models = {model.name for model in deployment.models}
    targets = {target.name for pool in deployment.pools for target in pool.targets}
    for service in deployment.plain_services:
        targets |= {target.name for target in service.targets}
    faults = []
    for index, model in enumerate(deployment.models):
        if model.pool not in pools:
            faults.append(
                _format_unknown_name(f"models.{index}.pool", model.pool, pools)
            )
    for index, adapter in enumerate(deployment.adapters):
        if adapter.base not in models:
            faults.append(
                _format_unknown_name(f"adapters.{index}.base", adapter.base, models)
            )
    for index, name in enumerate(deployment.drained_targets):
        if name not in targets:
            faults.append(
                _format_unknown_name(f"drained_targets.{index}", name, targets)
            )
    for field, pairs in (("pins", deployment.pins), ("bans", deployment.bans)):
        for index, pair in enumerate(pairs):
            if pair.model not in models:
                faults.append(
                    _format_unknown_name(f"{field}.{index}.model", pair.model, models)
                )
            if pair.target not in targets:
                faults.append(
                    _format_unknown_name(
                        f"{field}.{index}.target", pair.target, targets
                    )
                )
    return tuple(faults)


def _format_unknown_name(field: str, found: str, known: set[str]) -> str:
    known_names = ", ".join(sorted(known)[:8]) or "none is declared"
    return f"{field}: found {found!r}, allowed: one of {known_names}"
