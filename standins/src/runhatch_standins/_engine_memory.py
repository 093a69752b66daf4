"""Memory and load orders of an engine stand-in.

It detects overcommitted memory independently of runhatch's ledger.
"""

import http.client
import random
import threading
import time
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

from runhatch_standins._journal import Journal

NO_ORDER_FAULTS: dict[str, Any] = {
    "order_loss": 0.0,
    "order_double": 0.0,
    "order_delay_seconds": 0.0,
}


@dataclass(slots=True)
class Held:
    """A unit in memory; it uses ``peak_mb`` more while it loads."""

    memory_mb: int
    peak_mb: int
    base: str
    loaded: bool = False


class Memory:
    """The units in an engine's memory; records when they exceed its capacity."""

    def __init__(
        self,
        capacity_mb: int,
        refuses_old: bool,
        weights: str | None,
        seed: int,
        journal: Journal,
    ) -> None:
        self._journal = journal
        self._capacity = capacity_mb
        self._rejects_old_fences = refuses_old
        self._weights = weights
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self.faults = dict(NO_ORDER_FAULTS)
        self.held: dict[str, Held] = {}
        self.fence = 0
        self.most_mb = 0
        self.moves = 0

    def receive(self, order: dict[str, Any]) -> int:
        """Apply an order, subject to the faults; return the HTTP status."""
        if self._draw_fault("order_loss"):
            return 202
        delay = float(self.faults["order_delay_seconds"])
        if delay > 0:
            # Accepted now, applied later.
            wait = delay * self._random.random()
            threading.Timer(wait, self.apply, (order,)).start()
            return 202
        status = self.apply(order)
        if self._draw_fault("order_double"):
            threading.Timer(1.0, self.apply, (order,)).start()
        return status

    def apply(self, order: dict[str, Any]) -> int:
        """Apply one order; return the HTTP status."""
        with self._lock:
            if self._rejects_old_fences and order["number"] < self.fence:
                return 412
            self.fence = max(self.fence, order["number"])
            if order["kind"] == "load":
                return self._load(order)
            if order["kind"] == "unload":
                self._unload(order["unit"])
            return 202

    def serves(self, unit: str) -> bool:
        """Return whether ``unit`` is loaded."""
        held = self.held.get(unit)
        return held is not None and held.loaded

    def report(self) -> dict[str, Any]:
        """Return the memory's fields of the engine's report."""
        with self._lock:
            return {
                "fence": self.fence,
                "units": [
                    {"unit": unit, "memory_mb": held.memory_mb}
                    for unit, held in self.held.items()
                    if held.loaded
                ],
                "loading": [u for u, held in self.held.items() if not held.loaded],
            }

    def _load(self, order: dict[str, Any]) -> int:
        unit = order["unit"]
        if unit in self.held:
            return 202
        if order["base"] and not self.serves(order["base"]):
            return 409
        held = Held(order["memory_mb"], order["loading_peak_mb"], order["base"])
        self.held[unit] = held
        used = sum(
            h.memory_mb + (0 if h.loaded else h.peak_mb) for h in self.held.values()
        )
        self.most_mb = max(self.most_mb, used)
        if used > self._capacity:
            self._record_violation(f"{unit}: {used} MB of {self._capacity} MB")
        self.moves += 1
        threading.Thread(
            target=self._fetch_weights, args=(unit, held), daemon=True
        ).start()
        return 202

    def _fetch_weights(self, unit: str, held: Held) -> None:
        if self._weights is not None:
            parts = urlsplit(self._weights)
            connection = http.client.HTTPConnection(parts.hostname or "", parts.port)
            try:
                connection.request("POST", f"/loads/{unit}")
                connection.getresponse().read()
            except OSError:
                time.sleep(0.2)
            finally:
                connection.close()
        held.loaded = True

    def _unload(self, unit: str) -> None:
        if unit in self.held:
            self.moves += 1
            del self.held[unit]
        for name in [n for n, held in self.held.items() if held.base == unit]:
            del self.held[name]

    def _record_violation(self, violation: str) -> None:
        entry = {"what": "overcommitted", "prompt": "", "violation": violation}
        self._journal.append(entry)

    def _draw_fault(self, fault: str) -> bool:
        return self._random.random() < float(self.faults[fault])
