"""Checks whether processes listen at the addresses of targets."""

import errno
import select
import socket
import time
from collections.abc import Iterable
from datetime import timedelta
from enum import Enum

SOCKET_HOST_ERRORS = (TypeError, ValueError)
"""Raised by ``socket`` for a host that cannot be a name or an address, for example one
with a NUL character or a label of more than 63 letters."""
REFUSAL_TIMEOUT = timedelta(milliseconds=200)
"""Longest wait for a target to accept or refuse a connection: the host of a process
that has ended refuses within one round trip."""


class Probed(Enum):
    """The outcome of a connect that sends nothing."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    SILENT = "silent"
    """Neither happened in time: the path may be interrupted."""


def probe_connects(
    addresses: Iterable[tuple[str, int]], timeout: timedelta
) -> list[Probed]:
    """Connect to all ``addresses`` at the same time, and return the outcome of each."""
    sockets = [_begin_connect(address) for address in addresses]
    results = [Probed.REFUSED if sock is None else Probed.SILENT for sock in sockets]
    waiting = {sock.fileno(): i for i, sock in enumerate(sockets) if sock is not None}
    poller = select.poll()
    for descriptor in waiting:
        poller.register(descriptor, select.POLLOUT)
    ends_at = time.monotonic() + timeout.total_seconds()
    while waiting and (left := ends_at - time.monotonic()) > 0:
        for descriptor, _ in poller.poll(left * 1000):
            poller.unregister(descriptor)
            index = waiting.pop(descriptor)
            results[index] = _read_outcome(sockets[index])
    for sock in sockets:
        if sock is not None:
            sock.close()
    return results


def _begin_connect(address: tuple[str, int]) -> socket.socket | None:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        sock.connect(address)
    except BlockingIOError:
        return sock
    except (OSError, *SOCKET_HOST_ERRORS):
        sock.close()
        return None
    return sock


def _read_outcome(sock: socket.socket | None) -> Probed:
    assert sock is not None
    error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if not error:
        return Probed.ACCEPTED
    return Probed.SILENT if error == errno.ETIMEDOUT else Probed.REFUSED


def probe_refusal(host: str, port: int) -> bool | None:
    """Return whether ``host`` refuses connections to ``port``, ``None`` if unknown.

    A timeout is no refusal, since the network path may be interrupted.
    """
    try:
        with socket.create_connection((host, port), REFUSAL_TIMEOUT.total_seconds()):
            return False
    except ConnectionRefusedError:
        return True
    except (OSError, *SOCKET_HOST_ERRORS):
        return None


def refuses_connections(host: str, port: int) -> bool:
    """Return whether ``host`` is known to refuse connections to ``port``."""
    return probe_refusal(host, port) is True
