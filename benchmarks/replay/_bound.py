"""An upper bound: every worker serves every model, and service times are known."""

import heapq

from replay._run import Result
from replay._workload import DEADLINE_SECONDS, SLOTS, Workload


def pooled_bound(workload: Workload) -> Result:
    """Serve in order of arrival on all slots, passing over what would be late.

    No placement can do better: it loads nothing, waits for nothing, and spends
    no slot on a request that ends late.
    """
    workers = workload.size.workers
    free = [0.0] * (workers * SLOTS)
    in_time = 0
    for arrival in workload.arrivals:
        start = max(arrival.at, free[0])
        if start + arrival.service <= arrival.at + DEADLINE_SECONDS:
            heapq.heapreplace(free, start + arrival.service)
            in_time += 1
    total = len(workload.arrivals)
    return Result("bound", total, in_time, total - in_time, 0, 0, workers)
