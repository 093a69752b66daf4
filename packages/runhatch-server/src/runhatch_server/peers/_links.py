"""Links by pynng sockets: one for receiving, and one with a task for each peer."""

import threading
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING, Protocol

import msgspec
import pynng

from runhatch_coordination import Clock, InvariantError
from runhatch_server.observability import Metrics, log_change
from runhatch_server.peers._keys import PeerKeys, ReloadOutcome
from runhatch_server.peers._link import OnSent, PeerLink
from runhatch_server.peers._messages import Envelope, Fact, LinkClosed, Member
from runhatch_server.peers._temporary_links import (
    TEMPORARY_LINK_LIFETIME,
    OnIdle,
    TemporaryLinks,
)
from runhatch_server.peers._traffic import PeerTraffic

if TYPE_CHECKING:
    # Gateways do not use these settings; importing them takes 0.1 s at start.
    from runhatch_server.settings import PeerTls

CLOSE_TIMEOUT = timedelta(milliseconds=300)
MAX_UNREADABLE_LOGGED = 10
"""Unreadable messages logged with their cause; further ones are only counted."""
DECODER = msgspec.msgpack.Decoder(Envelope)

OnEnvelope = Callable[[Envelope], None]


def decode_envelope(message: bytes, metrics: Metrics) -> Envelope | None:
    """Return the envelope in ``message``, ``None`` if it is unreadable.

    Unreadable messages are counted.  A peer of another protocol version may send
    kinds of facts that this node does not know.
    """
    try:
        return DECODER.decode(message)
    except msgspec.MsgspecError as error:
        metrics.peer_messages.labels("unreadable").inc()
        count = metrics.counter_value(metrics.peer_messages, "unreadable")
        if count <= MAX_UNREADABLE_LOGGED:
            log_change("message_unreadable", why=str(error), count=round(count))
        return None


def handle_envelope(
    envelope: Envelope,
    on_envelope: OnEnvelope,
    on_invariant_error: Callable[[InvariantError], None],
) -> bool:
    """Have ``envelope`` handled; return whether to receive further ones.

    Only a broken invariant ends the receiving task: without it the node would hear no
    other one any more.
    """
    try:
        on_envelope(envelope)
    except InvariantError as error:
        on_invariant_error(error)
        return False
    except Exception as error:
        log_change("message_failed", sender=envelope.sender.name, why=repr(error))
    return True


class Links(Protocol):
    """Sends facts to other nodes."""

    def set_peers(self, addresses: frozenset[str]) -> None:
        """Link to exactly ``addresses``."""

    def publish(self, fact: Fact) -> None:
        """Send ``fact`` to every linked peer."""

    def send(
        self, address: str, facts: list[Fact], on_sent: OnSent | None = None
    ) -> None:
        """Send ``facts`` to one address, linked or not."""

    def reopen(self, address: str) -> None:
        """Replace the connection to ``address``, if there is one, by a new one."""


class PeerLinks:
    """All links of one node.

    Facts for a peer are queued until its task sends them together, after at most
    ``interval``.  An envelope without facts is sent as a heartbeat if none are queued.
    """

    def __init__(
        self,
        listen: str,
        own: Callable[[], Member],
        on_envelope: OnEnvelope,
        metrics: Metrics,
        interval: timedelta,
        max_message: int,
        tls: "PeerTls | None",
        on_invariant_error: Callable[[InvariantError], None],
        clock: Clock,
    ) -> None:
        self._own = own
        self._clock = clock
        self._on_broken = on_invariant_error
        self._on_envelope = on_envelope
        self._metrics = metrics
        self._traffic = PeerTraffic(metrics, clock)
        self._interval = interval
        self._keys = None if tls is None else PeerKeys(tls)
        self._scheme = "tcp" if tls is None else "tls+tcp"
        self._links: dict[str, PeerLink] = {}
        self._temporary = TemporaryLinks(self._open_temporary, clock)
        self._lock = threading.Lock()
        self._socket = pynng.Pull0()
        self._socket.recv_max_size = max_message
        self._listener = self._listen(f"{self._scheme}://{listen}")
        self._receiver = threading.Thread(
            target=self._receive, name="peer-receiver", daemon=True
        )
        self._receiver.start()

    @property
    def address(self) -> str:
        """The address at which other nodes reach this one."""
        return str(self._listener.local_address)

    def set_peers(self, addresses: frozenset[str]) -> None:
        """Link to exactly ``addresses``: open new links and close others."""
        with self._lock:
            for address in set(self._links) - addresses:
                link = self._links.pop(address)
                link.put(LinkClosed())
                link.close()
            for address in addresses - set(self._links):
                self._links[address] = self._open(address)

    def publish(self, fact: Fact) -> None:
        """Send ``fact`` to every linked peer."""
        with self._lock:
            links = list(self._links.values())
        for link in links:
            link.put(fact)

    def send(
        self, address: str, facts: list[Fact], on_sent: OnSent | None = None
    ) -> None:
        """Send ``facts`` to one address, by its link or a temporary one.

        ``on_sent`` is not called if the facts were dropped or no connection took them.
        """
        with self._lock:
            link = self._links.get(address)
        if link is not None:
            link.put_all(facts, on_sent)
        else:
            self._temporary.send(address, facts, on_sent)

    def reopen(self, address: str) -> None:
        """Replace the connection to ``address``, if there is one, by a new one.

        What was sent on a connection that no longer delivers anything is lost.  A
        connection opened within ``MIN_REOPEN_INTERVAL`` is kept.
        """
        self._temporary.reopen(address)
        with self._lock:
            link = self._links.get(address)
            if link is None or link.is_new:
                return
            link.close()
            self._links[address] = self._open(address)

    def renew_keys(self) -> None:
        """Use changed key files for both directions of every link.

        No queued fact is lost, because a closed link still sends its queue.  Unusable
        files change nothing.
        """
        change = ReloadOutcome.UNCHANGED if self._keys is None else self._keys.reload()
        if change is ReloadOutcome.UNCHANGED:
            return
        self._metrics.key_reloads.labels(change.value).inc()
        log_change("keys", outcome=change.value)
        if change is ReloadOutcome.UNUSABLE:
            return
        url = f"{self._scheme}://{self.address.rpartition('/')[2]}"
        self._listener.close()
        self._listener = self._listen(url)
        with self._lock:
            for address, link in self._links.items():
                link.close()
                self._links[address] = self._open(address)
        self._temporary.close()

    def close(self) -> None:
        """Have all links send their queues and end, and close the receiving socket.

        Waits until they have ended, at most ``CLOSE_TIMEOUT``: the process may exit
        directly afterwards.
        """
        with self._lock:
            links = [*self._links.values()]
        self.set_peers(frozenset())
        links += self._temporary.close()
        self._socket.close()
        tasks = [link.task for link in links]
        if threading.current_thread() is not self._receiver:
            tasks.append(self._receiver)
        ends_at = self._clock.elapsed() + CLOSE_TIMEOUT
        for task in tasks:
            left = max(timedelta(), ends_at - self._clock.elapsed())
            task.join(left.total_seconds())

    def _open(self, address: str) -> PeerLink:
        return self._make_link(address, self._interval)

    def _open_temporary(self, address: str, on_idle: OnIdle) -> PeerLink:
        return self._make_link(address, TEMPORARY_LINK_LIFETIME, on_idle)

    def _make_link(
        self, address: str, interval: timedelta, on_idle: OnIdle | None = None
    ) -> PeerLink:
        kind = "linked" if on_idle is None else "temporary"
        self._metrics.peer_links.labels(kind).inc()
        return PeerLink(
            f"{self._scheme}://{address}",
            self._own,
            self._metrics,
            self._traffic,
            interval,
            self._keys,
            self._clock,
            on_idle,
        )

    def _listen(self, url: str) -> "pynng.Listener":
        """Listen at ``url``; raises ``OSError`` naming the address on failure."""
        if self._keys is not None:
            self._socket.tls_config = self._keys.tls_config(server=True)
        try:
            return self._socket.listen(url)
        except pynng.NNGException as error:
            raise OSError(
                f"peers: cannot listen at {url}: {str(error).lower()}"
            ) from None

    def _receive(self) -> None:
        while True:
            try:
                message = self._socket.recv()
            except pynng.Closed:
                return
            except pynng.NNGException:
                continue
            self._metrics.peer_messages.labels("in").inc()
            self._metrics.peer_bytes.labels("in").inc(len(message))
            envelope = decode_envelope(message, self._metrics)
            if envelope is None:
                continue
            self._traffic.count_received(envelope, "in")
            if not handle_envelope(envelope, self._on_envelope, self._on_broken):
                return
