"""Run a gateway whose connections can be cut on demand.

Connections to targets take the ports given in a file, and messages between gateways
are lost while a file exists; each only if its environment variable names one.
"""

import json
import os
import socket
from pathlib import Path
from typing import Any

import pynng

from runhatch_platform.__main__ import main
from runhatch_standins._peer_cuts import PEER_CUT_VARIABLE
from runhatch_standins._target_paths import PATHS_VARIABLE


class _RedirectedSocket(socket.socket):
    """A socket that connects to the port which the file names for its target's."""

    def connect(self, address: Any) -> None:
        super().connect(_redirect(address))


def _redirect(address: Any) -> Any:
    if not isinstance(address, tuple):
        return address
    host, port, *rest = address
    ports = json.loads(Path(os.environ[PATHS_VARIABLE]).read_text())
    return (host, ports.get(str(port), port), *rest)


def _lose_peer_messages(cut: Path) -> None:
    """Lose all messages while ``cut`` exists; their connections stay open."""
    send, receive = pynng.Socket.send, pynng.Socket.recv

    def send_unless_cut(self: Any, *arguments: Any, **named: Any) -> None:
        if not cut.exists():
            send(self, *arguments, **named)

    def receive_unless_cut(self: Any, *arguments: Any, **named: Any) -> Any:
        message = receive(self, *arguments, **named)
        while cut.exists():
            message = receive(self, *arguments, **named)
        return message

    pynng.Socket.send, pynng.Socket.recv = send_unless_cut, receive_unless_cut


if __name__ == "__main__":
    if PATHS_VARIABLE in os.environ:
        socket.socket = _RedirectedSocket  # type: ignore[misc]
    if PEER_CUT_VARIABLE in os.environ:
        _lose_peer_messages(Path(os.environ[PEER_CUT_VARIABLE]))
    main()
