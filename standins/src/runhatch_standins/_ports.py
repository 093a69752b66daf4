"""Ports of the loopback interface for processes that bind them later."""

import itertools
import socket
from collections.abc import Iterator
from functools import cache
from pathlib import Path

FIRST_PORT = 10_000
BLOCK_PORTS = 200
EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
DEFAULT_FIRST_EPHEMERAL_PORT = 32_768


class PortBlock:
    """Consecutive ports that no other process takes from a block.

    The block lies below the ports that the kernel gives to outgoing connections,
    and belongs to the process as long as the process keeps its first port bound.

    Raises ``RuntimeError`` if each block belongs to another process.
    """

    def __init__(self) -> None:
        self._guard = _bind_first_port()
        first: int = self._guard.getsockname()[1]
        self._ports = itertools.cycle(range(first + 1, first + BLOCK_PORTS))

    def take(self, count: int) -> list[int]:
        """Return ``count`` different ports that are unused at the moment.

        Ports taken longest ago come first.
        Raises ``RuntimeError`` if fewer are unused.
        """
        candidates = itertools.islice(self._ports, BLOCK_PORTS - 1)
        unused = list(itertools.islice(filter(_is_unused, candidates), count))
        if len(unused) < count:
            raise RuntimeError(f"{len(unused)} ports of {count} are unused")
        return unused

    def close(self) -> None:
        """Leave the block to other processes."""
        self._guard.close()


def free_ports(count: int) -> list[int]:
    """Return ``count`` different ports from the block of this process."""
    return _block_of_process().take(count)


def first_ephemeral_port() -> int:
    """Return the lowest port that the kernel gives to outgoing connections."""
    try:
        return int(EPHEMERAL_RANGE.read_text().split()[0])
    except OSError:
        return DEFAULT_FIRST_EPHEMERAL_PORT


@cache
def _block_of_process() -> PortBlock:
    return PortBlock()


def _bind_first_port() -> socket.socket:
    for port in _first_ports_of_blocks():
        guard = socket.socket()
        try:
            guard.bind(("127.0.0.1", port))
        except OSError:
            guard.close()
        else:
            return guard
    raise RuntimeError(f"no block of {BLOCK_PORTS} ports is left")


def _first_ports_of_blocks() -> Iterator[int]:
    yield from range(FIRST_PORT, first_ephemeral_port() - BLOCK_PORTS, BLOCK_PORTS)


def _is_unused(port: int) -> bool:
    with socket.socket() as probe:
        # Servers set the option too, and so bind beside closed connections.
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
