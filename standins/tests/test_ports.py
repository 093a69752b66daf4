"""Guards against ports that another process takes before they are bound."""

import socket
import subprocess
import sys
from collections.abc import Iterator

import pytest

from runhatch_standins._ports import (
    BLOCK_PORTS,
    PortBlock,
    first_ephemeral_port,
    free_ports,
)

PRINT_PORTS = (
    "from runhatch_standins._ports import free_ports;"
    "print(*free_ports(50), flush=True); input()"
)


@pytest.fixture
def block() -> Iterator[PortBlock]:
    made = PortBlock()
    yield made
    made.close()


class TestFreePorts:
    def test_outgoing_connections_cannot_take_them(self):
        assert max(free_ports(50)) < first_ephemeral_port()

    def test_other_processes_get_others(self):
        with subprocess.Popen(
            [sys.executable, "-c", PRINT_PORTS],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        ) as other:
            ports = {int(word) for word in other.stdout.readline().split()}
            own = {port for _ in range(5) for port in free_ports(50)}
            other.communicate("\n")
        assert len(ports) == 50
        assert not ports & own


class TestPortBlock:
    def test_ports_are_taken_once_in_a_round(self, block):
        taken = [port for _ in range(3) for port in block.take(30)]
        assert len(set(taken)) == 90

    def test_ports_in_use_are_skipped(self, block):
        with socket.create_server(("127.0.0.1", block.take(1)[0])) as server:
            used = server.getsockname()[1]
            taken = [port for _ in range(8) for port in block.take(BLOCK_PORTS // 4)]
        assert used not in taken

    def test_too_many_are_refused(self, block):
        with pytest.raises(RuntimeError, match=f"ports of {BLOCK_PORTS} are unused"):
            block.take(BLOCK_PORTS)
