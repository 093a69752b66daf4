"""Test requests of callers and their answers against real processes."""

import http.client
import itertools
import json
import time
import urllib.request
from urllib.parse import urlsplit

import pytest
from openai import OpenAI

from runhatch_standins._cluster import call
from runhatch_standins._text import expected_text

CHAT = "/v1/chat/completions"
VALID_CHAT = {"model": "m0", "messages": [{"role": "user", "content": "x"}]}
BOOKING = "/services/booking/bookings"


def send_request(cluster, method, path, body=b"", headers=None):
    """Send one request to node n1; return status, headers and body of the answer."""
    parts = urlsplit(cluster.caller_url("n1"))
    connection = http.client.HTTPConnection(parts.hostname, parts.port, timeout=20)
    try:
        payload = body if isinstance(body, bytes) else json.dumps(body).encode()
        connection.request(method, path, payload, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def read_counter(cluster, node, name):
    """Return the value of a counter of a node's metrics, 0 if it is absent."""
    with urllib.request.urlopen(f"{cluster.operator_url(node)}/metrics") as answer:
        lines = answer.read().decode().splitlines()
    values = [line.rpartition(" ")[2] for line in lines if line.startswith(name)]
    return float(values[0]) if values else 0.0


class TestCacheEvents:
    """Events that engines publish about their prefix caches."""

    def test_cache_events_are_applied(self, cluster):
        """A node applies the cache events of engines to which it sends prompts."""
        document = {"model": "m0", "max_tokens": 1}
        deadline = time.monotonic() + 20
        for number in itertools.count():
            prompt = f"{number:04d}" * 128
            url = cluster.caller_url("n1")
            call(url, "POST", "/v1/completions", {**document, "prompt": prompt})
            if read_counter(
                cluster, "n1", 'runhatch_cache_events_total{outcome="taken"}'
            ):
                break
            assert time.monotonic() < deadline
            time.sleep(0.2)


class TestRefusals:
    """Invalid requests are refused with a problem document."""

    @pytest.mark.parametrize(
        ("method", "path", "body", "headers", "status", "reason", "words"),
        [
            ("POST", CHAT, b"{", {}, 400, "bad_json", "JSON"),
            ("POST", CHAT, b"[]", {}, 400, "bad_json", "document"),
            ("POST", CHAT, {"model": "m0"}, {}, 400, "bad_json", "messages"),
            (
                "POST",
                CHAT,
                {**VALID_CHAT, "max_tokens": 0},
                {},
                400,
                "bad_json",
                "max_tokens: found 0",
            ),
            (
                "POST",
                CHAT,
                {**VALID_CHAT, "model": "zz"},
                {},
                404,
                "unknown_model",
                "zz",
            ),
            (
                "POST",
                CHAT,
                VALID_CHAT,
                {"Request-Deadline": "soon"},
                400,
                "bad_deadline",
                "soon",
            ),
            (
                "POST",
                CHAT,
                VALID_CHAT,
                {"Request-Deadline": "0"},
                400,
                "bad_deadline",
                "above 0",
            ),
            (
                "POST",
                CHAT,
                VALID_CHAT,
                {"Priority": "u=9"},
                400,
                "bad_header",
                "u=0 to",
            ),
            (
                "POST",
                CHAT,
                VALID_CHAT,
                {"Idempotency-Key": "k" * 300},
                400,
                "bad_header",
                "255",
            ),
            ("POST", CHAT, b" " * 1_048_577, {}, 413, "body_too_large", "1048576"),
            ("GET", CHAT, b"", {}, 405, "bad_method", "POST"),
            ("GET", "/v1/orders", b"", {}, 404, "unknown_path", "/v1/orders"),
            ("GET", "/services/none/x", b"", {}, 404, "unknown_path", "none"),
            (
                "GET",
                "/services/booking/../v1/orders",
                b"",
                {},
                404,
                "unknown_path",
                "found",
            ),
            ("DELETE", BOOKING, b"", {}, 405, "bad_method", "POST"),
            ("POST", BOOKING, b"{}", {}, 400, "key_missing", "Idempotency-Key"),
        ],
    )
    def test_invalid_request_is_refused_with_its_reason(
        self, cluster, method, path, body, headers, status, reason, words
    ):
        """The problem document names the reason and says that nothing was executed."""
        received_status, answer_headers, answer = send_request(
            cluster, method, path, body, headers
        )
        problem = json.loads(answer)
        assert (received_status, problem["reason"], problem["executed"]) == (
            status,
            reason,
            "no",
        )
        assert answer_headers["Content-Type"] == "application/problem+json"
        assert words in problem["detail"]
        assert len(problem["detail"].splitlines()) == 1

    def test_key_reused_with_another_body_is_refused(self, cluster):
        """An idempotency key cannot be reused for a different request."""
        headers = {"Idempotency-Key": "reused"}
        send_request(cluster, "POST", BOOKING, {"drum": "reused-1"}, headers)
        status, _, answer = send_request(
            cluster, "POST", BOOKING, {"drum": "two"}, headers
        )
        assert (status, json.loads(answer)["reason"]) == (422, "key_reused")


class TestAnswers:
    """Valid requests receive a complete answer to their own prompt."""

    @pytest.mark.parametrize("stream", [False, True])
    @pytest.mark.parametrize("model", ["m1", "a1"])
    def test_official_client_chat(self, cluster, model, stream):
        """The official OpenAI client can chat with models and with adapters."""
        client = OpenAI(base_url=f"{cluster.caller_url('n2')}/v1", api_key="any")
        prompt = f"official {model} {stream}"
        answer = client.chat.completions.create(
            model=model,
            messages=[{"role": "user", "content": prompt}],
            max_tokens=12,
            stream=stream,
        )
        if stream:
            text = "".join(c.choices[0].delta.content or "" for c in answer)
        else:
            text = answer.choices[0].message.content
        assert text == expected_text(prompt, 12)

    def test_official_client_completion(self, cluster):
        """The official OpenAI client receives completions without chat."""
        client = OpenAI(base_url=f"{cluster.caller_url('n3')}/v1", api_key="any")
        answer = client.completions.create(model="m2", prompt="plain", max_tokens=5)
        assert answer.choices[0].text == expected_text("plain", 5)

    def test_models_are_listed(self, cluster):
        """A node lists all models and adapters."""
        client = OpenAI(base_url=f"{cluster.caller_url('n1')}/v1", api_key="any")
        names = {model.id for model in client.models.list()}
        assert names == {f"m{i}" for i in range(8)} | {f"a{i}" for i in range(4)}

    def test_plain_service_answer_is_forwarded(self, cluster):
        """The answer of a plain service is forwarded unchanged."""
        status, _, answer = send_request(
            cluster, "GET", "/services/booking/drums/d7?x=1"
        )
        assert (status, json.loads(answer)) == (200, {"drum": "d7", "free": True})
