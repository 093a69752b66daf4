"""Calls of the command line to a node."""

import http.server
import threading

import pytest

from runhatch_cli import _client
from runhatch_cli._client import NodeClient
from runhatch_cli._errors import UnreachableError


class LongAnswer(http.server.BaseHTTPRequestHandler):
    """Answers with a body without length."""

    def do_GET(self):
        self.send_response(200)
        self.end_headers()
        self.wfile.write(b'{"text": "' + b"x" * 2_000)

    def log_message(self, format, *args):
        pass


def test_an_answer_that_is_too_long_is_given_up(monkeypatch):
    """The command line once kept all bytes that it was sent."""
    monkeypatch.setattr(_client, "MAX_ANSWER_BYTES", 1_000)
    server = http.server.HTTPServer(("127.0.0.1", 0), LongAnswer)
    threading.Thread(target=server.handle_request, daemon=True).start()

    client = NodeClient(f"http://127.0.0.1:{server.server_port}")
    with pytest.raises(UnreachableError, match="over 1000 bytes"):
        client.get("/")
    server.server_close()
