"""How the events of one stream came: when the first, how far apart the others."""

from dataclasses import dataclass
from datetime import timedelta

LEAST_EVENTS = 4
"""Events from which the mean time between two tells of the target's speed."""


@dataclass(slots=True)
class StreamPace:
    """Times of the events of one stream, on the clock's elapsed time."""

    pieces: int = 0
    first_at: timedelta | None = None
    last_at: timedelta = timedelta()
    longest_pause: timedelta = timedelta()

    def piece(self, now: timedelta) -> None:
        """Take in that a piece was passed on."""
        self.pieces += 1
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_pause = max(self.longest_pause, now - self.last_at)
        self.last_at = now

    @property
    def mean_gap(self) -> timedelta | None:
        """The mean time between two events, ``None`` if there were too few."""
        if self.first_at is None or self.pieces < LEAST_EVENTS:
            return None
        return (self.last_at - self.first_at) / (self.pieces - 1)
