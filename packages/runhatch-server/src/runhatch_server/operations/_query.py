"""Filters, sorts and limits records for operator queries."""

from collections.abc import Callable, Sequence
from dataclasses import asdict
from enum import Enum
from operator import eq, ge, gt, le, lt, ne
from typing import Any

from pydantic import Field

from runhatch_server._errors import RunhatchError
from runhatch_server.operations._nouns import Noun, Record
from runhatch_server.validation import StrictModel

MAX_RECORDS = 10_000


class QueryError(RunhatchError):
    """A query names a field that the records of its noun do not have."""


class Comparison(Enum):
    """Comparison operators; ``HAS`` tests membership in lists and strings."""

    EQUAL = "="
    UNEQUAL = "!="
    LESS = "<"
    AT_MOST = "<="
    MORE = ">"
    AT_LEAST = ">="
    HAS = "has"


class Condition(StrictModel):
    """A condition on a field of a record."""

    field: str
    comparison: Comparison
    value: str | float | int | bool


class Query(StrictModel):
    """A query for the records that match all conditions."""

    noun: Noun
    where: tuple[Condition, ...] = ()
    order_by: str | None = None
    descending: bool = False
    limit: int = Field(default=1_000, ge=1, le=MAX_RECORDS)


COMPARISON_FUNCTIONS: dict[Comparison, Callable[[Any, Any], bool]] = {
    Comparison.EQUAL: eq,
    Comparison.UNEQUAL: ne,
    Comparison.LESS: lt,
    Comparison.AT_MOST: le,
    Comparison.MORE: gt,
    Comparison.AT_LEAST: ge,
}


def run_query(query: Query, records: Sequence[Record]) -> list[dict[str, object]]:
    """Return the records that match ``query``, as dictionaries.

    Raises :class:`QueryError` if it names a field the records do not have.
    """
    documents = [asdict(record) for record in records]
    if documents:
        known = set(documents[0])
        field_names = {condition.field for condition in query.where}
        if query.order_by is not None:
            field_names.add(query.order_by)
        unknown = sorted(field_names - known)
        if unknown:
            raise QueryError(
                f"{query.noun.value}: found field {unknown[0]!r}, allowed: "
                + ", ".join(sorted(known))
            )
    for condition in query.where:
        documents = [d for d in documents if _matches(condition, d[condition.field])]
    if query.order_by is not None:
        field = query.order_by
        documents.sort(key=lambda d: _sort_key(d[field]), reverse=query.descending)
    return documents[: query.limit]


def _matches(condition: Condition, actual: object) -> bool:
    if condition.comparison is Comparison.HAS:
        if isinstance(actual, list | tuple):
            return condition.value in actual
        return str(condition.value) in str(actual)
    expected = condition.value
    if isinstance(actual, bool):
        expected = str(expected).lower() in ("true", "yes", "1")
    elif isinstance(actual, int | float) and not isinstance(expected, int | float):
        return condition.comparison is Comparison.UNEQUAL
    elif isinstance(actual, str):
        expected = str(expected)
    return COMPARISON_FUNCTIONS[condition.comparison](actual, expected)


def _sort_key(value: object) -> tuple[int, float, str]:
    if isinstance(value, int | float):
        return 0, float(value), ""
    if isinstance(value, list | tuple):
        return 0, float(len(value)), ""
    return 1, 0.0, str(value)
