"""Limits the bandwidth that the broadcasts of a reader take.

A broadcast is sent once to each node of the failure domain.  If broadcasts fill the
uplink of a reader, its calls to the store and the answers to its callers time out.
"""

import threading
from datetime import timedelta

MAX_BYTES_PER_SECOND = 312_500
"""Bandwidth of broadcasts that pause: half of the slowest uplink, 5 Mbit/s.  The other
half is for callers, targets and other messages."""
PACKET_OVERHEAD_BYTES = 60
"""Headers of IP, TCP and the messaging protocol."""


class UplinkUsage:
    """Counts the bytes that broadcasts have put on this node's uplink; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._total_bytes = 0

    @property
    def total_bytes(self) -> int:
        """Bytes sent since the start."""
        return self._total_bytes

    def record(self, size: int, receivers: int) -> None:
        """Record a message of ``size`` bytes that was sent to ``receivers`` nodes."""
        with self._lock:
            self._total_bytes += (size + PACKET_OVERHEAD_BYTES) * receivers


class BroadcastPacer:
    """Computes the pauses between the broadcasts of one task.

    Each pause is as long as all broadcasts of the node since the previous one take at
    ``MAX_BYTES_PER_SECOND``, between ``shortest`` and ``longest``.
    """

    def __init__(
        self, usage: UplinkUsage, shortest: timedelta, longest: timedelta
    ) -> None:
        self._usage = usage
        self._shortest = shortest
        self._longest = longest
        self._previous_bytes = 0

    def next_pause(self) -> timedelta:
        """Return the pause after a broadcast."""
        total = self._usage.total_bytes
        sent, self._previous_bytes = total - self._previous_bytes, total
        pause = timedelta(seconds=sent / MAX_BYTES_PER_SECOND)
        return min(max(pause, self._shortest), self._longest)
