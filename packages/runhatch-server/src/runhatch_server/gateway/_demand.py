"""What callers ask for, counted on each node for the orderer of the targets."""

import threading
from collections import Counter, defaultdict

from runhatch_server.decisions import GatewayRequest
from runhatch_server.residency import DemandShare, Wanted


class DemandCounter:
    """Counts between two shares; safe for many threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._requests: Counter[Wanted] = Counter()
        self._missed: Counter[Wanted] = Counter()
        self._work_ms: defaultdict[Wanted, float] = defaultdict(float)
        self.wake = threading.Event()
        """Set when a request waits for its model: the orderer should hear at once."""

    def note(self, request: GatewayRequest, work_ms: float) -> None:
        """Count a request whose prompt takes ``work_ms`` to read."""
        if request.work is not None:
            wanted = _wanted(request)
            with self._lock:
                self._requests[wanted] += 1
                self._work_ms[wanted] += work_ms

    def miss(self, request: GatewayRequest) -> None:
        """Count that a request found no target that holds what it asks for."""
        with self._lock:
            self._missed[_wanted(request)] += 1
        self.wake.set()

    def take(self) -> list[DemandShare]:
        """Return the counts and begin anew."""
        with self._lock:
            wanted = sorted({*self._requests, *self._missed})
            shares = [
                DemandShare(
                    each,
                    self._requests[each],
                    self._missed[each],
                    self._work_ms[each],
                )
                for each in wanted
            ]
            self._requests.clear()
            self._missed.clear()
            self._work_ms.clear()
            return shares


def _wanted(request: GatewayRequest) -> Wanted:
    return Wanted(
        request.service,
        request.model,
        request.adapter,
        request.route.priority,
        request.route.goal,
    )
