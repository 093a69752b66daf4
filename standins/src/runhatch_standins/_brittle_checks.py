"""Load targets beyond their room through gateways, and count their falls."""

import http.client
import threading
import time
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from runhatch_standins._cluster import call
from runhatch_standins._gateways import Gateway, request_headers
from runhatch_standins._launch import Launched

ALLOWED_FALLS = 2
ALLOWED_FALLS_PER_TARGET = 0.1
LOAD_FACTOR = 3
"""Callers for each place of the targets."""
BRITTLE_FAULTS = {"brittle": 5, "down_seconds": 3.0, "hang_seconds": 0.2}
TIMEOUT_SECONDS = 10.0
MAX_PAUSE_SECONDS = 1.0
"""Longest time that a caller waits when told to retry later."""
FAILED_PAUSE_SECONDS = 0.1


@dataclass(slots=True)
class PlainCallers:
    """Callers that send one request after another, each to the gateways in turn."""

    gateways: Sequence[Gateway]
    prefix: str
    statuses: Counter[int] = field(default_factory=Counter)
    """Number of answers by status; 0 for none."""
    stop: threading.Event = field(default_factory=threading.Event)
    _rounds: int = 0
    _lock: threading.Lock = field(default_factory=threading.Lock)

    @property
    def served(self) -> int:
        """Number of requests answered with success."""
        return self.statuses[http.client.OK]

    def run(self, count: int, seconds: float) -> None:
        """Run ``count`` callers for ``seconds``, or until ``stop`` is set."""
        self._rounds += 1
        ends = time.monotonic() + seconds
        with ThreadPoolExecutor(count) as pool:
            for future in [
                pool.submit(self._run_caller, caller, ends) for caller in range(count)
            ]:
                future.result()

    def _run_caller(self, caller: int, ends: float) -> None:
        number = 0
        while time.monotonic() < ends and not self.stop.is_set():
            gate = self.gateways[(caller + number) % len(self.gateways)]
            status, pause = self._ask(gate, f"b{self._rounds}-{caller}-{number}")
            with self._lock:
                self.statuses[status] += 1
            number += 1
            self.stop.wait(pause)

    def _ask(self, gate: Gateway, name: str) -> tuple[int, float]:
        """Send a request; return its status and the pause before the next one."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", gate.front, timeout=TIMEOUT_SECONDS
        )
        try:
            connection.request("GET", self.prefix + name, headers=request_headers(name))
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException):
            return 0, FAILED_PAUSE_SECONDS
        finally:
            connection.close()
        default = 0.0 if response.status == http.client.OK else FAILED_PAUSE_SECONDS
        pause = float(response.getheader("Retry-After") or default)
        return response.status, min(pause, MAX_PAUSE_SECONDS)


def has_served_all(targets: Sequence[Launched]) -> bool:
    """Return whether all ``targets`` have run a request."""
    return all(call(t.url, "GET", "/journal")["runs"] for t in targets)


def count_falls(targets: Sequence[Launched]) -> list[int]:
    """Return the number of falls of each target."""
    return [len(call(t.url, "GET", "/journal")["falls"]) for t in targets]


def check_falls(targets: Sequence[Launched]) -> list[str]:
    """Return a violation if more targets fell than are allowed to."""
    falls = count_falls(targets)
    if sum(falls) <= ALLOWED_FALLS + ALLOWED_FALLS_PER_TARGET * len(targets):
        return []
    return [f"brittle targets fell {sum(falls)} times: {falls}"]
