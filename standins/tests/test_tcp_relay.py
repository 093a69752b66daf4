"""Test how the relay between gateways and other processes ends connections."""

import socket
import struct

import pytest

from runhatch_standins._tcp_relay import TcpRelay

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
TIMEOUT_SECONDS = 5


@pytest.fixture
def pair():
    """Yield both ends of a connection through a relay."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        relay = TcpRelay(listener.getsockname()[1])
        client = socket.create_connection(("127.0.0.1", relay.port), TIMEOUT_SECONDS)
        listener.settimeout(TIMEOUT_SECONDS)
        server, _ = listener.accept()
        server.settimeout(TIMEOUT_SECONDS)
        with client, server:
            yield client, server
        relay.close()


@pytest.mark.parametrize("server_ends", [True, False])
def test_reset_is_relayed_as_a_reset(pair, server_ends):
    """A normal close would end an answer without framing as a whole one."""
    receiver, sender = pair if server_ends else reversed(pair)
    sender.sendall(b"part")
    assert receiver.recv(10) == b"part"

    sender.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sender.close()

    with pytest.raises(ConnectionResetError):
        receiver.recv(10)


@pytest.mark.parametrize("server_ends", [True, False])
def test_close_is_relayed_as_a_close(pair, server_ends):
    receiver, sender = pair if server_ends else reversed(pair)
    sender.sendall(b"whole")
    sender.close()

    assert receiver.recv(10) == b"whole"
    assert receiver.recv(10) == b""
