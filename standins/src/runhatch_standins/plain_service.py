"""A stand-in for a plain service: bookings, whose calls are not idempotent."""

import argparse
import threading
import time
from pathlib import Path
from typing import Any

from runhatch_standins._holds import Holds
from runhatch_standins._journal import Journal
from runhatch_standins._wsgi import Call, Reply, Routes, reply_json, serve

NO_FAULTS: dict[str, Any] = {
    "slow_seconds": 0.0,
    "fail_after_run": 0,
    "refuse": 0,
    "hold": None,
}
BOOK = "book"


class BookingService:
    """Books drums and records every booking."""

    def __init__(self, seconds: float, journal: Journal) -> None:
        self._seconds = seconds
        self._lock = threading.Lock()
        self._journal = journal
        self._faults = dict(NO_FAULTS)
        self._holds = Holds()

    def routes(self) -> Routes:
        """Return the WSGI application."""
        routes = Routes()
        routes.add("POST", "/bookings", self.book)
        routes.add("GET", "/drums/(.+)", self.show)
        routes.add("GET", "/record", self.record)
        routes.add("POST", "/faults", self.set_faults)
        routes.add("GET", "/stats", self.stats)
        return routes

    def set_faults(self, call: Call) -> Reply:
        """Replace all faults; reset those not named in the body to their defaults."""
        self._faults = {**NO_FAULTS, **call.json()}
        self._holds.set(self._faults["hold"])
        return reply_json(self._faults)

    def book(self, call: Call) -> Reply:
        """Book a drum; every call that is not refused makes a new booking."""
        if self._consume_fault("refuse"):
            return reply_json({"error": "busy"}, 429)
        drum = call.json()["drum"]
        self._holds.pass_by(BOOK, "before")
        number = self._journal.append({"drum": drum, "at": time.time()})
        time.sleep(self._seconds + float(self._faults["slow_seconds"]))
        self._holds.pass_by(BOOK, "after")
        if self._consume_fault("fail_after_run"):
            return reply_json({"error": "failed after booking"}, 500)
        return reply_json({"drum": drum, "booking": number}, 201)

    def show(self, call: Call) -> Reply:
        """Return the state of a drum; an idempotent call."""
        return reply_json({"drum": call.match.group(1), "free": True})

    def record(self, call: Call) -> Reply:
        """Return all bookings."""
        return reply_json({"bookings": self._journal.entries()})

    def stats(self, call: Call) -> Reply:
        """Return the number of calls held now."""
        return reply_json({"held": self._holds.held})

    def _consume_fault(self, fault: str) -> bool:
        with self._lock:
            if int(self._faults[fault]) <= 0:
                return False
            self._faults[fault] -= 1
            return True


def main() -> None:
    """Run the stand-in from the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--seconds", type=float, default=0.02)
    parser.add_argument("--journal", type=Path, default=None)
    arguments = parser.parse_args()
    service = BookingService(arguments.seconds, Journal(arguments.journal))
    serve(service.routes(), arguments.port, threads=64)


if __name__ == "__main__":
    main()
