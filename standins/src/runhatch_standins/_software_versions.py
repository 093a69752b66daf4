"""Check that a stream holds events of one software version, and is taken up.

A stream goes on over several tries of its caller, each of which may have parts from
several targets.  The data of an event names the version that made it.
"""

import re
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

EVENT = re.compile(r"id: (\d+)\ndata: (\S+)(?: (\S+))?\n\n")
ALLOWED_MIXED_STREAMS = 2
MIN_TAKEN_UP_STREAMS = 12
"""Streams taken up of which the share that goes on must hold."""
MIN_TARGETS = 2
"""Targets of its version that serve while a stream that counts is taken up."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event of a stream, and the version of the target that made it."""

    number: int
    version: str


@dataclass(frozen=True, slots=True)
class StreamTry:
    """One try of a caller, and the whole events that it received.

    ``began`` and ``ended`` are in seconds of the monotonic clock; ``status`` is 0 if
    there was no answer, ``reason`` that of a refusal.  The gateway of a try in touch
    ran without a fault meanwhile.
    """

    attempt_id: str
    gateway: str
    began: float
    ended: float
    status: int
    events: tuple[StreamEvent, ...]
    is_take_up: bool = False
    is_in_touch: bool = True
    reason: str = ""


@dataclass(slots=True)
class CallerStream:
    """A stream over all tries of its caller."""

    name: str
    tokens: int
    tries: list[StreamTry] = field(default_factory=list)

    @property
    def events(self) -> list[StreamEvent]:
        """All events in the order in which they arrived."""
        return [event for attempt in self.tries for event in attempt.events]

    @property
    def versions(self) -> set[str]:
        """The versions that made the events."""
        return {event.version for event in self.events}

    @property
    def is_complete(self) -> bool:
        """Whether the last event has arrived."""
        events = self.events
        return bool(events) and events[-1].number == self.tokens

    @property
    def first_attempt_id(self) -> str:
        """The id of the attempt that brought the first event; empty if none did."""
        return next((t.attempt_id for t in self.tries if t.events), "")


@dataclass(frozen=True, slots=True)
class ServingTime:
    """The time in which a target of ``version`` served, by the monotonic clock."""

    version: str
    begins: float
    ends: float = float("inf")


def parse_events(text: str) -> tuple[StreamEvent, ...]:
    """Return the whole events of ``text``."""
    return tuple(
        StreamEvent(int(match[1]), match[3] or "") for match in EVENT.finditer(text)
    )


def parse_refusal_reason(text: str) -> str:
    """Return the reason that the body of a refusal states, empty if none.

    >>> parse_refusal_reason('{"status": 503, "reason": "stream_unknown"}')
    'stream_unknown'
    """
    match = re.search(r'"reason": ?"(\w+)"', text)
    return match[1] if match else ""


def describe_streams(streams: Sequence[CallerStream]) -> str:
    """Return the numbers of streams, of those taken up and of mixed ones."""
    taken_up = [s for s in streams if any(t.is_take_up for t in s.tries)]
    complete = sum(stream.is_complete for stream in taken_up)
    mixed = len(find_mixed_streams(streams))
    return (
        f"{len(streams)} streams, {len(taken_up)} taken up, "
        f"{complete} of these complete, {mixed} mixed"
    )


def find_mixed_streams(streams: Iterable[CallerStream]) -> list[CallerStream]:
    """Return the streams that hold events of more than one version."""
    return [stream for stream in streams if len(stream.versions) > 1]


def check_streams(
    streams: Sequence[CallerStream], serving: Sequence[ServingTime]
) -> list[str]:
    """Return all violations by ``streams``, while targets served as in ``serving``."""
    return [
        *check_event_numbers(streams),
        *check_versions(streams),
        *check_taken_up(streams, serving),
    ]


def check_event_numbers(streams: Iterable[CallerStream]) -> list[str]:
    """Return a violation per stream in which an event is missing or comes twice."""
    violations = []
    for stream in streams:
        numbers = [event.number for event in stream.events]
        if numbers != [*range(1, len(numbers) + 1)]:
            violations.append(f"{stream.name}: has events {numbers}")
    return violations


def check_versions(streams: Iterable[CallerStream]) -> list[str]:
    """Return a violation per mixed stream if there are more than allowed."""
    mixed = find_mixed_streams(streams)
    if len(mixed) <= ALLOWED_MIXED_STREAMS:
        return []
    return [
        f"{stream.name}: holds events of {sorted(stream.versions)} over "
        f"{len(stream.tries)} tries"
        for stream in mixed
    ]


def check_taken_up(
    streams: Iterable[CallerStream], serving: Sequence[ServingTime]
) -> list[str]:
    """Return a violation if taken up streams go on too rarely.

    The share of those that go on is compared with that of new streams that begin.
    Streams count whose tries were in touch, and that were taken up while
    ``MIN_TARGETS`` of their version served.
    """
    begun: list[bool] = []
    gone_on: list[bool] = []
    refusals: Counter[str] = Counter()
    for stream in streams:
        first = [t for t in stream.tries if not t.is_take_up and t.is_in_touch]
        if first:
            begun.append(any(t.events for t in first))
        taken_up = [
            t
            for t in stream.tries
            if t.is_take_up and t.is_in_touch and _is_servable(stream, t, serving)
        ]
        if taken_up:
            gone_on.append(any(t.events for t in taken_up))
            refusals.update(t.reason for t in taken_up if t.reason)
    if len(gone_on) < MIN_TAKEN_UP_STREAMS:
        return []
    share_begun = sum(begun) / len(begun) if begun else 0.0
    share_gone_on = sum(gone_on) / len(gone_on)
    if share_gone_on >= share_begun / 2:
        return []
    return [
        f"{sum(gone_on)} of {len(gone_on)} streams taken up went on, "
        f"{sum(begun)} of {len(begun)} new ones began; refusals: {dict(refusals)}"
    ]


def _is_servable(
    stream: CallerStream, attempt: StreamTry, serving: Sequence[ServingTime]
) -> bool:
    version = stream.events[0].version
    targets = sum(
        time.version == version
        and time.begins <= attempt.began
        and attempt.ended <= time.ends
        for time in serving
    )
    return targets >= MIN_TARGETS
