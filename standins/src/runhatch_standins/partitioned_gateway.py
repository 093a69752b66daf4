"""A gateway that cannot connect to some ports of this VM.

``UNREACHABLE_PORTS_VARIABLE`` names a file with these ports, which is read at each
connect and may be absent.  Other gateways still connect to them.
"""

import os
import socket
from pathlib import Path
from typing import Any

from runhatch_platform.__main__ import main

UNREACHABLE_PORTS_VARIABLE = "RUNHATCH_UNREACHABLE_PORTS_FILE"


class PartitionedSocket(socket.socket):
    """A socket whose connects to unreachable ports are refused."""

    def connect(self, address: Any) -> None:
        """Connect to ``address``, or raise ``ConnectionRefusedError``."""
        if address[1] in _read_unreachable_ports():
            raise ConnectionRefusedError(address)
        super().connect(address)


def _read_unreachable_ports() -> set[int]:
    path = Path(os.environ[UNREACHABLE_PORTS_VARIABLE])
    return set(map(int, path.read_text().split())) if path.exists() else set()


if __name__ == "__main__":
    socket.socket = PartitionedSocket  # type: ignore[misc]
    main()
