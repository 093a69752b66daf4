"""Test gateways of one failure domain, two of which read the store for the others."""

import base64
import signal
import time
from contextlib import ExitStack

import pytest

from runhatch_coordination import Role, Vm, choose_readers, choose_role
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
"""Time within which a new configuration must take effect on all nodes."""
DISCOVERY_SECONDS = 4.0
"""Time that nodes need to discover each other after a start."""
QUIET_SECONDS = 3.0
OUTAGE_SECONDS = 3.0
RELIST_SECONDS = 1.2
"""Time after an outage in which running targets write their entries again."""


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    with ExitStack() as stack:
        system = GatewaySystem(stack, tmp_path_factory.mktemp("gateways"))
        for name in NAMES[2:]:
            system.start_gateway(name)
        time.sleep(DISCOVERY_SECONDS)
        yield system


@pytest.fixture(autouse=True)
def clear_faults(request):
    """Clear faults, resume gateways and restore the routes after each test."""
    yield
    if "system" not in request.fixturenames:
        return
    system = request.getfixturevalue("system")
    for gate in system.gateways:
        gate.to_store.inject(LinkFault.NONE)
        gate.process.signal(signal.SIGCONT)
    system.configure(ROUTES)
    time.sleep(DISCOVERY_SECONDS)


def select_readers(system):
    vms = [Vm(gate.name, "d1", "") for gate in system.gateways]
    names = {vm.name for vm in choose_readers("d1", vms)}
    return [gate for gate in system.gateways if gate.name in names]


def select_witness(system):
    vms = [Vm(gate.name, "d1", "") for gate in system.gateways]
    return next(
        gate
        for gate, vm in zip(system.gateways, vms, strict=True)
        if choose_role(vm, vms) is Role.WITNESS
    )


def count_reads(system):
    return call(system.platform.url, "GET", "/stats")["reads"]


def serving_gateways(system, prefix, gates):
    """Return the names of those ``gates`` that serve the route of ``prefix``."""
    return {
        gate.name
        for gate in gates
        if system.answer(f"{prefix}x", gate=system.gateways.index(gate))[0].status
        == 200
    }


class TestReaders:
    """Only two nodes read the store, yet changes reach all nodes in time."""

    def test_changes_reach_all_nodes(self, system):
        before = count_reads(system)
        names = {gate.name for gate in system.gateways}
        for number in range(3):
            prefix = f"/new{number}/"
            system.configure([*ROUTES, route(prefix, "idempotent", "plain")])
            assert wait_until(
                lambda prefix=prefix: (
                    serving_gateways(system, prefix, system.gateways) == names
                ),
                KNOWN_SECONDS,
            )
        # Two reads per change at each of two readers, and renewals of the lease.
        assert count_reads(system) - before <= 24

    def test_idle_system_makes_few_reads(self, system):
        """Without shared readers each of six nodes would poll both tables."""
        before = count_reads(system)
        time.sleep(QUIET_SECONDS)

        assert count_reads(system) - before <= 8

    def test_suspended_readers_delay_no_other_node(self, system):
        suspended = select_readers(system)
        others = [gate for gate in system.gateways if gate not in suspended]
        for gate in suspended:
            gate.process.signal(signal.SIGSTOP)
        try:
            system.configure([*ROUTES, route("/new/", "idempotent", "plain")])
            assert wait_until(
                lambda: len(serving_gateways(system, "/new/", others)) == len(others),
                KNOWN_SECONDS,
            )
        finally:
            for gate in suspended:
                gate.process.signal(signal.SIGCONT)
        assert wait_until(
            lambda: len(serving_gateways(system, "/new/", suspended)) == len(suspended),
            KNOWN_SECONDS,
        )

    @pytest.mark.parametrize("fault", [LinkFault.REFUSE, LinkFault.FREEZE])
    def test_readers_without_store_delay_no_other_node(self, system, fault):
        cut = select_readers(system)
        others = [gate for gate in system.gateways if gate not in cut]
        for gate in cut:
            gate.to_store.inject(fault)
        system.configure([*ROUTES, route("/new/", "idempotent", "plain")])

        assert wait_until(
            lambda: len(serving_gateways(system, "/new/", others)) == len(others),
            KNOWN_SECONDS,
        )

    @pytest.mark.parametrize("fault", [LinkFault.REFUSE, LinkFault.FREEZE])
    def test_one_node_with_store_serves_all_others(self, system, fault):
        """Only the witness, to which no node listens, can read the change.

        The others learn its number, and request its content from each other.
        """
        witness = select_witness(system)
        names = {gate.name for gate in system.gateways}
        for gate in system.gateways:
            if gate is not witness:
                gate.to_store.inject(fault)
        system.configure([*ROUTES, route("/new/", "idempotent", "plain")])

        assert wait_until(
            lambda: serving_gateways(system, "/new/", system.gateways) == names,
            KNOWN_SECONDS,
        )

    def test_restarted_node_becomes_ready(self, system):
        gate = next(g for g in system.gateways if g not in select_readers(system))
        gate.process.kill()
        system.restart(gate)

        assert wait_until(lambda: system.is_ready(gate), KNOWN_SECONDS)


class TestMissingEntries:
    """Entries of running targets that expire in an outage of the store."""

    def entries(self, system):
        """Return the keys and texts of the targets' entries."""
        answer = call(system.platform.url, "GET", "/api/rows-get?table=servers")
        return [
            (row["key"], base64.b64decode(row["value"]).decode())
            for row in answer["rows"]
        ]

    def ask_for(self, system, gates, seconds):
        """Send requests to ``gates`` for ``seconds``; return the statuses."""
        statuses, ends = set(), time.monotonic() + seconds
        while time.monotonic() < ends:
            for gate in gates:
                number = system.gateways.index(gate)
                statuses.add(system.answer("/plain/x", gate=number)[0].status)
        return statuses

    def test_targets_whose_entries_expired_in_an_outage_serve_on(self, system):
        """They still run, and write their entries again within two seconds."""
        entries = self.entries(system)
        for gate in system.gateways:
            gate.to_store.inject(LinkFault.RESET)
        assert self.ask_for(system, system.gateways, OUTAGE_SECONDS) == {200}
        for key, _ in entries:
            system.remove_row("servers", key)
        for gate in system.gateways:
            gate.to_store.inject(LinkFault.NONE)

        assert self.ask_for(system, system.gateways, RELIST_SECONDS) == {200}
        system.write_again([*system.plain, *system.engines])
        assert self.ask_for(system, system.gateways, 2.0) == {200}


def test_gateway_without_broadcast_port_reads_the_store(tmp_path, monkeypatch):
    """Settings of earlier versions have no ``port_range`` for broadcasts."""
    lines = [line for line in SETTINGS.splitlines() if "port_range" not in line]
    monkeypatch.setattr("runhatch_standins._gateways.SETTINGS", "\n".join(lines))
    with ExitStack() as stack:
        system = GatewaySystem(stack, tmp_path)

        assert system.answer("/plain/x")[0].status == 200


ENTRY = {
    "address": "127.0.0.1:9",
    "zone": "d1",
    "version": "",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "sequence": 1,
}
ODD_ENTRIES = {
    "number": {**ENTRY, "slots": 10**30},
    "port": {**ENTRY, "address": "127.0.0.1:70000"},
    "label": {**ENTRY, "address": f"{'a' * 64}:80"},
    "dots": {**ENTRY, "address": "a..b:80"},
    "nul": {**ENTRY, "address": "127.0.0.1\0:80"},
    "lines": {**ENTRY, "address": "127.0.0.1\r\n:80"},
    "bracket": {**ENTRY, "address": "[::1:80"},
    "snowman\u2603": ENTRY,
}


class TestEntriesOfAnotherWriter:
    """Entries among those of the targets that no target can have written."""

    @pytest.mark.parametrize("service", ["plain", "engine"])
    def test_nodes_use_and_order_the_other_targets(self, system, service):
        """The rounds of a node in which one entry fails would end for all targets."""
        before = [gate.process.process.pid for gate in system.gateways]
        entries = {key: {**odd, "service": service} for key, odd in ODD_ENTRIES.items()}
        for key, entry in entries.items():
            system.write_row("servers", key, entry)
        added = system.start_worker(service, "")
        plain, streams = set(), set()
        ends = time.monotonic() + 2 * KNOWN_SECONDS
        while time.monotonic() < ends:
            for number in range(len(system.gateways)):
                plain.add(system.answer("/plain/x", gate=number)[0].status)
                answer, _ = system.answer("/stream/x", gate=number, model="m4")
                streams.add(answer.status)
        used = service == "engine" or bool(system.runs([added]))
        for key in entries:
            system.remove_row("servers", key)
        system.remove_target(added)
        added.kill()

        assert (plain, used) == ({200}, True)
        assert 200 in streams
        logged = [line for gate in system.gateways for line in gate.process.lines]
        assert [line for line in logged if "traceback" in line] == []
        assert [gate.process.process.pid for gate in system.gateways] == before
        assert all(gate.process.process.poll() is None for gate in system.gateways)
