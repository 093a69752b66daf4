"""What callers ask for, counted on each node for the orderer of the targets."""

import threading
from collections import Counter
from dataclasses import dataclass

from runhatch_server.gateway._messages import GatewayRequest


@dataclass(frozen=True, slots=True, order=True)
class Wanted:
    """A model, perhaps with an adapter, that requests of a priority ask for."""

    service: str
    model: str
    adapter: str
    priority: int


@dataclass(frozen=True, slots=True)
class DemandShare:
    """Requests for one thing since the last share: all, and those that found none."""

    wanted: Wanted
    requests: int
    missed: int


class DemandCounter:
    """Counts between two shares; safe for many threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._requests: Counter[Wanted] = Counter()
        self._missed: Counter[Wanted] = Counter()

    def note(self, request: GatewayRequest) -> None:
        """Count a request."""
        if request.work is not None:
            with self._lock:
                self._requests[_wanted(request)] += 1

    def miss(self, request: GatewayRequest) -> None:
        """Count that a request found no target that holds what it asks for."""
        with self._lock:
            self._missed[_wanted(request)] += 1

    def take(self) -> list[DemandShare]:
        """Return the counts and begin anew."""
        with self._lock:
            wanted = sorted({*self._requests, *self._missed})
            shares = [
                DemandShare(each, self._requests[each], self._missed[each])
                for each in wanted
            ]
            self._requests.clear()
            self._missed.clear()
            return shares


def _wanted(request: GatewayRequest) -> Wanted:
    return Wanted(
        request.service, request.model, request.adapter, request.route.priority
    )
