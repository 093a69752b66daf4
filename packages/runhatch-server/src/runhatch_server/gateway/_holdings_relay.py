"""Relays the orderer's reports of what targets hold to a failure domain.

The orderer sends them to the readers of each failure domain, several a second for each
target that loads.  A reader relays those that arrive within a short time together.
"""

import threading
from datetime import timedelta

from runhatch_coordination import Clock
from runhatch_server.gateway._tables import GatewayTables
from runhatch_server.gateway._uplink import BroadcastPacer
from runhatch_server.peers import HoldingOfTarget, TargetHoldings

MIN_RELAY_INTERVAL = timedelta(milliseconds=50)
MAX_RELAY_INTERVAL = timedelta(milliseconds=300)
"""Intervals between relayed messages, by the bandwidth that they take; the first one
after a pause is relayed at once."""

_Order = tuple[int, int, str]
"""Epoch, number and orderer of a report; later ones are greater."""


class HoldingsRelay:
    """Collects the newest report of each target until it is relayed; thread-safe."""

    def __init__(self, tables: GatewayTables, clock: Clock) -> None:
        self._tables = tables
        self._clock = clock
        self._pacer = BroadcastPacer(
            tables.uplink, MIN_RELAY_INTERVAL, MAX_RELAY_INTERVAL
        )
        self._lock = threading.Lock()
        self._newest: dict[str, tuple[_Order, HoldingOfTarget]] = {}
        self.added = threading.Event()
        """Set when a report is added."""

    def add(self, fact: TargetHoldings) -> None:
        """Add ``fact`` if this node relays reports; older ones of a target give way."""
        if not self._tables.relays_holdings:
            return
        order = (fact.epoch, fact.number, fact.orderer)
        with self._lock:
            for holding in fact.holdings:
                known = self._newest.get(holding.target)
                if known is None or known[0] <= order:
                    self._newest[holding.target] = (order, holding)
        self.added.set()

    def relay(self) -> None:
        """Broadcast the collected reports, then pause."""
        facts = self._take_facts()
        if not facts:
            return
        self._tables.broadcast([*facts])
        self._clock.sleep(self._pacer.next_pause())

    def _take_facts(self) -> list[TargetHoldings]:
        with self._lock:
            collected, self._newest = self._newest, {}
        by_order: dict[_Order, list[HoldingOfTarget]] = {}
        for order, holding in collected.values():
            by_order.setdefault(order, []).append(holding)
        return [
            TargetHoldings(epoch, by_order[epoch, number, orderer], number, orderer)
            for epoch, number, orderer in sorted(by_order)
        ]
