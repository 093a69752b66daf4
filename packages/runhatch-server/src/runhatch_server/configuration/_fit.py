"""Whether every declared model can be resident at once, pool by pool."""

from runhatch_server.configuration._deployment import Deployment, ModelSpec, PoolSpec


def footprint_mb(deployment: Deployment, model: ModelSpec) -> int:
    """Return what one replica holds: weights, KV reserve and its adapters."""
    adapters = sum(adapter.memory_mb for adapter in deployment.adapters_of(model.name))
    return model.memory_mb + model.kv_reserve_mb + adapters


def shortfalls(deployment: Deployment) -> tuple[str, ...]:
    """Return a line for each pool whose models do not fit, naming what lacks.

    Models are packed largest first, each on the emptiest target of its pool, with
    room for the loading peak; drained targets do not count.
    """
    lines = []
    for pool in deployment.pools:
        lines.extend(_pool_shortfalls(deployment, pool))
    return tuple(lines)


def _pool_shortfalls(deployment: Deployment, pool: PoolSpec) -> list[str]:
    free = {
        target.name: target.memory_mb
        for target in pool.targets
        if target.name not in deployment.drained_targets
    }
    models = [model for model in deployment.models if model.pool == pool.name]
    models.sort(
        key=lambda model: footprint_mb(deployment, model) + model.loading_peak_mb,
        reverse=True,
    )
    lines = []
    for model in models:
        line = _pack(deployment, pool, model, free)
        if line is not None:
            lines.append(line)
    return lines


def _pack(
    deployment: Deployment, pool: PoolSpec, model: ModelSpec, free: dict[str, int]
) -> str | None:
    size = footprint_mb(deployment, model)
    needed = size + model.loading_peak_mb
    hosts = sorted(free, key=lambda name: free[name], reverse=True)
    if len(hosts) < model.min_replicas:
        return (
            f"pools.{pool.name}: model {model.name} wants {model.min_replicas} "
            f"replicas, {len(hosts)} targets take work"
        )
    for host in hosts[: model.min_replicas]:
        if free[host] < needed:
            domains = _free_by_domain(pool, free)
            return (
                f"pools.{pool.name}: model {model.name} needs {needed} MB on one "
                f"target, short by {needed - free[host]} MB (most left: {domains})"
            )
        free[host] -= size
    return None


def _free_by_domain(pool: PoolSpec, free: dict[str, int]) -> str:
    most: dict[str, int] = {}
    for target in pool.targets:
        if target.name in free:
            domain = target.failure_domain
            most[domain] = max(most.get(domain, 0), free[target.name])
    return ", ".join(f"{domain} {mb} MB" for domain, mb in sorted(most.items()))
