"""Counts of requested models on a node, reported to the orderer."""

import threading
from collections import Counter, defaultdict

from runhatch_server.decisions import GatewayRequest
from runhatch_server.residency import DemandKey, DemandShare


class DemandCounter:
    """Counts requests between two reports; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._requests: Counter[DemandKey] = Counter()
        self._misses: Counter[DemandKey] = Counter()
        self._work_ms: defaultdict[DemandKey, float] = defaultdict(float)
        self.missed_event = threading.Event()
        """Set when a request misses its model, and by the balancer when one is sent to
        a target: the node then sends its loads and these counts at once."""

    def count_request(self, request: GatewayRequest, work_ms: float) -> None:
        """Count a request whose prompt takes ``work_ms`` milliseconds to process."""
        if request.work is not None:
            key = _make_key(request)
            with self._lock:
                self._requests[key] += 1
                self._work_ms[key] += work_ms

    def count_miss(self, request: GatewayRequest) -> None:
        """Count a request whose model or adapter no target holds."""
        with self._lock:
            self._misses[_make_key(request)] += 1
        self.missed_event.set()

    def pop_shares(self) -> list[DemandShare]:
        """Return the counts since the previous call and reset them."""
        with self._lock:
            keys = sorted({*self._requests, *self._misses})
            shares = [
                DemandShare(
                    key,
                    self._requests[key],
                    self._misses[key],
                    self._work_ms[key],
                )
                for key in keys
            ]
            self._requests.clear()
            self._misses.clear()
            self._work_ms.clear()
            return shares


def _make_key(request: GatewayRequest) -> DemandKey:
    return DemandKey(
        request.service,
        request.model,
        request.adapter,
        request.priority,
        request.route.goal,
    )
