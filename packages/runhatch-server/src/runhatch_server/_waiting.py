"""Waiting for events, which tests replace by a clock of their own."""

import threading
from datetime import timedelta


def wait_for_event(event: threading.Event, longest: timedelta) -> None:
    """Wait until ``event`` is set, at most ``longest``."""
    event.wait(longest.total_seconds())
