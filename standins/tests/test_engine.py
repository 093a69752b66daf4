"""The engine stand-in's prefix cache and the events it publishes of it."""

import pytest

from runhatch_standins import launch
from runhatch_standins._cluster import call

MODEL = "m@1"


@pytest.fixture(scope="module")
def engine():
    """An engine by itself, with one model loaded."""
    launched = launch("engine", "runhatch_standins.engine")
    order = {
        "kind": "load",
        "unit": MODEL,
        "number": 1,
        "memory_mb": 10,
        "loading_peak_mb": 0,
        "base": "",
    }
    call(launched.url, "POST", "/v1/orders", order)
    for index in range(20):
        prompt = f"{index:03d}" * 200
        document = {"model": MODEL, "prompt": prompt, "max_tokens": 1}
        call(launched.url, "POST", "/v1/completions", document)
    yield launched
    launched.kill()


class TestCacheEvents:
    """Events come late and with gaps if the faults say so."""

    @pytest.mark.parametrize(
        ("faults", "least", "most"),
        [
            ({}, 40, 40),
            ({"cache_event_lag_seconds": 60}, 0, 0),
            ({"cache_event_gaps": 0.5}, 10, 30),
            ({"cache_event_gaps": 1.0}, 0, 0),
        ],
    )
    def test_late_and_with_gaps(self, engine, faults, least, most):
        """Two blocks a prompt are stored; what is told of them is as set."""
        call(engine.url, "POST", "/faults", faults)
        events = call(engine.url, "GET", "/v1/cache_events")["events"]
        assert least <= len(events) <= most

    def test_only_later_events(self, engine):
        """A reader asks for what came after the last event it has."""
        call(engine.url, "POST", "/faults", {})
        events = call(engine.url, "GET", "/v1/cache_events?after=37")["events"]
        assert [event["sequence"] for event in events] == [38, 39]
