"""Holding a stand-in's call at a named step, until it is let go."""

import threading
from dataclasses import dataclass
from typing import Any

LONGEST_HOLD = 20.0
"""Seconds; a test that forgot to let go shall not hang."""


@dataclass(frozen=True, slots=True)
class Step:
    """One point in the handling of one kind of call."""

    call: str
    when: str


class Holds:
    """At most one step at which calls are held; tells how many are."""

    def __init__(self) -> None:
        self._held = 0
        self._step: Step | None = None
        self._changed = threading.Condition()

    @property
    def held(self) -> int:
        """Calls held now."""
        return self._held

    def set(self, document: dict[str, Any] | None) -> None:
        """Hold at the step in ``document``, nowhere without one; let others go."""
        with self._changed:
            self._step = None if document is None else Step(**document)
            self._changed.notify_all()

    def pass_by(self, call: str, when: str) -> None:
        """Wait here while calls at this step are held."""
        step = Step(call, when)
        with self._changed:
            if self._step != step:
                return
            self._held += 1
            self._changed.wait_for(lambda: self._step != step, LONGEST_HOLD)
            self._held -= 1
