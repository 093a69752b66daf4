"""Counts what a node sends to peers by kind of message, and logs when one is too much.

A kind of message that grows with the number of nodes fills their links until callers
are no longer served; this shows which one it is.
"""

import threading
from collections import Counter
from collections.abc import Iterable
from datetime import timedelta

import msgspec

from runhatch_coordination import Clock
from runhatch_server.observability import Metrics, log_change
from runhatch_server.peers._messages import PROTOCOL_VERSION, Envelope, Fact, Member

PERIOD = timedelta(seconds=1)
MAX_BYTES_PER_PERIOD = 150_000
"""Bytes of one kind above which a log line is written: a quarter of the link of the
smallest VMs, 5 Mbit/s."""
LOG_INTERVAL = timedelta(seconds=10)
"""Shortest interval between two log lines about one kind."""
NEVER = timedelta(days=-1)
ENCODER = msgspec.msgpack.Encoder()


class _RawEnvelope(msgspec.Struct, frozen=True, array_like=True):
    """An :class:`Envelope` whose facts are encoded already."""

    version: int
    sender: Member
    is_linked: bool
    facts: list[msgspec.Raw]


class PeerTraffic:
    """What one node sends to its peers; thread-safe."""

    def __init__(self, metrics: Metrics, clock: Clock) -> None:
        self._metrics = metrics
        self._clock = clock
        self._lock = threading.Lock()
        self._period_started_at = clock.elapsed()
        self._bytes: Counter[str] = Counter()
        """Bytes by kind since the period started."""
        self._logged_at: dict[str, timedelta] = {}

    def encode(
        self, sender: Member, is_linked: bool, facts: Iterable[Fact], direction: str
    ) -> bytes:
        """Return the envelope of ``facts`` as bytes, and count them by kind."""
        encoded = []
        sizes: Counter[str] = Counter()
        counts: Counter[str] = Counter()
        for fact in facts:
            message = ENCODER.encode(fact)
            kind = name_kind(fact)
            sizes[kind] += len(message)
            counts[kind] += 1
            encoded.append(msgspec.Raw(message))
        if encoded:
            self._count(counts, direction)
            self._count_bytes(sizes, direction)
        envelope = _RawEnvelope(PROTOCOL_VERSION, sender, is_linked, encoded)
        return ENCODER.encode(envelope)

    def count_received(self, envelope: Envelope, direction: str) -> None:
        """Count the facts in ``envelope`` by kind."""
        self._count(Counter(map(name_kind, envelope.facts)), direction)

    def _count(self, counts: Counter[str], direction: str) -> None:
        for kind, count in counts.items():
            self._metrics.peer_facts.labels(kind, direction).inc(count)

    def _count_bytes(self, sizes: Counter[str], direction: str) -> None:
        for kind, size in sizes.items():
            self._metrics.peer_fact_bytes.labels(kind, direction).inc(size)
        for kind in self._find_excessive(sizes):
            log_change("peer_traffic_high", kind=kind, bytes_per_s=MAX_BYTES_PER_PERIOD)

    def _find_excessive(self, sizes: Counter[str]) -> list[str]:
        """Add ``sizes`` to those of the period; return the kinds to log."""
        now = self._clock.elapsed()
        with self._lock:
            if now - self._period_started_at >= PERIOD:
                self._period_started_at = now
                self._bytes.clear()
            self._bytes.update(sizes)
            excessive = [
                kind
                for kind in sizes
                if self._bytes[kind] > MAX_BYTES_PER_PERIOD
                and now - self._logged_at.get(kind, NEVER) >= LOG_INTERVAL
            ]
            self._logged_at.update(dict.fromkeys(excessive, now))
        return excessive


def name_kind(fact: Fact) -> str:
    """Return the name of the kind of ``fact``, as it is sent.

    >>> from runhatch_server.peers import SuspectsDigest
    >>> name_kind(SuspectsDigest(1))
    'suspects'
    """
    return str(fact.__struct_config__.tag)
