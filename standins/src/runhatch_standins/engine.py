"""A stand-in for a model engine, served over HTTP, with injectable faults.

Implements the OpenAI-style completion endpoints, resumes streams by
``Last-Event-ID``, accepts load orders and cancellations, reports load and memory
with a configurable lag, and records the requests it ran.
"""

import argparse
import json
import random
import threading
import time
import uuid
from collections import deque
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

from runhatch_standins._engine_memory import NO_ORDER_FAULTS, Memory
from runhatch_standins._engine_runs import Run, Runs
from runhatch_standins._journal import Journal
from runhatch_standins._text import DEFAULT_TOKENS
from runhatch_standins._wsgi import Call, Reply, Routes, reply_json, serve

EVENT_STREAM = ("Content-Type", "text/event-stream")
NO_FAULTS: dict[str, Any] = {
    **NO_ORDER_FAULTS,
    "draining": False,
    "slow": 1.0,
    "break_streams": 0,
    "break_after": 3,
    "forget_broken": False,
    "wrong_ids": 0,
    "fail": 0,
    "state_lag_seconds": 0.0,
    "cache_event_lag_seconds": 0.0,
    "cache_event_gaps": 0.0,
}


class BrokenStream(Exception):
    """Raised in a response to close its connection before the final chunk."""


class Engine:
    """One engine: its memory, its requests, its faults and its journal."""

    def __init__(self, memory: Memory, runs: Runs, journal: Journal) -> None:
        self._memory = memory
        self._runs = runs
        self._incarnation = uuid.uuid4().hex
        self._lock = threading.Lock()
        self._journal = journal
        self._reports: deque[tuple[float, dict[str, Any]]] = deque(maxlen=10_000)
        self._faults = dict(NO_FAULTS)

    def routes(self) -> Routes:
        """Return the WSGI application."""
        routes = Routes()
        routes.add("POST", "/v1/(chat/completions|completions)", self.complete)
        routes.add("GET", "/v1/streams/(.+)", self.resume)
        routes.add("DELETE", "/v1/requests/(.+)", self.cancel)
        routes.add("POST", "/v1/orders", self.order)
        routes.add("GET", "/v1/state", self.state)
        routes.add("GET", "/v1/cache_events", self.cache_events)
        routes.add("POST", "/faults", self.set_faults)
        routes.add("GET", "/faults", self.tell_faults)
        routes.add("GET", "/record", self.record)
        return routes

    def tell_faults(self, call: Call) -> Reply:
        """Return the faults that are set; counted ones show how many remain."""
        return reply_json(self._faults)

    def set_faults(self, call: Call) -> Reply:
        """Replace all faults; reset those not named in the body to their defaults."""
        self._faults = {**NO_FAULTS, **call.json()}
        self._memory.faults = {name: self._faults[name] for name in NO_ORDER_FAULTS}
        self._runs.slow = float(self._faults["slow"])
        return reply_json(self._faults)

    def record(self, call: Call) -> Reply:
        """Return the journal, the peak memory use and the cache counts."""
        memory = self._memory
        entries = self._journal.entries()
        return reply_json(
            {
                "runs": entries,
                "most_mb": memory.most_mb,
                "violations": [e["violation"] for e in entries if "violation" in e],
                "moves": memory.moves,
                "cached_blocks": self._runs.cached_blocks,
                "asked_blocks": self._runs.asked_blocks,
            }
        )

    def order(self, call: Call) -> Reply:
        """Apply a load or unload order and return its status."""
        return Reply(self._memory.receive(call.json()))

    def state(self, call: Call) -> Reply:
        """Return the newest report that is at least ``state_lag_seconds`` old."""
        now = time.monotonic()
        current = {
            "incarnation": self._incarnation,
            "running": self._runs.running,
            "waiting": self._runs.waiting,
            "draining": bool(self._faults["draining"]),
            **self._memory.report(),
        }
        with self._lock:
            self._reports.append((now, current))
            seen = now - float(self._faults["state_lag_seconds"])
            old = [report for at, report in self._reports if at <= seen]
        return reply_json(old[-1] if old else current)

    def cache_events(self, call: Call) -> Reply:
        """Return the events of the prefix cache, with the lag and gaps that are set."""
        query = parse_qs(call.query)
        after = int(query.get("after", ["-1"])[0])
        limit = int(query.get("limit", ["1000"])[0])
        seen = time.monotonic() - float(self._faults["cache_event_lag_seconds"])
        gaps = float(self._faults["cache_event_gaps"])
        events = [
            {"sequence": e.sequence, "block": e.block, "stored": e.stored}
            for e in list(self._runs.cache_events)
            # Loss depends only on the sequence number, so polls agree.
            if e.sequence > after and e.at <= seen and not _is_lost(e.sequence, gaps)
        ]
        published = [e.sequence for e in list(self._runs.cache_events) if e.at <= seen]
        last = published[-1] if published else -1
        return reply_json({"events": events[:limit], "last": last})

    def cancel(self, call: Call) -> Reply:
        """Cancel a request."""
        run = self._runs.runs.get(call.match.group(1))
        if run is not None:
            run.cancelled = True
        return Reply(204)

    def complete(self, call: Call) -> Reply:
        """Run a completion request, with a streamed or a complete response."""
        document = call.json()
        rejection = self._rejection(document)
        if rejection is not None:
            return rejection
        request_id = call.headers.get("x-request-id", uuid.uuid4().hex)
        run = self._runs.begin(
            request_id,
            document["model"],
            _build_prompt(document),
            int(document.get("max_tokens") or DEFAULT_TOKENS),
            _parse_priority(call.headers.get("priority", "")),
            call.match.group(1) == "chat/completions",
        )
        if run is None:
            return reply_json({"error": {"message": "the queue is full"}}, 429)
        self._record_run(run, "began")
        headers = self._response_headers(request_id)
        if document.get("stream"):
            events = self._stream_events(run, 0)
            return Reply(200, headers=(EVENT_STREAM, *headers), chunks=events)
        return self._complete_response(run, headers)

    def resume(self, call: Call) -> Reply:
        """Resume a stream after the last event that the caller received."""
        run = self._runs.runs.get(call.match.group(1))
        if run is None or run.cancelled:
            return Reply(404)
        after = int(call.headers.get("last-event-id", "-1")) + 1
        headers = (EVENT_STREAM, *self._response_headers(run.request_id))
        return Reply(200, headers=headers, chunks=self._stream_events(run, after))

    def _rejection(self, document: dict[str, Any]) -> Reply | None:
        if self._faults["draining"]:
            return reply_json({"error": {"message": "draining"}}, 503)
        if self._consume_fault("fail"):
            return reply_json({"error": {"message": "failed"}}, 500)
        if not self._memory.serves(str(document.get("model"))):
            return reply_json({"error": {"code": "model_not_found"}}, 404)
        return None

    def _consume_fault(self, fault: str) -> bool:
        """Decrement a counted fault; return whether it was positive."""
        with self._lock:
            if int(self._faults[fault]) <= 0:
                return False
            self._faults[fault] -= 1
            return True

    def _response_headers(self, request_id: str) -> tuple[tuple[str, str], ...]:
        response_id = "another" if self._consume_fault("wrong_ids") else request_id
        load = {
            "named_metrics": {
                "num_requests_running": self._runs.running,
                "num_requests_waiting": self._runs.waiting,
            }
        }
        return (
            ("X-Request-Id", response_id),
            ("endpoint-load-metrics", f"JSON {json.dumps(load)}"),
        )

    def _complete_response(
        self, run: Run, headers: tuple[tuple[str, str], ...]
    ) -> Reply:
        for index in range(run.tokens):
            _wait_until(run.ready_at(index))
            if run.cancelled:
                break
        self._finish_run(run)
        text = "".join(run.text(index) for index in range(run.tokens))
        part = (
            {"message": {"role": "assistant", "content": text}}
            if run.chat
            else {"text": text}
        )
        choice = {"index": 0, "finish_reason": "stop", **part}
        kind = "chat.completion" if run.chat else "text_completion"
        body = _envelope(run, kind) | {
            "choices": [choice],
            "usage": {
                "prompt_tokens": len(run.prompt) // 4,
                "completion_tokens": run.tokens,
                "total_tokens": len(run.prompt) // 4 + run.tokens,
            },
        }
        reply = reply_json(body)
        return Reply(200, reply.body, (*reply.headers, *headers))

    def _stream_events(self, run: Run, after: int) -> Iterator[bytes]:
        breaks_stream = self._consume_fault("break_streams")
        try:
            for index in range(after, run.tokens):
                _wait_until(run.ready_at(index))
                if run.cancelled:
                    return
                if breaks_stream and index >= after + int(self._faults["break_after"]):
                    run.cancelled = bool(self._faults["forget_broken"])
                    raise BrokenStream(run.request_id)
                yield _encode_event(run, index)
            yield _encode_last_event(run)
            yield b"data: [DONE]\n\n"
            self._finish_run(run)
        finally:
            if run.cancelled:
                self._record_run(run, "cancelled")
                self._runs.end(run)
            elif not run.finished:
                # The caller may resume the stream, so generation continues.
                threading.Thread(
                    target=self._generate_detached, args=(run,), daemon=True
                ).start()

    def _generate_detached(self, run: Run) -> None:
        while not run.cancelled and time.monotonic() < run.ready_at(run.tokens):
            time.sleep(0.02)
        self._finish_run(run)

    def _finish_run(self, run: Run) -> None:
        if not run.finished:
            self._record_run(run, "cancelled" if run.cancelled else "finished")
        self._runs.end(run)

    def _record_run(self, run: Run, what: str) -> None:
        entry = {"id": run.request_id, "unit": run.unit, "prompt": run.prompt[:200]}
        self._journal.append({**entry, "what": what, "at": time.time()})


def _envelope(run: Run, kind: str) -> dict[str, Any]:
    return {
        "id": f"cmpl-{run.request_id}",
        "object": kind,
        "created": int(time.time()),
        "model": run.unit.rpartition("@")[0],
    }


def _encode_event(run: Run, index: int) -> bytes:
    text = run.text(index)
    part: dict[str, Any] = {"delta": {"content": text}} if run.chat else {"text": text}
    kind = "chat.completion.chunk" if run.chat else "text_completion"
    choice = {"index": 0, "finish_reason": None, **part}
    data = json.dumps(_envelope(run, kind) | {"choices": [choice]})
    return f"id: {index}\ndata: {data}\n\n".encode()


def _encode_last_event(run: Run) -> bytes:
    part: dict[str, Any] = {"delta": {}} if run.chat else {"text": ""}
    kind = "chat.completion.chunk" if run.chat else "text_completion"
    choice = {"index": 0, "finish_reason": "stop", **part}
    data = json.dumps(_envelope(run, kind) | {"choices": [choice]})
    return f"id: {run.tokens}\ndata: {data}\n\n".encode()


def _build_prompt(document: dict[str, Any]) -> str:
    if "prompt" in document:
        return str(document["prompt"])
    # A continued assistant message is the last one, appended to the prompt.
    return "\n".join(m["content"] for m in document["messages"][:-1]) + (
        (
            ""
            if document.get("continue_final_message")
            else "\n" * (len(document["messages"]) > 1)
        )
        + str(document["messages"][-1]["content"])
    )


def _parse_priority(priority: str) -> int:
    return int(priority[2]) if priority.startswith("u=") else 3


def _is_lost(sequence: int, share: float) -> bool:
    return random.Random(sequence).random() < share


def _wait_until(moment: float) -> None:
    remaining = moment - time.monotonic()
    if remaining > 0:
        time.sleep(remaining)


def main() -> None:
    """Run the stand-in from the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--memory-mb", type=int, default=80_000)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--queue", type=int, default=32)
    parser.add_argument("--per-token", type=float, default=0.005)
    parser.add_argument("--prefill-per-block", type=float, default=0.01)
    parser.add_argument("--ignores-fencing", action="store_true")
    parser.add_argument("--weights", default=None)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--journal", type=Path, default=None)
    arguments = parser.parse_args()
    journal = Journal(arguments.journal)
    memory = Memory(
        arguments.memory_mb,
        not arguments.ignores_fencing,
        arguments.weights,
        arguments.seed,
        journal,
    )
    runs = Runs(
        arguments.slots,
        arguments.queue,
        arguments.per_token,
        arguments.prefill_per_block,
    )
    serve(Engine(memory, runs, journal).routes(), arguments.port)


if __name__ == "__main__":
    main()
