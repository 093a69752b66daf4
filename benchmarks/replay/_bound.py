"""An upper bound: every worker serves every model, and service times are known."""

import heapq

from replay._run import Result
from replay._workload import DEADLINE_SECONDS, SLOTS, Workload


def pooled_bound(workload: Workload) -> Result:
    """Serve requests in order of arrival on all slots, skipping those that end late.

    No placement can do better, as there are no loads and no waits for them, and no
    slot is used for a request that ends late.
    """
    workers = workload.size.workers
    free_at = [0.0] * (workers * SLOTS)
    in_time = 0
    for arrival in workload.arrivals:
        start = max(arrival.at, free_at[0])
        if start + arrival.service <= arrival.at + DEADLINE_SECONDS:
            heapq.heapreplace(free_at, start + arrival.service)
            in_time += 1
    request_count = len(workload.arrivals)
    return Result(
        "bound", request_count, in_time, request_count - in_time, 0, 0, workers
    )
