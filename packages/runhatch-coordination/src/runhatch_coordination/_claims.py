"""At-most-once claims: the node that inserts a key's row may run the action.

A claim never expires by a timeout, because a paused node may still run the action.
Only the node that holds a claim releases it, knowing that the action has not run.
"""

import threading
import uuid
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
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
    """Recorded progress of the claimed action."""

    OPEN = "open"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Body of a claim row; ``result`` holds or locates the answer once the
    action is done."""

    attempt: str
    node: str
    digest: str
    state: ClaimState
    result: str = ""


@dataclass(frozen=True, slots=True)
class Taken:
    """The caller holds the claim and may run the action once."""

    key: str
    record: ClaimRecord


@dataclass(frozen=True, slots=True)
class Done:
    """The action has already run; ``result`` is the value passed to ``finish``."""

    result: str


@dataclass(frozen=True, slots=True)
class Pending:
    """Another attempt, on ``node``, holds the claim; its action may have run."""

    node: str
    attempt: str


@dataclass(frozen=True, slots=True)
class Mismatch:
    """The key was already used for a different request."""


ClaimOutcome = Taken | Done | Pending | Mismatch | Unavailable


class Committer(Protocol):
    """Commits transactions and resolves lost answers."""

    def commit(self, writes: Sequence[Write]) -> TransactOutcome:
        """Apply all ``writes`` or none of them."""


class Claims:
    """Acquires, finishes and releases claims on behalf of one node.

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
        self._unused_attempts: set[str] = set()

    def acquire(self, key: str, digest: str) -> ClaimOutcome:
        """Try to claim ``key`` for a request with ``digest``.

        If the outcome of the insertion stays unknown, return ``Unavailable`` and
        record the attempt as unused, so that a later :meth:`read` on this node can
        acquire the claim.
        """
        record = ClaimRecord(uuid.uuid4().hex, self._node, digest, ClaimState.OPEN)
        insertion = self._make_put(key, record, ABSENT)
        outcome = self._committer.commit([insertion])
        if isinstance(outcome, Committed):
            return Taken(key, record)
        if isinstance(outcome, Conflict):
            return self.read(key, digest)
        if isinstance(outcome, Unknown):
            with self._lock:
                self._unused_attempts.add(record.attempt)
        return Unavailable(outcome.reason)

    def read(self, key: str, digest: str) -> ClaimOutcome:
        """Read a claim, and acquire it if this node has an unused attempt on it."""
        found = self._table.get(Key(CLAIM_PARTITION, key))
        if isinstance(found, Unavailable):
            return found
        if isinstance(found, Missing):
            return Unavailable("the claim was released concurrently")
        record = msgspec.json.decode(found.body, type=ClaimRecord)
        if record.digest != digest:
            return Mismatch()
        if record.state is ClaimState.DONE:
            return Done(record.result)
        with self._lock:
            is_unused = record.attempt in self._unused_attempts
            self._unused_attempts.discard(record.attempt)
        if is_unused:
            return self._retake(key, record, found.version)
        return Pending(record.node, record.attempt)

    def _retake(self, key: str, unused: ClaimRecord, version: int) -> ClaimOutcome:
        """Take the claim of an attempt of this node that has not acted.

        The row is written again, so that a release of that attempt that is still on
        its way has no effect.
        """
        record = replace(unused, attempt=uuid.uuid4().hex)
        outcome = self._committer.commit([self._make_put(key, record, version)])
        if isinstance(outcome, Committed):
            return Taken(key, record)
        if isinstance(outcome, Conflict):
            return Unavailable("the claim was released concurrently")
        with self._lock:
            self._unused_attempts |= {unused.attempt, record.attempt}
        return Unavailable(outcome.reason)

    def finish(self, claim: Taken, result: str) -> TransactOutcome:
        """Record that the action ran; ``result`` holds or locates its answer."""
        finished = ClaimRecord(
            claim.record.attempt,
            self._node,
            claim.record.digest,
            ClaimState.DONE,
            result,
        )
        return self._update_claim(
            claim,
            lambda expected_version: self._make_put(
                claim.key, finished, expected_version
            ),
        )

    def release(self, claim: Taken) -> None:
        """Release a claim whose action has certainly not run.

        If the table is unreachable, record the attempt as unused instead, so that a
        repeated request on this node can acquire the claim.
        """
        key = Key(CLAIM_PARTITION, claim.key)
        outcome = self._update_claim(
            claim, lambda expected_version: Delete(key, expected_version)
        )
        if isinstance(outcome, Unavailable | Unknown):
            with self._lock:
                self._unused_attempts.add(claim.record.attempt)

    def _update_claim(
        self, claim: Taken, write: Callable[[int], Put | Delete]
    ) -> TransactOutcome:
        """Update the claim row, also after the table was restored from a copy.

        A restored row may have another version but still hold this attempt.
        """
        outcome = self._committer.commit([write(ABSENT + 1)])
        if not isinstance(outcome, Conflict):
            return outcome
        found = self._table.get(Key(CLAIM_PARTITION, claim.key))
        if not isinstance(found, Row) or decode_claim(found) != claim.record:
            return outcome
        return self._committer.commit([write(found.version)])

    def _make_put(self, key: str, record: ClaimRecord, expected_version: int) -> Put:
        body = msgspec.json.encode(record)
        expires_at = self._clock.now() + self._retention
        return Put(Key(CLAIM_PARTITION, key), body, expected_version, expires_at)


def decode_claim(row: Row) -> ClaimRecord:
    """Decode a claim row, for operator tools and consistency checks."""
    return msgspec.json.decode(row.body, type=ClaimRecord)
