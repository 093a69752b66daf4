"""A link to one peer: a queue, and a task that sends it over a socket."""

import contextlib
import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import pynng

from runhatch_coordination import Clock
from runhatch_server.observability import Metrics
from runhatch_server.peers._keys import PeerKeys
from runhatch_server.peers._messages import Fact, Member
from runhatch_server.peers._traffic import PeerTraffic

SEND_TIMEOUT = timedelta(seconds=1)
MIN_RECONNECT_INTERVAL = timedelta(milliseconds=200)
MAX_RECONNECT_INTERVAL = timedelta(seconds=5)
MIN_REOPEN_INTERVAL = timedelta(milliseconds=50)
"""Shortest time between new links to one peer: two nodes that contradict each other ask
for them without a pause."""
QUEUE_LIMIT = 4_096

OnSent = Callable[[], None]
"""Called in the task of a link once a connection has accepted the facts."""


@dataclass(frozen=True, slots=True)
class _Delivery:
    """Facts that are queued together, to report that they were sent."""

    facts: list[Fact]
    on_sent: OnSent


@dataclass(slots=True)
class _Batch:
    """What a link takes from its queue at once.

    ``is_last`` is whether the end marker was reached.
    """

    facts: list[Fact] = field(default_factory=list)
    on_sent: list[OnSent] = field(default_factory=list)
    is_last: bool = False


class PeerLink:
    """A link to one peer: a queue, and a task that sends it over a socket.

    After ``interval`` without facts it sends a heartbeat, or calls ``on_idle`` in its
    task if that is given.
    """

    def __init__(
        self,
        url: str,
        own: Callable[[], Member],
        metrics: Metrics,
        traffic: PeerTraffic,
        interval: timedelta,
        keys: PeerKeys | None,
        clock: Clock,
        on_idle: "Callable[[PeerLink], None] | None" = None,
    ) -> None:
        self._url = url
        self._clock = clock
        self._opened_at = clock.elapsed()
        self._own = own
        self._metrics = metrics
        self._traffic = traffic
        self._interval = interval
        self._keys = keys
        self._on_idle = on_idle
        self.has_failed = False
        """Whether no connection accepted the facts last sent."""
        self._facts: queue.Queue[Fact | _Delivery | None] = queue.Queue(QUEUE_LIMIT)
        self.task = threading.Thread(target=self._run, name="peer", daemon=True)
        self.task.start()

    @property
    def age(self) -> timedelta:
        """Time since the link was opened."""
        return self._clock.elapsed() - self._opened_at

    @property
    def is_new(self) -> bool:
        """Whether the link was opened within ``MIN_REOPEN_INTERVAL``."""
        return self.age < MIN_REOPEN_INTERVAL

    def put(self, item: Fact | _Delivery) -> None:
        """Queue ``item``, or drop it if the queue of a slow peer is full."""
        try:
            self._facts.put_nowait(item)
        except queue.Full:
            self._metrics.peer_messages.labels("dropped").inc()

    def put_all(self, facts: list[Fact], on_sent: OnSent | None) -> None:
        """Queue ``facts``; ``on_sent``, if any, is called once they are sent."""
        if on_sent is not None:
            self.put(_Delivery(facts, on_sent))
            return
        for fact in facts:
            self.put(fact)

    def close(self) -> None:
        """Have the task send the queue and end; does not wait for it."""
        self.put_end_marker()

    def put_end_marker(self) -> None:
        """Put the end marker into the queue, dropping facts if it is full."""
        while True:
            try:
                self._facts.put_nowait(None)
                return
            except queue.Full:
                # The task may have emptied the queue meanwhile.
                with contextlib.suppress(queue.Empty):
                    self._facts.get_nowait()

    def _run(self) -> None:
        with pynng.Push0() as socket:
            socket.send_timeout = to_milliseconds(SEND_TIMEOUT)
            socket.reconnect_time_min = to_milliseconds(MIN_RECONNECT_INTERVAL)
            socket.reconnect_time_max = to_milliseconds(MAX_RECONNECT_INTERVAL)
            if self._keys is not None:
                socket.tls_config = self._keys.tls_config(server=False)
            socket.dial(self._url, block=False)
            batch = _Batch()
            while not batch.is_last:
                batch = self._collect()
                if batch.facts or self._on_idle is None:
                    self._send(socket, batch)
                elif not batch.is_last:
                    self._on_idle(self)

    def _collect(self) -> _Batch:
        """Return what is queued; waits for the first fact, at most for the interval."""
        batch = _Batch()
        try:
            item = self._facts.get(timeout=self._interval.total_seconds())
            while item is not None:
                if isinstance(item, _Delivery):
                    batch.facts += item.facts
                    batch.on_sent.append(item.on_sent)
                else:
                    batch.facts.append(item)
                item = self._facts.get_nowait()
        except queue.Empty:
            return batch
        batch.is_last = True
        return batch

    def _send(self, socket: "pynng.Push0", batch: _Batch) -> None:
        linked = self._on_idle is None
        message = self._traffic.encode(self._own(), linked, batch.facts, "out")
        try:
            socket.send(message)
        except pynng.NNGException:
            self.has_failed = True
            self._metrics.peer_messages.labels("failed").inc()
            return
        self.has_failed = False
        self._metrics.peer_messages.labels("out").inc()
        self._metrics.peer_bytes.labels("out").inc(len(message))
        for on_sent in batch.on_sent:
            on_sent()


def to_milliseconds(duration: timedelta) -> int:
    """Return ``duration`` in whole milliseconds, as pynng expects."""
    return int(duration.total_seconds() * 1000)
