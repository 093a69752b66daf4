"""A stand-in for a target: an engine or a plain service, with the published API.

It registers itself in the store, accepts orders, reports its models and serves any
path.  ``GET /journal`` returns what it ran, and ``POST /faults`` sets faults.
"""

import argparse
import os
import threading
import time
import uuid
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from runhatch_standins._brittle import OccupyingChunks, Room
from runhatch_standins._cluster import call as call_json
from runhatch_standins._worker_faults import (
    CLOSED_EARLY,
    NO_FAULTS,
    PLANTED_ORDERS,
    RESET,
    SKIPPED_EVENT,
)
from runhatch_standins._wsgi import (
    BrokenOffError,
    Call,
    Reply,
    Routes,
    break_off,
    reply_json,
    serve,
)

NOT_RUN = (("X-Runhatch-Not-Executed", "1"),)
EVENT_SECONDS = 0.01
SLOTS = 8
DEFAULT_VERSION = "v1"
LOAD_SECONDS = 0.3
CRASHED = 70
"""Exit status after a request crashed the process."""
Document = dict[str, Any]


@dataclass(slots=True)
class Run:
    """One request that the target ran."""

    attempt_id: str
    model: str
    events: int = 0
    ended: str = "running"


@dataclass(slots=True)
class Worker:
    """The state and the faults of one target."""

    store_url: str
    service: str
    failure_domain: str
    models: dict[str, set[str]]
    software_version: str = ""
    """Version in its entry and in the data of its events; empty for the default one,
    which its events do not show."""
    slots: int = SLOTS
    """Places for requests, of which it turns away further ones while it is brittle."""
    identity: str = field(default_factory=lambda: f"i-{uuid.uuid4().hex[:10]}")
    port: int = 0
    state: str = "ready"
    orders: int = 0
    busy: bool = False
    runs: list[Run] = field(default_factory=list)
    arrivals: list[str] = field(default_factory=list)
    """Attempt ids received, including those of refused attempts."""
    orders_given: list[Document] = field(default_factory=list)
    """Orders received, including those not carried out."""
    order_times: list[float] = field(default_factory=list)
    """Arrival times of ``orders_given``, in seconds of its VM's monotonic clock."""
    restart_times: list[float] = field(default_factory=list)
    """Times of restarts, each of which lost all state, by the same clock."""
    identities: list[list[str | None]] = field(default_factory=list)
    """Attempt id, workspace and credentials of each arrival."""
    arrival_times: list[float] = field(default_factory=list)
    """Arrival times of ``arrivals``, by the same clock."""
    rate_limit: str = ""
    """Requests per second from all gateways together, as announced in responses."""
    faults: Document = field(default_factory=lambda: dict(NO_FAULTS))
    lock: threading.Lock = field(default_factory=threading.Lock)
    room: Room = field(init=False)
    born_ms: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    """Unix time of its start in milliseconds."""

    def __post_init__(self) -> None:
        self.room = Room(self.slots, time.monotonic)

    def routes(self) -> Routes:
        """Return the WSGI application."""
        routes = Routes()
        routes.add("GET", "/api/report", self.report)
        routes.add("POST", "/api/order", self.order)
        routes.add("GET", "/journal", self.journal)
        routes.add("POST", "/faults", self.set_faults)
        routes.add("POST", "/rate_limit", self.name_limit)
        routes.add("POST", "/drain", self.drain)
        routes.add("POST", "/restart", self.restart)
        routes.add("POST", "/register", self.register_again)
        for method in ("GET", "POST"):
            routes.add(method, "/.*", self.serve)
        return routes

    def bound(self, port: int) -> None:
        """Set the port this target listens on, and register."""
        self.port = port
        self.register()

    def register(self) -> None:
        """Write this target's entry to the store."""
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            # ``zone`` is the published name of the failure domain.
            "zone": self.failure_domain,
            "version": self.software_version or DEFAULT_VERSION,
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self.orders,
            "born": self.born_ms,
            "models": self._loaded_models(),
            "available": {"in_memory": [], "on_disk": sorted(self.models)},
        }
        row = {"table": "servers", "key": self.identity, "document": entry}
        call_json(self.store_url, "PUT", "/rows", {"puts": [row]})

    def report(self, call: Call) -> Reply:
        """Return the loaded models and the number of accepted orders."""
        self.room.check_up()
        return reply_json(
            {
                "models": self._loaded_models(),
                "busy": self.busy,
                "sequence": self.orders,
                "born": self.born_ms,
            }
        )

    def order(self, call: Call) -> Reply:
        """Carry out an order, unless another one was accepted in the meantime."""
        self.room.check_up()
        document = call.json()
        if call.headers.get("x-runhatch-expect-instance") != self.identity:
            return Reply(421)
        self._record_order(document)
        if self.faults["lose_orders"]:
            return Reply(500)
        with self.lock:
            if self.busy or document.get("expected", self.orders) != self.orders:
                return reply_json({"error": "conflict"}, 409)
            self.orders += 1
            if "adapter" in document:
                adapters = self.models[document["model"]]
                change = adapters.add if document["op"] == "load" else adapters.discard
                change(document["adapter"])
                return Reply(202)
            self.busy = True
        threading.Thread(target=self._carry_out, args=(document,)).start()
        return Reply(202)

    def journal(self, call: Call) -> Reply:
        """Return the runs, arrivals, orders, restarts and falls."""
        runs = [[run.attempt_id, run.model, run.ended] for run in self.runs]
        with self.lock:
            orders, order_times = [*self.orders_given], [*self.order_times]
        return reply_json(
            {
                "runs": runs,
                "arrivals": self.arrivals,
                "arrival_times": self.arrival_times,
                "identities": self.identities,
                "identity": self.identity,
                "orders": orders,
                "order_times": order_times,
                "restart_times": self.restart_times,
                "falls": self.room.falls,
            }
        )

    def set_faults(self, call: Call) -> Reply:
        """Replace all faults; reset those not named in the body to their defaults."""
        self.faults = {**NO_FAULTS, **call.json()}
        self.room.brittle = int(self.faults["brittle"])
        self.room.down_seconds = float(self.faults["down_seconds"])
        return reply_json(self.faults)

    def name_limit(self, call: Call) -> Reply:
        """Set the rate limit announced in responses; an empty one removes it."""
        self.rate_limit = str(call.json()["named"])
        return reply_json({})

    def drain(self, call: Call) -> Reply:
        """Mark the target as draining in its entry."""
        self.state = "draining"
        self.register()
        return reply_json({})

    def register_again(self, call: Call) -> Reply:
        """Write the entry again, as targets do periodically."""
        self.register()
        return reply_json({})

    def restart(self, call: Call) -> Reply:
        """Simulate a restart under the same name; only the journal is kept."""
        with self.lock:
            self.restart_times.append(time.monotonic())
            self.models = {}
            self.orders = 0
            self.born_ms = max(self.born_ms + 1, time.time_ns() // 1_000_000)
        self.register()
        return reply_json({})

    def serve(self, call: Call) -> Reply:
        """Serve one request, subject to the faults and the room."""
        self.room.check_up()
        reply = self._admit(call)
        return replace(reply, headers=(*reply.headers, *self.room.headers()))

    def _admit(self, call: Call) -> Reply:
        attempt_id = call.headers.get("x-runhatch-attempt-id", "")
        model, _, adapter = call.headers.get("x-runhatch-model", "").partition("/")
        expected = call.headers.get("x-runhatch-expect-instance", self.identity)
        if expected != self.identity or not self._serves(model, adapter):
            return Reply(421, headers=(("X-Runhatch-Attempt-Id", attempt_id),))
        if not attempt_id:
            return Reply(400, headers=NOT_RUN)
        self.arrivals.append(attempt_id)
        self.arrival_times.append(time.monotonic())
        self.identities.append(
            [
                attempt_id,
                call.headers.get("x-runhatch-tenant"),
                call.headers.get("authorization"),
            ]
        )
        refusal = (
            *NOT_RUN,
            ("X-Runhatch-Attempt-Id", attempt_id),
            *self._rate_limit_header(),
        )
        if self.faults["rest_seconds"]:
            backoff = ("Retry-After", str(self.faults["rest_seconds"]))
            return Reply(503, headers=(*refusal, backoff))
        if not self.room.take():
            return Reply(503, headers=refusal)
        try:
            reply = self._run(call, attempt_id, model)
            self.room.check_up()
        except BaseException:
            self.room.release()
            raise
        if reply.chunks is None:
            self.room.release()
            return reply
        return replace(reply, chunks=OccupyingChunks(reply.chunks, self.room))

    def _run(self, call: Call, attempt_id: str, model: str) -> Reply:
        run = Run(attempt_id, model)
        self.runs.append(run)
        if self.faults["ends_on"] and self.faults["ends_on"] in call.path:
            os._exit(CRASHED)
        time.sleep(float(self.faults["hang_seconds"]))
        headers: tuple[tuple[str, str], ...] = (
            ("X-Runhatch-Attempt-Id", attempt_id),
            ("X-Runhatch-Response-Seal", f"seal-{self.identity}"),
            *self._rate_limit_header(),
        )
        if self.faults["leaving"]:
            headers += (("Server-Leaving", "1"),)
        if self.faults["run_twice"]:
            self.runs.append(Run(attempt_id, model))
        if self.faults["untrue_refusal"]:
            return Reply(503, headers=(*NOT_RUN, *headers[:1]))
        if self.faults["wrong_body"]:
            return Reply(200, b"another's", headers)
        if self.faults["status"]:
            run.ended = "failed"
            return Reply(int(self.faults["status"]), b"failed", headers)
        if not model:
            run.ended = "answered"
            body = f"{call.path} {attempt_id}".encode()
            return Reply(200, body, headers, is_framed=not self.faults["unframed"])
        count = int(call.headers.get("x-runhatch-token-count", "0,8").split(",")[1])
        first = int(call.headers.get("last-event-id", "0"))
        events = self._stream_events(run, first, count)
        if self.faults["ends_on_part"] in _parts_of_prompt(call):
            events = _exit_at_first_event()
        if self._breaks_off(attempt_id):
            events = self._break_off(run, events)
        stream = (*headers, ("Content-Type", "text/event-stream"))
        framed = not self.faults["unframed"]
        return Reply(200, headers=stream, chunks=events, is_framed=framed)

    def _record_order(self, document: Document) -> None:
        recorded = [document]
        for fault, (increment, suffix) in PLANTED_ORDERS.items():
            if self.faults[fault]:
                fence, holder = (
                    document["fence"] + increment,
                    document["holder"] + suffix,
                )
                recorded.append({**document, "fence": fence, "holder": holder})
        with self.lock:
            self.orders_given += recorded
            self.order_times += [time.monotonic()] * len(recorded)

    def _rate_limit_header(self) -> tuple[tuple[str, str], ...]:
        return (("Server-Limit", self.rate_limit),) if self.rate_limit else ()

    def _breaks_off(self, attempt_id: str) -> bool:
        """Return whether to break off a stream of ``attempt_id``."""
        if self.faults["break_at"] < 0 or not self.faults["break_once_in"]:
            return bool(self.faults["break_at"] >= 0)
        try:
            Path(self.faults["break_once_in"], attempt_id).touch(exist_ok=False)
        except FileExistsError:
            return False
        return True

    def _break_off(self, run: Run, events: Iterator[bytes]) -> Iterator[bytes]:
        is_reset = bool(self.faults["break_by_reset"])
        try:
            yield from break_off(events, self.faults["break_at"], is_reset)
        except BrokenOffError:
            run.ended = RESET if is_reset else CLOSED_EARLY
            raise

    def _stream_events(self, run: Run, first: int, count: int) -> Iterator[bytes]:
        run.ended = "left"
        data = f"{run.attempt_id} {self.software_version}".rstrip()
        for number in range(first + 1, count + 1):
            time.sleep(EVENT_SECONDS)
            if self.faults["short_stream"] and number > count // 2:
                break
            if self.faults["skip_event"] and number == SKIPPED_EVENT:
                continue
            run.events += 1
            yield f"id: {number}\ndata: {data}\n\n".encode()
        run.ended = "answered"

    def _carry_out(self, document: Document) -> None:
        time.sleep(LOAD_SECONDS)
        with self.lock:
            if document["op"] == "load":
                self.models[document["model"]] = set()
            else:
                self.models.pop(document["model"], None)
            self.busy = False
        self.register()

    def _serves(self, model: str, adapter: str) -> bool:
        if not model:
            return True
        return model in self.models and (not adapter or adapter in self.models[model])

    def _loaded_models(self) -> list[Document]:
        return [
            {"name": model, "version": 1, "adapters": sorted(adapters)}
            for model, adapters in sorted(self.models.items())
        ]


def _parts_of_prompt(call: Call) -> list[str]:
    """Return the ids of the prompt's parts, in order."""
    header = call.headers.get("x-runhatch-prompt-prefix", "")
    return [item.partition(":")[0] for item in header.split(",") if item]


def _exit_at_first_event() -> Iterator[bytes]:
    """Exit before the first event, as if writing it crashed the process."""
    time.sleep(EVENT_SECONDS)
    os._exit(CRASHED)
    yield b""


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--store", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--failure-domain", default="d1")
    parser.add_argument("--models", default="")
    parser.add_argument("--version", default="")
    parser.add_argument("--slots", type=int, default=SLOTS)
    arguments = parser.parse_args()
    models = {name: set[str]() for name in arguments.models.split(",") if name}
    worker = Worker(
        arguments.store,
        arguments.service,
        arguments.failure_domain,
        models,
        arguments.version,
        arguments.slots,
    )
    serve(worker.routes(), arguments.port, threads=32, on_bound=worker.bound)


if __name__ == "__main__":
    main()
