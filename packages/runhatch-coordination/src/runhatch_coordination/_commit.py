"""Commits transactions and resolves the outcome when an answer is lost."""

from collections.abc import Sequence

from runhatch_coordination._history import StoreVersion, era_of, number_of
from runhatch_coordination._table import (
    Committed,
    Conflict,
    Put,
    Row,
    Table,
    TransactOutcome,
    Unknown,
    Write,
)

MAX_RESUBMISSIONS = 2
"""Number of times that a transaction with a lost answer is sent again."""


def commit(
    table: Table, writes: Sequence[Write], is_answer_lost: bool = False
) -> TransactOutcome:
    """Apply ``writes``, and resolve a lost answer by resending and reading back.

    The first ``Put`` identifies the transaction: its body must be unique to this call
    (contain an operation id), and no later call may write its key before this call
    returns.  Resending the transaction is safe because its conditions hold at most
    once.

    ``is_answer_lost`` means that a previous attempt to send ``writes`` already lost its
    answer.

    Without a ``Put`` nothing can be read back, and a resent ``Delete`` may meet a later
    row of the same key, whose versions begin at 1 again.  So such a transaction is sent
    once, and is ``Unknown`` if its answer is lost.

    Otherwise return ``Unknown`` only if the table stays unreachable or the row of the
    first ``Put`` has been overwritten or deleted.
    """
    if not any(isinstance(write, Put) for write in writes):
        if is_answer_lost:
            return Unknown("the answer was lost")
        return table.transact(writes)
    outcome = table.transact(writes)
    for _ in range(MAX_RESUBMISSIONS):
        if not isinstance(outcome, Unknown):
            break
        is_answer_lost = True
        outcome = table.transact(writes)
    if not is_answer_lost or isinstance(outcome, Committed):
        return outcome
    if isinstance(outcome, Conflict):
        return _read_back(table, writes, outcome)
    return Unknown("the table did not answer")


def _read_back(
    table: Table, writes: Sequence[Write], conflict: Conflict
) -> TransactOutcome:
    first_put = next(write for write in writes if isinstance(write, Put))
    found = table.get(first_put.key)
    if not isinstance(found, Row):
        return Unknown("the row of the first put cannot be read back")
    writes_since = _writes_between(first_put.expected_version, found.version)
    if writes_since == 1:
        return Committed() if found.body == first_put.body else conflict
    if writes_since <= 0:
        return conflict
    return Unknown("the row of the first put was overwritten")


def _writes_between(before: int, after: int) -> int:
    """Return the number of writes between two versions of a row.

    ``before`` may be a plain count, without an era.
    """
    is_plain = era_of(StoreVersion(before)) == 0
    return (number_of(StoreVersion(after)) if is_plain else after) - before
