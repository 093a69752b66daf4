"""A stand-in for a worker, with a log of what it received, ran and dropped.

It serves one request at a time on a connection, reads and writes at the rates that it
is given, and drops a request when the connection closes.
"""

import argparse
import json
import os
import select
import signal
import socket
import threading
import time
import urllib.request
import uuid
from typing import IO, Any
from urllib.parse import parse_qs, urlsplit

READ_BYTES = 16_384
BEAT_SECONDS = 1.2
SLICE_SECONDS = 0.02
IDLE_SECONDS = 5
Headers = dict[str, str]


class Gone(Exception):
    """The other end has closed the connection."""


class Connection:
    """The worker's side of one connection."""

    def __init__(self, worker: "Worker", sock: socket.socket) -> None:
        self.worker = worker
        self.sock = sock
        self.buffer = b""

    def serve(self) -> None:
        """Serve requests until the connection ends."""
        try:
            while True:
                method, uri, headers = self.read_head()
                self.answer(method, uri, headers)
        except (Gone, OSError):
            pass
        finally:
            self.sock.close()

    def read_head(self) -> tuple[str, str, Headers]:
        """Return the method, the target and the headers of the next request."""
        while b"\r\n\r\n" not in self.buffer:
            self.receive()
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, uri, _ = lines[0].split(" ", 2)
        pairs = (line.partition(":") for line in lines[1:])
        return method, uri, {name.lower(): value.strip() for name, _, value in pairs}

    def receive(self) -> None:
        """Receive further bytes into the buffer."""
        data = self.sock.recv(READ_BYTES)
        if not data:
            raise Gone
        self.buffer += data

    def read_body(self, length: int, rate: float) -> None:
        """Read a body of ``length`` bytes, at ``rate`` bytes a second if not zero."""
        started = time.monotonic()
        done = len(self.buffer)
        self.buffer = b""
        while done < length:
            data = self.sock.recv(min(READ_BYTES, length - done))
            if not data:
                raise Gone
            done += len(data)
            if rate:
                time.sleep(max(0.0, started + done / rate - time.monotonic()))

    def answer(self, method: str, uri: str, headers: Headers) -> None:
        """Read, run and answer one request."""
        name = headers.get("x-runhatch-attempt-id", "")
        query = {
            key: values[-1] for key, values in parse_qs(urlsplit(uri).query).items()
        }
        expected = headers.get("x-runhatch-expect-instance", self.worker.identity)
        length = int(headers.get("content-length", "0"))
        self.worker.log("arrived", name, length=length, worker=self.worker.identity)
        try:
            self.read_body(length, self.worker.read_rate)
        except (Gone, OSError):
            self.worker.log("cut off", name)
            raise
        if expected != self.worker.identity:
            self.send_head(421, name, 0)
            return
        self.worker.log("received", name)
        try:
            self.check_open()
            self.worker.log("runs", name)
            self.work(float(query.get("work_ms", "10")) / 1000)
            self.send_body(name, int(query.get("size", "100")), query)
        except (Gone, OSError):
            self.worker.log("dropped", name)
            raise
        self.worker.log("answered", name)

    def work(self, seconds: float) -> None:
        """Work for ``seconds``, unless the connection closes."""
        ends = time.monotonic() + seconds
        while (left := ends - time.monotonic()) > 0:
            self.check_open()
            time.sleep(min(left, SLICE_SECONDS))
        self.check_open()

    def check_open(self) -> None:
        """Raise ``Gone`` if the other end has closed the connection."""
        readable, _, _ = select.select([self.sock], [], [], 0)
        if readable and not self.sock.recv(1, socket.MSG_PEEK):
            raise Gone

    def send_body(self, name: str, size: int, query: dict[str, str]) -> None:
        """Send the answer, with its body in pieces over ``body_ms`` if given."""
        self.send_head(200, name, size)
        body = make_body(name, size)
        pieces = max(1, int(float(query.get("body_ms", "0")) / 50))
        step = -(-size // pieces)
        for start in range(0, size, step):
            self.sock.sendall(body[start : start + step])
            if pieces > 1:
                self.work(0.05)

    def send_head(self, status: int, name: str, size: int) -> None:
        """Send the head of an answer."""
        seal = "" if status == 421 else "X-Runhatch-Response-Seal: s1\r\n"
        self.sock.sendall(
            f"HTTP/1.1 {status} Status\r\nX-Runhatch-Attempt-Id: {name}\r\n{seal}"
            f"Keep-Alive: timeout={IDLE_SECONDS}\r\n"
            f"Content-Length: {size}\r\n\r\n".encode()
        )


class Worker:
    """One worker of a plain service."""

    def __init__(self, arguments: argparse.Namespace, log: IO[str]) -> None:
        self.identity = f"i-{uuid.uuid4().hex[:8]}"
        self.read_rate: float = arguments.read_rate
        self._service: str = arguments.service
        self._store: str = arguments.store
        self._slots: int = arguments.slots
        self._log = log
        self._lock = threading.Lock()
        self._serves_on: float = arguments.serves_on
        self._left = threading.Event()
        self._listener = socket.socket()
        if arguments.receive_buffer:
            self._listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, arguments.receive_buffer
            )
        if arguments.segment_bytes:
            self._listener.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_MAXSEG, arguments.segment_bytes
            )
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(512)

    def log(self, what: str, name: str, **more: object) -> None:
        """Write one line to the log."""
        record = {"t": time.monotonic(), "what": what, "id": name, **more}
        with self._lock:
            self._log.write(json.dumps(record) + "\n")
            self._log.flush()

    def run(self) -> None:
        """Register, and serve connections until killed."""
        threading.Thread(target=self._keep_registered, daemon=True).start()
        print(f"port {self._listener.getsockname()[1]} {self.identity}", flush=True)
        while True:
            sock, _ = self._listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = Connection(self, sock)
            threading.Thread(target=connection.serve, daemon=True).start()

    def _keep_registered(self) -> None:
        sequence = 0
        while not self._left.is_set():
            sequence += 1
            self._register(sequence)
            self._left.wait(BEAT_SECONDS)
        # The worker leaves without having reported that it drains, and serves on.
        row = {"table": "servers", "key": self.identity}
        self._write_rows({"remove": [row]})
        self.log("entry removed", self.identity)
        if self._serves_on:
            time.sleep(self._serves_on)
            self.log("exits", self.identity)
            os._exit(0)

    def leave(self, *_: object) -> None:
        """Remove the entry, and serve what still arrives."""
        self._left.set()

    def _register(self, sequence: int) -> None:
        entry = {
            "service": self._service,
            "address": f"127.0.0.1:{self._listener.getsockname()[1]}",
            "zone": "hall-a",
            "version": "v1",
            "slots": self._slots,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": sequence,
        }
        row: dict[str, Any] = {"table": "servers", "key": self.identity}
        self._write_rows({"puts": [{**row, "document": entry}]})

    def _write_rows(self, change: dict[str, Any]) -> None:
        call = urllib.request.Request(
            f"{self._store}/rows",
            json.dumps(change).encode(),
            {"Content-Type": "application/json"},
            method="PUT",
        )
        try:
            urllib.request.urlopen(call, timeout=2).read()
        except OSError:
            return


def make_body(name: str, size: int) -> bytes:
    """Return the body of the answer to the request ``name``."""
    part = f"{name} ".encode()
    return (part * (size // len(part) + 1))[:size]


def main() -> None:
    """Run the worker."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--store", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--log", required=True)
    parser.add_argument("--slots", type=int, default=64)
    parser.add_argument("--read-rate", type=float, default=0.0)
    parser.add_argument("--receive-buffer", type=int, default=0)
    parser.add_argument("--serves-on", type=float, default=0.0)
    parser.add_argument("--segment-bytes", type=int, default=0)
    arguments = parser.parse_args()
    with open(arguments.log, "a") as log:
        worker = Worker(arguments, log)
        signal.signal(signal.SIGUSR1, worker.leave)
        worker.run()


if __name__ == "__main__":
    main()
