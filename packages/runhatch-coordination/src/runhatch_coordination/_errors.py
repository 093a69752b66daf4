"""The exception tree of the library.

Expected outcomes (a conflict, a store that is down) are values, not exceptions.
"""


class CoordinationError(Exception):
    """Base of every exception this library raises.

    .. versionadded:: 0.1
    """


class InvariantError(CoordinationError):
    """A promise of the system is broken; the process must stop."""


def require(holds: bool, promise: str) -> None:
    """Raise :class:`InvariantError` naming ``promise`` unless it ``holds``.

    Unlike ``assert`` it stays in force under ``python -O``.

    >>> require(True, "sum of charges <= capacity")
    >>> require(False, "sum of charges <= capacity")
    Traceback (most recent call last):
    runhatch_coordination._errors.InvariantError: sum of charges <= capacity
    """
    if not holds:
        raise InvariantError(promise)
