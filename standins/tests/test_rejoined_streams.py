"""Test that streams are not joined from two software versions.

Callers resume their streams at gateways that have lost their records, since all ended
at once, or at a gateway that has missed the newer version, since it was out of step.
"""

import signal
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from dataclasses import dataclass, field

import pytest

from runhatch_standins._cluster import call
from runhatch_standins._gateways import Gateway, GatewaySystem, route, wait_until
from runhatch_standins._software_versions import find_mixed_streams
from runhatch_standins._stream_callers import StreamCaller, take_turns
from runhatch_standins._tcp_relay import LinkFault

MODEL = "m0"
GATEWAYS = 4
TARGETS_OF_EACH = 2
STREAMS = 24
TOKENS = 120
MAX_TRIES = 100
LONGEST_SECONDS = 22.0
"""Time in which callers try again: twice the ten seconds within which they should."""
RETRY_SECONDS = 0.25
DISCOVERY_SECONDS = 4.0
DOWN_SECONDS = 0.4
STORE_AWAY_SECONDS = 2.0
CUT_SECONDS = 6.0
"""Longer than it takes nodes to notice that a peer or the store is silent."""
STOPPED_SECONDS = 1.0
OBSERVED_SECONDS = 11.0
"""Time after which gateways conclude from the targets that they have seen."""
MIN_NEWER_STREAMS = 4
EVENTS_READ = 5
"""Events after which callers break off their streams."""
PROBES = 8
"""Short streams by which a test finds out which versions a gateway uses."""


@dataclass
class Service:
    """A service whose targets of version v1 are followed by those of v2."""

    system: GatewaySystem
    name: str
    targets: dict = field(default_factory=dict)

    def start(self, version, targets=TARGETS_OF_EACH):
        """Start ``targets`` targets of ``version``."""
        with ThreadPoolExecutor() as pool:
            started = pool.map(
                lambda _: self.system.start_worker(self.name, MODEL, version),
                range(targets),
            )
            self.targets[version] = list(started)

    def drain(self, version):
        for target in self.targets[version]:
            call(target.url, "POST", "/drain", {})

    def end(self, version):
        """End the targets of ``version``, and remove their entries."""
        for target in self.targets.pop(version):
            target.kill()
            self.system.remove_target(target)

    def is_served_by(self, *versions):
        """Return whether all gateways serve new streams by just ``versions``."""
        gates = self.system.gateways
        return all(self.find_versions(gate) == {*versions} for gate in gates)

    def find_versions(self, gate):
        """Return the versions that serve new streams at ``gate``."""
        callers = [
            self.make_caller(lambda number: gate, tokens=1, max_tries=1)
            for _ in range(PROBES)
        ]
        with ThreadPoolExecutor(PROBES) as pool:
            streams = pool.map(StreamCaller.run, callers)
        return {version for stream in streams for version in stream.versions}

    def make_caller(self, choose, tokens=TOKENS, max_tries=MAX_TRIES, leave_after=0):
        name = f"{self.name}-{time.monotonic_ns()}"
        return StreamCaller(
            name,
            f"/{self.name}/",
            MODEL,
            tokens,
            choose,
            max_tries,
            leave_after,
            longest_seconds=LONGEST_SECONDS,
        )

    def begin_streams(self, *newer_versions):
        """Start the targets of newer versions; return callers with streams of all."""
        for version in newer_versions:
            self.start(version)
        assert wait_until(lambda: self.is_served_by("v1", *newer_versions))
        callers = Callers(self)
        callers.wait_begun()
        return callers


class Callers:
    """Callers that read streams at the same time, and resume those that broke off."""

    def __init__(self, service):
        gates = service.system.gateways
        self._callers = [
            service.make_caller(choose_later(take_turns(gates, i)))
            for i in range(STREAMS)
        ]
        self._pool = ThreadPoolExecutor(STREAMS)
        self._running = [self._pool.submit(caller.run) for caller in self._callers]

    def wait_begun(self):
        for caller in self._callers:
            assert caller.began.wait(10.0)

    def streams(self):
        """Return all streams once they are complete or their last try has failed."""
        streams = [future.result() for future in self._running]
        self._pool.shutdown()
        return streams


def choose_later(choose):
    """Return a choice of gateways that waits before each repeated try."""

    def wait_and_choose(number):
        if number:
            time.sleep(RETRY_SECONDS)
        return choose(number)

    return wait_and_choose


def start_system(stack, folder):
    system = GatewaySystem(stack, folder, has_peer_cuts=True)
    for number in range(len(system.gateways), GATEWAYS):
        system.start_gateway(f"n{number + 1}")
    time.sleep(DISCOVERY_SECONDS)
    return system


def start_service(system):
    """Return a new service with version v1 that all gateways know."""
    service = Service(system, f"log-{len(system.services)}")
    service.start("v1")
    path = f"/{service.name}/"
    routes = [route(path, "stream", service.name, resumable=True)]
    system.add_service(service.name, routes)
    assert wait_until(lambda: service.is_served_by("v1"))
    return service


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    with ExitStack() as stack:
        yield start_system(stack, tmp_path_factory.mktemp("gateways"))


@pytest.fixture
def service(system):
    """Start a service of each test's own; restart all gateways that have ended."""
    service = start_service(system)
    yield service
    set_store_links(system, LinkFault.NONE)
    ended = [g for g in system.gateways if g.process.process.poll() is not None]
    restart(system, ended)
    for version in [*service.targets]:
        service.end(version)
    time.sleep(DISCOVERY_SECONDS if ended else 0.0)


def set_store_links(system, fault):
    for gate in system.gateways:
        gate.to_store.inject(fault)


def kill(gates):
    for gate in gates:
        gate.process.signal(signal.SIGKILL)
    for gate in gates:
        gate.process.process.wait()


def restart(system, gates, is_ready=True):
    time.sleep(DOWN_SECONDS)
    for gate in gates:
        system.restart(gate)
    assert not is_ready or wait_until(lambda: all(map(system.is_ready, gates)))


def check_not_joined(streams):
    """Check the text that callers got."""
    joined = find_mixed_streams(streams)
    assert [(s.name, sorted(s.versions)) for s in joined] == []
    for stream in streams:
        numbers = [event.number for event in stream.events]
        assert numbers == [*range(1, len(numbers) + 1)]


def select_resumed(streams):
    """Return the streams that their callers resumed, which must be most of them."""
    resumed = [s for s in streams if any(t.is_take_up for t in s.tries)]
    assert len(resumed) >= STREAMS // 2
    return resumed


@dataclass(frozen=True)
class Kill:
    """A kill of all gateways, and what happens to the older version and the store."""

    is_older_drained: bool = False
    is_older_ended: bool = True
    kills: int = 1
    is_store_away: bool = False

    def play(self, service):
        """Kill and restart the gateways."""
        system = service.system
        if self.is_older_drained:
            service.drain("v1")
            time.sleep(0.2)
        kill(system.gateways)
        if self.is_older_ended:
            service.end("v1")
        if self.is_store_away:
            set_store_links(system, LinkFault.REFUSE)
        for _ in range(self.kills - 1):
            restart(system, system.gateways)
            time.sleep(1.0)
            kill(system.gateways)
        restart(system, system.gateways, is_ready=not self.is_store_away)
        if self.is_store_away:
            time.sleep(STORE_AWAY_SECONDS)
            set_store_links(system, LinkFault.NONE)


class TestAllKilled:
    """All gateways are killed at once, and come back together."""

    @pytest.mark.parametrize(
        "disturbance",
        [
            Kill(is_older_ended=False),
            Kill(),
            Kill(is_older_drained=True),
            Kill(kills=3),
            Kill(is_store_away=True),
        ],
        ids=[
            "both versions serve",
            "the older ends",
            "the older has just left",
            "repeated within the life of a stream",
            "the store is away",
        ],
    )
    def test_streams_are_not_joined(self, service, disturbance):
        callers = service.begin_streams("v2")
        disturbance.play(service)
        streams = callers.streams()

        select_resumed(streams)
        check_not_joined(streams)

    @pytest.mark.parametrize("is_store_away", [False, True])
    def test_streams_of_the_only_version_go_on(self, service, is_store_away):
        """Refusing all streams without a record would end those that can be served."""
        callers = service.begin_streams()
        Kill(is_older_ended=False, is_store_away=is_store_away).play(service)
        streams = callers.streams()

        check_not_joined(streams)
        assert [s.name for s in select_resumed(streams) if not s.is_complete] == []

    def test_store_that_has_lost_the_newer_version(self, tmp_path):
        """The store comes back from a copy made before the version appeared."""
        with ExitStack() as stack:
            system = start_system(stack, tmp_path)
            service = start_service(system)
            system.copy_store()
            callers = service.begin_streams("v2")
            kill(system.gateways)
            service.end("v2")
            system.restore_store()
            targets = [*service.targets["v1"], *system.engines, *system.plain]
            system.write_again(targets)
            restart(system, system.gateways)
            streams = callers.streams()

        select_resumed(streams)
        check_not_joined(streams)


class TestSomeKilled:
    """Some gateways run on, or only one does, and that is cut off."""

    @pytest.mark.parametrize("count", [1, GATEWAYS - 1])
    def test_streams_are_not_joined(self, system, service, count):
        callers = service.begin_streams("v2")
        killed = system.gateways[:count]
        kill(killed)
        service.drain("v1")
        service.end("v1")
        restart(system, killed)

        check_not_joined(callers.streams())

    def test_node_that_is_cut_off_from_store_and_peers(self, system, service):
        """It has seen the older version only, and no peer states the newer one."""
        cut_off, *others = system.gateways
        cut_off.to_store.inject(LinkFault.REFUSE)
        time.sleep(1.0)
        service.start("v2")
        service.drain("v1")
        assert wait_until(lambda: service.find_versions(others[0]) == {"v2"})
        caller = service.make_caller(
            lambda number: cut_off if number else others[0], max_tries=4
        )
        with ThreadPoolExecutor(1) as pool:
            running = pool.submit(caller.run)
            assert caller.began.wait(10.0)
            kill(others)
            stream = running.result()

        assert any(t.is_take_up for t in stream.tries)
        assert len(stream.versions) == 1


@dataclass
class OutOfStep:
    """A gateway that hears neither its peers nor the store, and may be stopped."""

    system: GatewaySystem
    gate: Gateway
    is_stopped: bool

    def begin(self):
        self.system.peer_cuts.cut(self.gate.name, True)
        self.gate.to_store.inject(LinkFault.FREEZE)
        if self.is_stopped:
            self.gate.process.signal(signal.SIGSTOP)

    def resume(self):
        """Continue the process; it stays cut off."""
        self.gate.process.signal(signal.SIGCONT)

    def end(self):
        self.resume()
        self.gate.to_store.inject(LinkFault.NONE)
        self.system.peer_cuts.cut(self.gate.name, False)


class TestOutOfStep:
    """One gateway misses a version that joins, and callers resume their streams there.

    That it has not heard of the version is no evidence that there is none.
    """

    @pytest.fixture(params=[False, True], ids=["cut off", "stopped and cut off"])
    def fault(self, system, request):
        fault = OutOfStep(system, system.gateways[-1], request.param)
        yield fault
        fault.end()

    def play(self, service, fault, newer_version=None):
        """Return the streams that callers resumed at the gateway out of step."""
        *others, gate = service.system.gateways
        # Nodes that have started a moment ago ask their peers.
        time.sleep(OBSERVED_SECONDS)
        fault.begin()
        ends_at = time.monotonic() + CUT_SECONDS
        if newer_version is not None:
            # Gateways prefer the targets that they have known for longer.
            service.start(newer_version, targets=3 * TARGETS_OF_EACH)
            assert wait_until(
                lambda: all(newer_version in service.find_versions(g) for g in others)
            )
        callers = [
            service.make_caller(
                choose_later(lambda number, i=i: gate if number else others[i % 3]),
                leave_after=EVENTS_READ,
            )
            for i in range(STREAMS)
        ]
        with ThreadPoolExecutor(STREAMS) as pool:
            running = [pool.submit(caller.run) for caller in callers]
            if fault.is_stopped:
                time.sleep(STOPPED_SECONDS)
            fault.resume()
            time.sleep(max(0.0, ends_at - time.monotonic()))
            fault.end()
            return [future.result() for future in running]

    def test_streams_of_a_version_that_joined_are_not_joined(self, service, fault):
        streams = self.play(service, fault, "v2")

        check_not_joined(streams)
        newer = [s for s in select_resumed(streams) if "v2" in s.versions]
        assert len(newer) >= MIN_NEWER_STREAMS
        assert [s.name for s in streams if not s.is_complete] == []

    def test_streams_of_the_only_version_go_on(self, service, fault):
        streams = self.play(service, fault)

        check_not_joined(streams)
        assert [s.name for s in select_resumed(streams) if not s.is_complete] == []
