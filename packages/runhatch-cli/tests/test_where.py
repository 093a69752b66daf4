"""Where a request would go, asked on the command line."""

import http.server
import json
import sys
import threading
from urllib.parse import parse_qs, urlsplit

import pytest

from runhatch_cli import __main__
from runhatch_cli._where import describe_verdict

SENT = {
    "route": "model:m0",
    "priority": 3,
    "outcome": "sent",
    "target": "w1",
    "reason": None,
    "status": None,
    "retry_after_seconds": None,
    "max_wait_seconds": None,
    "ahead": 0,
    "candidates": [
        {"target": "w0", "load": 2.0, "chosen": False, "left_out": "draining"},
        {"target": "w1", "load": 1.0, "chosen": True, "left_out": ""},
    ],
}
REFUSED = {
    **SENT,
    "outcome": "refused",
    "target": None,
    "reason": "queue_full",
    "status": 503,
    "retry_after_seconds": 4,
}
WAITS = {**REFUSED, "outcome": "waits", "max_wait_seconds": 5.0, "ahead": 2}


@pytest.fixture
def node():
    """Serve a node that knows the model m0; ``queries`` are the questions."""
    queries = []

    class Node(http.server.BaseHTTPRequestHandler):
        def do_GET(self):
            parts = urlsplit(self.path)
            query = {name: values[0] for name, values in parse_qs(parts.query).items()}
            queries.append((parts.path, query))
            is_known = query["model"] == "m0"
            detail = f"unknown model: found {query['model']!r}"
            body = json.dumps(SENT if is_known else {"detail": detail}).encode()
            self.send_response(200 if is_known else 404)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, format, *args):
            pass

    server = http.server.HTTPServer(("127.0.0.1", 0), Node)
    server.queries = queries
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    yield server
    server.shutdown()
    thread.join()
    server.server_close()


@pytest.fixture
def run_where(node, monkeypatch, capsys):
    """Return a function that runs the command; it returns status and output."""

    def run(*arguments):
        url = f"http://127.0.0.1:{node.server_port}"
        monkeypatch.setattr(
            sys, "argv", ["runhatch", "where", *arguments, "--node", url]
        )
        with pytest.raises(SystemExit) as ended:
            __main__.main()
        captured = capsys.readouterr()
        return ended.value.code, captured.out, captured.err

    return run


class TestWhere:
    """Output and exit status of ``runhatch where``."""

    def test_shows_the_choice_and_the_reasons(self, run_where, node):
        """The chosen target is named first, then each candidate is a row."""
        arguments = ("reader", "m0", "--adapter", "a0", "--priority", "0")
        status, output, _ = run_where(*arguments)
        assert status == 0
        lines = output.splitlines()
        assert lines[0] == "model:m0, priority 3: would be sent to w1"
        assert any("w0" in line and "draining" in line for line in lines)
        sent = {"pool": "reader", "model": "m0", "adapter": "a0", "priority": "0"}
        assert node.queries == [("/v1/where", sent)]

    def test_json_is_the_answer_of_the_node(self, run_where):
        """Guards against text in the output for programs."""
        _, output, _ = run_where("reader", "m0", "--output", "json")
        assert json.loads(output) == SENT

    @pytest.mark.parametrize(
        ("arguments", "words"),
        [
            (("reader",), "Missing argument 'model'"),
            (("reader", "m0", "--priority", "8"), "less than or equal to 7"),
            (("reader", "m0", "--priority", "-1"), "greater than or equal to 0"),
            (("reader", "m0", "--priority", "high"), "valid integer"),
        ],
    )
    def test_bad_input_ends_with_status_2(self, run_where, node, arguments, words):
        """Bad input is named, and no node is asked."""
        status, _, errors = run_where(*arguments)
        assert status == 2
        assert words in errors
        assert node.queries == []

    def test_unknown_model_is_refused(self, run_where):
        """A name that the node does not know has the status of a refusal."""
        status, _, errors = run_where("reader", "m9")
        assert (status, errors) == (4, "runhatch: unknown model: found 'm9'\n")

    @pytest.mark.parametrize(
        ("answer", "text"),
        [
            (REFUSED, "would be refused: queue_full (503), Retry-After 4 s"),
            (
                WAITS,
                "would wait up to 5.0 s behind 2 requests, then be refused: "
                "queue_full (503), Retry-After 4 s",
            ),
        ],
    )
    def test_refusal_has_reason_and_retry_after(self, answer, text):
        """A request that is not sent shows why, and when to retry."""
        assert describe_verdict(answer) == f"model:m0, priority 3: {text}"
