"""Checks the records of callers and targets against what runhatch guarantees.

The guarantees are execution at most once, complete answers to the right request,
and that a request refused as not run was not run.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

EVENT_END = "\n\n"


class EventKind(Enum):
    """The outcome of one attempt at a request."""

    ANSWERED = "answered"
    REFUSED_NO = "refused: executed no"
    REFUSED_UNKNOWN = "refused: executed unknown"
    BROKEN = "broken connection"


@dataclass(frozen=True, slots=True)
class Event:
    """One attempt at a request, as its caller saw it.

    ``request`` identifies the request and is equal for its repeats.  ``once`` marks
    requests that may run at most once.  ``answer`` is the received text,
    ``expected`` the correct and complete one, empty if not known in advance.  An
    answer that is not framed may be complete or not: only its connection ended.
    """

    request: str
    kind: EventKind
    once: bool = False
    answer: str = ""
    expected: str = ""
    is_framed: bool = True

    @property
    def is_cut_stream(self) -> bool:
        """Whether it is an unframed stream that ends between two events."""
        return (
            not self.is_framed
            and self.answer != self.expected
            and self.answer.endswith(EVENT_END)
            and self.expected.startswith(self.answer)
        )


def check_history(events: Iterable[Event], runs: Mapping[str, int]) -> list[str]:
    """Return a line for each violation; ``runs`` has the number of runs by request.

    >>> ran_twice = {"a": 2}
    >>> check_history([Event("a", EventKind.ANSWERED, once=True)], ran_twice)
    ['a: ran 2 times, may run once']
    """
    by_request: dict[str, list[Event]] = defaultdict(list)
    for event in events:
        by_request[event.request].append(event)
    violations = []
    for request, attempts in by_request.items():
        violations += _check_once(request, attempts, runs.get(request, 0))
        violations += _check_answers(request, attempts)
        violations += _check_refusals(request, attempts, runs.get(request, 0))
    return violations


def _check_once(request: str, attempts: list[Event], runs: int) -> list[str]:
    if runs > 1 and any(event.once for event in attempts):
        return [f"{request}: ran {runs} times, may run once"]
    return []


def _check_answers(request: str, attempts: list[Event]) -> list[str]:
    answered = [event for event in attempts if event.kind is EventKind.ANSWERED]
    violations = [
        f"{request}: answered {event.answer[:60]!r} instead of {event.expected[:60]!r}"
        f", {len(event.answer)} of {len(event.expected)} characters"
        for event in answered
        if event.expected and event.answer != event.expected and not event.is_cut_stream
    ]
    distinct = Counter(e.answer for e in answered if not e.is_cut_stream)
    if len(distinct) > 1 and any(event.once for event in attempts):
        violations.append(f"{request}: repeats received {len(distinct)} answers")
    return violations


def _check_refusals(request: str, attempts: list[Event], runs: int) -> list[str]:
    """Check that a request did not run if every attempt was refused as not run."""
    not_run = all(event.kind is EventKind.REFUSED_NO for event in attempts)
    if not_run and runs > 0:
        return [f"{request}: refused as not run, ran {runs} times"]
    answered = any(event.kind is EventKind.ANSWERED for event in attempts)
    if answered and runs == 0:
        return [f"{request}: answered, but nothing ran"]
    return []
