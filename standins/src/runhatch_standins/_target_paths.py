"""Cut the paths from gateways to targets, while all else stays reachable.

Gateways exchange the addresses of targets, so addresses can't differ by gateway.
Instead each gateway looks up the port to connect to in a file of its own.
"""

import json
import os
import socket
from contextlib import ExitStack
from enum import Enum
from pathlib import Path

from runhatch_standins._tcp_relay import LinkFault, TcpRelay

PATHS_VARIABLE = "RUNHATCH_STANDINS_PATHS"
"""Environment variable with the file of a gateway."""
FILLERS = 2
"""Connections that fill a backlog of zero, after which further ones hang."""


class PathFault(Enum):
    """What happens to the connections of a gateway to all targets."""

    NONE = "none"
    RESET = "open ones are reset, new ones refused"
    HANG = "open ones are silent, new ones hang"
    NEW_REFUSED = "open ones stay open, new ones are refused"


LINK_FAULTS = {
    PathFault.RESET: LinkFault.RESET,
    PathFault.HANG: LinkFault.FREEZE,
}


class TargetPaths:
    """Relays from each gateway to each target; closing ``stack`` closes them."""

    def __init__(self, stack: ExitStack, folder: Path) -> None:
        self._stack = stack
        self._folder = folder
        self._targets: list[int] = []
        self._relays: dict[str, dict[int, TcpRelay]] = {}
        self._faults: dict[str, PathFault] = {}
        # Bound without listening, so that connections are refused.
        refusing = stack.enter_context(socket.socket())
        refusing.bind(("127.0.0.1", 0))
        self._refusing_port: int = refusing.getsockname()[1]
        self._hanging_port = self._open_hanging_port()

    def file_of(self, gateway: str) -> Path:
        """Return the file with the ports to which ``gateway`` connects."""
        return self._folder / f"{gateway}-paths.json"

    def add_target(self, port: int) -> None:
        """Add paths from all gateways to a target."""
        self._targets.append(port)
        for gateway in self._relays:
            self._add_path(gateway, port)

    def add_gateway(self, name: str) -> None:
        """Add paths from gateway ``name`` to all targets."""
        self._relays[name] = {}
        self._faults[name] = PathFault.NONE
        for port in self._targets:
            self._add_path(name, port)
        self._write_ports(name)

    def cut(self, gateway: str, fault: PathFault) -> None:
        """Set the fault of all paths of ``gateway``."""
        self._faults[gateway] = fault
        self._write_ports(gateway)
        for relay in self._relays[gateway].values():
            relay.inject(LINK_FAULTS.get(fault, LinkFault.NONE))

    def _open_hanging_port(self) -> int:
        listener = self._stack.enter_context(
            socket.create_server(("127.0.0.1", 0), backlog=0)
        )
        for _ in range(FILLERS):
            filler = self._stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        return int(listener.getsockname()[1])

    def _add_path(self, gateway: str, port: int) -> None:
        relay = TcpRelay(port)
        self._stack.callback(relay.close)
        self._relays[gateway][port] = relay
        self._write_ports(gateway)

    def _write_ports(self, gateway: str) -> None:
        path = self.file_of(gateway)
        ports = {port: self._port_to(gateway, port) for port in self._relays[gateway]}
        new = path.with_suffix(".new")
        new.write_text(json.dumps(ports))
        os.replace(new, path)

    def _port_to(self, gateway: str, target: int) -> int:
        match self._faults[gateway]:
            case PathFault.NONE:
                return self._relays[gateway][target].port
            case PathFault.HANG:
                return self._hanging_port
            case PathFault.RESET | PathFault.NEW_REFUSED:
                return self._refusing_port
