"""The work of a pool, spread over its replicas."""

from runhatch_server.decisions import Spread, spread
from runhatch_server.placement._ledger import ChargeState
from runhatch_server.placement._state import PoolState


def balance(state: PoolState) -> Spread:
    """Spread the work of a pool over its replicas as the routers would.

    Loading replicas count, so that a need is not met twice.
    """
    capacities = {t.name: float(t.concurrency) for t in state.pool.targets}
    hosts = {
        model.name: [
            host
            for host in state.hosts(
                model.unit, ChargeState.SERVING, ChargeState.LOADING
            )
            if host in capacities and host not in state.closed
        ]
        for model in state.models
    }
    return spread(state.work, hosts, capacities)
