"""Measure the time of the first event of a stream and the gaps between others."""

from dataclasses import dataclass
from datetime import timedelta

MIN_EVENTS = 4
"""Fewest events whose mean gap is a useful measure of the target's speed."""


@dataclass(slots=True)
class StreamPace:
    """Times at which pieces of one stream were sent, in elapsed time of the clock.

    A piece is what was read at once, usually one event.
    """

    pieces: int = 0
    first_at: timedelta | None = None
    last_at: timedelta = timedelta()
    longest_pause: timedelta = timedelta()

    def record_piece(self, now: timedelta) -> None:
        """Record a piece sent to the caller at ``now``."""
        self.pieces += 1
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_pause = max(self.longest_pause, now - self.last_at)
        self.last_at = now

    @property
    def mean_gap(self) -> timedelta | None:
        """The mean time between events, ``None`` if there were too few."""
        if self.first_at is None or self.pieces < MIN_EVENTS:
            return None
        return (self.last_at - self.first_at) / (self.pieces - 1)
