"""Operators' questions about where a request would go."""

import io
import json
from datetime import timedelta
from urllib.parse import urlencode

import pytest

from runhatch_server.operations import Access, OperatorApp, RouteService
from runhatch_server.serving import Dispatcher, Hosting, PlacementCache
from runhatch_server.settings import OperatorSettings


@pytest.fixture
def ask(deployment, clock):
    """Return a function that sends a question and returns status and document."""
    picture = PlacementCache()
    picture.set_deployment(deployment)
    picture.apply_hosting(Hosting("w0", 1, ("m0@1", "a0@1")))
    dispatcher = Dispatcher(picture, clock, "d0", 8, 0.5, seed=1)
    routes = RouteService(picture, dispatcher, timedelta(seconds=5))
    parts = [None] * 4
    access = Access(OperatorSettings())
    app = OperatorApp(access, *parts, routes, None, None, lambda: True)

    def send(**arguments):
        statuses = []
        environ = {
            "REQUEST_METHOD": "GET",
            "PATH_INFO": "/v1/where",
            "QUERY_STRING": urlencode(arguments),
            "wsgi.input": io.BytesIO(),
        }
        body = app(environ, lambda status, headers: statuses.append(status))
        return int(statuses[0].split()[0]), json.loads(b"".join(body))

    return send


class TestWhere:
    """Answers and errors of the endpoint."""

    def test_candidates_and_chosen_target(self, ask):
        """The answer has the chosen target and the figures of each candidate."""
        status, answer = ask(pool="reader", model="m0")
        assert status == 200
        assert (answer["outcome"], answer["target"]) == ("sent", "w0")
        assert answer["retry_after_seconds"] is None
        assert answer["candidates"] == [
            {
                "target": "w0",
                "failure_domain": "d0",
                "outstanding": 0,
                "limit": 4,
                "load": 0.0,
                "predicted_wait_ms": 0.0,
                "excess_ms": 0.0,
                "chosen": True,
                "left_out": "",
            }
        ]

    def test_model_without_replica(self, ask):
        """The Retry-After is the whole number of seconds that a caller is sent."""
        status, answer = ask(pool="reader", model="m3", priority="1")
        assert status == 200
        assert (answer["outcome"], answer["reason"]) == ("waits", "no_replica")
        assert (answer["status"], answer["retry_after_seconds"]) == (503, 2)
        assert (answer["priority"], answer["candidates"]) == (1, [])

    def test_adapter_is_the_route(self, ask):
        """A request for an adapter has the adapter's route."""
        _, answer = ask(pool="reader", model="m0", adapter="a0")
        assert (answer["route"], answer["target"]) == ("model:a0", "w0")

    @pytest.mark.parametrize(
        ("arguments", "status", "detail"),
        [
            ({"model": "m0"}, 404, "unknown pool: found ''"),
            ({"pool": "x", "model": "m0"}, 404, "unknown pool: found 'x'"),
            ({"pool": "reader", "model": "x"}, 404, "unknown model: found 'x'"),
            (
                {"pool": "reader", "model": "m1", "adapter": "a0"},
                404,
                "unknown adapter of 'm1': found 'a0'",
            ),
            (
                {"pool": "reader", "model": "m0", "priority": "8"},
                400,
                "priority: found '8', allowed: 0 to 7",
            ),
            (
                {"pool": "reader", "model": "m0", "priority": "-1"},
                400,
                "priority: found '-1', allowed: 0 to 7",
            ),
        ],
    )
    def test_bad_input_is_named(self, ask, arguments, status, detail):
        """Guards against an answer for another request than the one in question."""
        found, problem = ask(**arguments)
        assert (found, problem["detail"]) == (status, detail)
