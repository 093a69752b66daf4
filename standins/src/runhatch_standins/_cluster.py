"""Start a small system on loopback, with one process per stand-in and node."""

import http.client
import json
import sys
import tempfile
import time
from collections.abc import Mapping
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from subprocess import run as run_process
from typing import Any
from urllib.parse import urlsplit

from runhatch_coordination import (
    ABSENT,
    Committed,
    Delete,
    Key,
    Put,
    Write,
)
from runhatch_platform import Store, StoreTable
from runhatch_server.external_services import VMS_PARTITION
from runhatch_standins._launch import Launched, launch
from runhatch_standins._ports import free_ports
from runhatch_standins._tcp_relay import TcpRelay

DOMAINS = ("d1", "d2", "d3")
Document = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Sizes:
    """Size of the cluster, and memory and speed of its engines."""

    nodes: int = 3
    engines: int = 3
    models: int = 8
    adapters: int = 4
    memory_mb: int = 60_000
    model_mb: int = 9_000
    slots: int = 16
    queue: int = 64
    per_token: float = 0.004
    seed: int = 1


@dataclass(slots=True)
class Cluster:
    """A running system; closing it ends its processes and removes its folder."""

    sizes: Sizes
    folder: Path
    platform: Launched
    weights: Launched
    engines: list[Launched]
    booking: Launched
    relays: dict[str, TcpRelay] = field(default_factory=dict)
    nodes: dict[str, Launched] = field(default_factory=dict)
    settings: dict[str, Document] = field(default_factory=dict)
    stack: ExitStack = field(default_factory=ExitStack)

    def caller_url(self, node: str) -> str:
        """Return the URL on which ``node`` serves callers."""
        return f"http://127.0.0.1:{self.settings[node]['callers']['port']}"

    def operator_url(self, node: str) -> str:
        """Return the URL on which ``node`` serves operators."""
        return f"http://127.0.0.1:{self.settings[node]['operators']['port']}"

    def relayed_url(self, launched: Launched) -> str:
        """Return the URL of the relay before ``launched``, or else its own URL."""
        relay = self.relays.get(launched.name)
        return launched.url if relay is None else f"http://127.0.0.1:{relay.port}"

    def restart_engine(self, name: str) -> None:
        """Kill an engine and restart it on the same port, without any model."""
        index = next(i for i, e in enumerate(self.engines) if e.name == name)
        port = self.engines[index].port
        self.engines[index].kill()
        self.engines[index] = self.start_engine(index, port)

    def start_engine(self, index: int, port: int = 0) -> Launched:
        """Start the engine at ``index``; its journal file survives restarts."""
        name = f"e{index + 1}"
        journal = self.folder / f"{name}.journal"
        arguments = _engine_arguments(self.sizes, index, self.weights)
        arguments += ["--port", str(port), "--journal", str(journal)]
        log = self.folder / f"{name}-{time.monotonic_ns()}.err"
        engine = launch(name, "runhatch_standins.engine", *arguments, errors=log)
        self.stack.callback(engine.kill)
        return engine

    def start_node(self, name: str) -> Launched:
        """Start or restart the node called ``name``."""
        path = self.folder / f"{name}.json5"
        path.write_text(
            "// Written by the test bench.\n" + json.dumps(self.settings[name])
        )
        log = self.folder / f"{name}-{time.monotonic_ns()}.err"
        node = launch(name, "runhatch_platform", "--settings", str(path), errors=log)
        self.nodes[name] = node
        self.stack.callback(node.kill)
        return node

    def publish_vms(self, leaving: tuple[str, ...] = ()) -> None:
        """Write the list of VMs to the store; mark those in ``leaving`` as draining."""
        entries = {
            name: {
                "failure_domain": settings["node"]["failure_domain"],
                "peer_address": f"127.0.0.1:{settings['peers']['port']}",
                "leaving": name in leaving,
            }
            for name, settings in self.settings.items()
        }
        entries |= {
            f"vm-{engine.name}": {"failure_domain": "d1", "leaving": True}
            for engine in self.engines
            if f"vm-{engine.name}" in leaving
        }
        self._write_vms(entries)

    def _write_vms(self, entries: Document) -> None:
        """Replace all rows of the VM partition by ``entries`` in one transaction."""
        table = StoreTable(Store(self.platform.url))
        rows = table.query(VMS_PARTITION)
        assert isinstance(rows, tuple)
        versions = {row.key.sort: row.version for row in rows}
        writes: list[Write] = [
            Delete(Key(VMS_PARTITION, name), version)
            for name, version in versions.items()
            if name not in entries
        ]
        writes += [
            Put(
                Key(VMS_PARTITION, name),
                json.dumps(entry).encode(),
                versions.get(name, ABSENT),
            )
            for name, entry in entries.items()
        ]
        assert isinstance(table.transact(writes), Committed)

    def deployment(self) -> Document:
        """Build a configuration document that describes the running targets."""
        targets = [
            {
                "name": engine.name,
                "url": self.relayed_url(engine),
                "failure_domain": DOMAINS[index % len(DOMAINS)],
                "memory_mb": self.sizes.memory_mb,
                "concurrency": self.sizes.slots,
                "fencing": "ignores" if index == 0 else "refuses",
                "max_order_delay_seconds": 3,
                "max_report_lag_seconds": 1,
                "vm": f"vm-{engine.name}",
            }
            for index, engine in enumerate(self.engines)
        ]
        models = [
            {
                "name": f"m{index}",
                "pool": "reader",
                "memory_mb": self.sizes.model_mb,
                "loading_peak_mb": 1_000,
                "service_seconds": 0.1,
            }
            for index in range(self.sizes.models)
        ]
        adapters = [
            {"name": f"a{index}", "base": f"m{index}", "memory_mb": 200}
            for index in range(self.sizes.adapters)
        ]
        booking = {
            "name": "booking",
            "targets": [
                {
                    "name": "b1",
                    "url": self.relayed_url(self.booking),
                    "failure_domain": "d1",
                }
            ],
            "paths": [
                {"path": "/bookings", "methods": ["POST"], "idempotent": False},
                {"path": "/drums/*", "methods": ["GET"], "idempotent": True},
            ],
        }
        return {
            "pools": [{"name": "reader", "targets": targets}],
            "models": models,
            "adapters": adapters,
            "plain_services": [booking],
            "weight_store": {"loads_per_second": 20, "at_once": 15},
            "policy": {"min_residence_seconds": 5},
        }

    def runhatch(self, *arguments: str) -> str:
        """Run the ``runhatch`` command and return its output.

        Raises ``RuntimeError`` if the exit status is not 0.
        """
        result = run_process(
            [sys.executable, "-m", "runhatch_cli", *arguments],
            capture_output=True,
            text=True,
            check=False,
        )
        if result.returncode != 0:
            raise RuntimeError(f"runhatch {arguments}: {result.stderr.strip()}")
        return result.stdout

    def apply(self, document: Document, note: str) -> str:
        """Apply ``document`` and wait until it is in force on every node."""
        path = self.folder / "deployment.json5"
        path.write_text(json.dumps(document))
        urls = [self.operator_url(name) for name in self.nodes]
        wait_options = [part for url in urls for part in ("--wait", url)]
        options = ["--node", urls[0], "--note", note, *wait_options]
        return self.runhatch("apply", str(path), *options).strip()

    def wait_resident(self, node: str, seconds: float) -> bool:
        """Return whether ``node`` lists a replica of all models within ``seconds``."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            counts = [
                record["replicas"]
                for noun in ("models", "adapters")
                for record in self.query(node, {"noun": noun})
            ]
            if counts and min(counts) > 0:
                return True
            time.sleep(0.2)
        return False

    def query(self, node: str, query: Document) -> list[Document]:
        """Return the records with which ``node`` answers an operators' query."""
        answer = call(self.operator_url(node), "POST", "/v1/query", query)
        return list(answer["records"])

    def ended_nodes(self) -> list[str]:
        """Return exit status and end of the log of each node that has exited."""
        exited = []
        for name, node in self.nodes.items():
            if node.process.poll() is None:
                continue
            logs = sorted(self.folder.glob(f"{name}-*.err"))
            exited.append(
                f"{name}: status {node.process.returncode}: "
                f"{logs[-1].read_text()[-2000:]}"
            )
        return exited

    def close(self) -> None:
        """Kill all processes and remove the folder."""
        self.stack.close()


def start_cluster(
    sizes: Sizes,
    settings: Mapping[str, Document] | None = None,
    relayed: bool = False,
) -> Cluster:
    """Start stand-ins and nodes; ``settings`` overrides sections of node settings.

    ``relayed`` puts a :class:`TcpRelay` in front of every target, and one per node
    in front of the platform.
    """
    stack = ExitStack()
    try:
        return _start_processes(sizes, settings or {}, relayed, stack)
    except BaseException:
        stack.close()
        raise


def _start_processes(
    sizes: Sizes,
    overrides: Mapping[str, Document],
    relayed: bool,
    stack: ExitStack,
) -> Cluster:
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="runhatch-")))

    def start(name: str, module: str, *arguments: str) -> Launched:
        log = folder / f"{name}.err"
        launched = launch(name, f"runhatch_standins.{module}", *arguments, errors=log)
        stack.callback(launched.kill)
        return launched

    seed = str(sizes.seed)
    platform = start("platform", "platform", "--seed", seed)
    weights = start("weights", "weight_store", "--load-seconds", "0.1")
    booking = start("booking", "plain_service")
    cluster = Cluster(sizes, folder, platform, weights, [], booking, stack=stack)
    cluster.engines += [cluster.start_engine(i) for i in range(sizes.engines)]
    if relayed:
        for target in (*cluster.engines, booking):
            cluster.relays[target.name] = TcpRelay(target.port)
    for index in range(sizes.nodes):
        name = f"n{index + 1}"
        store_url = platform.url
        if relayed:
            cluster.relays[name] = TcpRelay(platform.port)
            store_url = f"http://127.0.0.1:{cluster.relays[name].port}"
        base = _node_settings(name, DOMAINS[index % len(DOMAINS)], store_url)
        for section, values in overrides.items():
            base[section] = {**base.get(section, {}), **values}
        cluster.settings[name] = base
    seeds = [f"127.0.0.1:{s['peers']['port']}" for s in cluster.settings.values()]
    for settings in cluster.settings.values():
        settings["peering"] = {**settings.get("peering", {}), "seeds": seeds}
    for relay in cluster.relays.values():
        stack.callback(relay.close)
    cluster.publish_vms()
    for name in cluster.settings:
        cluster.start_node(name)
    return cluster


def _engine_arguments(sizes: Sizes, index: int, weights: Launched) -> list[str]:
    arguments = [
        "--memory-mb", str(sizes.memory_mb),
        "--slots", str(sizes.slots),
        "--queue", str(sizes.queue),
        "--per-token", str(sizes.per_token),
        "--weights", weights.url,
        "--seed", str(sizes.seed + index),
    ]  # fmt: skip
    return [*arguments, "--ignores-fencing"] if index == 0 else arguments


def _node_settings(name: str, domain: str, platform_url: str) -> Document:
    callers, operators, peers = free_ports(3)
    return {
        "node": {"name": name, "failure_domain": domain},
        "callers": {"host": "127.0.0.1", "port": callers},
        "operators": {"host": "127.0.0.1", "port": operators},
        "peers": {"host": "127.0.0.1", "port": peers},
        "platform": {
            "store_url": platform_url,
        },
        "serving": {"drain_lag_seconds": 0.5},
        "placement": {
            "interval_seconds": 0.5,
            "lease_seconds": 3,
            "refresh_seconds": 2,
        },
        "logs": {"level": "change"},
    }


def call(
    url: str,
    method: str,
    path: str,
    document: Document | None = None,
    headers: Mapping[str, str] | None = None,
    timeout: float = 30.0,
) -> Document:
    """Send one JSON request and return the decoded body of the response.

    Raises ``RuntimeError`` for statuses of 300 and above.
    """
    parts = urlsplit(url)
    connection = http.client.HTTPConnection(
        parts.hostname or "", parts.port, timeout=timeout
    )
    body = None if document is None else json.dumps(document)
    all_headers = {"Content-Type": "application/json", **(headers or {})}
    try:
        connection.request(method, path, body, all_headers)
        response = connection.getresponse()
        content = response.read()
    finally:
        connection.close()
    if response.status >= 300:
        raise RuntimeError(f"{method} {path}: {response.status} {content[:300]!r}")
    return dict(json.loads(content or b"{}"))
