"""Expected distribution of a pool's work over its replicas."""

from runhatch_server.decisions import WorkDistribution, distribute_work
from runhatch_server.placement._ledger import ChargeState
from runhatch_server.placement._state import PoolState


def balance_work(state: PoolState) -> WorkDistribution:
    """Distribute the work of a pool over its replicas as the routers would.

    Loading replicas count as hosts; otherwise later plans would add further
    replicas for the same work.
    """
    capacities = {t.name: float(t.concurrency) for t in state.pool.targets}
    hosts = {
        model.name: [
            host
            for host in state.hosts(
                model.unit_name, ChargeState.SERVING, ChargeState.LOADING
            )
            if host in capacities and host not in state.excluded
        ]
        for model in state.models
    }
    return distribute_work(state.work, hosts, capacities)
