"""The table through the DynamoDB JSON 1.0 protocol, as published by AWS.

Three operations are used: ``TransactWriteItems``, ``GetItem`` and ``Query``, each
with consistent reads.  An item holds partition ``p``, sort ``s``, version ``v``,
body ``b`` and, where it may be dropped, time to live ``x``.  Requests are not
signed: the platform's network does that.
"""

import base64
from collections.abc import Sequence
from functools import singledispatch
from typing import Any

import msgspec

from runhatch_coordination import (
    ABSENT,
    Check,
    Committed,
    Conflict,
    Delete,
    GetOutcome,
    Key,
    Missing,
    Put,
    QueryOutcome,
    Row,
    TransactOutcome,
    Unavailable,
    Unknown,
    Write,
)
from runhatch_server.http import HttpClient, Reply

TARGET_PREFIX = "DynamoDB_20120810."
CONTENT_TYPE = "application/x-amz-json-1.0"
EXPIRY = "x"
"""The item's time to live, in seconds since the epoch; the table is told so."""
MUST_BE_ABSENT = "attribute_not_exists(p)"
MUST_HAVE_VERSION = "v = :v"
CONDITION_FAILED = "ConditionalCheckFailed"

Item = dict[str, dict[str, str]]


class _Reason(msgspec.Struct):
    Code: str = "None"


class _Failure(msgspec.Struct):
    type: str = msgspec.field(default="", name="__type")
    CancellationReasons: list[_Reason] = []


class _Got(msgspec.Struct):
    Item: dict[str, dict[str, str]] | None = None


class _Queried(msgspec.Struct):
    Items: list[dict[str, dict[str, str]]] = []
    LastEvaluatedKey: dict[str, dict[str, str]] | None = None


class HttpTable:
    """A :class:`runhatch_coordination.Table` behind HTTP."""

    def __init__(self, http: HttpClient, table: str) -> None:
        self._http = http
        self._table = table

    def transact(self, writes: Sequence[Write]) -> TransactOutcome:
        """Apply all writes or none."""
        items = [_encode(write, self._table) for write in writes]
        reply = self._call("TransactWriteItems", {"TransactItems": items})
        if not isinstance(reply, Reply):
            return reply
        if reply.status == 200:
            return Committed()
        if reply.status == 400:
            return _failed_conditions(reply)
        if reply.status in (429, 503):
            return Unavailable(f"the table answered {reply.status}")
        return Unknown(f"the table answered {reply.status}")

    def get(self, key: Key) -> GetOutcome:
        """Read one row, consistently."""
        reply = self._read(
            "GetItem",
            {"TableName": self._table, "Key": _key(key), "ConsistentRead": True},
        )
        if not isinstance(reply, Reply) or reply.status != 200:
            return _unavailable(reply)
        item = msgspec.json.decode(reply.body, type=_Got).Item
        return Missing() if item is None else _row(item)

    def query(self, partition: str) -> QueryOutcome:
        """Read a partition, page by page."""
        request: dict[str, Any] = {
            "TableName": self._table,
            "KeyConditionExpression": "p = :p",
            "ExpressionAttributeValues": {":p": {"S": partition}},
            "ConsistentRead": True,
        }
        rows: list[Row] = []
        while True:
            reply = self._read("Query", request)
            if not isinstance(reply, Reply) or reply.status != 200:
                return _unavailable(reply)
            page = msgspec.json.decode(reply.body, type=_Queried)
            rows.extend(_row(item) for item in page.Items)
            if page.LastEvaluatedKey is None:
                return tuple(rows)
            request["ExclusiveStartKey"] = page.LastEvaluatedKey

    def _read(
        self, operation: str, request: dict[str, Any]
    ) -> Reply | Unavailable | Unknown:
        """Call once more if the answer was lost, as on a connection gone idle."""
        reply = self._call(operation, request)
        return self._call(operation, request) if isinstance(reply, Unknown) else reply

    def _call(
        self, operation: str, request: dict[str, Any]
    ) -> Reply | Unavailable | Unknown:
        headers = {
            "Content-Type": CONTENT_TYPE,
            "X-Amz-Target": TARGET_PREFIX + operation,
        }
        return self._http.call("POST", "/", msgspec.json.encode(request), headers)


def _failed_conditions(reply: Reply) -> TransactOutcome:
    failure = msgspec.json.decode(reply.body, type=_Failure)
    if not failure.CancellationReasons:
        return Unavailable(f"the table refused the call: {failure.type}")
    codes = [reason.Code for reason in failure.CancellationReasons]
    failed = tuple(i for i, code in enumerate(codes) if code == CONDITION_FAILED)
    if failed:
        return Conflict(failed)
    return Unavailable(f"the table cancelled the call: {set(codes) - {'None'}}")


def _unavailable(reply: Reply | Unavailable | Unknown) -> Unavailable:
    if isinstance(reply, Reply):
        return Unavailable(f"the table answered {reply.status}")
    return Unavailable(reply.reason)


def _key(key: Key) -> Item:
    return {"p": {"S": key.partition}, "s": {"S": key.sort}}


def _row(item: Item) -> Row:
    key = Key(item["p"]["S"], item["s"]["S"])
    return Row(key, int(item["v"]["N"]), base64.b64decode(item["b"]["B"]))


def _condition(expect: int) -> dict[str, Any]:
    if expect == ABSENT:
        return {"ConditionExpression": MUST_BE_ABSENT}
    return {
        "ConditionExpression": MUST_HAVE_VERSION,
        "ExpressionAttributeValues": {":v": {"N": str(expect)}},
    }


@singledispatch
def _encode(write: Write, table: str) -> dict[str, Any]:
    raise NotImplementedError(type(write))


@_encode.register
def _encode_put(write: Put, table: str) -> dict[str, Any]:
    item = _key(write.key)
    item["v"] = {"N": str(write.expect + 1)}
    item["b"] = {"B": base64.b64encode(write.body).decode()}
    if write.expires is not None:
        item[EXPIRY] = {"N": str(int(write.expires.timestamp()))}
    return {"Put": {"TableName": table, "Item": item, **_condition(write.expect)}}


@_encode.register
def _encode_delete(write: Delete, table: str) -> dict[str, Any]:
    key = {"TableName": table, "Key": _key(write.key)}
    return {"Delete": {**key, **_condition(write.expect)}}


@_encode.register
def _encode_check(write: Check, table: str) -> dict[str, Any]:
    key = {"TableName": table, "Key": _key(write.key)}
    return {"ConditionCheck": {**key, **_condition(write.expect)}}
