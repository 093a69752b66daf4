"""Whether anything listens at the address of a target."""

import socket
from datetime import timedelta

REFUSED_WITHIN = timedelta(milliseconds=200)
"""Longest wait for a target to accept or refuse a connection: one whose process has
ended refuses within the way there and back."""


def refuses_connections(host: str, port: int) -> bool:
    """Tell whether nothing listens there any more.

    Silence is no answer: the way there may be cut.
    """
    try:
        with socket.create_connection((host, port), REFUSED_WITHIN.total_seconds()):
            return False
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
