"""Real gateways of one failure domain, of which two read the store for the others."""

import signal
import time
from contextlib import ExitStack

import pytest

from runhatch_coordination import Vm, choose_readers
from runhatch_standins._cluster import call
from runhatch_standins._gateways import (
    ROUTES,
    SETTINGS,
    GatewaySystem,
    route,
    wait_until,
)
from runhatch_standins._tcp_relay import LinkFault

NAMES = [f"n{i}" for i in range(1, 7)]
KNOWN_SECONDS = 2.0
"""Time in which a change of the configuration must be in force everywhere."""
SETTLED_SECONDS = 4.0
"""After a start nodes find out who else is there."""
QUIET_SECONDS = 3.0


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    with ExitStack() as stack:
        system = GatewaySystem(stack, tmp_path_factory.mktemp("gateways"))
        for name in NAMES[2:]:
            system.start_gateway(name)
        time.sleep(SETTLED_SECONDS)
        yield system


@pytest.fixture(autouse=True)
def healed(request):
    """Undo what a test has done to the gateways, and let them settle."""
    yield
    if "system" not in request.fixturenames:
        return
    system = request.getfixturevalue("system")
    for gate in system.gateways:
        gate.to_store.inject(LinkFault.NONE)
        gate.process.signal(signal.SIGCONT)
    system.configure(ROUTES)
    time.sleep(SETTLED_SECONDS)


def readers_of(system):
    vms = [Vm(gate.name, "d1", "") for gate in system.gateways]
    names = {vm.name for vm in choose_readers("d1", vms)}
    return [gate for gate in system.gateways if gate.name in names]


def reads(system):
    return call(system.platform.url, "GET", "/stats")["reads"]


def in_force(system, prefix, gates):
    """Tell which of ``gates`` serve a route."""
    return {
        gate.name
        for gate in gates
        if system.answer(f"{prefix}x", gate=system.gateways.index(gate))[0].status
        == 200
    }


class TestReaders:
    """Changes reach all nodes, with calls to the store from two."""

    def test_the_others_are_told(self, system):
        before = reads(system)
        names = {gate.name for gate in system.gateways}
        for number in range(3):
            prefix = f"/new{number}/"
            system.configure([*ROUTES, route(prefix, "idempotent", "plain")])
            assert wait_until(
                lambda prefix=prefix: (
                    in_force(system, prefix, system.gateways) == names
                ),
                KNOWN_SECONDS,
            )
        # Two calls a change at two readers, and the lease, which holders renew.
        assert reads(system) - before <= 24

    def test_a_quiet_system_makes_few_calls(self, system):
        """Each of six nodes would wait for changes of both tables by itself."""
        before = reads(system)
        time.sleep(QUIET_SECONDS)

        assert reads(system) - before <= 8

    def test_readers_that_freeze_make_nobody_late(self, system):
        frozen = readers_of(system)
        others = [gate for gate in system.gateways if gate not in frozen]
        for gate in frozen:
            gate.process.signal(signal.SIGSTOP)
        try:
            system.configure([*ROUTES, route("/new/", "idempotent", "plain")])
            assert wait_until(
                lambda: len(in_force(system, "/new/", others)) == len(others),
                KNOWN_SECONDS,
            )
        finally:
            for gate in frozen:
                gate.process.signal(signal.SIGCONT)
        assert wait_until(
            lambda: len(in_force(system, "/new/", frozen)) == len(frozen),
            KNOWN_SECONDS,
        )

    @pytest.mark.parametrize("fault", [LinkFault.REFUSE, LinkFault.FREEZE])
    def test_readers_that_lose_the_store_make_nobody_late(self, system, fault):
        cut = readers_of(system)
        others = [gate for gate in system.gateways if gate not in cut]
        for gate in cut:
            gate.to_store.inject(fault)
        system.configure([*ROUTES, route("/new/", "idempotent", "plain")])

        assert wait_until(
            lambda: len(in_force(system, "/new/", others)) == len(others),
            KNOWN_SECONDS,
        )

    def test_a_node_that_starts_again_is_told(self, system):
        gate = next(g for g in system.gateways if g not in readers_of(system))
        gate.process.kill()
        system.restart(gate)

        assert wait_until(lambda: system.is_ready(gate), KNOWN_SECONDS)


def test_a_gateway_without_a_port_for_it_reads_by_itself(tmp_path, monkeypatch):
    """Settings of earlier versions name no port to tell others by."""
    lines = [line for line in SETTINGS.splitlines() if "port_range" not in line]
    monkeypatch.setattr("runhatch_standins._gateways.SETTINGS", "\n".join(lines))
    with ExitStack() as stack:
        system = GatewaySystem(stack, tmp_path)

        assert system.answer("/plain/x")[0].status == 200
