"""Run gateways as separate processes between callers, targets and the store."""

import base64
import http.client
import json
import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from urllib.request import urlopen

from runhatch_standins._cluster import call
from runhatch_standins._launch import Launched, launch
from runhatch_standins._peer_cuts import PEER_CUT_VARIABLE, PeerCuts
from runhatch_standins._ports import free_ports
from runhatch_standins._target_paths import PATHS_VARIABLE, TargetPaths
from runhatch_standins._tcp_relay import TcpRelay
from runhatch_standins.worker import SLOTS

Document = dict[str, Any]

HOST = "a.example"
GATEWAY_MODULE = "runhatch_standins._gateway_process"
"""Module that runs gateways whose connections can be cut."""
READY_SECONDS = 10.0
MEMORY_MB = 300
FD_LIMIT = 4_100
METRICS_SECONDS = 0.5
ORDERS_METRIC = "runhatch_orders_lease_held 1.0"
SETTINGS = """
node_name: "{name}"
ip: "127.0.0.1"
zone: "d1"
region: "r1"
listen: {{front: "127.0.0.1:{front}", ready: "127.0.0.1:{ready}",
          control: "127.0.0.1:{control}"}}
port_range: [{broadcast}, {forward}]
seeds: [{seeds}]
limits: {{memory_mb: {memory_mb}, fd_limit: {fd_limit}}}
bounds: {{grace_s: 8, budget_ratio: 0.2, budget_window_s: 10, budget_slack: 52,
          revoke_ms: 3000, revoke_strict: true}}
platform: {{address: "{store}", row_bytes: 65536, blob_bytes: 8388608}}
"""
MODELS = [
    {"name": f"m{i}", "weight_size": 70.0, "load_s": 0.3, "adapters": 2}
    for i in range(5)
]
ENGINE = {
    "slots": 8,
    "models": MODELS,
    "weight_size": 220.0,
    "adapter_slots": 4,
    "kv_capacity": 100_000,
    "loads_per_s": 10,
}


def route(prefix: str, kind: str, service: str, **changes: object) -> Document:
    """Build the configuration entry of one route, with ``changes`` to its fields."""
    return {
        "name": f"r{prefix}",
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 5000,
        "goal_ms": 2000,
        "service": service,
        "max_attempts": 2,
        **changes,
    }


ROUTES = [
    route("/plain/", "idempotent", "plain"),
    route("/once/", "non_idempotent", "plain"),
    route("/stream/", "stream", "engine"),
    route("/resumable/", "stream", "engine", resumable=True),
]

SERVICES = [
    {"name": "engine", "max_conns": 100, "engine": ENGINE},
    {"name": "plain", "max_conns": 50},
]


def wait_until(holds: Callable[[], object], longest: float = READY_SECONDS) -> bool:
    """Return whether ``holds()`` becomes true within ``longest`` seconds."""
    deadline = time.monotonic() + longest
    while time.monotonic() < deadline:
        if holds():
            return True
        time.sleep(0.02)
    return False


@dataclass(slots=True)
class Gateway:
    """A gateway's process, its ports, and the relay to the store."""

    name: str
    process: Launched
    front: int
    ready: int
    control: int
    metrics: int
    broadcast: int
    forward: int
    """The port on which it accepts requests forwarded by other gateways."""
    to_store: TcpRelay


class GatewaySystem:
    """A store, two engines, two plain targets and at least two gateways.

    Closing ``stack`` kills the processes; ``folder`` holds their settings files.
    With ``has_paths``, gateways reach targets over ``paths``, which can be cut; with
    ``has_peer_cuts``, gateways can be cut off from their peers by ``peer_cuts``.
    """

    def __init__(
        self,
        stack: ExitStack,
        folder: Path,
        has_paths: bool = False,
        has_peer_cuts: bool = False,
    ) -> None:
        self._stack = stack
        self._folder = folder
        self._version = 0
        self._configuration: Document | None = None
        self.routes = [*ROUTES]
        self.services = [*SERVICES]
        self.workspaces: list[Document] | None = None
        """Entries of workspaces in configurations, ``None`` for no such field."""
        self.limits: Document = {}
        """Limits on requests in configurations, empty for the defaults."""
        self.memory_mb = MEMORY_MB
        """Memory in the settings of gateways that are started from now on."""
        self.fd_limit = FD_LIMIT
        """Open descriptors in the settings of gateways started from now on."""
        self.paths = TargetPaths(stack, folder) if has_paths else None
        self.peer_cuts = PeerCuts(folder) if has_peer_cuts else None
        self.platform = self._register(launch("platform", "runhatch_standins.platform"))
        self.engines = [
            self.start_worker("engine", "m0,m1"),
            self.start_worker("engine", "m1,m2"),
        ]
        self.plain = [self.start_worker("plain") for _ in range(2)]
        self.gateways: list[Gateway] = []
        self._gateway_processes: list[Launched] = []
        self.configure()
        self.start_gateway("n1")
        self.start_gateway("n2")

    def _register(self, launched: Launched) -> Launched:
        self._stack.callback(launched.kill)
        return launched

    def start_worker(
        self, service: str, models: str = "", version: str = "", slots: int = SLOTS
    ) -> Launched:
        """Start a target of ``service`` that may serve ``models``.

        One with a software ``version`` shows it in the data of its events.
        """
        arguments = ["--port", "0", "--store", self.platform.url]
        arguments += ["--service", service, "--models", models]
        arguments += ["--version", version, "--slots", str(slots)]
        worker = launch("worker", "runhatch_standins.worker", *arguments)
        if self.paths is not None:
            self.paths.add_target(worker.port)
        return self._register(worker)

    def start_gateway(self, name: str) -> Gateway:
        """Start a gateway and wait until it is ready.

        Raises ``RuntimeError`` if it is not ready within ``READY_SECONDS``.
        """
        ports = sorted(free_ports(6))
        relay = TcpRelay(self.platform.port)
        self._stack.callback(relay.close)
        if self.paths is not None:
            self.paths.add_gateway(name)
        process = self._launch_gateway(name, ports, relay)
        front, ready, control, metrics, broadcast, forward = ports
        gate = Gateway(
            name,
            process,
            front,
            ready,
            control,
            metrics,
            broadcast,
            forward,
            relay,
        )
        self.gateways.append(gate)
        if not wait_until(lambda: self.is_ready(gate)):
            raise RuntimeError(
                f"gateway {name!r} is not ready after {READY_SECONDS:g} s"
            )
        return gate

    def restart(self, gate: Gateway) -> None:
        """Restart the process of a gateway that has exited, on the same ports."""
        ports = [gate.front, gate.ready, gate.control, gate.metrics]
        ports += [gate.broadcast, gate.forward]
        gate.process = self._launch_gateway(gate.name, ports, gate.to_store)

    def _launch_gateway(self, name: str, ports: list[int], relay: TcpRelay) -> Launched:
        front, ready, control, metrics, broadcast, forward = ports
        seeds = ", ".join(f'"127.0.0.1:{gate.control}"' for gate in self.gateways)
        path = self._folder / f"{name}.yaml"
        path.write_text(
            SETTINGS.format(
                name=name,
                front=front,
                ready=ready,
                control=control,
                broadcast=broadcast,
                forward=forward,
                seeds=seeds,
                memory_mb=self.memory_mb,
                fd_limit=self.fd_limit,
                store=f"127.0.0.1:{relay.port}",
            )
        )
        variables = {
            "RUNHATCH_NODE_FILE": str(path),
            "RUNHATCH_METRICS_PORT": str(metrics),
        }
        module = "runhatch_platform"
        if self.paths is not None:
            variables[PATHS_VARIABLE] = str(self.paths.file_of(name))
            module = GATEWAY_MODULE
        if self.peer_cuts is not None:
            variables[PEER_CUT_VARIABLE] = str(self.peer_cuts.file_of(name))
            module = GATEWAY_MODULE
        launched = self._register(launch(name, module, variables=variables))
        self._gateway_processes.append(launched)
        return launched

    def write_logs(self, folder: Path) -> None:
        """Write the log of each gateway process, exited ones included."""
        folder.mkdir(parents=True, exist_ok=True)
        for number, launched in enumerate(self._gateway_processes):
            path = folder / f"{number:02}-{launched.name}.log"
            path.write_text("\n".join(launched.lines))

    def holder(self) -> Gateway | None:
        """Return the gateway that reports to hold the lease for orders, if any."""
        return next(
            (gate for gate in self.gateways if _reports_order_lease(gate)), None
        )

    def is_ready(self, gate: Gateway) -> bool:
        """Return whether the readiness endpoint of ``gate`` reports ready."""
        try:
            call(f"http://127.0.0.1:{gate.ready}", "GET", "/api/readiness", timeout=2)
        except json.JSONDecodeError:
            return True
        except (RuntimeError, OSError):
            return False
        return True

    def add_service(self, name: str, routes: list[Document], **limits: object) -> None:
        """Add a service and its routes to this and all later configurations."""
        self.services.append({"name": name, "max_conns": 100, **limits})
        self.routes += routes
        self.configure()

    def configure(self, routes: Sequence[Document] | None = None) -> None:
        """Write a configuration with a higher version.

        It has ``routes``, or else those of all services.
        """
        self._version += 3
        document = {
            "version": self._version,
            "routes": self.routes if routes is None else [*routes],
            "services": self.services,
        }
        if self.workspaces is not None:
            document["tenants"] = self.workspaces
        if self.limits:
            document["limits"] = self.limits
        self._configuration = document
        self.write_row("op", "config", document)

    def copy_store(self) -> None:
        """Make the store copy its rows."""
        call(self.platform.url, "POST", "/copy", {})

    def forget_history(self) -> None:
        """Make the store discard its history of changes."""
        call(self.platform.url, "POST", "/forget", {})

    def restore_store(self, away: float = 0.3) -> None:
        """Restore the store from its copy after ``away`` seconds of downtime."""
        call(self.platform.url, "POST", "/faults", {"down": True})
        time.sleep(away)
        call(self.platform.url, "POST", "/restore", {})
        call(self.platform.url, "POST", "/faults", {})

    def write_again(self, targets: Iterable[Launched]) -> None:
        """Write the last configuration and the entries of ``targets`` again."""
        if self._configuration is not None:
            self.write_row("op", "config", self._configuration)
        for target in targets:
            call(target.url, "POST", "/register", {})

    def write_row(self, table: str, key: str, document: object) -> None:
        """Write a row without a condition, as operators and targets do."""
        row = {"table": table, "key": key, "document": document}
        call(self.platform.url, "PUT", "/rows", {"puts": [row]})

    def remove_row(self, table: str, key: str) -> None:
        """Remove a row without a condition."""
        row = {"table": table, "key": key}
        call(self.platform.url, "PUT", "/rows", {"remove": [row]})

    def remove_target(self, target: Launched) -> None:
        """Remove the entry of ``target``, as the store does once it has expired."""
        answer = call(self.platform.url, "GET", "/api/rows-get?table=servers")
        for row in answer["rows"]:
            if f":{target.port}" in base64.b64decode(row["value"]).decode():
                self.remove_row("servers", row["key"])

    def ask(
        self,
        path: str,
        method: str = "GET",
        gate: int = 0,
        name: str | None = None,
        model: str = "",
        tokens: int = 8,
        **extra_headers: str,
    ) -> tuple[http.client.HTTPConnection, http.client.HTTPResponse]:
        """Send a request on a new connection; return it and the unread response."""
        port = self.gateways[gate].front
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
        name = name or f"id-{time.monotonic_ns()}"
        headers = {**request_headers(name, model, tokens), **extra_headers}
        connection.request(method, path, headers=headers)
        return connection, connection.getresponse()

    def answer(
        self, *arguments: Any, **named: Any
    ) -> tuple[http.client.HTTPResponse, bytes]:
        """Send a request as :meth:`ask` does; return the response and its body."""
        connection, response = self.ask(*arguments, **named)
        body = response.read()
        connection.close()
        return response, body

    def runs(self, workers: Iterable[Launched]) -> list[list[Any]]:
        """Return the runs of ``workers`` as lists of attempt, model and outcome."""
        return [run for w in workers for run in call(w.url, "GET", "/journal")["runs"]]


def _reports_order_lease(gate: Gateway) -> bool:
    url = f"http://127.0.0.1:{gate.metrics}/metrics"
    try:
        with urlopen(url, timeout=METRICS_SECONDS) as response:
            return ORDERS_METRIC in response.read().decode().splitlines()
    except (OSError, http.client.HTTPException):
        return False


@contextmanager
def run_gateways(
    folder: Path, count: int, settle_seconds: float
) -> Iterator[GatewaySystem]:
    """Run a system of ``count`` gateways.

    Yields it after ``settle_seconds``, in which the gateways discover each other.
    """
    with ExitStack() as stack:
        system = GatewaySystem(stack, folder)
        for number in range(len(system.gateways), count):
            system.start_gateway(f"n{number + 1}")
        time.sleep(settle_seconds)
        yield system


def request_headers(name: str, model: str = "", tokens: int = 8) -> dict[str, str]:
    """Build the headers of a caller's request with attempt id ``name``."""
    headers = {"Host": HOST, "X-Runhatch-Attempt-Id": name}
    if model:
        headers["X-Runhatch-Model"] = model
        headers["X-Runhatch-Token-Count"] = f"100,{tokens}"
    return headers
