"""Checking what callers and targets recorded against the promises.

Three promises are checked: at most once, the whole and own answer, and that a
request refused as not run was not run.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum


class EventKind(Enum):
    """What a caller got for one sending of a request."""

    ANSWERED = "answered"
    REFUSED_NO = "refused: executed no"
    REFUSED_UNKNOWN = "refused: executed unknown"
    BROKEN = "broken connection"


@dataclass(frozen=True, slots=True)
class Event:
    """One sending of a request, as its caller saw it.

    ``request`` names the request, the same for its repeats.  ``once`` marks those
    that may run at most once.  ``answer`` is what came, ``expected`` what a whole
    and own answer is, empty if that is not known beforehand.
    """

    request: str
    kind: EventKind
    once: bool = False
    answer: str = ""
    expected: str = ""


def check_history(events: Iterable[Event], runs: Mapping[str, int]) -> list[str]:
    """Return a line for each violation; ``runs`` counts runs by request.

    >>> ran_twice = {"a": 2}
    >>> check_history([Event("a", EventKind.ANSWERED, once=True)], ran_twice)
    ['a: ran 2 times, may run once']
    """
    by_request: dict[str, list[Event]] = defaultdict(list)
    for event in events:
        by_request[event.request].append(event)
    violations = []
    for request, sent in by_request.items():
        violations += _check_once(request, sent, runs.get(request, 0))
        violations += _check_answers(request, sent)
        violations += _check_refusals(request, sent, runs.get(request, 0))
    return violations


def _check_once(request: str, sent: list[Event], runs: int) -> list[str]:
    if runs > 1 and any(event.once for event in sent):
        return [f"{request}: ran {runs} times, may run once"]
    return []


def _check_answers(request: str, sent: list[Event]) -> list[str]:
    answered = [event for event in sent if event.kind is EventKind.ANSWERED]
    violations = [
        f"{request}: answered {event.answer[:60]!r}, its own is {event.expected[:60]!r}"
        for event in answered
        if event.expected and event.answer != event.expected
    ]
    distinct = Counter(event.answer for event in answered)
    if len(distinct) > 1 and any(event.once for event in sent):
        violations.append(f"{request}: its repeats got {len(distinct)} answers")
    return violations


def _check_refusals(request: str, sent: list[Event], runs: int) -> list[str]:
    """Where every sending was refused as not run, nothing may have run."""
    not_run = all(event.kind is EventKind.REFUSED_NO for event in sent)
    if not_run and runs > 0:
        return [f"{request}: refused as not run, ran {runs} times"]
    answered = any(event.kind is EventKind.ANSWERED for event in sent)
    if answered and runs == 0:
        return [f"{request}: answered, but nothing ran"]
    return []
