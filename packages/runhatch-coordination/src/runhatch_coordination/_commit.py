"""Committing a transaction whose answer may be lost."""

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

RESUBMISSIONS = 2
"""How often a transaction with a lost answer is sent again."""


def commit(
    table: Table, writes: Sequence[Write], lost: bool = False
) -> TransactOutcome:
    """Apply ``writes``, settling a lost answer where the table can tell.

    The first ``Put`` is the evidence: its body must be unique to this call (hold
    an operation id), and its key must not be written by a later call before this
    one returns.  Sending the same transaction again is safe, since its conditions
    hold at most once.

    ``lost`` says that an earlier sending of ``writes`` already lost its answer.

    Returns ``Unknown`` only if the table stays unreachable, or the evidence has
    been overwritten since.
    """
    outcome = table.transact(writes)
    for _ in range(RESUBMISSIONS):
        if not isinstance(outcome, Unknown):
            break
        lost = True
        outcome = table.transact(writes)
    if not lost or isinstance(outcome, Committed):
        return outcome
    if isinstance(outcome, Conflict):
        return _read_back(table, writes, outcome)
    return Unknown("the store does not answer")


def _read_back(
    table: Table, writes: Sequence[Write], conflict: Conflict
) -> TransactOutcome:
    evidence = next(write for write in writes if isinstance(write, Put))
    found = table.get(evidence.key)
    if not isinstance(found, Row):
        return Unknown("evidence is gone")
    writes_since = _writes_between(evidence.expect, found.version)
    if writes_since == 1:
        return Committed() if found.body == evidence.body else conflict
    if writes_since <= 0:
        return conflict
    return Unknown("evidence was overwritten")


def _writes_between(before: int, after: int) -> int:
    """Return by how many writes ``after`` follows ``before``, a plain count maybe."""
    is_plain = era_of(StoreVersion(before)) == 0
    return (number_of(StoreVersion(after)) if is_plain else after) - before
