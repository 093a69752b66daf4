"""Tests of many threads that commit through one group committer."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from runhatch_coordination import (
    ABSENT,
    Committed,
    Conflict,
    GroupCommitter,
    Key,
    Put,
    Row,
)
from runhatch_coordination.testing import FaultyTable, MemoryTable, TableFault


class AnswerLosingTable(FaultyTable):
    """Loses the answer of every ``every``-th call."""

    def __init__(self, every: int) -> None:
        super().__init__(MemoryTable())
        self._every = every
        self._calls = 0

    def transact(self, writes):
        self._calls += 1
        lose = self._calls % self._every == 0
        self.inject(TableFault.LOSE_ANSWER if lose else TableFault.NONE, 1)
        return super().transact(writes)


class TestGroupCommitter:
    """Transactions share calls and get their own outcomes."""

    @pytest.mark.parametrize("every", [10**9, 3, 2])
    def test_one_writer_of_each_row_commits(self, every):
        """Of several writers of a row exactly one commits, also with lost answers."""
        table = AnswerLosingTable(every)
        committer = GroupCommitter(table)
        rows = range(40)

        def write(pair):
            row, writer = pair
            put = Put(Key("p", f"{row:02d}"), f"{row}-{writer}".encode(), ABSENT)
            return row, writer, committer.commit([put])

        pairs = [(row, writer) for row in rows for writer in range(4)]
        with ThreadPoolExecutor(16) as pool:
            results = list(pool.map(write, pairs))
        committer.close()
        for row in rows:
            winners = [w for r, w, o in results if r == row and o == Committed()]
            losers = [o for r, w, o in results if r == row and o != Committed()]
            found = table.get(Key("p", f"{row:02d}"))
            assert isinstance(found, Row)
            assert [found.body] == [f"{row}-{w}".encode() for w in winners]
            assert losers == [Conflict((0,))] * 3

    def test_queued_transactions_share_calls(self):
        """Transactions queued during a call are sent together in the next."""
        table = MemoryTable()
        committer = GroupCommitter(table)
        futures = [
            committer.submit([Put(Key("p", str(i)), b"x", ABSENT)]) for i in range(200)
        ]
        assert all(future.result() == Committed() for future in futures)
        committer.close()
        assert committer.call_count < 200
