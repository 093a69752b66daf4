"""Retry budget: limits retries to a share of recent successes."""

import threading

DEFAULT_SHARE = 0.2
DEFAULT_RESERVE = 10.0


class RetryBudget:
    """Token bucket that allows retries up to a share of recent successes.

    Each success adds ``share`` tokens and each retry takes one.  While every target
    fails no tokens are added, so once the initial ``reserve`` is used up each request
    is attempted only once.

    >>> budget = RetryBudget(share=0.5, reserve=1)
    >>> [budget.try_acquire_retry(), budget.try_acquire_retry()]
    [True, False]
    >>> budget.record_success(); budget.record_success()
    >>> budget.try_acquire_retry()
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

    def record_success(self) -> None:
        """Record one success, which adds ``share`` tokens."""
        with self._lock:
            limit = 10 * self._reserve
            self._balance = min(limit, self._balance + self._share)

    def try_acquire_retry(self) -> bool:
        """Take the token for one retry; return false if the retry must not be made."""
        with self._lock:
            if self._balance < 1:
                return False
            self._balance -= 1
            return True
