"""Counts the reads of a table by how they ended."""

from datetime import timedelta
from functools import singledispatch

from runhatch_coordination import (
    Changes,
    Feed,
    HistoryLost,
    Listing,
    StoreVersion,
    Unavailable,
    WaitInterrupted,
)
from runhatch_server.observability import Metrics

ReadOutcome = (
    Listing[bytes] | Changes[bytes] | HistoryLost | WaitInterrupted | Unavailable
)


@singledispatch
def name_outcome(outcome: ReadOutcome) -> str:
    """Return the label of a read's outcome."""
    raise NotImplementedError(type(outcome))


@name_outcome.register
def _name_listing(outcome: Listing) -> str:  # type: ignore[type-arg]
    return "listing"


@name_outcome.register
def _name_changes(outcome: Changes) -> str:  # type: ignore[type-arg]
    return "changes" if outcome.entries else "unchanged"


@name_outcome.register
def _name_lost_history(outcome: HistoryLost) -> str:
    return "history_lost"


@name_outcome.register
def _name_interruption(outcome: WaitInterrupted) -> str:
    return "interrupted"


@name_outcome.register
def _name_failure(outcome: Unavailable) -> str:
    return "unavailable"


class CountedFeed:
    """A feed of a table of the store whose reads are counted."""

    def __init__(self, name: str, feed: Feed[bytes], metrics: Metrics) -> None:
        self._name = name
        self._feed = feed
        self._metrics = metrics

    def read(self) -> Listing[bytes] | Unavailable:
        """Return the whole table."""
        outcome = self._feed.read()
        self._count(outcome)
        return outcome

    def read_changes(
        self, after: StoreVersion, wait: timedelta
    ) -> Changes[bytes] | HistoryLost | WaitInterrupted | Unavailable:
        """Return the changes after version ``after``."""
        outcome = self._feed.read_changes(after, wait)
        self._count(outcome)
        return outcome

    def interrupt_wait(self) -> None:
        """Interrupt a call that waits for changes."""
        self._feed.interrupt_wait()

    def _count(self, outcome: ReadOutcome) -> None:
        self._metrics.store_reads.labels(self._name, name_outcome(outcome)).inc()
        if isinstance(outcome, Listing | Changes):
            size = sum(len(entry.value or b"") for entry in outcome.entries)
            self._metrics.store_read_bytes.labels(self._name).inc(size)
