"""Publish-subscribe messages from one node to many.

A publisher writes each message once, and pynng copies it to all subscribers without a
task for each.  A subscriber that reads too slowly loses messages.  It detects the gap
by the base version in the next message and requests the missing state.
"""

import threading
from collections.abc import Callable
from datetime import timedelta

import pynng

from runhatch_coordination import Clock, InvariantError
from runhatch_server.observability import Metrics, log_change
from runhatch_server.peers._link import to_milliseconds
from runhatch_server.peers._links import OnEnvelope, decode_envelope, handle_envelope
from runhatch_server.peers._messages import Fact, Member
from runhatch_server.peers._traffic import PeerTraffic

MIN_RECONNECT_INTERVAL = timedelta(milliseconds=200)
MAX_RECONNECT_INTERVAL = timedelta(seconds=2)
MAX_QUEUED_MESSAGES = 64
"""Messages queued for a slow subscriber; further ones are dropped."""


class Broadcaster:
    """Publishes facts to all subscribers of ``url``."""

    def __init__(
        self, url: str, own: Callable[[], Member], metrics: Metrics, clock: Clock
    ) -> None:
        self._own = own
        self._metrics = metrics
        self._traffic = PeerTraffic(metrics, clock)
        self._socket = pynng.Pub0()
        self._socket.send_buffer_size = MAX_QUEUED_MESSAGES
        _listen(self._socket, url)

    def publish(self, facts: list[Fact]) -> int:
        """Publish ``facts`` in one message, without waiting for subscribers.

        Return the size of the message in bytes.
        """
        message = self._traffic.encode(self._own(), False, facts, "broadcast")
        try:
            self._socket.send(message)
        except pynng.NNGException as error:
            log_change("broadcast_failed", why=str(error))
            return 0
        self._metrics.peer_messages.labels("broadcast").inc()
        self._metrics.peer_bytes.labels("broadcast").inc(len(message))
        return len(message)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()


class Listener:
    """Receives the broadcasts of several nodes, in one task."""

    def __init__(
        self,
        on_envelope: OnEnvelope,
        metrics: Metrics,
        max_message: int,
        on_invariant_error: Callable[[InvariantError], None],
        clock: Clock,
    ) -> None:
        self._on_envelope = on_envelope
        self._on_broken = on_invariant_error
        self._metrics = metrics
        self._traffic = PeerTraffic(metrics, clock)
        self._dialers: dict[str, pynng.Dialer] = {}
        self._socket = pynng.Sub0()
        self._socket.recv_max_size = max_message
        self._socket.reconnect_time_min = to_milliseconds(MIN_RECONNECT_INTERVAL)
        self._socket.reconnect_time_max = to_milliseconds(MAX_RECONNECT_INTERVAL)
        self._socket.subscribe(b"")
        threading.Thread(target=self._run, name="broadcasts", daemon=True).start()

    def update_subscriptions(self, urls: frozenset[str]) -> None:
        """Subscribe to exactly ``urls``; not safe to call from several tasks."""
        for url in set(self._dialers) - urls:
            self._dialers.pop(url).close()
        for url in urls - set(self._dialers):
            self._dialers[url] = self._socket.dial(url, block=False)

    def reconnect(self, url: str) -> None:
        """Reconnect to ``url`` if subscribed.

        A node restarted after a power loss has no such connection any more.  As a
        subscriber sends nothing, it gets no reset and would wait forever.
        """
        if url in self._dialers:
            self._dialers.pop(url).close()
            self._dialers[url] = self._socket.dial(url, block=False)

    def close(self) -> None:
        """Close the socket, which ends the receiving task."""
        self._socket.close()

    def _run(self) -> None:
        while True:
            try:
                message = self._socket.recv()
            except pynng.Closed:
                return
            except pynng.NNGException as error:
                log_change("broadcast_not_received", why=str(error))
                continue
            self._metrics.peer_messages.labels("heard").inc()
            self._metrics.peer_bytes.labels("heard").inc(len(message))
            envelope = decode_envelope(message, self._metrics)
            if envelope is None:
                continue
            self._traffic.count_received(envelope, "heard")
            if not handle_envelope(envelope, self._on_envelope, self._on_broken):
                return


def _listen(socket: "pynng.Socket", url: str) -> None:
    """Listen at ``url``; raises ``OSError`` naming the address on failure."""
    try:
        socket.listen(url)
    except pynng.NNGException as error:
        raise OSError(f"peers: cannot listen at {url}: {str(error).lower()}") from None
