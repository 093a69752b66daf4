"""Answers that slow callers still read when their node stops.

A request counted as ended when its answer was handed to the server, so that a stop
closed the connection in the middle of the answer.
"""

import socket
import time

from runhatch_server.http import HttpServer, ServerLimits, send_response


class TestUnsentAnswers:
    """Answers that slow callers still read when their node stops."""

    BODY = b"b" * 12_000_000

    def test_closing_idle_connections_spares_answers_that_are_being_sent(self):
        def app(environ, start_response):
            return send_response("200 OK", (), self.BODY, start_response, False)

        limits = ServerLimits(1_000, 10_000)
        server = HttpServer(app, "127.0.0.1", 0, 4, limits)
        server.start()
        with socket.create_connection(("127.0.0.1", server.port)) as caller:
            caller.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            caller.settimeout(5)
            received = caller.recv(1_000)
            time.sleep(0.2)
            assert server.has_unsent_answers

            server.stop_listening()
            server.close_idle_connections()
            time.sleep(0.2)
            while part := caller.recv(1_000_000):
                received += part

        assert received.endswith(b"\r\n\r\n" + self.BODY)
        assert not server.has_unsent_answers

    def test_idle_connections_are_closed(self):
        server = HttpServer(
            lambda environ, start_response: [], "127.0.0.1", 0, 4, ServerLimits(1, 100)
        )
        server.start()
        with socket.create_connection(("127.0.0.1", server.port)) as caller:
            time.sleep(0.1)
            server.close_idle_connections()
            caller.settimeout(2)

            assert caller.recv(1) == b""
        server.stop_listening()
