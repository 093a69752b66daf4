"""A TCP relay that closes, freezes or refuses connections on demand."""

import socket
import struct
import threading
import time
from contextlib import suppress
from enum import Enum
from weakref import WeakSet

CHUNK = 16_384
NO_LINGER = struct.pack("ii", 1, 0)
"""Socket option that makes ``close`` reset the connection."""


class LinkFault(Enum):
    """The fault that the relay injects into connections."""

    NONE = "none"
    REFUSE = "refuse"
    FREEZE = "freeze"
    RESET = "reset"
    SILENCE = "silence"
    CUT_ANSWER = "cut answer"


class TcpRelay:
    """Relays connections to a loopback port, subject to the injected fault.

    ``CUT_ANSWER`` closes each connection after ``after`` bytes of its response.
    ``SILENCE`` drops what the connections that are open carry from then on, for good,
    while new ones work.
    """

    def __init__(self, target_port: int) -> None:
        self._target = target_port
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self._lock = threading.Lock()
        self._open_sockets: set[socket.socket] = set()
        self._reset_sockets: WeakSet[socket.socket] = WeakSet()
        """Sockets whose connection, or the other end's, was reset."""
        self._silent_sockets: WeakSet[socket.socket] = WeakSet()
        self._not_frozen = threading.Event()
        self._not_frozen.set()
        self._fault = LinkFault.NONE
        self._response_limit = 0
        self._bytes_per_second: float | None = None
        self._bandwidth_lock = threading.Lock()
        self.answered = 0
        """Number of response bytes relayed."""
        self.port: int = self._listener.getsockname()[1]
        threading.Thread(target=self._accept_connections, daemon=True).start()

    def inject(self, fault: LinkFault, after: int = 0) -> None:
        """Set the fault; all but ``CUT_ANSWER`` also apply to open connections."""
        self._fault = fault
        self._response_limit = after
        if fault is LinkFault.FREEZE:
            self._not_frozen.clear()
        else:
            self._not_frozen.set()
        if fault is LinkFault.REFUSE:
            self._close_connections()
        if fault is LinkFault.RESET:
            self._reset_connections()
        if fault is LinkFault.SILENCE:
            with self._lock:
                self._silent_sockets.update(self._open_sockets)

    def slow_down(self, bytes_per_second: float | None) -> None:
        """Limit the bandwidth of all responses together; ``None`` removes the limit."""
        self._bytes_per_second = bytes_per_second

    def close(self) -> None:
        """Close the listener and all connections."""
        self._not_frozen.set()
        _close(self._listener)
        self._close_connections()

    def _close_connections(self) -> None:
        with self._lock:
            for sock in self._open_sockets:
                _close(sock)
            self._open_sockets.clear()

    def _reset_connections(self) -> None:
        with self._lock:
            self._reset(self._open_sockets)

    def _reset(self, sockets: set[socket.socket]) -> None:
        """Have ``sockets`` reset by the threads that relay their bytes."""
        self._reset_sockets |= sockets
        for sock in sockets:
            with suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
                # Ends the read in progress, whose thread closes the socket.
                sock.shutdown(socket.SHUT_RD)

    def _accept_connections(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            if self._fault in (LinkFault.REFUSE, LinkFault.RESET):
                _close(client)
                continue
            try:
                server = socket.create_connection(("127.0.0.1", self._target), 5)
                server.settimeout(None)
            except OSError:
                _close(client)
                continue
            with self._lock:
                self._open_sockets |= {client, server}
            for source, sink, is_response in (
                (client, server, False),
                (server, client, True),
            ):
                arguments = (source, sink, is_response)
                threading.Thread(
                    target=self._relay_bytes, args=arguments, daemon=True
                ).start()

    def _relay_bytes(
        self, source: socket.socket, sink: socket.socket, is_response: bool
    ) -> None:
        try:
            self._relay_until_end(source, sink, is_response)
        except ConnectionResetError:
            with self._lock:
                self._reset({source, sink})
        except OSError:
            # The other thread has closed the connection.
            pass
        with self._lock:
            self._open_sockets -= {source, sink}
            was_reset = source in self._reset_sockets
        if was_reset:
            source.close()
            sink.close()
            return
        _close(source)
        _close(sink)

    def _relay_until_end(
        self, source: socket.socket, sink: socket.socket, is_response: bool
    ) -> None:
        relayed = 0
        while chunk := source.recv(CHUNK):
            self._not_frozen.wait()
            if source in self._silent_sockets:
                continue
            if is_response and self._fault is LinkFault.CUT_ANSWER:
                chunk = chunk[: max(0, self._response_limit - relayed)]
                relayed += len(chunk)
                sink.sendall(chunk)
                if relayed >= self._response_limit:
                    break
                continue
            if is_response:
                self._limit_bandwidth(len(chunk))
            sink.sendall(chunk)
            if is_response:
                self.answered += len(chunk)

    def _limit_bandwidth(self, size: int) -> None:
        """Sleep as long as ``size`` bytes take at the limited bandwidth."""
        if self._bytes_per_second is not None:
            with self._bandwidth_lock:
                time.sleep(size / self._bytes_per_second)


def _close(sock: socket.socket) -> None:
    with suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    with suppress(OSError):
        sock.close()
