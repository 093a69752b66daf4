"""Holds the calls of a stand-in at a chosen step until they are released."""

import threading
from dataclasses import dataclass
from typing import Any

LONGEST_HOLD = 20.0
"""Maximum seconds of a hold, so that a test that releases none does not hang."""


@dataclass(frozen=True, slots=True)
class Step:
    """A point in the handling of one kind of call: ``before`` or ``after`` it."""

    call: str
    when: str


class Holds:
    """Holds calls at one step at most, and counts them."""

    def __init__(self) -> None:
        self._held = 0
        self._step: Step | None = None
        self._changed = threading.Condition()

    @property
    def held(self) -> int:
        """Number of calls held now."""
        return self._held

    def set(self, document: dict[str, Any] | None) -> None:
        """Hold calls at the step in ``document`` and release all others.

        With ``None``, no call is held.
        """
        with self._changed:
            self._step = None if document is None else Step(**document)
            self._changed.notify_all()

    def pass_by(self, call: str, when: str) -> None:
        """Block while calls at this step are held."""
        step = Step(call, when)
        with self._changed:
            if self._step != step:
                return
            self._held += 1
            self._changed.wait_for(lambda: self._step != step, LONGEST_HOLD)
            self._held -= 1
