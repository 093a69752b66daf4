"""One run of the gateway soak: its callers, and how it injects each fault."""

import http.client
import random
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field, replace

from runhatch_standins._brittle_load import BrittleLoad
from runhatch_standins._cluster import call
from runhatch_standins._gateway_callers import PREFIXES, RESUMING_PREFIXES, ask
from runhatch_standins._gateway_checks import RATE_LIMIT
from runhatch_standins._gateway_faults import (
    ALL_KINDS,
    FOREIGN_ENTRIES,
    GatewayFault,
    PlannedFault,
    plan_faults,
)
from runhatch_standins._gateways import Gateway, GatewaySystem, route
from runhatch_standins._history import Event, EventKind
from runhatch_standins._order_checks import GivenOrder, given_orders
from runhatch_standins._partitions import Partition, Try, cut_gateways
from runhatch_standins._prompt_load import PromptLoad
from runhatch_standins._releases import CALLERS as STREAM_CALLERS
from runhatch_standins._releases import Releases
from runhatch_standins._target_faults import TargetFaults
from runhatch_standins._tcp_relay import LinkFault

CALLERS = 8
PARTITION_CALLERS = 24
"""Enough callers that more tries fail in a partition than are allowed to."""
CALLER_TIMEOUT = 8.0
GRACE_SECONDS = 9.0
CONTACT_SECONDS = 3.0
"""Time after a disturbance from which a gateway counts as in touch."""
LIMIT_KNOWN_SECONDS = 3.0
"""Time within which all gateways must comply with a new rate limit."""


@dataclass(slots=True)
class GatewaySoak:
    """One run: callers with persistent connections, and injected faults."""

    system: GatewaySystem
    seed: int
    seconds: float
    events: list[Event] = field(default_factory=list)
    counts: Counter[GatewayFault] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    kinds: Sequence[GatewayFault] = ALL_KINDS
    versions: int = 0
    limited: list[tuple[str, float, float]] = field(default_factory=list)
    """URL of a target, and start and end of the time its rate limit must hold."""
    resumed: dict[str, list[float]] = field(default_factory=dict)
    """Monotonic times at which each gateway was resumed after a pause, or its paths to
    targets were restored: orders that were held up arrive then."""
    tries: list[Try] = field(default_factory=list)
    partitions: list[Partition] = field(default_factory=list)
    target_faults: TargetFaults = field(default_factory=TargetFaults)
    releases: Releases | None = None
    brittle: BrittleLoad | None = None
    prompts: PromptLoad | None = None
    _undisturbed: dict[str, float] = field(default_factory=dict)
    """Monotonic time since which a gateway was neither ended nor paused."""
    _kills: Counter[str] = field(default_factory=Counter)
    """By gateway, twice its number of kills, odd while one is in progress."""
    _stop: threading.Event = field(default_factory=threading.Event)
    _locks: dict[str, threading.Lock] = field(default_factory=dict)

    def run(self) -> None:
        """Send requests and inject faults for ``seconds``, then clear the faults."""
        names = [gate.name for gate in self.system.gateways]
        names += ["store", "limits", "paths", "brittle", "prompts"]
        self._locks = {name: threading.Lock() for name in names}
        started = time.monotonic()
        with ThreadPoolExecutor(64) as pool:
            callers = CALLERS if self.system.paths is None else PARTITION_CALLERS
            running = [pool.submit(self._run_caller, i) for i in range(callers)]
            if self.releases is not None:
                running += [
                    pool.submit(self._run_stream_caller, self.releases, i)
                    for i in range(STREAM_CALLERS)
                ]
            for planned in plan_faults(self.seed, self.seconds, self.kinds):
                self._stop.wait(max(0.0, started + planned.at - time.monotonic()))
                running.append(pool.submit(self._inject, planned))
            time.sleep(max(0.0, started + self.seconds - time.monotonic()))
            self._stop.set()
            for future in running:
                future.result()

    def _run_caller(self, caller: int) -> None:
        """Send requests on one connection until it closes, then open another."""
        rng = random.Random(self.seed * 1_000 + caller)
        resumes = GatewayFault.STREAMS_CLOSED in self.kinds
        prefixes = RESUMING_PREFIXES if resumes else PREFIXES
        connection: http.client.HTTPConnection | None = None
        for number in range(1_000_000):
            if self._stop.is_set():
                return
            if connection is None:
                gate = self._choose_gateway(rng, caller)
                connection = http.client.HTTPConnection(
                    "127.0.0.1", gate.front, timeout=CALLER_TIMEOUT
                )
            kills, began = self._kills[gate.name], time.monotonic()
            event, reusable = ask(connection, rng, f"s{caller}-{number}", prefixes)
            was_killed = kills % 2 == 1 or self._kills[gate.name] != kills
            if was_killed and not event.is_framed:
                # The system closes the connections of a killed process normally.
                event = replace(event, kind=EventKind.BROKEN)
            self.events.append(event)
            if gate.process.process.poll() is None:
                is_served = event.kind is EventKind.ANSWERED
                self.tries.append(Try(gate.name, began, is_served))
            if not reusable:
                connection.close()
                connection = None
            time.sleep(rng.uniform(0, 0.05))

    def _run_stream_caller(self, releases: Releases, caller: int) -> None:
        rng = random.Random(self.seed * 1_000 + 500 + caller)
        releases.run_caller(rng, f"r{caller}", self._stop, self._is_in_touch)

    def _is_in_touch(self, gate: Gateway, since: float) -> bool:
        """Return whether ``gate`` has run undisturbed for long since a time."""
        undisturbed = self._undisturbed.get(gate.name, 0.0)
        is_disturbed = self._locks[gate.name].locked()
        return not is_disturbed and since >= undisturbed + CONTACT_SECONDS

    def _choose_gateway(self, rng: random.Random, caller: int) -> Gateway:
        gateways = self.system.gateways
        if self.system.paths is None:
            return rng.choice(gateways)
        # Gateways without targets close fewer connections, so that random choices
        # would gather the callers there.
        return gateways[caller % len(gateways)]

    def _inject(self, planned: PlannedFault) -> None:
        self.counts[planned.kind] += 1
        FAULTS[planned.kind](self, planned)

    def gate(self, planned: PlannedFault) -> Gateway:
        """Return the gateway that ``planned`` applies to."""
        gateways = self.system.gateways
        return gateways[planned.subject % len(gateways)]

    def end(self, planned: PlannedFault, number: signal.Signals) -> None:
        """End a gateway by signal ``number`` and restart it after the duration."""
        self._end_and_restart(self.gate(planned), number, planned.lasts)

    def end_holder(self, planned: PlannedFault, number: signal.Signals) -> None:
        """End the holder of the order lease; restart it at once if it is killed."""
        gate = self.system.holder() or self._last_holder() or self.gate(planned)
        # A gateway that is already being ended gives no orders.
        if not self._locks[gate.name].locked():
            self._end_and_restart(
                gate, number, 0 if number is signal.SIGKILL else planned.lasts
            )

    def _last_holder(self) -> Gateway | None:
        """Return the gateway that gave the last order received by any engine."""
        orders = sorted(self.orders(), key=lambda order: order.at)
        last = orders[-1].holder if orders else ""
        return next((g for g in self.system.gateways if g.name == last), None)

    def orders(self) -> list[GivenOrder]:
        """Return all orders recorded in the journals of the engines."""
        return [
            order
            for engine in self.system.engines
            for order in given_orders(engine.url, call(engine.url, "GET", "/journal"))
        ]

    def _end_and_restart(
        self, gate: Gateway, number: signal.Signals, downtime: float
    ) -> None:
        with self._locks[gate.name]:
            is_kill = number is signal.SIGKILL
            self._kills[gate.name] += is_kill
            gate.process.signal(number)
            status = gate.process.process.wait(GRACE_SECONDS)
            self._kills[gate.name] += is_kill
            if number is signal.SIGTERM and status != 0:
                self.violations.append(
                    f"{gate.name} exited with status {status} after SIGTERM"
                )
            time.sleep(downtime)
            self.system.restart(gate)
            self._undisturbed[gate.name] = time.monotonic()

    def pause(self, planned: PlannedFault) -> None:
        """Suspend a gateway, often for longer than the duration of its lease."""
        gate = self.gate(planned)
        with self._locks[gate.name]:
            gate.process.signal(signal.SIGSTOP)
            time.sleep(planned.lasts)
            self.resumed.setdefault(gate.name, []).append(time.monotonic())
            gate.process.signal(signal.SIGCONT)
            self._undisturbed[gate.name] = time.monotonic()

    def reload(self, planned: PlannedFault) -> None:
        """Send SIGHUP to a gateway, which makes it reload its settings."""
        gate = self.gate(planned)
        with self._locks[gate.name]:
            gate.process.signal(signal.SIGHUP)

    def link(self, planned: PlannedFault, fault: LinkFault) -> None:
        """Inject ``fault`` into the connections of one gateway to the store."""
        relay = self.gate(planned).to_store
        relay.inject(fault)
        time.sleep(planned.lasts)
        relay.inject(LinkFault.NONE)

    def store(self, planned: PlannedFault, **faults: object) -> None:
        """Set ``faults`` of the store and clear them after the duration."""
        with self._locks["store"]:
            call(self.system.platform.url, "POST", "/faults", faults)
            time.sleep(planned.lasts)
            call(self.system.platform.url, "POST", "/faults", {})

    def target(self, planned: PlannedFault, **faults: object) -> None:
        """Set ``faults`` of one target and clear them after the duration."""
        with self.target_faults.hold(self._target_url(planned), **faults):
            time.sleep(planned.lasts)

    def _target_url(self, planned: PlannedFault) -> str:
        targets = [*self.system.engines, *self.system.plain]
        return targets[planned.subject % len(targets)].url

    def break_streams(self, planned: PlannedFault, is_reset: bool) -> None:
        """Break off streams of one engine at random bytes."""
        engines = self.system.engines
        url = engines[planned.subject % len(engines)].url
        self.target_faults.break_streams(url, planned.subject, planned.lasts, is_reset)

    def release(self, planned: PlannedFault) -> None:
        """Replace a target by one of another version."""
        assert self.releases is not None
        self.releases.replace_target()

    def crash_released(self, planned: PlannedFault) -> None:
        """Kill a target whose service is being replaced."""
        assert self.releases is not None
        self.releases.crash_target(planned.subject)

    def break_released(self, planned: PlannedFault, is_reset: bool) -> None:
        """Break off streams of a target whose service is being replaced."""
        assert self.releases is not None
        self.releases.break_streams(
            self.target_faults, planned.subject, planned.lasts, is_reset
        )

    def load_brittle(self, planned: PlannedFault) -> None:
        """Send more requests to brittle targets than they have room for."""
        assert self.brittle is not None
        with self._locks["brittle"]:
            self.brittle.run(planned.lasts)

    def crash_by_prompts(self, planned: PlannedFault) -> None:
        """Send prompts with a part that crashes targets, and sound ones beside them."""
        assert self.prompts is not None
        with self._locks["prompts"]:
            if not self._stop.is_set():
                self.prompts.run(planned.lasts, planned.subject, self._is_in_touch)

    def partition(self, planned: PlannedFault) -> None:
        """Cut some gateways, but not all, off from all targets."""
        assert self.system.paths is not None
        names = [gate.name for gate in self.system.gateways]
        cut = cut_gateways(self.system.paths, planned, names, self._locks, self._stop)
        self.partitions.append(cut)
        for name in cut.gateways:
            self.resumed.setdefault(name, []).append(cut.ends)

    def restart_target(self, planned: PlannedFault) -> None:
        """Make one engine restart under the same name."""
        engines = self.system.engines
        call(engines[planned.subject % len(engines)].url, "POST", "/restart", {})

    def write_foreign(self, planned: PlannedFault) -> None:
        """Write a malformed entry into the table of targets."""
        key = f"foreign-{planned.subject % 3}"
        entry = FOREIGN_ENTRIES[planned.subject % len(FOREIGN_ENTRIES)]
        self.system.write_row("servers", key, entry)

    def restore_store(self, planned: PlannedFault) -> None:
        """Copy the store and restore it from that copy after the duration."""
        with self._locks["store"]:
            self.system.copy_store()
        time.sleep(planned.lasts)
        with self._locks["store"]:
            self.system.restore_store()
            self.system.write_again([*self.system.engines, *self.system.plain])

    def limit(self, planned: PlannedFault) -> None:
        """Make a target announce a rate limit, and withdraw it later."""
        url = self._target_url(planned)
        with self._locks["limits"]:
            call(url, "POST", "/rate_limit", {"named": str(RATE_LIMIT)})
            starts = time.monotonic() + LIMIT_KNOWN_SECONDS
            self._stop.wait(LIMIT_KNOWN_SECONDS + planned.lasts)
            self.limited.append((url, starts, time.monotonic()))
            call(url, "POST", "/rate_limit", {"named": ""})

    def configure(self, planned: PlannedFault) -> None:
        """Write a newer configuration that adds a route for its version."""
        with self._locks["store"]:
            self.versions += 1
            newest = route(f"/v{self.versions}/", "idempotent", "plain")
            self.system.configure([*self.system.routes, newest])


FAULTS: dict[GatewayFault, Callable[[GatewaySoak, PlannedFault], None]] = {
    GatewayFault.KILL: lambda soak, fault: soak.end(fault, signal.SIGKILL),
    GatewayFault.PAUSE: GatewaySoak.pause,
    GatewayFault.STOP: lambda soak, fault: soak.end(fault, signal.SIGTERM),
    GatewayFault.RELOAD: GatewaySoak.reload,
    GatewayFault.CUT_FROM_STORE: lambda s, f: s.link(f, LinkFault.REFUSE),
    GatewayFault.SILENT_STORE_LINK: lambda s, f: s.link(f, LinkFault.FREEZE),
    GatewayFault.STORE_DOWN: lambda soak, fault: soak.store(fault, down=True),
    GatewayFault.STORE_SILENT: lambda soak, fault: soak.store(fault, silent=True),
    GatewayFault.STORE_SLOW: lambda soak, fault: soak.store(fault, slow_seconds=0.3),
    GatewayFault.STORE_LOSES: lambda soak, fault: soak.store(fault, lose_answer=0.3),
    GatewayFault.STORE_FORGETS: lambda soak, _: soak.system.forget_history(),
    GatewayFault.TARGET_FAILS: lambda soak, fault: soak.target(fault, status=500),
    GatewayFault.TARGET_HANGS: lambda soak, fault: soak.target(fault, hang_seconds=2),
    GatewayFault.TARGET_RESTARTS: GatewaySoak.restart_target,
    GatewayFault.ORDERS_LOST: lambda soak, fault: soak.target(fault, lose_orders=True),
    GatewayFault.FOREIGN_ENTRY: GatewaySoak.write_foreign,
    GatewayFault.CONFIGURATION: GatewaySoak.configure,
    GatewayFault.STORE_RESTORED: GatewaySoak.restore_store,
    GatewayFault.RATE_LIMIT: GatewaySoak.limit,
    GatewayFault.HOLDER_KILLED: lambda s, f: s.end_holder(f, signal.SIGKILL),
    GatewayFault.HOLDER_STOPPED: lambda s, f: s.end_holder(f, signal.SIGTERM),
    GatewayFault.ANSWERS_UNFRAMED: lambda s, f: s.target(f, unframed=True),
    GatewayFault.STREAMS_CLOSED: lambda s, f: s.break_streams(f, is_reset=False),
    GatewayFault.STREAMS_RESET: lambda s, f: s.break_streams(f, is_reset=True),
    GatewayFault.PARTITION: GatewaySoak.partition,
    GatewayFault.RELEASE: GatewaySoak.release,
    GatewayFault.RELEASED_CRASHES: GatewaySoak.crash_released,
    GatewayFault.RELEASED_CLOSES: lambda s, f: s.break_released(f, is_reset=False),
    GatewayFault.RELEASED_RESETS: lambda s, f: s.break_released(f, is_reset=True),
    GatewayFault.BRITTLE_LOAD: GatewaySoak.load_brittle,
    GatewayFault.CRASHING_PROMPTS: GatewaySoak.crash_by_prompts,
}
