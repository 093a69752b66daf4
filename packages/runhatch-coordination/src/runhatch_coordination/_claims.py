"""At-most-once claims: whoever inserts a key's row may act on it.

A claim is never taken from its node by timing: a paused node may still act.  Only
the node itself releases it, after it knows that it did not act.
"""

import threading
import uuid
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Protocol

import msgspec

from runhatch_coordination._clock import Clock
from runhatch_coordination._table import (
    ABSENT,
    Committed,
    Conflict,
    Delete,
    Key,
    Missing,
    Put,
    Row,
    Table,
    TransactOutcome,
    Unavailable,
    Unknown,
    Write,
)

CLAIM_PARTITION = "claim"
DEFAULT_RETENTION = timedelta(days=1)


class ClaimState(Enum):
    """How far the claimed action is known to have come."""

    OPEN = "open"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Body of a claim row; ``result`` is, or names, the kept answer once done."""

    attempt: str
    node: str
    digest: str
    state: ClaimState
    result: str = ""


@dataclass(frozen=True, slots=True)
class Taken:
    """The caller holds the claim and may act, once."""

    key: str
    record: ClaimRecord


@dataclass(frozen=True, slots=True)
class Done:
    """The action ran earlier; ``result`` is what it was finished with."""

    result: str


@dataclass(frozen=True, slots=True)
class Pending:
    """Another attempt holds the claim, on ``node``; it may or may not have run."""

    node: str
    attempt: str


@dataclass(frozen=True, slots=True)
class Mismatch:
    """The key was used before with another request."""


ClaimOutcome = Taken | Done | Pending | Mismatch | Unavailable


class Committer(Protocol):
    """Whatever commits a transaction and settles lost answers."""

    def commit(self, writes: Sequence[Write]) -> TransactOutcome:
        """Apply all ``writes`` or none."""


class Claims:
    """The claims of one node.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        table: Table,
        committer: Committer,
        node: str,
        clock: Clock,
        retention: timedelta = DEFAULT_RETENTION,
    ) -> None:
        self._clock = clock
        self._retention = retention
        self._table = table
        self._committer = committer
        self._node = node
        self._lock = threading.Lock()
        self._unsettled: set[str] = set()

    def take(self, key: str, digest: str) -> ClaimOutcome:
        """Try to claim ``key`` for a request with ``digest``.

        A claim whose insertion stays unsettled is not taken: its attempt is
        remembered as never acted on, so that :meth:`read` by this node releases it.
        """
        record = ClaimRecord(uuid.uuid4().hex, self._node, digest, ClaimState.OPEN)
        put = self._put(key, record, ABSENT)
        outcome = self._committer.commit([put])
        if isinstance(outcome, Committed):
            return Taken(key, record)
        if isinstance(outcome, Conflict):
            return self.read(key, digest)
        if isinstance(outcome, Unknown):
            with self._lock:
                self._unsettled.add(record.attempt)
        return Unavailable(outcome.reason)

    def read(self, key: str, digest: str) -> ClaimOutcome:
        """Look at an existing claim; takes it over if this node left it unacted."""
        found = self._table.get(Key(CLAIM_PARTITION, key))
        if isinstance(found, Unavailable):
            return found
        if isinstance(found, Missing):
            return Unavailable("the claim was just released")
        record = msgspec.json.decode(found.body, type=ClaimRecord)
        if record.digest != digest:
            return Mismatch()
        if record.state is ClaimState.DONE:
            return Done(record.result)
        with self._lock:
            mine = record.attempt in self._unsettled
            self._unsettled.discard(record.attempt)
        if mine:
            return Taken(key, record)
        return Pending(record.node, record.attempt)

    def finish(self, taken: Taken, result: str) -> TransactOutcome:
        """Record that the action ran, with its answer or where that is kept."""
        done = ClaimRecord(
            taken.record.attempt,
            self._node,
            taken.record.digest,
            ClaimState.DONE,
            result,
        )
        return self._settle(taken, lambda expect: self._put(taken.key, done, expect))

    def release(self, taken: Taken) -> None:
        """Give back a claim that was certainly not acted on.

        If the table cannot be reached the attempt is remembered instead, and a
        repeat that comes to this node takes it over.
        """
        key = Key(CLAIM_PARTITION, taken.key)
        outcome = self._settle(taken, lambda expect: Delete(key, expect))
        if isinstance(outcome, Unavailable | Unknown):
            with self._lock:
                self._unsettled.add(taken.record.attempt)

    def _settle(
        self, taken: Taken, write: Callable[[int], Put | Delete]
    ) -> TransactOutcome:
        """Write to the claim; in a copy that the table came back from as well."""
        outcome = self._committer.commit([write(ABSENT + 1)])
        if not isinstance(outcome, Conflict):
            return outcome
        found = self._table.get(Key(CLAIM_PARTITION, taken.key))
        if not isinstance(found, Row) or stored_claim(found) != taken.record:
            return outcome
        return self._committer.commit([write(found.version)])

    def _put(self, key: str, record: ClaimRecord, expect: int) -> Put:
        body = msgspec.json.encode(record)
        expires = self._clock.now() + self._retention
        return Put(Key(CLAIM_PARTITION, key), body, expect, expires)


def stored_claim(row: Row) -> ClaimRecord:
    """Decode a claim row, for operators and checkers."""
    return msgspec.json.decode(row.body, type=ClaimRecord)
