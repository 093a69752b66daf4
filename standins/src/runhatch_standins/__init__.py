"""Stand-ins for the external systems that runhatch uses, for tests only."""

from runhatch_standins._history import Event, EventKind, check_history
from runhatch_standins._launch import Launched, launch
from runhatch_standins._text import expected_text

__all__ = [
    "Event",
    "EventKind",
    "Launched",
    "check_history",
    "expected_text",
    "launch",
]
