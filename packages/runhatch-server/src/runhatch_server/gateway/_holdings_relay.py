"""Relays the orderer's reports of what targets hold to a failure domain.

The orderer sends them to both readers of each failure domain, several a second for each
target that loads.  The second reader relays those that arrive within a short time
together.  The first one, which sends the sums of loads, relays what it has not received
from the second one.
"""

import threading
from dataclasses import dataclass
from datetime import timedelta

from runhatch_coordination import Clock
from runhatch_server.gateway._tables import GatewayTables
from runhatch_server.gateway._uplink import BroadcastPacer
from runhatch_server.peers import HoldingOfTarget, TargetHoldings

MIN_RELAY_INTERVAL = timedelta(milliseconds=50)
MAX_RELAY_INTERVAL = timedelta(milliseconds=300)
"""Intervals between relayed messages, by the bandwidth that they take; the first one
after a pause is relayed at once."""
BACKUP_DELAY = timedelta(milliseconds=250)
"""How long the first reader waits for the second one to relay a report."""

_Position = tuple[int, int, str]
"""Epoch, number and orderer of a report; later ones are greater."""


@dataclass(frozen=True, slots=True)
class _Report:
    """The newest report of one target, to be relayed at ``due_at``."""

    position: _Position
    holding: HoldingOfTarget
    due_at: timedelta


class HoldingsRelay:
    """Collects the newest report of each target until it is relayed; thread-safe."""

    def __init__(self, tables: GatewayTables, clock: Clock) -> None:
        self._tables = tables
        self._clock = clock
        self._pacer = BroadcastPacer(
            tables.uplink, MIN_RELAY_INTERVAL, MAX_RELAY_INTERVAL
        )
        self._lock = threading.Lock()
        self._reports: dict[str, _Report] = {}
        self.report_added = threading.Event()
        """Set when there are reports to relay."""

    def add(self, fact: TargetHoldings) -> None:
        """Add reports of the orderer, if this node is a reader.

        They replace older ones of the same targets.
        """
        if not self._tables.is_reader:
            return
        position = _position_of(fact)
        due_at = self._clock.elapsed() + self._delay()
        with self._lock:
            for holding in fact.holdings:
                known = self._reports.get(holding.target)
                if known is None or known.position <= position:
                    self._reports[holding.target] = _Report(position, holding, due_at)
        self.report_added.set()

    def discard_relayed(self, fact: TargetHoldings) -> None:
        """Discard the reports that the other reader has relayed in ``fact``."""
        position = _position_of(fact)
        with self._lock:
            for holding in fact.holdings:
                known = self._reports.get(holding.target)
                if known is not None and known.position <= position:
                    del self._reports[holding.target]

    def relay(self) -> None:
        """Broadcast the reports that are due, then pause until others are."""
        facts = self._take_due()
        if facts:
            self._tables.broadcast([*facts])
            self._clock.sleep(self._pacer.next_pause())
        with self._lock:
            next_due_at = min(
                (report.due_at for report in self._reports.values()), default=None
            )
        if next_due_at is not None:
            self._clock.sleep(max(timedelta(), next_due_at - self._clock.elapsed()))
            self.report_added.set()

    def _delay(self) -> timedelta:
        is_first = not self._tables.is_second_reader
        has_second = bool(self._tables.reader_addresses)
        return BACKUP_DELAY if is_first and has_second else timedelta()

    def _take_due(self) -> list[TargetHoldings]:
        """Remove the reports that are due; return one message for each position."""
        now = self._clock.elapsed()
        by_position: dict[_Position, list[HoldingOfTarget]] = {}
        with self._lock:
            for target, report in list(self._reports.items()):
                if report.due_at <= now:
                    del self._reports[target]
                    by_position.setdefault(report.position, []).append(report.holding)
        return [
            TargetHoldings(epoch, by_position[epoch, number, orderer], number, orderer)
            for epoch, number, orderer in sorted(by_position)
        ]


def _position_of(fact: TargetHoldings) -> _Position:
    return fact.epoch, fact.number, fact.orderer
