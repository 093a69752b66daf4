"""Filtering, ordering and limiting records for operators."""

from collections.abc import Callable, Sequence
from dataclasses import asdict
from enum import Enum
from operator import eq, ge, gt, le, lt, ne
from typing import Any

from pydantic import Field

from runhatch_server._errors import RunhatchError
from runhatch_server.border import StrictModel
from runhatch_server.operations._nouns import Noun, Record

MAX_LIMIT = 10_000


class QueryError(RunhatchError):
    """A query names a field that its noun does not have."""


class Comparison(Enum):
    """How a condition compares; ``HAS`` looks into lists and texts."""

    EQUAL = "="
    UNEQUAL = "!="
    LESS = "<"
    AT_MOST = "<="
    MORE = ">"
    AT_LEAST = ">="
    HAS = "has"


class Condition(StrictModel):
    """One condition on a field."""

    field: str
    comparison: Comparison
    value: str | float | int | bool


class Query(StrictModel):
    """A query: all conditions must hold."""

    noun: Noun
    where: tuple[Condition, ...] = ()
    order_by: str | None = None
    descending: bool = False
    limit: int = Field(default=1_000, ge=1, le=MAX_LIMIT)


COMPARE: dict[Comparison, Callable[[Any, Any], bool]] = {
    Comparison.EQUAL: eq,
    Comparison.UNEQUAL: ne,
    Comparison.LESS: lt,
    Comparison.AT_MOST: le,
    Comparison.MORE: gt,
    Comparison.AT_LEAST: ge,
}


def run_query(query: Query, records: Sequence[Record]) -> list[dict[str, object]]:
    """Return the records that ``query`` asks for, as plain documents.

    Raises :class:`QueryError` if it names a field the records do not have.
    """
    documents = [asdict(record) for record in records]
    if documents:
        known = set(documents[0])
        named = {condition.field for condition in query.where}
        if query.order_by is not None:
            named.add(query.order_by)
        unknown = sorted(named - known)
        if unknown:
            raise QueryError(
                f"{query.noun.value}: found field {unknown[0]!r}, allowed: "
                + ", ".join(sorted(known))
            )
    for condition in query.where:
        documents = [d for d in documents if _holds(condition, d[condition.field])]
    if query.order_by is not None:
        field = query.order_by
        documents.sort(key=lambda d: _sortable(d[field]), reverse=query.descending)
    return documents[: query.limit]


def _holds(condition: Condition, found: object) -> bool:
    if condition.comparison is Comparison.HAS:
        if isinstance(found, list | tuple):
            return condition.value in found
        return str(condition.value) in str(found)
    wanted = condition.value
    if isinstance(found, bool):
        wanted = str(wanted).lower() in ("true", "yes", "1")
    elif isinstance(found, int | float) and not isinstance(wanted, int | float):
        return condition.comparison is Comparison.UNEQUAL
    elif isinstance(found, str):
        wanted = str(wanted)
    return COMPARE[condition.comparison](found, wanted)


def _sortable(value: object) -> tuple[int, float, str]:
    if isinstance(value, int | float):
        return 0, float(value), ""
    if isinstance(value, list | tuple):
        return 0, float(len(value)), ""
    return 1, 0.0, str(value)
