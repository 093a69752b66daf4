"""The platform's stand-in: table, object store and VM list, with their faults.

The table speaks the part of DynamoDB JSON 1.0 that runhatch uses, the object store
plain S3 PUT and GET.  ``POST /faults`` sets faults, ``GET /stats`` tells counts.
"""

import argparse
import base64
import json
import random
import threading
import time
from typing import Any

from runhatch_coordination import (
    Check,
    Conflict,
    Delete,
    Key,
    Put,
    Row,
    Write,
)
from runhatch_coordination.testing import MemoryTable
from runhatch_standins._holds import Holds
from runhatch_standins._wsgi import Call, Reply, Routes, reply_json, serve

PAGE = 200
ANSWER = "answer"
CLAIM_PARTITION = "claim"
NO_FAULTS: dict[str, Any] = {
    "down": False,
    "slow_seconds": 0.0,
    "lose_answer": 0.0,
    "lose_request": 0.0,
    "vm_lag_seconds": 0.0,
    "hold": None,
}


class Platform:
    """State and faults of one platform."""

    def __init__(self, seed: int) -> None:
        self._table = MemoryTable()
        self._objects: dict[str, bytes] = {}
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._vms: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]
        self.faults = dict(NO_FAULTS)
        self._holds = Holds()
        self.counts = {"writes": 0, "reads": 0, "object_puts": 0, "object_gets": 0}

    def routes(self) -> Routes:
        """Return the application."""
        routes = Routes()
        routes.add("POST", "/", self.operate)
        routes.add("PUT", "/vms", self.set_vms)
        routes.add("GET", "/vms", self.list_vms)
        routes.add("POST", "/faults", self.set_faults)
        routes.add("GET", "/stats", self.stats)
        routes.add("GET", "/rows/(.*)", self.rows)
        routes.add("PUT", "/[^/]+/(.+)", self.put_object)
        routes.add("GET", "/[^/]+/(.+)", self.get_object)
        return routes

    def set_faults(self, call: Call) -> Reply:
        """Replace all faults; what is not named is healthy."""
        self.faults = {**NO_FAULTS, **call.json()}
        self._holds.set(self.faults["hold"])
        return reply_json(self.faults)

    def stats(self, call: Call) -> Reply:
        """Tell how many calls were served."""
        return reply_json({**self.counts, "held": self._holds.held})

    def rows(self, call: Call) -> Reply:
        """Tell a partition's rows, past all faults, for checking."""
        rows = self._table.query(call.match.group(1))
        assert isinstance(rows, tuple)
        return reply_json([[row.key.sort, row.body.decode()] for row in rows])

    def set_vms(self, call: Call) -> Reply:
        """Replace the list of VMs; readers see it after the lag."""
        with self._lock:
            self._vms.append((time.monotonic(), call.json()["vms"]))
        return reply_json({})

    def list_vms(self, call: Call) -> Reply:
        """Tell the list as of the lag ago."""
        seen = time.monotonic() - float(self.faults["vm_lag_seconds"])
        with self._lock:
            current = [vms for at, vms in self._vms if at <= seen][-1]
        return reply_json({"vms": current})

    def operate(self, call: Call) -> Reply:
        """Serve one table operation, if the faults let it through."""
        failed = self._fail_before()
        if failed is not None:
            return failed
        operation = call.headers["x-amz-target"].partition(".")[2]
        document = call.json()
        if operation == "GetItem":
            return self._get(document)
        if operation == "Query":
            return self._query(document)
        return self._transact(document)

    def put_object(self, call: Call) -> Reply:
        """Store an object."""
        failed = self._fail_before()
        if failed is not None:
            return failed
        self._holds.pass_by(ANSWER, "before")
        with self._lock:
            self.counts["object_puts"] += 1
            self._objects[call.match.group(1)] = call.body
        self._holds.pass_by(ANSWER, "after")
        return Reply(200)

    def get_object(self, call: Call) -> Reply:
        """Return an object."""
        failed = self._fail_before()
        if failed is not None:
            return failed
        with self._lock:
            self.counts["object_gets"] += 1
            body = self._objects.get(call.match.group(1))
        return Reply(404) if body is None else Reply(200, body)

    def _fail_before(self) -> Reply | None:
        time.sleep(float(self.faults["slow_seconds"]))
        return Reply(503) if self.faults["down"] else None

    def _happens(self, fault: str) -> bool:
        with self._lock:
            return self._random.random() < float(self.faults[fault])

    def _get(self, document: dict[str, Any]) -> Reply:
        self.counts["reads"] += 1
        found = self._table.get(_key(document["Key"]))
        return reply_json({"Item": _item(found)} if isinstance(found, Row) else {})

    def _query(self, document: dict[str, Any]) -> Reply:
        self.counts["reads"] += 1
        partition = document["ExpressionAttributeValues"][":p"]["S"]
        rows = self._table.query(partition)
        assert isinstance(rows, tuple)
        start = document.get("ExclusiveStartKey")
        if start is not None:
            rows = tuple(row for row in rows if row.key > _key(start))
        answer: dict[str, Any] = {"Items": [_item(row) for row in rows[:PAGE]]}
        if len(rows) > PAGE:
            last = rows[PAGE - 1].key
            answer["LastEvaluatedKey"] = {
                "p": {"S": last.partition},
                "s": {"S": last.sort},
            }
        return reply_json(answer)

    def _transact(self, document: dict[str, Any]) -> Reply:
        self.counts["writes"] += 1
        if self._happens("lose_request"):
            return Reply(500)
        writes = [_write(item) for item in document["TransactItems"]]
        kind = _kind(writes)
        self._holds.pass_by(kind, "before")
        outcome = self._table.transact(writes)
        self._holds.pass_by(kind, "after")
        if self._happens("lose_answer"):
            return Reply(500)
        if not isinstance(outcome, Conflict):
            return reply_json({})
        reasons = [
            {"Code": "ConditionalCheckFailed" if i in outcome.failed else "None"}
            for i in range(len(writes))
        ]
        kind = "com.amazonaws.dynamodb.v20120810#TransactionCanceledException"
        return reply_json({"__type": kind, "CancellationReasons": reasons}, 400)


def _kind(writes: list[Write]) -> str:
    """Return what a transaction is, for holding it: a claim's state, or other."""
    for write in writes:
        if isinstance(write, Put) and write.key.partition == CLAIM_PARTITION:
            return str(json.loads(write.body)["state"])
    return "other"


def _key(item: dict[str, Any]) -> Key:
    return Key(item["p"]["S"], item["s"]["S"])


def _item(row: Row) -> dict[str, Any]:
    return {
        "p": {"S": row.key.partition},
        "s": {"S": row.key.sort},
        "v": {"N": str(row.version)},
        "b": {"B": base64.b64encode(row.body).decode()},
    }


def _expect(part: dict[str, Any]) -> int:
    if part["ConditionExpression"] == "v = :v":
        return int(part["ExpressionAttributeValues"][":v"]["N"])
    return 0


def _write(item: dict[str, Any]) -> Write:
    if "Put" in item:
        part = item["Put"]
        body = base64.b64decode(part["Item"]["b"]["B"])
        return Put(_key(part["Item"]), body, _expect(part))
    if "Delete" in item:
        return Delete(_key(item["Delete"]["Key"]), _expect(item["Delete"]))
    check = item["ConditionCheck"]
    return Check(_key(check["Key"]), _expect(check))


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    serve(Platform(arguments.seed).routes(), arguments.port, threads=64)


if __name__ == "__main__":
    main()
