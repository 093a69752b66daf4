"""A retry budget: retries are paid for by successes."""

import threading

DEFAULT_SHARE = 0.2
DEFAULT_RESERVE = 10.0


class RetryBudget:
    """Allows retries up to a share of recent successes.

    With every target failing nothing is paid in, so attempts stay close to one a
    request once ``reserve`` is used up.

    >>> budget = RetryBudget(share=0.5, reserve=1)
    >>> [budget.withdraw(), budget.withdraw()]
    [True, False]
    >>> budget.deposit(); budget.deposit()
    >>> budget.withdraw()
    True

    .. versionadded:: 0.1
    """

    def __init__(
        self, share: float = DEFAULT_SHARE, reserve: float = DEFAULT_RESERVE
    ) -> None:
        self._share = share
        self._reserve = reserve
        self._balance = reserve
        self._lock = threading.Lock()

    def deposit(self) -> None:
        """Record one success."""
        with self._lock:
            limit = 10 * self._reserve
            self._balance = min(limit, self._balance + self._share)

    def withdraw(self) -> bool:
        """Pay for one retry; false means that it must not be made."""
        with self._lock:
            if self._balance < 1:
                return False
            self._balance -= 1
            return True
