"""One node telling many at once.

A publisher writes each message once, and the library copies it to whoever listens,
without a task for each of them.  What a listener does not take in time it loses; it
finds out by the version that the next message follows on, and asks.
"""

import threading
from collections.abc import Callable
from datetime import timedelta

import pynng

from runhatch_coordination import InvariantError
from runhatch_server.observability import Metrics, log_change
from runhatch_server.peers._links import (
    ENCODER,
    OnEnvelope,
    decode_envelope,
    milliseconds,
)
from runhatch_server.peers._messages import VERSION, Envelope, Fact, Member

RECONNECT = timedelta(milliseconds=200)
LONGEST_RECONNECT = timedelta(seconds=2)
QUEUED = 64
"""Messages that wait for a listener that does not read; then it loses the next."""


class Broadcaster:
    """Tells all that listen at ``url``."""

    def __init__(self, url: str, own: Callable[[], Member], metrics: Metrics) -> None:
        self._own = own
        self._metrics = metrics
        self._socket = pynng.Pub0()
        self._socket.send_buffer_size = QUEUED
        _listen(self._socket, url)

    def tell(self, facts: list[Fact]) -> None:
        """Send ``facts`` in one message; never waits for anybody."""
        message = ENCODER.encode(Envelope(VERSION, self._own(), False, facts))
        try:
            self._socket.send(message)
        except pynng.NNGException as error:
            log_change("broadcast_failed", why=str(error))
            return
        self._metrics.peer_messages.labels("broadcast").inc()
        self._metrics.peer_bytes.labels("broadcast").inc(len(message))

    def close(self) -> None:
        """Stop telling."""
        self._socket.close()


class Listener:
    """Hears the broadcasts of a few nodes, in one task."""

    def __init__(
        self,
        on_envelope: OnEnvelope,
        metrics: Metrics,
        max_message: int,
        on_broken: Callable[[InvariantError], None],
    ) -> None:
        self._on_envelope = on_envelope
        self._on_broken = on_broken
        self._metrics = metrics
        self._dialers: dict[str, pynng.Dialer] = {}
        self._socket = pynng.Sub0()
        self._socket.recv_max_size = max_message
        self._socket.reconnect_time_min = milliseconds(RECONNECT)
        self._socket.reconnect_time_max = milliseconds(LONGEST_RECONNECT)
        self._socket.subscribe(b"")
        threading.Thread(target=self._run, name="broadcasts", daemon=True).start()

    def keep(self, urls: frozenset[str]) -> None:
        """Listen to exactly ``urls``; called by one task."""
        for url in set(self._dialers) - urls:
            self._dialers.pop(url).close()
        for url in urls - set(self._dialers):
            self._dialers[url] = self._socket.dial(url, block=False)

    def renew(self, url: str) -> None:
        """Connect to ``url`` anew.

        A node that lost power and is back does not know the connection, and as
        nothing is sent on it nobody says so.
        """
        if url in self._dialers:
            self._dialers.pop(url).close()
            self._dialers[url] = self._socket.dial(url, block=False)

    def close(self) -> None:
        """Stop listening."""
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
            try:
                self._on_envelope(envelope)
            except InvariantError as broken:
                self._on_broken(broken)
                return


def _listen(socket: "pynng.Socket", url: str) -> None:
    """Listen at ``url``; raises ``OSError`` with the address if that cannot be."""
    try:
        socket.listen(url)
    except pynng.NNGException as error:
        raise OSError(f"peers: found {url}, {str(error).lower()}") from None
