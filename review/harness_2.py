"""Starts gateways, a store and workers, and records what callers and workers see.

Used by the scripts of the second review.  Everything listens on 127.0.0.1.  The store
is the project's stand-in; workers and callers are those below.
"""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request
import uuid
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
DEPS = ROOT / "target" / "deps"
STANDINS = ROOT / "target" / "review-2"
HOST = "ficu95.example"
BEAT_S = 1.2
SEAL = "X-Runhatch-Response-Seal"
Document = dict[str, Any]

SETTINGS = """
node_name: "{name}"
role: "gateway"
machine_class: "front"
serves: ["front", "control"]
ip: "{ip}"
zone: "{zone}"
region: "r1"
zones: {{hall-a: "r1", hall-b: "r1", hall-c: "r1"}}
listen:
  front: "{ip}:{front}"
  ready: "{ip}:{ready}"
  control: "{ip}:{control}"
port_range: [{broadcast}, {forward}]
seeds: [{seeds}]
bootstrap: true
tolerance_member: false
limits: {{cpu_share: 0.537, cores: 2, memory_mb: 300, fd_limit: 4100,
          link_mbps: 1000.0, disk_mb: 0}}
data_dir: null
discovery: "platform"
entry: "vip"
beat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream",
            "engine", "platform"]
tolerance: {{machines: 2, zones: 0, regions: 0}}
bounds: {{seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000,
          catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200,
          config_ms: 2000, fallback_ms: 250, stretch_ms: 5000, budget_ratio: 0.2,
          budget_window_s: 10, budget_slack: 52, recovery_s: 12, pass_ms: 120,
          retry_after_s: 0, fence_required: false, lease_ms: 3000, thaw_ms: 300,
          ceiling_window_s: 5, ceiling_excess: 1.1}}
platform: {{address: "127.0.0.1:{store}", form: "table", writes_per_s: 400,
            reads_per_s: 2000, tx_ms: 5.0, part_writes_per_s: 200, row_bytes: 65536,
            across: false, history_s: 20, blob_bytes: 8388608, blob_ms: 25.0,
            blob_mb_per_s: 80.0}}
"""


def take_ports(count: int) -> list[int]:
    """Return free ports below the range of outgoing connections."""
    first_outgoing = 32_768
    with suppress(OSError):
        text = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text()
        first_outgoing = int(text.split()[0])
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(10_000, min(first_outgoing, 60_000))
        with socket.socket() as probe, suppress(OSError):
            probe.bind(("127.0.0.1", port))
            if port not in found:
                found.append(port)
    return found


class Record:
    """Writes what was sent, answered and run to a file, one event a line."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._started_at = time.monotonic()
        self.is_open = True

    def write(self, event: str, **fields: object) -> None:
        """Write one event."""
        at = round(time.monotonic() - self._started_at, 4)
        with self._lock:
            if self.is_open:
                self._file.write(json.dumps({"at": at, "event": event, **fields}))
                self._file.write("\n")

    def close(self) -> None:
        """Close the file."""
        with self._lock:
            self.is_open = False
            self._file.close()


# Workers.


@dataclass(slots=True)
class Inbound:
    """One request that a worker has read."""

    method: str
    uri: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt_id(self) -> str:
        """Return the id of the consumer's attempt."""
        return self.headers.get("x-runhatch-attempt-id", "")


def read_message(stream: Any) -> tuple[str, dict[str, str], bytes] | None:
    """Read one message; ``None`` if the connection has ended."""
    first = stream.readline()
    if not first.strip():
        return None
    headers: dict[str, str] = {}
    while True:
        line = stream.readline()
        if not line:
            return None
        if line in (b"\r\n", b"\n"):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = stream.read(int(headers.get("content-length", "0")))
    return first.decode("latin-1").strip(), headers, body


def build_answer(
    status: int, headers: list[tuple[str, str]], body: bytes = b""
) -> bytes:
    """Return a whole answer with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += ["Keep-Alive: timeout=10", f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


@dataclass(slots=True)
class Connection:
    """One connection to a worker."""

    sock: socket.socket
    late_extra: bytes | None = None
    """A second copy of the last answer, which is sent before the next one."""


Serve = Callable[["Worker", Inbound, Connection], None]


class Worker:
    """A worker: it registers, takes orders, reports, and serves requests.

    ``serve`` answers a request that it may run.  Runs in this process.
    """

    def __init__(
        self, system: "System", service: str, zone: str, serve: Serve, slots: int
    ) -> None:
        self.system = system
        self.service = service
        self.zone = zone
        self.slots = slots
        self.identity = f"i-{uuid.uuid4().hex[:10]}"
        self.models: dict[str, set[str]] = {}
        self.coming: dict[tuple[str, str], float] = {}
        self.recent_adapters: list[tuple[str, str]] = []
        self.sequence = 0
        self.orders: list[tuple[float, str, int]] = []
        """Time, holder and fence of each order that arrived."""
        self.state = "ready"
        self.lock = threading.Lock()
        self._serve = serve
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port: int = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def register(self) -> None:
        """Write this worker's entry to the store."""
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": int(time.monotonic() * 1000),
            "models": self._list_models(),
            "available": {"in_memory": [], "on_disk": sorted(self.models)},
        }
        self.system.write_row("servers", self.identity, entry)

    def has(self, model: str, adapter: str) -> bool:
        """Return whether the worker can run requests for a model and adapter."""
        self._settle_adapters()
        if model not in self.models:
            return False
        return not adapter or adapter in self.models[model]

    def _beat(self) -> None:
        while self.system.is_running:
            with suppress(OSError):
                self.register()
            time.sleep(BEAT_S)

    def _list_models(self) -> list[Document]:
        self._settle_adapters()
        return [
            {"name": model, "version": 1, "adapters": sorted(adapters)}
            for model, adapters in sorted(self.models.items())
        ]

    def _settle_adapters(self) -> None:
        now = time.monotonic()
        with self.lock:
            for (model, adapter), at in list(self.coming.items()):
                if now >= at:
                    del self.coming[model, adapter]
                    self.models[model].add(adapter)

    def _accept(self) -> None:
        while self.system.is_running:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._talk, args=(sock,), daemon=True).start()

    def _talk(self, sock: socket.socket) -> None:
        connection = Connection(sock)
        stream = sock.makefile("rb")
        with suppress(OSError, ValueError):
            while (message := read_message(stream)) is not None:
                method, uri, _ = message[0].split(" ", 2)
                inbound = Inbound(method, uri, message[1], message[2])
                if connection.late_extra is not None:
                    extra, connection.late_extra = connection.late_extra, None
                    sock.sendall(extra)
                self._handle(inbound, connection)
        with suppress(OSError):
            sock.close()

    def _handle(self, inbound: Inbound, connection: Connection) -> None:
        expected = inbound.headers.get("x-runhatch-expect-instance", self.identity)
        if inbound.uri == "/api/report":
            self._reply(connection, 200, self._report())
        elif inbound.uri == "/api/order" and expected == self.identity:
            status = self._take_order(json.loads(inbound.body))
            self._reply(connection, status, {})
        elif expected != self.identity:
            headers = [("X-Runhatch-Attempt-Id", inbound.attempt_id)]
            connection.sock.sendall(build_answer(421, headers))
        else:
            self._serve(self, inbound, connection)

    def _reply(self, connection: Connection, status: int, document: Document) -> None:
        headers = [("Content-Type", "application/json")]
        body = json.dumps(document).encode()
        connection.sock.sendall(build_answer(status, headers, body))

    def _report(self) -> Document:
        models = self._list_models()
        return {
            "stage": "colocated",
            "models": models,
            "busy": False,
            "sequence": self.sequence,
            "waiting": 0,
            "running": 0,
            "coming": [f"{model}/{name}@1" for model, name in self.coming],
            "available": {"in_memory": [], "on_disk": sorted(self.models)},
        }

    def _take_order(self, order: Document) -> int:
        """Carry out an order for an adapter; models stay as they are."""
        self._settle_adapters()
        with self.lock:
            model, adapter = order["model"], order.get("adapter", "")
            self.system.record.write(
                "order",
                worker=self.identity,
                op=order["op"],
                adapter=adapter,
                holder=order["holder"],
                fence=order["fence"],
            )
            self.orders.append((time.monotonic(), order["holder"], order["fence"]))
            if order.get("expected", self.sequence) != self.sequence:
                return 409
            if not adapter or model not in self.models:
                return 400
            self.sequence += 1
            key = model, adapter
            if order["op"] == "unload":
                self.models[model].discard(adapter)
                self.recent_adapters = [*self.recent_adapters, key][-4:]
                return 200
            seconds = self.system.adapter_seconds
            if key in self.recent_adapters:
                seconds /= 10
            self.coming[key] = time.monotonic() + seconds
            return 202


# The system.


@dataclass(slots=True)
class Gateway:
    """One gateway process and its ports."""

    name: str
    zone: str
    front: int
    ready: int
    control: int
    metrics: int
    broadcast: int
    forward: int
    settings: Path
    ip: str = "127.0.0.1"
    process: subprocess.Popen[bytes] | None = None
    exits: list[int] = field(default_factory=list)


class System:
    """A store, gateways and workers; ends all of them when it is closed."""

    def __init__(self, record: Record, adapter_seconds: float = 0.15) -> None:
        self.record = record
        self.adapter_seconds = adapter_seconds
        self.is_running = True
        # Ends the processes of the case too.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self._folder = tempfile.TemporaryDirectory()
        self._store_port = take_ports(1)[0]
        environment = {
            **os.environ,
            "PYTHONPATH": f"{DEPS}{os.pathsep}{STANDINS}",
        }
        arguments = ["-m", "runhatch_standins.platform"]
        arguments += ["--port", str(self._store_port)]
        self._store = subprocess.Popen(
            [sys.executable, *arguments],
            env=environment,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self.gateways: list[Gateway] = []
        self._wait(lambda: self._call("GET", "/stats") is not None, "the store")

    def add_gateways(self, count: int) -> None:
        """Lay out ``count`` gateways and start them."""
        names = [f"front-{len(self.gateways) + n + 1}" for n in range(count)]
        self.add_named(names, "127.0.0.1")

    def add_named(self, names: list[str], ip: str) -> None:
        """Lay out gateways with ``names`` on the machine at ``ip``, and start them."""
        count = len(names)
        zones = ["hall-a", "hall-b", "hall-c"]
        ports = take_ports(6 * count)
        for number in range(count):
            own = sorted(ports[6 * number : 6 * number + 6])
            front, ready, control, metrics, broadcast, forward = own
            name = names[number]
            path = Path(self._folder.name) / f"{name}-{front}.yaml"
            gateway = Gateway(
                name,
                zones[number % 3],
                front,
                ready,
                control,
                metrics,
                broadcast,
                forward,
                path,
                ip,
            )
            self.gateways.append(gateway)
        seeds = ", ".join(f'"{each.ip}:{each.control}"' for each in self.gateways[:3])
        for gateway in self.gateways[-count:]:
            gateway.settings.write_text(
                SETTINGS.format(
                    name=gateway.name,
                    ip=gateway.ip,
                    zone=gateway.zone,
                    front=gateway.front,
                    ready=gateway.ready,
                    control=gateway.control,
                    broadcast=gateway.broadcast,
                    forward=gateway.forward,
                    seeds=seeds,
                    store=self._store_port,
                )
            )
            self.start(gateway)

    def start(self, gateway: Gateway) -> None:
        """Start the process of ``gateway`` with the command of the deploy file."""
        log = gateway.settings.with_suffix(".log").open("ab")
        gateway.process = subprocess.Popen(
            ["python3", "-m", "runhatch_platform"],
            cwd=ROOT,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": os.environ.get("HOME", "/tmp"),
                "LANG": os.environ.get("LANG", "C.UTF-8"),
                "PYTHONPATH": str(DEPS),
                "RUNHATCH_NODE_FILE": str(gateway.settings),
                "RUNHATCH_METRICS_PORT": str(gateway.metrics),
            },
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.write("start", gateway=gateway.name)

    def kill(self, gateway: Gateway, number: int = signal.SIGKILL) -> None:
        """Send a signal to the process of ``gateway``."""
        assert gateway.process is not None
        gateway.process.send_signal(number)
        self.record.write("signal", gateway=gateway.name, number=int(number))

    def wait_ready(self, seconds: float = 20.0) -> None:
        """Wait until all gateways report ready."""
        for gateway in self.gateways:
            self._wait(lambda g=gateway: self.is_ready(g), gateway.name, seconds)

    def is_ready(self, gateway: Gateway) -> bool:
        """Return whether ``gateway`` reports ready."""
        url = f"http://{gateway.ip}:{gateway.ready}/api/readiness"
        try:
            with urllib.request.urlopen(url, timeout=1) as answer:
                return bool(answer.status == 200)
        except OSError:
            return False

    def write_row(self, table: str, key: str, document: Document) -> None:
        """Write a row as the operator and workers do."""
        row = {"table": table, "key": key, "document": document}
        self._call("PUT", "/rows", {"puts": [row]})

    def remove_row(self, table: str, key: str) -> None:
        """Remove a row as the platform does."""
        self._call("PUT", "/rows", {"remove": [{"table": table, "key": key}]})

    def read_logs(self) -> str:
        """Return the logs of all gateways."""
        paths = sorted(Path(self._folder.name).glob("*.log"))
        return "\n".join(f"== {path.name}\n{path.read_text()}" for path in paths)

    def close(self) -> None:
        """End all processes."""
        self.is_running = False
        for gateway in self.gateways:
            if gateway.process is not None:
                with suppress(ProcessLookupError):
                    gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
        self._store.kill()
        self._store.wait()
        self._folder.cleanup()

    def _call(self, method: str, path: str, document: Document | None = None) -> Any:
        body = None if document is None else json.dumps(document).encode()
        request = urllib.request.Request(
            f"http://127.0.0.1:{self._store_port}{path}", body, method=method
        )
        try:
            with urllib.request.urlopen(request, timeout=2) as answer:
                return json.loads(answer.read() or b"{}")
        except OSError:
            return None

    def _wait(
        self, holds: Callable[[], bool], what: str, seconds: float = 20.0
    ) -> None:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if holds():
                return
            time.sleep(0.05)
        raise NotRunError(f"{what} is not up after {seconds:g} s")


class NotRunError(Exception):
    """The case could not run."""


# Callers.

ETHERNET_MSS = 1_460
RECEIVE_BUFFER = 65_536
READ_PAUSE_S = 0.05


@dataclass(slots=True)
class Reading:
    """One request of a caller that reads slowly."""

    gateway: str
    attempt_id: str
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    received: int = 0
    length: int = -1
    is_reset: bool = False

    @property
    def is_whole(self) -> bool:
        """Return whether the whole body has arrived."""
        return self.received == self.length


def read_slowly(
    address: tuple[str, int],
    uri: str,
    reading: Reading,
    record: Record,
    timeout: float,
    bytes_per_second: float,
) -> None:
    """Send one request and read its answer at the given pace."""
    sock = socket.socket()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, ETHERNET_MSS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    sock.settimeout(timeout)
    try:
        sock.connect(address)
        lines = [
            f"GET {uri} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Runhatch-Attempt-Id: {reading.attempt_id}",
            f"X-Runhatch-Deadline-Ms: {int(timeout * 1000)}",
            "",
            "",
        ]
        reading.sent_at = time.monotonic()
        sock.sendall("\r\n".join(lines).encode())
        record.write("sent", id=reading.attempt_id, gateway=reading.gateway)
        data = b""
        while b"\r\n\r\n" not in data:
            chunk = sock.recv(2_048)
            if not chunk:
                raise OSError("the connection ended")
            data += chunk
        head, _, rest = data.partition(b"\r\n\r\n")
        reading.status = int(head.split()[1])
        reading.length = _find_length(head)
        reading.received = len(rest)
        while reading.received < reading.length:
            time.sleep(READ_PAUSE_S)
            chunk = sock.recv(int(bytes_per_second * READ_PAUSE_S), socket.MSG_WAITALL)
            if not chunk:
                break
            reading.received += len(chunk)
    except OSError as error:
        reading.is_reset = isinstance(error, ConnectionResetError)
    finally:
        reading.ended_at = time.monotonic()
        sock.close()
    record.write(
        "answered",
        id=reading.attempt_id,
        gateway=reading.gateway,
        status=reading.status,
        received=reading.received,
        whole=reading.is_whole,
        reset=reading.is_reset,
        took=round(reading.ended_at - reading.sent_at, 2),
    )


def _find_length(head: bytes) -> int:
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    raise OSError("the answer has no length")


@dataclass(slots=True)
class Answer:
    """What a caller saw of one attempt; status 0 if it got no head."""

    attempt_id: str
    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool

    @property
    def is_sealed(self) -> bool:
        """Return whether a worker confirms the answer."""
        return SEAL.lower() in self.headers


class Caller:
    """A caller with one connection to a gateway, reopened when it has ended."""

    def __init__(self, record: Record, port: int, timeout: float) -> None:
        self._record = record
        self._port = port
        self._timeout = timeout
        self._sock: socket.socket | None = None
        self._stream: Any = None

    def ask(
        self,
        method: str,
        uri: str,
        headers: dict[str, str],
        body: bytes = b"",
    ) -> Answer:
        """Send one attempt and read its answer."""
        attempt_id = uuid.uuid4().hex[:16]
        self._record.write("sent", id=attempt_id, port=self._port, uri=uri)
        answer = Answer(attempt_id, 0, {}, b"", False)
        try:
            self._send(method, uri, {**headers, "X-Runhatch-Attempt-Id": attempt_id})
            self._read(answer)
        except (OSError, ValueError):
            answer.is_whole = False
        if not answer.is_whole or answer.headers.get("connection") == "close":
            self.close()
        self._record.write(
            "answered",
            id=attempt_id,
            status=answer.status,
            whole=answer.is_whole,
            sealed=answer.is_sealed,
        )
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._sock is not None:
            self._stream.close()
            self._sock.close()
            self._sock = None

    def _send(self, method: str, uri: str, headers: dict[str, str]) -> None:
        if self._sock is None:
            self._sock = socket.create_connection(("127.0.0.1", self._port), 1.0)
            self._stream = self._sock.makefile("rb")
        self._sock.settimeout(self._timeout)
        lines = [f"{method} {uri} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if method == "POST":
            lines.append("Content-Length: 0")
        self._sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))

    def _read(self, answer: Answer) -> None:
        first = self._stream.readline()
        if not first:
            raise OSError("the connection ended")
        answer.status = int(first.split()[1])
        while (line := self._stream.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode("latin-1").partition(":")
            answer.headers[name.strip().lower()] = value.strip().lower()
        if answer.headers.get("transfer-encoding") == "chunked":
            answer.body = b"".join(self._read_chunks())
            answer.is_whole = True
        elif "content-length" in answer.headers:
            length = int(answer.headers["content-length"])
            answer.body = self._stream.read(length)
            answer.is_whole = len(answer.body) == length
        else:
            answer.body = self._stream.read()
            answer.is_whole = True
            answer.headers["connection"] = "close"

    def _read_chunks(self) -> Iterator[bytes]:
        while True:
            line = self._stream.readline()
            if not line.endswith(b"\r\n"):
                raise OSError("the connection ended")
            size = int(line, 16)
            chunk = self._stream.read(size + 2)
            if len(chunk) < size + 2:
                raise OSError("the connection ended")
            if not size:
                return
            yield chunk[:-2]
