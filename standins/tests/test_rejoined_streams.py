"""Test that streams are not joined from two software versions after all gateways died.

The gateways' records of streams end with them.  Callers take their streams up again at
the restarted gateways, while both versions serve or the older one has just left.
"""

import signal
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from dataclasses import dataclass, field

import pytest

from runhatch_standins._cluster import call
from runhatch_standins._gateways import GatewaySystem, route, wait_until
from runhatch_standins._software_versions import find_mixed_streams
from runhatch_standins._stream_callers import StreamCaller, take_turns
from runhatch_standins._tcp_relay import LinkFault

MODEL = "m0"
GATEWAYS = 4
STREAMS = 24
TOKENS = 120
MAX_TRIES = 40
RETRY_SECONDS = 0.25
DISCOVERY_SECONDS = 4.0
DOWN_SECONDS = 0.4


@dataclass
class Service:
    """A service whose targets of version v1 are followed by those of v2."""

    system: GatewaySystem
    name: str
    targets: dict = field(default_factory=dict)

    @property
    def path(self):
        return f"/{self.name}/"

    def start(self, version, count=2):
        """Start targets of ``version`` and wait until all gateways use them."""
        with ThreadPoolExecutor() as pool:
            self.targets[version] = list(
                pool.map(
                    lambda _: self.system.start_worker(self.name, MODEL, version),
                    range(count),
                )
            )

    def is_served_by(self, *versions):
        """Return whether all gateways serve new streams by just ``versions``."""
        gates = self.system.gateways
        return all(self._find_versions(gate) == {*versions} for gate in gates)

    def _find_versions(self, gate):
        callers = [
            self.make_caller(f"probe-{gate.name}-{i}", lambda number: gate, 1, 1)
            for i in range(8)
        ]
        with ThreadPoolExecutor(8) as pool:
            streams = pool.map(StreamCaller.run, callers)
        return {version for stream in streams for version in stream.versions}

    def make_caller(self, name, choose, tokens=TOKENS, max_tries=MAX_TRIES):
        name = f"{self.name}-{name}-{time.monotonic_ns()}"
        return StreamCaller(name, self.path, MODEL, tokens, choose, max_tries)

    def end(self, version):
        """End the targets of ``version``, and remove their entries."""
        for target in self.targets.pop(version):
            target.kill()
            self.system.remove_target(target)

    def drain(self, version):
        for target in self.targets[version]:
            call(target.url, "POST", "/drain", {})


class Callers:
    """Callers that read streams at the same time, and take them up if broken off."""

    def __init__(self, service):
        gates = service.system.gateways
        self._callers = [
            service.make_caller(str(i), self._choose_from(take_turns(gates, i)))
            for i in range(STREAMS)
        ]
        self._pool = ThreadPoolExecutor(STREAMS)
        self._running = [self._pool.submit(caller.run) for caller in self._callers]

    def _choose_from(self, choose):
        def choose_later(number):
            if number:
                time.sleep(RETRY_SECONDS)
            return choose(number)

        return choose_later

    def wait_begun(self):
        for caller in self._callers:
            assert caller.began.wait(10.0)

    def streams(self):
        """Return all streams once their callers have finished or given up."""
        streams = [future.result() for future in self._running]
        self._pool.shutdown()
        return streams


@pytest.fixture
def system(tmp_path):
    with ExitStack() as stack:
        system = GatewaySystem(stack, tmp_path)
        for number in range(len(system.gateways), GATEWAYS):
            system.start_gateway(f"n{number + 1}")
        yield system


@pytest.fixture
def service(system):
    """Return a service with version v1 that all gateways know."""
    service = Service(system, "log")
    service.start("v1")
    system.add_service("log", [route("/log/", "stream", "log", resumable=True)])
    assert wait_until(lambda: service.is_served_by("v1"))
    time.sleep(DISCOVERY_SECONDS)
    return service


def kill(gates):
    for gate in gates:
        gate.process.signal(signal.SIGKILL)
    for gate in gates:
        gate.process.process.wait()


def restart(system, gates, is_ready=True):
    for gate in gates:
        system.restart(gate)
    if is_ready:
        assert wait_until(lambda: all(map(system.is_ready, gates)))


def kill_all(system):
    kill(system.gateways)
    time.sleep(DOWN_SECONDS)


def check_not_joined(streams):
    """Check the text that callers got; return those that took their streams up."""
    taken_up = [s for s in streams if any(t.is_take_up for t in s.tries)]
    assert len(taken_up) >= STREAMS // 2
    joined = find_mixed_streams(streams)
    assert [(s.name, sorted(s.versions)) for s in joined] == []
    for stream in streams:
        numbers = [event.number for event in stream.events]
        assert numbers == [*range(1, len(numbers) + 1)]
    return taken_up


def leave_both(service):
    """Both versions serve on."""


def end_with_kill(service):
    service.end("v1")


ENDS = [leave_both, end_with_kill]


class TestAllKilled:
    """All gateways are killed at once, and come back together."""

    @pytest.mark.parametrize("end", ENDS)
    def test_while_both_versions_serve_or_the_older_ends(self, system, service, end):
        service.start("v2")
        assert wait_until(lambda: service.is_served_by("v1", "v2"))
        callers = Callers(service)
        callers.wait_begun()
        kill(system.gateways)
        end(service)
        time.sleep(DOWN_SECONDS)
        restart(system, system.gateways)

        check_not_joined(callers.streams())

    def test_when_the_older_version_has_just_left(self, system, service):
        service.start("v2")
        assert wait_until(lambda: service.is_served_by("v1", "v2"))
        callers = Callers(service)
        callers.wait_begun()
        service.drain("v1")
        time.sleep(0.2)
        kill(system.gateways)
        service.end("v1")
        time.sleep(DOWN_SECONDS)
        restart(system, system.gateways)

        check_not_joined(callers.streams())

    def test_with_one_version_all_streams_go_on(self, system, service):
        """Refusing what nobody knows would end streams that can be served."""
        callers = Callers(service)
        callers.wait_begun()
        kill_all(system)
        restart(system, system.gateways)

        taken_up = check_not_joined(callers.streams())
        assert [s.name for s in taken_up if not s.is_complete] == []

    def test_twice_within_the_life_of_a_stream(self, system, service):
        """What the first restarted gateways knew of the past is lost as well."""
        service.start("v2")
        assert wait_until(lambda: service.is_served_by("v1", "v2"))
        callers = Callers(service)
        callers.wait_begun()
        kill(system.gateways)
        service.end("v1")
        for _ in range(2):
            time.sleep(DOWN_SECONDS)
            restart(system, system.gateways)
            time.sleep(1.0)
            kill(system.gateways)
        restart(system, system.gateways)

        check_not_joined(callers.streams())

    @pytest.mark.parametrize("versions", [("v1",), ("v1", "v2")])
    def test_while_the_store_is_away(self, system, service, versions):
        for version in versions[1:]:
            service.start(version)
        assert wait_until(lambda: service.is_served_by(*versions))
        callers = Callers(service)
        callers.wait_begun()
        kill(system.gateways)
        if len(versions) > 1:
            service.end("v1")
        for gate in system.gateways:
            gate.to_store.inject(LinkFault.REFUSE)
        restart(system, system.gateways, is_ready=False)
        time.sleep(2.0)
        for gate in system.gateways:
            gate.to_store.inject(LinkFault.NONE)

        taken_up = check_not_joined(callers.streams())
        if len(versions) == 1:
            assert [s.name for s in taken_up if not s.is_complete] == []

    def test_when_the_store_has_lost_the_newer_version(self, system, service):
        """The store comes back from a copy made before the version appeared."""
        system.copy_store()
        service.start("v2")
        assert wait_until(lambda: service.is_served_by("v1", "v2"))
        callers = Callers(service)
        callers.wait_begun()
        kill(system.gateways)
        service.end("v2")
        system.restore_store()
        system.write_again([*service.targets["v1"], *system.engines, *system.plain])
        restart(system, system.gateways)

        check_not_joined(callers.streams())


class TestSomeKilled:
    """Gateways that serve on know what the others have lost."""

    @pytest.mark.parametrize("count", [1, GATEWAYS - 1])
    def test_streams_go_on_at_their_version(self, system, service, count):
        service.start("v2")
        assert wait_until(lambda: service.is_served_by("v1", "v2"))
        callers = Callers(service)
        callers.wait_begun()
        killed = system.gateways[:count]
        kill(killed)
        service.drain("v1")
        service.end("v1")
        time.sleep(DOWN_SECONDS)
        restart(system, killed)

        streams = callers.streams()
        joined = find_mixed_streams(streams)
        assert [(s.name, sorted(s.versions)) for s in joined] == []

    def test_node_that_is_cut_off_from_store_and_peers(self, system, service):
        """It knows the older version only, and no peer tells it of the newer one."""
        alone, *others = system.gateways
        alone.to_store.inject(LinkFault.REFUSE)
        time.sleep(1.0)
        service.start("v2")
        assert wait_until(lambda: "v2" in service._find_versions(others[0]))
        service.drain("v1")
        assert wait_until(lambda: service._find_versions(others[0]) == {"v2"})
        caller = service.make_caller(
            "cut", lambda number: others[0] if number == 0 else alone, max_tries=4
        )
        running = ThreadPoolExecutor(1).submit(caller.run)
        assert caller.began.wait(10.0)
        kill(others)
        stream = running.result()

        assert any(t.is_take_up for t in stream.tries)
        assert len(stream.versions) == 1
