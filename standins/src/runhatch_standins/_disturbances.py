"""Schedule the faults of a soak run by its seed and inject them into a cluster."""

import random
import signal
import threading
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from runhatch_standins._cluster import Cluster, call
from runhatch_standins._tcp_relay import LinkFault

CUT_POINTS = (0, 40, 300, 700)
"""Bytes passed on before a cut: none, in its head, in a chunk, before its end."""


class Disturbance(Enum):
    """Kinds of faults that a run may inject."""

    KILL_NODE = "kill node"
    PAUSE_NODE = "pause node"
    RESTART_NODE = "restart node gracefully"
    CUT_NODE_FROM_STORE = "cut node from store"
    FREEZE_NODE_TO_STORE = "freeze node to store"
    STORE_DOWN = "store down"
    STORE_SLOW = "store slow"
    STORE_FORGETS = "store loses answers"
    KILL_ENGINE = "kill engine"
    CUT_ENGINE = "cut answers of engine"
    FREEZE_ENGINE = "freeze engine"
    REFUSE_ENGINE = "engine refuses connections"
    BREAK_STREAMS = "engine breaks streams"
    WRONG_IDS = "engine echoes wrong ids"
    ORDERS_LOST = "orders lost"
    ORDERS_LATE = "orders late"
    ORDERS_DOUBLED = "orders doubled"
    SERVICE_FAILS = "service fails after running"
    CUT_SERVICE = "cut answers of service"


@dataclass(frozen=True, slots=True)
class Planned:
    """One fault: start and duration in seconds, kind, subject and cut point."""

    at: float
    kind: Disturbance
    subject: int
    lasts: float
    point: int


def make_schedule(seed: int, seconds: float) -> list[Planned]:
    """Return the faults of a run, equal for equal seeds."""
    rng = random.Random(seed)
    kinds = [*Disturbance]
    schedule = []
    at = 1.0
    while at < seconds - 4:
        planned = Planned(
            at,
            rng.choice(kinds),
            rng.randrange(1_000),
            rng.uniform(0.5, 5.0),
            rng.choice(CUT_POINTS),
        )
        schedule.append(planned)
        # Shorter than most faults last, so that faults overlap.
        at += rng.uniform(0.2, 2.5)
    return schedule


class Disturber:
    """Injects faults into a running cluster and reverts them."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self.counts: Counter[Disturbance] = Counter()
        self.exit_codes: list[int] = []
        self.avoided: set[str] = set()
        """Nodes that a load balancer has taken out of rotation."""
        # Serialises faults that stop or restart the same process.
        self._locks: defaultdict[str, threading.Lock] = defaultdict(threading.Lock)

    def run(self, planned: Planned) -> None:
        """Inject one fault, wait for its duration and revert it."""
        self.counts[planned.kind] += 1
        action = _ACTIONS[planned.kind]
        action(self, planned)

    def node(self, planned: Planned) -> str:
        """Return the name of the node that ``planned`` applies to."""
        names = sorted(self._cluster.settings)
        return names[planned.subject % len(names)]

    def engine(self, planned: Planned) -> str:
        """Return the name of the engine that ``planned`` applies to."""
        engines = self._cluster.engines
        return engines[planned.subject % len(engines)].name

    def kill_node(self, planned: Planned) -> None:
        """Kill a node and restart it after the duration of the fault."""
        name = self.node(planned)
        with self._locks[name]:
            self._cluster.nodes[name].kill()
            time.sleep(planned.lasts)
            self._restart_node(name)

    def pause_node(self, planned: Planned) -> None:
        """Suspend a node for longer than a lease, then resume it."""
        name = self.node(planned)
        with self._locks[name]:
            node = self._cluster.nodes[name]
            node.signal(signal.SIGSTOP)
            time.sleep(planned.lasts + 3)
            node.signal(signal.SIGCONT)

    def restart_node(self, planned: Planned) -> None:
        """Restart a node gracefully while the load balancer still sends to it."""
        name = self.node(planned)
        with self._locks[name]:
            node = self._cluster.nodes[name]
            node.signal(signal.SIGTERM)
            time.sleep(0.3)
            self.avoided.add(name)
            self.exit_codes.append(node.terminate(40))
            self._restart_node(name)
            self.avoided.discard(name)

    def platform_fault(self, **faults: float) -> Callable[[Planned], None]:
        """Return an action that sets and later clears ``faults`` of the platform."""

        def act(planned: Planned) -> None:
            url = self._cluster.platform.url
            call(url, "POST", "/faults", faults)
            time.sleep(planned.lasts)
            call(url, "POST", "/faults", {})

        return act

    def engine_fault(self, planned: Planned, **faults: float) -> None:
        """Set ``faults`` of an engine and clear them after the duration."""
        url = self._engine_url(self.engine(planned))
        _set_faults_if_reachable(url, dict(faults))
        time.sleep(planned.lasts)
        _set_faults_if_reachable(url, {})

    def service_fault(self, planned: Planned) -> None:
        """Make the plain service fail one request after executing it."""
        call(self._cluster.booking.url, "POST", "/faults", {"fail_after_run": 1})

    def kill_engine(self, planned: Planned) -> None:
        """Restart an engine, which unloads all its models."""
        name = self.engine(planned)
        with self._locks[name]:
            self._cluster.restart_engine(name)

    def link_fault(self, name: str, fault: LinkFault, planned: Planned) -> None:
        """Inject ``fault`` into one relay and clear it after the duration."""
        relay = self._cluster.relays[name]
        relay.inject(fault, planned.point)
        time.sleep(planned.lasts)
        relay.inject(LinkFault.NONE)

    def _engine_url(self, engine: str) -> str:
        return next(e.url for e in self._cluster.engines if e.name == engine)

    def _restart_node(self, name: str) -> None:
        code = self._cluster.nodes[name].process.returncode
        if code not in (None, 0, -9):
            self.exit_codes.append(code)
        self._cluster.start_node(name)


def _set_faults_if_reachable(url: str, faults: dict[str, float]) -> None:
    try:
        call(url, "POST", "/faults", faults)
    except (OSError, RuntimeError):
        pass


Action = Callable[[Disturber, Planned], None]
_ACTIONS: dict[Disturbance, Action] = {
    Disturbance.KILL_NODE: Disturber.kill_node,
    Disturbance.PAUSE_NODE: Disturber.pause_node,
    Disturbance.RESTART_NODE: Disturber.restart_node,
    Disturbance.CUT_NODE_FROM_STORE: lambda d, p: d.link_fault(
        d.node(p), LinkFault.REFUSE, p
    ),
    Disturbance.FREEZE_NODE_TO_STORE: lambda d, p: d.link_fault(
        d.node(p), LinkFault.FREEZE, p
    ),
    Disturbance.STORE_DOWN: lambda d, p: d.platform_fault(down=1)(p),
    Disturbance.STORE_SLOW: lambda d, p: d.platform_fault(slow_seconds=0.4)(p),
    Disturbance.STORE_FORGETS: lambda d, p: d.platform_fault(
        lose_answer=0.4, lose_request=0.2
    )(p),
    Disturbance.KILL_ENGINE: Disturber.kill_engine,
    Disturbance.CUT_ENGINE: lambda d, p: d.link_fault(
        d.engine(p), LinkFault.CUT_ANSWER, p
    ),
    Disturbance.FREEZE_ENGINE: lambda d, p: d.link_fault(
        d.engine(p), LinkFault.FREEZE, p
    ),
    Disturbance.REFUSE_ENGINE: lambda d, p: d.link_fault(
        d.engine(p), LinkFault.REFUSE, p
    ),
    Disturbance.BREAK_STREAMS: lambda d, p: d.engine_fault(p, break_streams=5),
    Disturbance.WRONG_IDS: lambda d, p: d.engine_fault(p, wrong_ids=3),
    Disturbance.ORDERS_LOST: lambda d, p: d.engine_fault(p, order_loss=0.6),
    Disturbance.ORDERS_LATE: lambda d, p: d.engine_fault(p, order_delay_seconds=2.5),
    Disturbance.ORDERS_DOUBLED: lambda d, p: d.engine_fault(p, order_double=0.7),
    Disturbance.SERVICE_FAILS: Disturber.service_fault,
    Disturbance.CUT_SERVICE: lambda d, p: d.link_fault(
        "booking", LinkFault.CUT_ANSWER, p
    ),
}
