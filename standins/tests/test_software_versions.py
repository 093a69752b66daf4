"""Test that streams go on only at the software version that began them.

Targets of two versions serve one service.  Streams are broken off by targets, callers
and killed gateways, and are taken up again at other gateways.
"""

import json
import signal
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from dataclasses import replace

import pytest

from runhatch_standins._cluster import call
from runhatch_standins._gateways import GatewaySystem, route, wait_until
from runhatch_standins._software_versions import (
    MIN_TAKEN_UP_STREAMS,
    ServingTime,
    check_streams,
)
from runhatch_standins._stream_callers import StreamCaller, take_turns

MODEL = "m0"
VERSIONS = ("v1", "v2")
TARGETS_OF_EACH = 2
STREAMS = 24
"""Streams in a test: more than the targets of one version have slots."""
TOKENS = 30
LONG_TOKENS = 150
"""Events of a stream that lasts while its gateway is killed."""
LEAVE_AFTER = 5
TAKE_UPS = 2
"""Tries to take up a stream whose version is gone."""
REFUSAL_SECONDS = 2.0
"""Time within which a stream that can't go on must be refused."""


class Service:
    """A service with targets of two software versions, and its callers."""

    def __init__(self, gateways, name):
        self.gateways = gateways
        self.name = name
        with ThreadPoolExecutor() as pool:
            versions = VERSIONS * TARGETS_OF_EACH
            started = list(pool.map(self._start_target, versions))
        self.targets = list(zip(versions, started, strict=True))
        began = time.monotonic()
        self.serving = [ServingTime(version, began) for version in versions]
        self._number = 0
        routes = [route(f"/{name}/", "stream", name, resumable=True)]
        gateways.add_service(name, routes)
        assert wait_until(self.is_served_by_both_versions)

    def _start_target(self, version):
        return self.gateways.start_worker(self.name, MODEL, version)

    def set_faults(self, **faults):
        for _, worker in self.targets:
            call(worker.url, "POST", "/faults", faults)

    def drain(self, version):
        """Drain the targets of ``version``, which then count as ended."""
        now = time.monotonic()
        self.serving = [
            replace(each, ends=now) if each.version == version else each
            for each in self.serving
        ]
        for each, worker in self.targets:
            if each == version:
                call(worker.url, "POST", "/drain", {})

    def stop(self):
        for _, worker in self.targets:
            call(worker.url, "POST", "/drain", {})
            worker.kill()

    def read_streams(self, callers):
        with ThreadPoolExecutor(len(callers)) as pool:
            return list(pool.map(StreamCaller.run, callers))

    def make_callers(self, **options):
        """Return callers that take turns at the gateways, from a different one each."""
        gateways = self.gateways.gateways
        return [
            self.make_caller(take_turns(gateways, i), **options) for i in range(STREAMS)
        ]

    def make_caller(self, choose, tokens=TOKENS, **options):
        self._number += 1
        name = f"{self.name}-{self._number}"
        return StreamCaller(name, f"/{self.name}/", MODEL, tokens, choose, **options)

    def find_versions(self, gate, count):
        """Return the versions that serve ``count`` short streams at ``gate``."""
        callers = [
            self.make_caller(lambda number: gate, tokens=1, max_tries=1)
            for _ in range(count)
        ]
        return {v for caller in callers for v in caller.run().versions}

    def is_served_by_both_versions(self):
        return all(
            self.find_versions(gate, 8) == {*VERSIONS}
            for gate in self.gateways.gateways
        )


def count_taken_up(streams):
    return sum(any(t.is_take_up for t in stream.tries) for stream in streams)


def check_began_at_both(streams):
    assert {s.events[0].version for s in streams if s.events} == {*VERSIONS}


@pytest.fixture(scope="module")
def gateways(tmp_path_factory):
    with ExitStack() as stack:
        system = GatewaySystem(stack, tmp_path_factory.mktemp("gateways"))
        system.start_gateway("n3")
        yield system


@pytest.fixture
def service(gateways):
    """Start a service of each test's own: gateways avoid targets that failed lately."""
    service = Service(gateways, f"service-{len(gateways.services)}")
    yield service
    service.stop()


class TestWithinOneAnswer:
    """Targets break off streams, and gateways resume them."""

    @pytest.mark.parametrize(
        ("at", "is_reset"), [(80, False), (205, True)], ids=["closed", "reset"]
    )
    def test_stream_goes_on_at_its_version(self, service, tmp_path, at, is_reset):
        service.set_faults(
            break_at=at, break_by_reset=is_reset, break_once_in=str(tmp_path)
        )

        streams = service.read_streams(service.make_callers())

        check_began_at_both(streams)
        assert check_streams(streams, service.serving) == []


class TestOverTries:
    """Callers take broken streams up again at other gateways."""

    def test_stream_that_its_caller_left_goes_on(self, service):
        callers = service.make_callers(leave_after=LEAVE_AFTER)

        streams = service.read_streams(callers)

        check_began_at_both(streams)
        assert count_taken_up(streams) >= MIN_TAKEN_UP_STREAMS
        assert check_streams(streams, service.serving) == []

    def test_stream_that_is_broken_off_again_goes_on(self, service, tmp_path):
        """Both the try that begins it and the one that takes it up are broken off."""
        service.set_faults(break_at=205, break_once_in=str(tmp_path))
        callers = service.make_callers(leave_after=LEAVE_AFTER, max_tries=6)

        streams = service.read_streams(callers)

        check_began_at_both(streams)
        assert count_taken_up(streams) >= MIN_TAKEN_UP_STREAMS
        assert check_streams(streams, service.serving) == []

    def test_stream_of_a_killed_gateway_goes_on(self, service):
        """The gateway that relayed the first event is gone when it is taken up."""
        first, *others = service.gateways.gateways

        def choose(turn):
            next_gate = take_turns(others, turn)
            return lambda number: next_gate(number) if number else first

        callers = [
            service.make_caller(choose(i), tokens=LONG_TOKENS) for i in range(STREAMS)
        ]
        with ThreadPoolExecutor(STREAMS) as pool:
            running = [pool.submit(caller.run) for caller in callers]
            for caller in callers:
                assert caller.began.wait(10.0)
            first.process.signal(signal.SIGKILL)
            first.process.process.wait()
            streams = [future.result() for future in running]
        service.gateways.restart(first)
        assert wait_until(lambda: service.gateways.is_ready(first))

        check_began_at_both(streams)
        assert count_taken_up(streams) >= MIN_TAKEN_UP_STREAMS
        assert check_streams(streams, service.serving) == []
        reasons = {t.reason for stream in streams for t in stream.tries}
        assert "stream_unknown" not in reasons


class TestUnknownAttempt:
    """Nothing tells the version of a stream."""

    def test_stream_of_unknown_attempt_is_refused_as_not_run(self, service):
        headers = {"Last-Event-Id": "3", "Resumes": "never-sent"}

        answers = [
            service.gateways.answer(
                f"/{service.name}/x", "POST", gate=gate, model=MODEL, **headers
            )
            for gate in range(len(service.gateways.gateways))
        ]

        assert [response.status for response, _ in answers] == [503, 503, 503]
        assert all(float(r.getheader("Retry-After")) > 0 for r, _ in answers)
        problems = [json.loads(body) for _, body in answers]
        assert [p["executed"] for p in problems] == ["no"] * len(answers)
        assert [p["reason"] for p in problems] == ["stream_unknown"] * len(answers)


class TestVersionThatIsGone:
    """No target of the version that began a stream is left."""

    def test_stream_is_refused_at_once(self, service):
        callers = service.make_callers(leave_after=LEAVE_AFTER, max_tries=1)
        streams = service.read_streams(callers)
        check_began_at_both(streams)
        service.drain("v1")
        assert wait_until(
            lambda: all(
                service.find_versions(gate, 8) == {"v2"}
                for gate in service.gateways.gateways
            )
        )

        with ThreadPoolExecutor(STREAMS) as pool:
            list(pool.map(lambda caller: caller.run(TAKE_UPS), callers))

        for stream in streams:
            taken_up = stream.tries[1:]
            if stream.events[0].version == "v2":
                assert stream.is_complete
            else:
                assert [t.status for t in taken_up] == [503] * TAKE_UPS
                longest = max(t.ended - t.began for t in taken_up)
                assert longest < REFUSAL_SECONDS
        assert check_streams(streams, service.serving) == []
