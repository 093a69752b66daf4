"""Whether one node reaches the store, and which of its calls can be relied on.

A call that waits for changes and receives no answer looks the same whether nothing has
changed, the store has stopped answering, or it has lost the call. :class:`StoreContact`
therefore tells apart what is known and what is not, and how the node finds out:

- a node that has received no answer yet, whose last call failed or whose wait was
  interrupted checks the contact before it waits again: it makes a call that the store
  answers at once;
- a long wait is relied on only while the store keeps answering other nodes.
"""

import threading
from datetime import timedelta
from enum import Enum

from runhatch_coordination._clock import Clock

ANSWER_TIMEOUT = timedelta(seconds=1.5)
"""Time without an answer of the store to any other node after which a wait is not
relied on. The holder of the orders' lease calls the store and notifies the readers
about every 0.9 s."""
UNCONFIRMED_WAIT = timedelta(seconds=2)
"""How long the store may hold a call while no answer to another node is known."""
CHECK_WAIT = timedelta(milliseconds=10)
"""How long the store may hold a call that checks the contact. Only calls with a wait
can be interrupted."""


class Reachability(Enum):
    """Whether a node reaches the store itself."""

    UNKNOWN = "unknown"
    """The store has answered no call yet since the node began to read."""
    REACHED = "reached"
    UNREACHED = "unreached"


class StoreContact:
    """What one node knows of its contact with the store for one table; thread-safe.

    .. versionadded:: 0.2
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._reachability = Reachability.UNKNOWN
        self._must_check = True
        self._answered_at: timedelta | None = None
        self._answered_others_at: timedelta | None = None
        self._waiting_since: timedelta | None = None
        """When the call in progress began, ``None`` unless its wait is long."""
        self._is_calling = False
        self._is_checking = False

    @property
    def reachability(self) -> Reachability:
        """Whether the node itself reaches the store, by its own calls."""
        return self._reachability

    @property
    def answered_at(self) -> timedelta | None:
        """When the store last answered a call of this node, if it ever did."""
        return self._answered_at

    @property
    def is_checking(self) -> bool:
        """Whether the call in progress checks the contact."""
        return self._is_checking

    @property
    def time_until_doubt(self) -> timedelta | None:
        """The time until the wait in progress is no longer relied on.

        ``None`` if there is no such wait.
        """
        with self._lock:
            return self._time_until_doubt()

    def begin_call(self, longest_wait: timedelta) -> timedelta:
        """Record that a call begins; return how long the store may hold it."""
        with self._lock:
            self._end_call()
            self._is_calling = True
            if self._must_check:
                self._is_checking = True
                return CHECK_WAIT
            if not self._answers_others():
                return min(longest_wait, UNCONFIRMED_WAIT)
            if longest_wait > UNCONFIRMED_WAIT:
                self._waiting_since = self._clock.elapsed()
            return longest_wait

    def record_answer(self) -> None:
        """Record that the store answered a call of this node."""
        with self._lock:
            self._end_call()
            self._reachability = Reachability.REACHED
            self._must_check = False
            self._answered_at = self._clock.elapsed()

    def record_failure(self) -> None:
        """Record that a call of this node failed."""
        with self._lock:
            self._end_call()
            self._reachability = Reachability.UNREACHED
            self._must_check = True

    def record_interruption(self) -> None:
        """Record that a wait was interrupted, which is no answer."""
        with self._lock:
            self._end_call()
            self._must_check = True

    def record_end_of_reading(self) -> None:
        """Record that this node no longer calls the store."""
        with self._lock:
            self._end_call()
            self._reachability = Reachability.UNKNOWN
            self._must_check = True

    def end_doubtful_wait(self) -> bool:
        """Return, once for each wait, whether it must be interrupted now."""
        with self._lock:
            left = self._time_until_doubt()
            if left is None or left > timedelta():
                return False
            self._waiting_since = None
            return True

    def record_answer_to_other_node(self) -> bool:
        """Record that the store has just answered another node.

        Return whether this node should call the store at once: the other answers had
        ceased, so a wait in progress may have been lost, and the store may be back.
        """
        with self._lock:
            is_first = self._answered_others_at is None
            had_ceased = not self._answers_others()
            self._answered_others_at = self._clock.elapsed()
            may_be_lost = self._is_calling and not is_first
            is_unreached = self._reachability is Reachability.UNREACHED
            return had_ceased and (may_be_lost or is_unreached)

    def _end_call(self) -> None:
        self._is_calling = False
        self._is_checking = False
        self._waiting_since = None

    def _time_until_doubt(self) -> timedelta | None:
        if self._waiting_since is None:
            return None
        relied_on_since = self._waiting_since
        if self._answered_others_at is not None:
            relied_on_since = max(relied_on_since, self._answered_others_at)
        return relied_on_since + ANSWER_TIMEOUT - self._clock.elapsed()

    def _answers_others(self) -> bool:
        """Return whether the store has recently answered another node."""
        answered_at = self._answered_others_at
        if answered_at is None:
            return False
        return self._clock.elapsed() - answered_at < ANSWER_TIMEOUT
