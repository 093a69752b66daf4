"""A stand-in for the rate-limited weight store.

``POST /loads/UNIT`` takes as long as a load does.  A load beyond the limits takes
twice as long and is counted as a breach, since runhatch must stay within them.
"""

import argparse
import threading
import time
from collections import deque

from runhatch_standins._wsgi import Call, Reply, Routes, reply_json, serve

WINDOW_SECONDS = 2.0


class WeightStore:
    """Checks the number of concurrent loads and of loads per second."""

    def __init__(self, per_second: float, at_once: int, load_seconds: float) -> None:
        self._per_second = per_second
        self._max_concurrent = at_once
        self._load_seconds = load_seconds
        self._lock = threading.Lock()
        self._running = 0
        self._start_times: deque[float] = deque()
        self.counts = {"loads": 0, "breaches": 0, "most_at_once": 0}

    def routes(self) -> Routes:
        """Return the WSGI application."""
        routes = Routes()
        routes.add("POST", "/loads/(.+)", self.load)
        routes.add("GET", "/stats", lambda call: reply_json(self.counts))
        return routes

    def load(self, call: Call) -> Reply:
        """Serve one load, taking twice as long beyond the limits."""
        breach = self._start_load()
        time.sleep(self._load_seconds * (2 if breach else 1))
        with self._lock:
            self._running -= 1
        return Reply(200)

    def _start_load(self) -> bool:
        now = time.monotonic()
        with self._lock:
            self._running += 1
            self._start_times.append(now)
            while now - self._start_times[0] > WINDOW_SECONDS:
                self._start_times.popleft()
            self.counts["loads"] += 1
            peak = max(self.counts["most_at_once"], self._running)
            self.counts["most_at_once"] = peak
            over_rate = len(self._start_times) > self._per_second * WINDOW_SECONDS + 1
            breach = over_rate or self._running > self._max_concurrent
            self.counts["breaches"] += breach
            return breach


def main() -> None:
    """Run the stand-in from the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--per-second", type=float, default=20.0)
    parser.add_argument("--at-once", type=int, default=15)
    parser.add_argument("--load-seconds", type=float, default=0.2)
    arguments = parser.parse_args()
    store = WeightStore(arguments.per_second, arguments.at_once, arguments.load_seconds)
    serve(store.routes(), arguments.port, threads=64)


if __name__ == "__main__":
    main()
