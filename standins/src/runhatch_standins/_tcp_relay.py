"""A TCP relay that cuts, freezes or refuses connections on demand."""

import socket
import threading
import time
from contextlib import suppress
from enum import Enum

CHUNK = 16_384


class LinkFault(Enum):
    """What the relay does with connections."""

    NONE = "none"
    REFUSE = "refuse"
    FREEZE = "freeze"
    CUT_ANSWER = "cut answer"


class TcpRelay:
    """Passes connections on to a loopback port, but for the fault set.

    ``CUT_ANSWER`` closes each connection after ``after`` bytes of its answer.
    """

    def __init__(self, target_port: int) -> None:
        self._target = target_port
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        self._healthy = threading.Event()
        self._healthy.set()
        self._fault = LinkFault.NONE
        self._after = 0
        self._pace: float | None = None
        self._pacing = threading.Lock()
        self.answered = 0
        """Bytes of answers that were passed on."""
        self.port: int = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def inject(self, fault: LinkFault, after: int = 0) -> None:
        """Set the fault; connections that stand are refused or frozen too."""
        self._fault = fault
        self._after = after
        if fault is LinkFault.FREEZE:
            self._healthy.clear()
        else:
            self._healthy.set()
        if fault is LinkFault.REFUSE:
            self._cut_all()

    def slow_down(self, bytes_per_second: float | None) -> None:
        """Pass answers on at this pace, all connections together; ``None``: freely."""
        self._pace = bytes_per_second

    def close(self) -> None:
        """Close everything."""
        self._healthy.set()
        _close(self._listener)
        self._cut_all()

    def _cut_all(self) -> None:
        with self._lock:
            for each in self._open:
                _close(each)
            self._open.clear()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            if self._fault is LinkFault.REFUSE:
                _close(near)
                continue
            try:
                far = socket.create_connection(("127.0.0.1", self._target), 5)
                far.settimeout(None)
            except OSError:
                _close(near)
                continue
            with self._lock:
                self._open |= {near, far}
            for source, sink, counted in ((near, far, False), (far, near, True)):
                arguments = (source, sink, counted)
                threading.Thread(target=self._pump, args=arguments, daemon=True).start()

    def _pump(self, source: socket.socket, sink: socket.socket, counted: bool) -> None:
        passed = 0
        with suppress(OSError):
            while chunk := source.recv(CHUNK):
                self._healthy.wait()
                if counted and self._fault is LinkFault.CUT_ANSWER:
                    chunk = chunk[: max(0, self._after - passed)]
                    passed += len(chunk)
                    sink.sendall(chunk)
                    if passed >= self._after:
                        break
                    continue
                if counted:
                    self._wait_for_turn(len(chunk))
                sink.sendall(chunk)
                if counted:
                    self.answered += len(chunk)
        with self._lock:
            self._open -= {source, sink}
        _close(source)
        _close(sink)

    def _wait_for_turn(self, size: int) -> None:
        """Take as long as ``size`` bytes take on the link."""
        if self._pace is not None:
            with self._pacing:
                time.sleep(size / self._pace)


def _close(each: socket.socket) -> None:
    with suppress(OSError):
        each.shutdown(socket.SHUT_RDWR)
    with suppress(OSError):
        each.close()
