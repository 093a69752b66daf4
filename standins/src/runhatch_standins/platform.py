"""A stand-in for the platform's store, with its published API and injectable faults.

It has tables of rows with one version counter, conditional transactions, long-polled
change feeds and objects.  ``POST /faults`` sets faults and ``GET /stats`` returns
counts.  ``PUT /rows`` writes rows without conditions, as operators and targets do.
``POST /copy`` makes a backup of the rows, and ``POST /restore`` restores it.
"""

import argparse
import base64
import json
import random
import threading
import time
from dataclasses import dataclass, replace
from typing import Any
from urllib.parse import parse_qs

import msgspec

from runhatch_standins._holds import Holds
from runhatch_standins._wsgi import Call, Handler, Reply, Routes, reply_json, serve

PAGE = 500
"""Default maximum number of rows in a response."""
ERA_HEADER = "Store-Era"
ANSWER = "answer"
CLAIM_TABLE = "claim"
UNANSWERED_SECONDS = 30.0
"""How long a call stays open under the fault ``silent``."""
NO_FAULTS: dict[str, Any] = {
    "down": False,
    "busy": False,
    "silent": False,
    "slow_seconds": 0.0,
    "lose_answer": 0.0,
    "lose_request": 0.0,
    "hold": None,
}
Document = dict[str, Any]


@dataclass(frozen=True, slots=True, order=True)
class RowName:
    """The table, part and key that identify a row."""

    table: str
    part: str
    key: str


History = list[tuple[int, RowName, str | None]]
"""Changes by version; the value is ``None`` for a removed row."""


class Rows:
    """The rows, their versions and the history of changes."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.version = 0
        self._rows: dict[RowName, tuple[str, int]] = {}
        self._history: History = []
        self._history_start = 0
        self.era = 0
        """Number of restores from a backup."""
        self._backup = self._snapshot()

    def copy(self) -> None:
        """Back up the rows and their history."""
        with self.changed:
            self._backup = self._snapshot()

    def restore(self) -> None:
        """Restore the last backup, which discards all later writes."""
        with self.changed:
            self.version, rows, history, self._history_start = self._backup
            self._rows, self._history = dict(rows), list(history)
            self.era += 1
            self.changed.notify_all()

    def _snapshot(self) -> tuple[int, dict[RowName, tuple[str, int]], History, int]:
        return self.version, dict(self._rows), list(self._history), self._history_start

    def transact(self, document: Document) -> Document | None:
        """Apply a transaction; return the conflicting rows or ``None``."""
        with self.changed:
            expected = document.get("expected", [])
            if any(self._version(_row_name(row)) != row["ver"] for row in expected):
                found = [self._find_row(_row_name(row)) for row in expected]
                rows = [row for row in found if row is not None]
                return {"rows": rows, "ver": self.version}
            self.version += 1
            for row in document.get("puts", []):
                self._put(_row_name(row), row["value"])
            for row in document.get("remove", []):
                self._put(_row_name(row), None)
            self.changed.notify_all()
            return None

    def read(self, table: str, part: str, first: str, end: str) -> list[Document]:
        """Return the rows of one part, sorted by key, from ``first`` until ``end``.

        ``end`` is exclusive; an empty one means no limit.
        """
        with self.changed:
            names = sorted(
                name
                for name in self._rows
                if (name.table, name.part) == (table, part)
                and name.key >= first
                and (not end or name.key < end)
            )
            return [row for name in names if (row := self._find_row(name)) is not None]

    def since(self, table: str, after: int, wait: float) -> list[Document] | None:
        """Return changes after a version, waiting up to ``wait`` seconds for the first.

        Returns ``None`` if the history from that version on is not available.
        """
        with self.changed:
            era = self.era
            if after > self.version:
                return None
            self.changed.wait_for(
                lambda: bool(self._changes_after(table, after)) or self.era != era, wait
            )
            if after < self._history_start or self.era != era:
                return None
            return self._changes_after(table, after)

    def forget_history(self) -> None:
        """Discard the history of changes, as the store may do at any time."""
        with self.changed:
            self._history.clear()
            self._history_start = self.version

    def _changes_after(self, table: str, after: int) -> list[Document]:
        return [
            {**_row_document(name, value or "", version), "removed": value is None}
            for version, name, value in self._history
            if version > after and name.table == table
        ]

    def _put(self, name: RowName, value: str | None) -> None:
        self._history.append((self.version, name, value))
        if value is None:
            self._rows.pop(name, None)
        else:
            self._rows[name] = (value, self.version)

    def _version(self, name: RowName) -> int:
        row = self._rows.get(name)
        return 0 if row is None else row[1]

    def _find_row(self, name: RowName) -> Document | None:
        row = self._rows.get(name)
        return None if row is None else _row_document(name, *row)


class Platform:
    """The rows, objects and faults of one platform."""

    def __init__(self, seed: int) -> None:
        self._rows = Rows()
        self._objects: dict[str, bytes] = {}
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self.faults = dict(NO_FAULTS)
        self._holds = Holds()
        self.counts = {"writes": 0, "reads": 0, "object_puts": 0, "object_gets": 0}

    def routes(self) -> Routes:
        """Return the WSGI application."""
        routes = Routes()
        routes.add("POST", "/api/rows-tx", self._with_era(self.transact))
        routes.add("GET", "/api/rows-get", self._with_era(self.get))
        routes.add("GET", "/api/rows-feed", self._with_era(self.feed))
        routes.add("PUT", "/api/blob-put/(.+)", self._with_era(self.put_object))
        routes.add("GET", "/api/blob-get/(.+)", self._with_era(self.get_object))
        routes.add("POST", "/faults", self.set_faults)
        routes.add("POST", "/forget", self.forget)
        routes.add("POST", "/copy", self.copy)
        routes.add("POST", "/restore", self.restore)
        routes.add("GET", "/stats", self.stats)
        routes.add("PUT", "/rows", self.put_rows)
        routes.add("GET", "/rows/(.*)", self.show_rows)
        return routes

    def set_faults(self, call: Call) -> Reply:
        """Replace all faults; reset those not named in the body to their defaults."""
        self.faults = {**NO_FAULTS, **call.json()}
        self._holds.set(self.faults["hold"])
        return reply_json(self.faults)

    def forget(self, call: Call) -> Reply:
        """Discard the history of changes."""
        self._rows.forget_history()
        return reply_json({})

    def copy(self, call: Call) -> Reply:
        """Back up all rows."""
        self._rows.copy()
        return reply_json({})

    def restore(self, call: Call) -> Reply:
        """Restore the last backup."""
        self._rows.restore()
        return reply_json({"era": self._rows.era})

    def stats(self, call: Call) -> Reply:
        """Return the number of calls served, by kind, and of calls held now."""
        return reply_json({**self.counts, "held": self._holds.held})

    def put_rows(self, call: Call) -> Reply:
        """Write and remove rows, regardless of faults and conditions."""
        document = call.json()
        puts = [_encode_row(row) for row in document.get("puts", [])]
        self._rows.transact({"puts": puts, "remove": document.get("remove", [])})
        return reply_json({"ver": self._rows.version})

    def show_rows(self, call: Call) -> Reply:
        """Return the keys and bodies of a table's rows, regardless of faults."""
        rows = self._rows.read(call.match.group(1), "", "", "")
        return reply_json(
            [[row["key"], _decode_body(row["value"]).decode()] for row in rows]
        )

    def transact(self, call: Call) -> Reply:
        """Serve a transaction, subject to the faults."""
        fault_reply = self._faulty_reply()
        if fault_reply is not None:
            return fault_reply
        self.counts["writes"] += 1
        if self._draw_fault("lose_request"):
            return Reply(500)
        document = call.json()
        kind = _transaction_kind(document)
        self._holds.pass_by(kind, "before")
        conflict = self._rows.transact(document)
        self._holds.pass_by(kind, "after")
        if self._draw_fault("lose_answer"):
            return Reply(500)
        if conflict is not None:
            return reply_json(conflict, 412)
        return reply_json({"ver": self._rows.version, "now_ms": _now_ms()})

    def get(self, call: Call) -> Reply:
        """Serve a range of rows."""
        fault_reply = self._faulty_reply()
        if fault_reply is not None:
            return fault_reply
        self.counts["reads"] += 1
        query = _query_parameters(call)
        rows = self._rows.read(
            query["table"],
            query.get("part", ""),
            query.get("from", ""),
            query.get("to", ""),
        )
        page = rows[: int(query.get("limit", PAGE))]
        return self._reply_rows(page, len(rows) > len(page))

    def feed(self, call: Call) -> Reply:
        """Serve changes by long polling; answer 410 if the history is unavailable."""
        fault_reply = self._faulty_reply()
        if fault_reply is not None:
            return fault_reply
        self.counts["reads"] += 1
        query = _query_parameters(call)
        wait = float(query.get("wait_ms", 0)) / 1000
        rows = self._rows.since(query["table"], int(query["after"]), wait)
        if rows is None:
            return reply_json({"error": "the history is unavailable"}, 410)
        return self._reply_rows(rows, more=False)

    def put_object(self, call: Call) -> Reply:
        """Store an object."""
        fault_reply = self._faulty_reply()
        if fault_reply is not None:
            return fault_reply
        self._holds.pass_by(ANSWER, "before")
        with self._lock:
            self.counts["object_puts"] += 1
            self._objects[call.match.group(1)] = call.body
        self._holds.pass_by(ANSWER, "after")
        return Reply(200)

    def get_object(self, call: Call) -> Reply:
        """Return an object."""
        fault_reply = self._faulty_reply()
        if fault_reply is not None:
            return fault_reply
        with self._lock:
            self.counts["object_gets"] += 1
            body = self._objects.get(call.match.group(1))
        return Reply(404) if body is None else Reply(200, body)

    def _with_era(self, handler: Handler) -> Handler:
        """Return ``handler`` with the store's era added to its response headers."""

        def handle(call: Call) -> Reply:
            reply = handler(call)
            era = (ERA_HEADER, str(self._rows.era))
            return replace(reply, headers=(*reply.headers, era))

        return handle

    def _reply_rows(self, rows: list[Document], more: bool) -> Reply:
        answer = {"rows": rows, "has_more": more, "ver": self._rows.version}
        return reply_json({**answer, "now_ms": _now_ms()})

    def _faulty_reply(self) -> Reply | None:
        if self.faults["silent"]:
            time.sleep(UNANSWERED_SECONDS)
        time.sleep(float(self.faults["slow_seconds"]))
        if self.faults["busy"]:
            return Reply(429)
        return Reply(503) if self.faults["down"] else None

    def _draw_fault(self, fault: str) -> bool:
        with self._lock:
            return self._random.random() < float(self.faults[fault])


def _row_name(row: Document) -> RowName:
    return RowName(row["table"], row.get("part", ""), row["key"])


def _row_document(name: RowName, value: str, version: int) -> Document:
    return {
        "table": name.table,
        "part": name.part,
        "key": name.key,
        "value": value,
        "ver": version,
    }


def _encode_row(row: Document) -> Document:
    """Return ``row`` with its ``document`` encoded as JSON in ``value``."""
    body = json.dumps(row["document"]).encode()
    return {**row, "value": base64.b64encode(body).decode()}


def _decode_body(value: str) -> bytes:
    """Decode the body of a row written by the library: version, body, end."""
    return bytes(msgspec.msgpack.decode(base64.b64decode(value))[1])


def _transaction_kind(document: Document) -> str:
    """Return the kind of a transaction for holds: a claim's state, or ``other``."""
    for row in document.get("puts", []):
        if row["table"] == CLAIM_TABLE:
            return str(json.loads(_decode_body(row["value"]))["state"])
    return "other"


def _query_parameters(call: Call) -> dict[str, str]:
    found = parse_qs(call.query, keep_blank_values=True)
    return {name: values[-1] for name, values in found.items()}


def _now_ms() -> int:
    return int(time.monotonic() * 1000)


def main() -> None:
    """Run the stand-in from the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    serve(Platform(arguments.seed).routes(), arguments.port, threads=64)


if __name__ == "__main__":
    main()
