"""Run a gateway whose connections to targets take the ports given in a file."""

import json
import os
import socket
from pathlib import Path
from typing import Any

from runhatch_platform.__main__ import main
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


if __name__ == "__main__":
    socket.socket = _RedirectedSocket  # type: ignore[misc]
    main()
