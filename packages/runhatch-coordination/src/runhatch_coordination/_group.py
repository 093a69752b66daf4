"""Group commit: combines many small transactions into one call to the table."""

import contextlib
import queue
import threading
from collections.abc import Sequence
from concurrent.futures import Future
from dataclasses import dataclass

from runhatch_coordination._commit import commit
from runhatch_coordination._table import (
    Conflict,
    Key,
    Table,
    TransactOutcome,
    Unknown,
    Write,
)

MAX_GROUP_SIZE = 50
"""Transactions in one call; with two writes each, a call has at most 100 items."""


@dataclass(frozen=True, slots=True)
class _Submission:
    writes: tuple[Write, ...]
    future: Future[TransactOutcome]


class GroupCommitter:
    """Commits the transactions of many threads in shared calls.

    Transactions submitted during a call are sent with the next one, so a single
    caller does not wait and concurrent callers share calls.  If some transactions of
    a group conflict, the others are sent again without them; each transaction gets
    its own outcome.

    .. versionadded:: 0.1
    """

    def __init__(self, table: Table) -> None:
        self._table = table
        self._pending: queue.SimpleQueue[_Submission | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="group", daemon=True)
        self.call_count = 0
        """Number of group calls made to the table."""
        self._thread.start()

    def submit(self, writes: Sequence[Write]) -> Future[TransactOutcome]:
        """Queue ``writes`` as one atomic transaction and return its future outcome."""
        future: Future[TransactOutcome] = Future()
        self._pending.put(_Submission(tuple(writes), future))
        return future

    def commit(self, writes: Sequence[Write]) -> TransactOutcome:
        """Queue ``writes`` as one atomic transaction and wait for its outcome."""
        return self.submit(writes).result()

    def close(self) -> None:
        """Commit the queued transactions and stop the thread."""
        self._pending.put(None)
        self._thread.join()

    def _run(self) -> None:
        closing = False
        while not closing:
            submission = self._pending.get()
            if submission is None:
                return
            group = [submission]
            keys = _row_keys(submission)
            deferred: list[_Submission] = []
            with contextlib.suppress(queue.Empty):
                while len(group) < MAX_GROUP_SIZE:
                    member = self._pending.get_nowait()
                    if member is None:
                        closing = True
                        break
                    # A transaction may contain each row only once.
                    if keys.isdisjoint(_row_keys(member)):
                        group.append(member)
                        keys |= _row_keys(member)
                    else:
                        deferred.append(member)
            self._commit_group(group)
            for member in deferred:
                self._commit_group([member])

    def _commit_group(self, group: list[_Submission]) -> None:
        while group:
            writes = [write for member in group for write in member.writes]
            self.call_count += 1
            if len(group) == 1:
                group[0].future.set_result(commit(self._table, writes))
                return
            outcome = self._table.transact(writes)
            if isinstance(outcome, Conflict) and outcome.failed:
                group = self._remove_conflicting(group, set(outcome.failed))
                continue
            if isinstance(outcome, Unknown):
                # Resolve the lost answer of each transaction separately.
                for member in group:
                    member_outcome = commit(
                        self._table, member.writes, is_answer_lost=True
                    )
                    member.future.set_result(member_outcome)
                return
            for member in group:
                member.future.set_result(outcome)
            return

    def _remove_conflicting(
        self, group: list[_Submission], failed: set[int]
    ) -> list[_Submission]:
        remaining = []
        position = 0
        for member in group:
            span = range(position, position + len(member.writes))
            position = span.stop
            if failed.isdisjoint(span):
                remaining.append(member)
                continue
            own_failed = tuple(
                index - span.start for index in sorted(failed & set(span))
            )
            member.future.set_result(Conflict(own_failed))
        return remaining


def _row_keys(member: _Submission) -> set[Key]:
    return {write.key for write in member.writes}
