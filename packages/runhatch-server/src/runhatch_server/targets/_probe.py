"""Checks whether a process listens at the address of a target."""

import socket
from datetime import timedelta

REFUSAL_TIMEOUT = timedelta(milliseconds=200)
"""Longest wait for a target to accept or refuse a connection: the host of a process
that has ended refuses within one round trip."""


def probe_refusal(host: str, port: int) -> bool | None:
    """Return whether ``host`` refuses connections to ``port``, ``None`` if unknown.

    A timeout is no refusal, since the network path may be interrupted.
    """
    try:
        with socket.create_connection((host, port), REFUSAL_TIMEOUT.total_seconds()):
            return False
    except ConnectionRefusedError:
        return True
    except OSError:
        return None


def refuses_connections(host: str, port: int) -> bool:
    """Return whether ``host`` is known to refuse connections to ``port``."""
    return probe_refusal(host, port) is True
