"""Test that cuts between gateways and targets act as real ones do."""

import json
import socket
import threading
from contextlib import ExitStack, suppress

import pytest

from runhatch_standins._target_paths import PathFault, TargetPaths

SILENCE_SECONDS = 0.2


@pytest.fixture
def target():
    """Return the port of a target that echoes bytes."""
    listener = socket.create_server(("127.0.0.1", 0))

    def echo(connection):
        with connection, suppress(OSError):
            while data := connection.recv(100):
                connection.sendall(data)

    def serve():
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=echo, args=(connection,), daemon=True).start()

    threading.Thread(target=serve, daemon=True).start()
    yield listener.getsockname()[1]
    listener.close()


@pytest.fixture
def paths(tmp_path, target):
    with ExitStack() as stack:
        paths = TargetPaths(stack, tmp_path)
        paths.add_target(target)
        for name in ("n1", "n2"):
            paths.add_gateway(name)
        yield paths


def connect(paths, gateway, target):
    port = json.loads(paths.file_of(gateway).read_text())[str(target)]
    return socket.create_connection(("127.0.0.1", port), SILENCE_SECONDS)


def echo_byte(connection):
    connection.sendall(b"x")
    return connection.recv(1)


class TestTargetPaths:
    """A cut gateway's open and new connections, and those of others."""

    @pytest.mark.parametrize(
        ("fault", "open_error", "new_error"),
        [
            (PathFault.RESET, ConnectionResetError, ConnectionRefusedError),
            (PathFault.HANG, TimeoutError, TimeoutError),
            (PathFault.NEW_REFUSED, None, ConnectionRefusedError),
        ],
        ids=lambda value: getattr(value, "name", None),
    )
    def test_cut_acts_on_open_and_new_connections(
        self, paths, target, fault, open_error, new_error
    ):
        with connect(paths, "n1", target) as connection:
            assert echo_byte(connection) == b"x"
            paths.cut("n1", fault)

            if open_error is None:
                assert echo_byte(connection) == b"x"
            else:
                with pytest.raises(open_error):
                    connection.recv(1)
            with pytest.raises(new_error):
                connect(paths, "n1", target)

    @pytest.mark.parametrize("fault", PathFault)
    def test_other_gateways_reach_the_target(self, paths, target, fault):
        with connect(paths, "n2", target) as connection:
            paths.cut("n1", fault)

            assert echo_byte(connection) == b"x"
        with connect(paths, "n2", target) as connection:
            assert echo_byte(connection) == b"x"

    @pytest.mark.parametrize("fault", PathFault)
    def test_cut_ends(self, paths, target, fault):
        paths.cut("n1", fault)
        paths.cut("n1", PathFault.NONE)

        with connect(paths, "n1", target) as connection:
            assert echo_byte(connection) == b"x"

    def test_silent_connection_goes_on_after_the_cut(self, paths, target):
        with connect(paths, "n1", target) as connection:
            assert echo_byte(connection) == b"x"
            paths.cut("n1", PathFault.HANG)
            with pytest.raises(TimeoutError):
                echo_byte(connection)
            paths.cut("n1", PathFault.NONE)

            assert connection.recv(1) == b"x"
