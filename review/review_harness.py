"""Starts a small deployment on loopback addresses, and records what is seen of it.

Gateways run with the command of the deploy file. The store is the project's stand-in,
workers are those of ``review_worker``.
"""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from runhatch_standins._ports import free_ports
from runhatch_standins._tcp_relay import TcpRelay

ROOT = Path(__file__).resolve().parents[2]
HOST = "desk.example"
BROKEN, HELD, NOT_RUN = 1, 0, 2
GRACE_SECONDS = 8.0
MEMORY_MB = 300
SETTINGS = """
node_name: "{name}"
role: "gateway"
machine_class: "front"
serves: ["front", "control"]
ip: "{ip}"
zone: "{zone}"
region: "ulaanbaatar"
zones: {{hall-a: "ulaanbaatar", hall-b: "ulaanbaatar", hall-c: "ulaanbaatar"}}
listen: {{front: "{ip}:{front}", ready: "{ip}:{ready}", control: "{ip}:{control}"}}
port_range: [{low}, {high}]
seeds: [{seeds}]
bootstrap: true
tolerance_member: false
limits: {{cpu_share: 0.537, cores: 2, memory_mb: 300, fd_limit: 4100,
          link_mbps: 1000.0, disk_mb: 0}}
data_dir: null
discovery: "platform"
entry: "vip"
beat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "fleet",
            "stream", "engine", "platform"]
tolerance: {{machines: 2, zones: 0, regions: 0}}
bounds: {{seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000,
          catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200,
          config_ms: 2000, fallback_ms: 250, stretch_ms: 5000, budget_ratio: 0.2,
          budget_window_s: 10, budget_slack: 52, recovery_s: 12, pass_ms: 120,
          retry_after_s: 0, fence_required: false, lease_ms: 3000, thaw_ms: 300,
          ceiling_window_s: 5, ceiling_excess: 1.1}}
platform: {{address: "{store}", form: "table", writes_per_s: 400, reads_per_s: 2000,
            tx_ms: 5.0, part_writes_per_s: 200, row_bytes: 65536, across: false,
            history_s: 20, blob_bytes: 8388608, blob_ms: 25.0, blob_mb_per_s: 80.0}}
"""


class CannotRun(Exception):
    """The deployment did not start, so nothing was tested."""


class Gateway:
    """One gateway and its process."""

    def __init__(
        self, name: str, folder: Path, store: str, seeds: list[str], zone: str
    ) -> None:
        self.name = name
        self.zone = zone
        self.ip = "127.0.0.1"
        # Ports of outgoing connections could be taken before the gateway binds them.
        ports = sorted(free_ports(6))
        self.front, self.ready, control, self.metrics, low, high = ports
        self.control = f"{self.ip}:{control}"
        self.path = folder / f"{name}.yaml"
        self.log = folder / f"{name}.log"
        listed = ", ".join(f'"{seed}"' for seed in [*seeds, self.control][:3])
        self.path.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                ip=self.ip,
                front=self.front,
                ready=self.ready,
                control=control,
                low=low,
                high=high,
                seeds=listed,
                store=store,
            )
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        variables = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        variables |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "RUNHATCH_NODE_FILE": str(self.path),
            "RUNHATCH_METRICS_PORT": str(self.metrics),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "runhatch_platform"],
                cwd=ROOT,
                env=variables,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def is_ready(self) -> bool:
        """Return whether the readiness endpoint answers 200."""
        url = f"http://{self.ip}:{self.ready}/api/readiness"
        try:
            with urllib.request.urlopen(url, timeout=1) as answer:
                return bool(answer.status == http.client.OK)
        except OSError:
            return False

    def stop(self) -> None:
        """Kill the process."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


@dataclass(frozen=True)
class StandIn:
    """A stand-in's process, its port and, of a worker, its id."""

    process: "subprocess.Popen[bytes]"
    port: int
    identity: str


class Deployment:
    """A store, workers and gateways; closing ``stack`` ends all their processes."""

    def __init__(self, case: Path) -> None:
        self.case = case
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
        self.stack = ExitStack()
        self.folder = Path(self.stack.enter_context(tempfile.TemporaryDirectory()))
        self.gateways: list[Gateway] = []
        self.relays: list[TcpRelay] = []
        self.started = time.monotonic()
        self._lock = threading.Lock()
        self._events: list[tuple[float, str]] = []
        self._worker_logs: list[Path] = []
        self._variables = {
            **os.environ,
            "PYTHONPATH": f"{ROOT / 'target/deps'}:{ROOT / 'target/review'}",
        }
        store = self._launch("runhatch_standins.platform", "--port", "0")
        self.store = f"127.0.0.1:{store.port}"

    def _launch(self, module: str, *arguments: str) -> StandIn:
        """Start a stand-in and read the port that it prints."""
        process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            env=self._variables,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        self.stack.callback(process.wait)
        self.stack.callback(process.kill)
        assert process.stdout is not None
        line = process.stdout.readline().decode().split()
        if not line:
            raise CannotRun(f"{module} did not start")
        return StandIn(process, int(line[1]), line[-1])

    def start_worker(self, service: str, *arguments: str) -> StandIn:
        """Start a worker of ``service``."""
        log = self.folder / f"worker-{len(self._worker_logs)}.log"
        self._worker_logs.append(log)
        return self._launch(
            "review_worker",
            *("--store", f"http://{self.store}", "--service", service),
            *("--log", str(log), *arguments),
        )

    def configure(
        self, routes: list[dict[str, Any]], services: list[dict[str, Any]]
    ) -> None:
        """Write the manifest."""
        manifest = {
            "version": 3,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 4_194_304,
                "header_timeout_ms": 3_000,
                "idle_timeout_ms": 15_000,
            },
        }
        row = {"table": "op", "key": "config", "document": manifest}
        call = urllib.request.Request(
            f"http://{self.store}/rows",
            json.dumps({"puts": [row]}).encode(),
            {"Content-Type": "application/json"},
            method="PUT",
        )
        urllib.request.urlopen(call, timeout=5).read()

    def start_gateways(self, *zones: str, by_relay: bool = False) -> None:
        """Start a gateway in each of ``zones`` and wait until they serve.

        With ``by_relay`` each reaches the store over a relay of its own.
        """
        seeds: list[str] = []
        for number, zone in enumerate(zones, 1):
            store = self.store
            if by_relay:
                relay = TcpRelay(int(store.rpartition(":")[2]))
                self.stack.callback(relay.close)
                self.relays.append(relay)
                store = f"127.0.0.1:{relay.port}"
            gateway = Gateway(f"front-{zone}-{number}", self.folder, store, seeds, zone)
            seeds = [*seeds, gateway.control][:3]
            self.gateways.append(gateway)
            self.stack.callback(gateway.stop)
            gateway.start()
        for gateway in self.gateways:
            self.wait_ready(gateway)
        # The gateways find each other, and the platform's lead of some seconds passes.
        time.sleep(4)

    def wait_ready(self, gateway: Gateway, seconds: float = 20) -> None:
        """Wait until ``gateway`` is ready."""
        ends = time.monotonic() + seconds
        while not gateway.is_ready():
            if time.monotonic() > ends:
                raise CannotRun(f"{gateway.name} is not ready")
            time.sleep(0.05)

    def note(self, text: str) -> float:
        """Add an event to the record; return its time."""
        now = time.monotonic()
        with self._lock:
            self._events.append((now, text))
        return now

    def worker_events(self) -> list[dict[str, Any]]:
        """Return what the workers logged, in order of time."""
        events = [
            json.loads(line)
            for log in self._worker_logs
            if log.exists()
            for line in log.read_text().splitlines()
        ]
        return sorted(events, key=lambda event: float(event["t"]))

    def write_record(self, verdict: str) -> None:
        """Write ``record.txt`` to the folder of the case."""
        lines = [*self._events]
        for event in self.worker_events():
            more = f" of {event['length']} bytes" if event.get("length") else ""
            lines.append((event["t"], f"worker: {event['what']} {event['id']}{more}"))
        lines.sort()
        text = [f"{at - self.started:9.3f} s  {line}" for at, line in lines]
        (self.case / "record.txt").write_text("\n".join([*text, verdict]) + "\n")


def head_of(
    method: str, path: str, name: str, length: int = 0, deadline_ms: int = 15_000
) -> bytes:
    """Return the head of a consumer's request."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Runhatch-Attempt-Id: {name}\r\n"
        f"X-Runhatch-Deadline-Ms: {deadline_ms}\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


def connect(
    gateway: Gateway, receive_buffer: int = 0, segment_bytes: int = 0
) -> socket.socket:
    """Open a consumer's connection to ``gateway``."""
    sock = socket.socket()
    if receive_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    if segment_bytes:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment_bytes)
    sock.settimeout(30)
    sock.connect((gateway.ip, gateway.front))
    return sock


def is_disturbed() -> bool:
    """Return whether the disturbance takes place: unless ``TROUBLE`` is 0."""
    return os.environ.get("TROUBLE", "1") != "0"
