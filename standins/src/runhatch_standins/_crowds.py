"""Crowds of callers that break the limits, and what a process holds meanwhile.

All connections of a crowd are driven by one thread, so that many of them cost the
test little.
"""

import os
import selectors
import socket
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from itertools import chain, repeat
from pathlib import Path

from runhatch_standins._gateways import HOST

MEGABYTE = 1_048_576
SAMPLE_SECONDS = 0.02
QUIET_SECONDS = 2.0
"""A crowd has settled once it has neither sent nor received for this long."""
SETTLE_SECONDS = 40.0
RECEIVE_BYTES = 65_536
BLOCK_BYTES = 65_536
UNSENT_BYTES = 5
"""How far before their end bodies stop that never end."""

Wire = Iterator[bytes]
"""What one connection sends, in the pieces in which it is passed to the socket."""


def request_head(
    name: str, *lines: str, path: str = "/plain/x", method: str = "POST"
) -> bytes:
    """Return the head of a request with attempt id ``name`` and header ``lines``."""
    fixed = (
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Runhatch-Attempt-Id: {name}",
    )
    return "\r\n".join((*fixed, *lines, "", "")).encode()


def send_whole(name: str, size: int, piece: int = BLOCK_BYTES) -> Wire:
    """Send a body of ``size`` bytes by its length, to its end."""
    yield request_head(name, f"Content-Length: {size}")
    yield from _pieces(size, piece)


def stop_short(name: str, size: int, piece: int = BLOCK_BYTES) -> Wire:
    """Send a body of ``size`` bytes by its length, but for its last bytes."""
    yield request_head(name, f"Content-Length: {size}")
    yield from _pieces(size - UNSENT_BYTES, piece)


def send_chunks(name: str, size: int, chunk: int, ends: bool = True) -> Wire:
    """Send ``size`` bytes in chunks of ``chunk``, and the last chunk if it ``ends``."""
    yield request_head(name, "Transfer-Encoding: chunked")
    yield from _chunks(size, chunk)
    if ends:
        yield b"0\r\n\r\n"


def announce(name: str, announced: int, size: int) -> Wire:
    """Send ``size`` bytes of a body that is announced to be longer."""
    yield request_head(name, f"Content-Length: {announced}")
    yield from _pieces(size, BLOCK_BYTES)


def send_many_headers(name: str, count: int) -> Wire:
    """Send a head with ``count`` small headers, and no byte of its body."""
    lines = (f"{number:x}:xy" for number in range(count))
    yield request_head(name, *lines, "Content-Length: 9")


def send_part_of_head(name: str) -> Wire:
    """Send a head that does not end."""
    yield request_head(name)[:-2]


def send_pipelined(name: str, count: int) -> Wire:
    """Send ``count`` requests at once."""
    yield b"".join(
        request_head(f"{name}-{number}", method="GET", path="/nowhere/")
        for number in range(count)
    )


def _pieces(size: int, piece: int) -> Wire:
    whole, rest = divmod(size, piece)
    return chain(repeat(bytes(piece), whole), (bytes(rest),) if rest else ())


def _chunks(size: int, chunk: int) -> Wire:
    """Yield ``size`` bytes in chunks; many small chunks in one piece."""
    framed = f"{chunk:x}\r\n".encode() + bytes(chunk) + b"\r\n"
    per_block = max(1, BLOCK_BYTES // len(framed))
    whole, rest = divmod(size, chunk)
    blocks, left = divmod(whole, per_block)
    yield from repeat(framed * per_block, blocks)
    if left:
        yield framed * left
    if rest:
        yield f"{rest:x}\r\n".encode() + bytes(rest) + b"\r\n"


class _Client:
    """One connection of a crowd."""

    def __init__(self, sock: socket.socket, wire: Wire) -> None:
        self.socket = sock
        self.received = b""
        self.is_open = True
        self._wire = wire
        self._unsent = memoryview(b"")

    def send_some(self) -> bool:
        """Send what the socket takes; return false if nothing is left."""
        if not self._unsent:
            piece = next(self._wire, None)
            if piece is None:
                return False
            self._unsent = memoryview(piece)
        self._unsent = self._unsent[self.socket.send(self._unsent) :]
        return True

    def receive_some(self) -> None:
        """Read what has arrived, up to the end of the connection."""
        data = self.socket.recv(RECEIVE_BYTES)
        self.is_open = bool(data)
        self.received += data


class Crowd:
    """Connections that each send a wire and stay open; see :func:`open_crowd`."""

    def __init__(self, ports: Iterable[int], wires: Iterable[Wire]) -> None:
        self._selector = selectors.DefaultSelector()
        self.clients = [
            _Client(_connect(port), wire)
            for port, wire in zip(ports, wires, strict=False)
        ]
        for client in self.clients:
            both = selectors.EVENT_READ | selectors.EVENT_WRITE
            self._selector.register(client.socket, both, client)

    @property
    def statuses(self) -> list[int]:
        """Status of each answer that has begun to arrive."""
        heads = (client.received for client in self.clients)
        return [int(head.split(b" ", 2)[1]) for head in heads if head.count(b" ") > 1]

    def settle(self, seconds: float = SETTLE_SECONDS) -> None:
        """Send and receive until nothing moves any more, or ``seconds`` have passed."""
        deadline = time.monotonic() + seconds
        moved_at = time.monotonic()
        while time.monotonic() < min(deadline, moved_at + QUIET_SECONDS):
            for key, events in self._selector.select(QUIET_SECONDS / 10):
                moved_at = time.monotonic()
                self._exchange(key.data, events)

    def close(self) -> None:
        """Close all connections."""
        for client in self.clients:
            client.socket.close()
        self._selector.close()

    def _exchange(self, client: _Client, events: int) -> None:
        try:
            if events & selectors.EVENT_READ:
                client.receive_some()
            if (
                client.is_open
                and events & selectors.EVENT_WRITE
                and not client.send_some()
            ):
                self._selector.modify(client.socket, selectors.EVENT_READ, client)
        except BlockingIOError:
            return
        except OSError:
            client.is_open = False
        if not client.is_open:
            self._selector.unregister(client.socket)


def _connect(port: int) -> socket.socket:
    sock = socket.create_connection(("127.0.0.1", port), timeout=SETTLE_SECONDS)
    sock.setblocking(False)
    return sock


@contextmanager
def open_crowd(
    ports: Iterable[int], wires: Iterable[Wire], seconds: float = SETTLE_SECONDS
) -> Iterator[Crowd]:
    """Open a connection for each of ``wires``, and yield once they have settled."""
    crowd = Crowd(ports, wires)
    try:
        crowd.settle(seconds)
        yield crowd
    finally:
        crowd.close()


@dataclass(slots=True)
class Usage:
    """The most that a process held at any time."""

    megabytes: float = 0.0
    """Resident memory and files in the folder for temporary files."""
    descriptors: int = 0


@contextmanager
def watch_usage(pid: int) -> Iterator[Usage]:
    """Yield the usage of a process, which is updated until the context ends."""
    usage = Usage()
    stopped = threading.Event()

    def watch() -> None:
        while not stopped.wait(SAMPLE_SECONDS):
            with suppress(OSError):
                _update_usage(usage, Path(f"/proc/{pid}"))

    thread = threading.Thread(target=watch, daemon=True)
    thread.start()
    try:
        yield usage
    finally:
        stopped.set()
        thread.join()


def _update_usage(usage: Usage, process: Path) -> None:
    resident = int((process / "statm").read_text().split()[1])
    size = resident * os.sysconf("SC_PAGE_SIZE")
    descriptors = list((process / "fd").iterdir())
    for descriptor in descriptors:
        with suppress(OSError):
            if descriptor.readlink().is_relative_to("/tmp"):
                size += descriptor.stat().st_size
    usage.megabytes = max(usage.megabytes, size / MEGABYTE)
    usage.descriptors = max(usage.descriptors, len(descriptors))


def number_wires(count: int, make_wire: Callable[[str], Wire]) -> list[Wire]:
    """Return ``count`` wires whose requests have names of their own."""
    started = time.monotonic_ns()
    return [make_wire(f"crowd-{started}-{number}") for number in range(count)]
