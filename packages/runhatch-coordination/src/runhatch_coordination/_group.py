"""Group commit: many small transactions in one call to the table."""

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

MAX_GROUP = 50
"""Transactions to a call; with two writes each it stays within 100 items."""


@dataclass(frozen=True, slots=True)
class _Submission:
    writes: tuple[Write, ...]
    future: Future[TransactOutcome]


class GroupCommitter:
    """Commits transactions of many threads together.

    What arrives while one call is under way goes with the next, so a lone caller
    waits for nothing and a crowd shares calls.  Where a member conflicts, the
    rest is sent again without it; a member is never reported by another's
    outcome.

    .. versionadded:: 0.1
    """

    def __init__(self, table: Table) -> None:
        self._table = table
        self._pending: queue.SimpleQueue[_Submission | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="group", daemon=True)
        self.calls = 0
        """Calls made to the table so far."""
        self._thread.start()

    def submit(self, writes: Sequence[Write]) -> Future[TransactOutcome]:
        """Queue ``writes`` as one all-or-nothing transaction."""
        future: Future[TransactOutcome] = Future()
        self._pending.put(_Submission(tuple(writes), future))
        return future

    def commit(self, writes: Sequence[Write]) -> TransactOutcome:
        """Queue ``writes`` and wait for their outcome."""
        return self.submit(writes).result()

    def close(self) -> None:
        """Finish what is queued and stop the thread."""
        self._pending.put(None)
        self._thread.join()

    def _run(self) -> None:
        closing = False
        while not closing:
            first = self._pending.get()
            if first is None:
                return
            group = [first]
            keys = _keys(first)
            carried: list[_Submission] = []
            with contextlib.suppress(queue.Empty):
                while len(group) < MAX_GROUP:
                    member = self._pending.get_nowait()
                    if member is None:
                        closing = True
                        break
                    # A transaction may touch a row only once.
                    if keys.isdisjoint(_keys(member)):
                        group.append(member)
                        keys |= _keys(member)
                    else:
                        carried.append(member)
            self._commit_group(group)
            for member in carried:
                self._commit_group([member])

    def _commit_group(self, group: list[_Submission]) -> None:
        while group:
            writes = [write for member in group for write in member.writes]
            self.calls += 1
            if len(group) == 1:
                group[0].future.set_result(commit(self._table, writes))
                return
            outcome = self._table.transact(writes)
            if isinstance(outcome, Conflict) and outcome.failed:
                group = self._drop_conflicting(group, set(outcome.failed))
                continue
            if isinstance(outcome, Unknown):
                # Each member settles its own lost answer.
                for member in group:
                    settled = commit(self._table, member.writes, lost=True)
                    member.future.set_result(settled)
                return
            for member in group:
                member.future.set_result(outcome)
            return

    def _drop_conflicting(
        self, group: list[_Submission], failed: set[int]
    ) -> list[_Submission]:
        kept = []
        position = 0
        for member in group:
            span = range(position, position + len(member.writes))
            position = span.stop
            if failed.isdisjoint(span):
                kept.append(member)
                continue
            own = tuple(index - span.start for index in sorted(failed & set(span)))
            member.future.set_result(Conflict(own))
        return kept


def _keys(member: _Submission) -> set[Key]:
    return {write.key for write in member.writes}
