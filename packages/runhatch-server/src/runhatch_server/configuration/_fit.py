"""Checks that all declared models of each pool fit into its memory together."""

from runhatch_server.configuration._deployment import Deployment, ModelSpec, PoolSpec


def footprint_mb(deployment: Deployment, model: ModelSpec) -> int:
    """Return the MB of one replica: weights, KV cache reserve and adapters."""
    adapters = sum(adapter.memory_mb for adapter in deployment.adapters_of(model.name))
    return model.memory_mb + model.kv_reserve_mb + adapters


def find_memory_shortfalls(deployment: Deployment) -> tuple[str, ...]:
    """Return a line for each model that does not fit, with the missing MB.

    Models are packed largest first, each on the targets of its pool with the most free
    memory, including the loading peak; drained targets are ignored.
    """
    lines = []
    for pool in deployment.pools:
        lines.extend(_pool_shortfalls(deployment, pool))
    return tuple(lines)


def _pool_shortfalls(deployment: Deployment, pool: PoolSpec) -> list[str]:
    free_mb = {
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
        line = _pack_model(deployment, pool, model, free_mb)
        if line is not None:
            lines.append(line)
    return lines


def _pack_model(
    deployment: Deployment, pool: PoolSpec, model: ModelSpec, free_mb: dict[str, int]
) -> str | None:
    size_mb = footprint_mb(deployment, model)
    needed_mb = size_mb + model.loading_peak_mb
    targets_by_free = sorted(free_mb, key=lambda name: free_mb[name], reverse=True)
    if len(targets_by_free) < model.min_replicas:
        return (
            f"pools.{pool.name}: model {model.name} requires {model.min_replicas} "
            f"replicas, {len(targets_by_free)} targets accept work"
        )
    for target_name in targets_by_free[: model.min_replicas]:
        if free_mb[target_name] < needed_mb:
            domains = _format_free_by_domain(pool, free_mb)
            return (
                f"pools.{pool.name}: model {model.name} needs {needed_mb} MB on one "
                f"target, short by {needed_mb - free_mb[target_name]} MB "
                f"(most left: {domains})"
            )
        free_mb[target_name] -= size_mb
    return None


def _format_free_by_domain(pool: PoolSpec, free_mb: dict[str, int]) -> str:
    max_free_mb: dict[str, int] = {}
    for target in pool.targets:
        if target.name in free_mb:
            domain = target.failure_domain
            max_free_mb[domain] = max(max_free_mb.get(domain, 0), free_mb[target.name])
    return ", ".join(f"{domain} {mb} MB" for domain, mb in sorted(max_free_mb.items()))
