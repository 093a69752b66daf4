"""The rate-limited weight store's stand-in.

``POST /loads/UNIT`` takes as long as a load does; beyond its limits it answers 429
and counts that as a breach, since runhatch is to keep within them.
"""

import argparse
import threading
import time
from collections import deque

from runhatch_standins._wsgi import Call, Reply, Routes, reply_json, serve

WINDOW_SECONDS = 2.0


class WeightStore:
    """Counts loads at once and loads a second."""

    def __init__(self, per_second: float, at_once: int, load_seconds: float) -> None:
        self._per_second = per_second
        self._at_once = at_once
        self._load_seconds = load_seconds
        self._lock = threading.Lock()
        self._running = 0
        self._started: deque[float] = deque()
        self.counts = {"loads": 0, "breaches": 0, "most_at_once": 0}

    def routes(self) -> Routes:
        """Return the application."""
        routes = Routes()
        routes.add("POST", "/loads/(.+)", self.load)
        routes.add("GET", "/stats", lambda call: reply_json(self.counts))
        return routes

    def load(self, call: Call) -> Reply:
        """Serve one load, slower for each beyond the limits."""
        breach = self._begin()
        time.sleep(self._load_seconds * (2 if breach else 1))
        with self._lock:
            self._running -= 1
        return Reply(200)

    def _begin(self) -> bool:
        now = time.monotonic()
        with self._lock:
            self._running += 1
            self._started.append(now)
            while now - self._started[0] > WINDOW_SECONDS:
                self._started.popleft()
            self.counts["loads"] += 1
            most = max(self.counts["most_at_once"], self._running)
            self.counts["most_at_once"] = most
            fast = len(self._started) > self._per_second * WINDOW_SECONDS + 1
            breach = fast or self._running > self._at_once
            self.counts["breaches"] += breach
            return breach


def main() -> None:
    """Run the stand-in."""
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
