"""Test the cache events that the engine stand-in publishes."""

import pytest

from runhatch_standins import launch
from runhatch_standins._cluster import call

MODEL = "m@1"


@pytest.fixture(scope="module")
def engine():
    """Start an engine with one model and send it twenty prompts."""
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
    """Publication of cache events, with and without faults."""

    @pytest.mark.parametrize(
        ("faults", "min_count", "max_count"),
        [
            ({}, 40, 40),
            ({"cache_event_lag_seconds": 60}, 0, 0),
            ({"cache_event_gaps": 0.5}, 10, 30),
            ({"cache_event_gaps": 1.0}, 0, 0),
        ],
    )
    def test_faults_delay_or_drop_events(self, engine, faults, min_count, max_count):
        """Each prompt stores two blocks; faults delay or drop their events."""
        call(engine.url, "POST", "/faults", faults)
        events = call(engine.url, "GET", "/v1/cache_events")["events"]
        assert min_count <= len(events) <= max_count

    def test_reader_receives_only_later_events(self, engine):
        """The parameter ``after`` excludes events that the reader already has."""
        call(engine.url, "POST", "/faults", {})
        events = call(engine.url, "GET", "/v1/cache_events?after=37")["events"]
        assert [event["sequence"] for event in events] == [38, 39]
