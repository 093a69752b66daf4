"""What the readers of a failure domain last reported to one node."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from runhatch_coordination._clock import Clock


class ReaderState(Enum):
    """The state of the readers of this node's failure domain."""

    ACTIVE = "fresh"
    CUT_OFF = "cut off"
    """The readers are active but report that they cannot reach the store."""
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class _ReaderReport:
    """The last report of a reader: when it arrived and whether it reaches the store."""

    received_at: timedelta
    reachable: bool


class ReaderReports:
    """The last report of each reader.

    A reader counts as silent if nothing was received for ``silence_timeout``.
    """

    def __init__(self, clock: Clock, silence_timeout: timedelta) -> None:
        self._clock = clock
        self._silence_timeout = silence_timeout
        self._reports: dict[str, _ReaderReport] = {}

    @property
    def state(self) -> ReaderState:
        """The state of the readers by their recent reports."""
        now = self._clock.elapsed()
        recent = [
            report
            for report in list(self._reports.values())
            if now - report.received_at < self._silence_timeout
        ]
        if any(report.reachable for report in recent):
            return ReaderState.ACTIVE
        return ReaderState.CUT_OFF if recent else ReaderState.SILENT

    @property
    def time_until_silent(self) -> timedelta:
        """The time until all readers count as silent; negative if they do already."""
        now = self._clock.elapsed()
        last_received_at = max(
            (report.received_at for report in list(self._reports.values())),
            default=now,
        )
        return last_received_at + self._silence_timeout - now

    def record(self, reader: str, reachable: bool) -> None:
        """Record a report that ``reader`` has just sent."""
        self._reports[reader] = _ReaderReport(self._clock.elapsed(), reachable)
