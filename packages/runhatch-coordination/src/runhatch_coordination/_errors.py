"""Exceptions of the library.

Expected outcomes (a conflict, an unavailable store) are return values, not exceptions.
"""


class CoordinationError(Exception):
    """Base class of every exception that this library raises.

    .. versionadded:: 0.1
    """


class InvariantError(CoordinationError):
    """An invariant of the system is violated; the process must exit."""


def require(condition: bool, invariant: str) -> None:
    """Raise :class:`InvariantError` naming ``invariant`` unless ``condition`` holds.

    Unlike ``assert``, the check also runs under ``python -O``.

    >>> require(True, "sum of charges <= capacity")
    >>> require(False, "sum of charges <= capacity")
    Traceback (most recent call last):
    runhatch_coordination._errors.InvariantError: sum of charges <= capacity
    """
    if not condition:
        raise InvariantError(invariant)
