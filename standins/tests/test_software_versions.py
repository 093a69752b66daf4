"""Test that streams go on only at the software version that began them.

Targets of two versions serve one service.  Streams are broken off by targets, callers
and killed gateways, and are taken up again at other gateways.
"""

import signal
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

import pytest

from runhatch_standins._cluster import call
from runhatch_standins._gateways import GatewaySystem, route, wait_until
from runhatch_standins._software_versions import (
    MIN_TAKEN_UP_STREAMS,
    ServingTime,
    check_streams,
)
from runhatch_standins._stream_callers import StreamCaller, take_turns

PREFIX = "/versions/"
SERVICE = "versions"
MODEL = "m0"
VERSIONS = ("v1", "v2")
TARGETS_OF_EACH = 2
STREAMS = 16
"""Streams taken up in a test, of which ``MIN_TAKEN_UP_STREAMS`` must count."""
TOKENS = 30
LONG_TOKENS = 150
"""Events of a stream that lasts while its gateway is killed."""
LEAVE_AFTER = 5
RETRY_AFTER_SECONDS = 2.0
"""Time within which a stream that can't go on must be refused."""


class System:
    """Three gateways, and targets of two software versions."""

    def __init__(self, gateways):
        self.gateways = gateways
        self.targets = {version: [] for version in VERSIONS}
        self.serving = []
        self._number = 0

    def start_targets(self):
        for version in VERSIONS * TARGETS_OF_EACH:
            worker = self.gateways.start_worker(SERVICE, MODEL, version)
            self.targets[version].append(worker)
            self.serving.append(ServingTime(version, time.monotonic()))

    def set_faults(self, **faults):
        for version in VERSIONS:
            for worker in self.targets[version]:
                call(worker.url, "POST", "/faults", faults)

    def read_streams(self, choices, **options):
        """Read ``STREAMS`` streams at once; return them in the order of choices."""
        callers = [self.make_caller(choose, **options) for choose in choices]
        with ThreadPoolExecutor(len(callers)) as pool:
            return list(pool.map(StreamCaller.run, callers))

    def make_caller(self, choose, tokens=TOKENS, **options):
        self._number += 1
        name = f"stream-{self._number}"
        return StreamCaller(name, PREFIX, MODEL, tokens, choose, **options)

    def read_whole(self, gate):
        return self.make_caller(lambda number: gate, max_tries=1).run()

    def finds_both_versions(self, gate):
        found = set()
        for _ in range(8):
            found |= self.read_whole(gate).versions
        return found == {*VERSIONS}


def count_taken_up(streams):
    return sum(any(t.is_take_up for t in stream.tries) for stream in streams)


@pytest.fixture(scope="module")
def shared_system(tmp_path_factory):
    with ExitStack() as stack:
        gateways = GatewaySystem(stack, tmp_path_factory.mktemp("gateways"))
        gateways.start_gateway("n3")
        system = System(gateways)
        system.start_targets()
        gateways.add_service(
            SERVICE, [route(PREFIX, "stream", SERVICE, resumable=True)]
        )
        for gate in gateways.gateways:
            assert wait_until(lambda gate=gate: system.finds_both_versions(gate))
        yield system


@pytest.fixture
def system(shared_system):
    yield shared_system
    shared_system.set_faults()


@pytest.fixture
def turns(system):
    """Return choices of gateways in turn, from a different one each."""
    return [take_turns(system.gateways.gateways, i) for i in range(STREAMS)]


class TestWithinOneAnswer:
    """Targets break off streams, and gateways resume them."""

    @pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
    @pytest.mark.parametrize("at", [70, 205], ids=["early", "late"])
    def test_stream_goes_on_at_its_version(self, system, turns, tmp_path, at, is_reset):
        system.set_faults(
            break_at=at, break_by_reset=is_reset, break_once_in=str(tmp_path)
        )

        streams = system.read_streams(turns)

        assert check_streams(streams, system.serving) == []


class TestOverTries:
    """Callers take broken streams up again at other gateways."""

    def test_stream_that_its_caller_left_goes_on(self, system, turns):
        streams = system.read_streams(turns, leave_after=LEAVE_AFTER)

        assert count_taken_up(streams) >= MIN_TAKEN_UP_STREAMS
        assert check_streams(streams, system.serving) == []

    def test_stream_that_is_broken_off_again_goes_on(self, system, turns, tmp_path):
        """Both the try that begins it and the one that takes it up are broken off."""
        system.set_faults(break_at=205, break_once_in=str(tmp_path))

        streams = system.read_streams(turns, leave_after=LEAVE_AFTER, max_tries=6)

        assert count_taken_up(streams) >= MIN_TAKEN_UP_STREAMS
        assert check_streams(streams, system.serving) == []

    def test_stream_of_a_killed_gateway_goes_on(self, system):
        """The gateway that relayed the first event is gone when it is taken up."""
        first, *others = system.gateways.gateways

        def choose(turn):
            next_gate = take_turns(others, turn)
            return lambda number: next_gate(number) if number else first

        callers = [
            system.make_caller(choose(i), tokens=LONG_TOKENS) for i in range(STREAMS)
        ]
        with ThreadPoolExecutor(STREAMS) as pool:
            running = [pool.submit(caller.run) for caller in callers]
            for caller in callers:
                assert caller.began.wait(10.0)
            first.process.signal(signal.SIGKILL)
            first.process.process.wait()
            streams = [future.result() for future in running]
        system.gateways.restart(first)
        assert wait_until(lambda: system.gateways.is_ready(first))

        assert count_taken_up(streams) >= MIN_TAKEN_UP_STREAMS
        assert check_streams(streams, system.serving) == []


class TestUnknownAttempt:
    """Nothing tells the version of a stream."""

    def test_stream_with_unknown_attempt_is_refused_as_not_run(self, system):
        for i, _ in enumerate(system.gateways.gateways):
            response, body = system.gateways.answer(
                f"{PREFIX}unknown-{i}",
                "POST",
                gate=i,
                name=f"unknown-{i}",
                model=MODEL,
                **{"Last-Event-Id": "3", "Resumes": "never-sent"},
            )

            assert response.status == 503, body
            assert response.getheader("X-Runhatch-Not-Executed")


class TestVersionThatIsGone:
    """No target of the version that began a stream is left."""

    def test_stream_is_refused_at_once(self, tmp_path):
        with ExitStack() as stack:
            gateways = GatewaySystem(stack, tmp_path)
            system = System(gateways)
            system.start_targets()
            gateways.add_service(
                SERVICE, [route(PREFIX, "stream", SERVICE, resumable=True)]
            )
            for gate in gateways.gateways:
                assert wait_until(lambda gate=gate: system.finds_both_versions(gate))
            callers = [
                system.make_caller(
                    take_turns(gateways.gateways, i),
                    leave_after=LEAVE_AFTER,
                    max_tries=1,
                )
                for i in range(STREAMS)
            ]
            with ThreadPoolExecutor(STREAMS) as pool:
                streams = list(pool.map(StreamCaller.run, callers))
            for worker in system.targets["v1"]:
                call(worker.url, "POST", "/drain", {})
            gates = gateways.gateways
            assert wait_until(
                lambda: all(
                    system.read_whole(gate).versions == {"v2"}
                    for gate in gates
                    for _ in range(5)
                )
            )

            for caller in callers:
                caller.take_up()

        begun_by_old = [s for s in streams if s.events[0].version == "v1"]
        assert begun_by_old
        for stream in begun_by_old:
            assert stream.versions == {"v1"}
            last = stream.tries[-1]
            assert last.status == 503
            assert last.ended - last.began < RETRY_AFTER_SECONDS
        assert all(s.is_complete for s in streams if s not in begun_by_old)
