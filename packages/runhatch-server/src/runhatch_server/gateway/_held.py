"""Requests that wait on a node for what they ask for to be loaded.

One is held only as long as it can still be answered; what other nodes and later
requests should know of it is counted at the target that it waits for.
"""

import threading
from dataclasses import dataclass
from datetime import timedelta

from runhatch_coordination import Clock
from runhatch_server.decisions import (
    BEGIN_SLACK,
    LATE_TIER,
    GatewayRequest,
    HeldPlace,
    LoadBook,
    Outstanding,
)
from runhatch_server.fleet import Directory
from runhatch_server.refusals import Reason

ADAPTER_WAIT = timedelta(milliseconds=400)
"""How long a request waits for an adapter whose model is held: loading one takes
some ten milliseconds, telling of it as much again."""
PLAN_WAIT = timedelta(milliseconds=200)
PLAN_WAIT_SHARE = 0.125
"""How long a request waits to hear whether its model will be loaded: so long, or
this share of its goal, in which others may be loaded first."""
LOAD_SLACK = timedelta(seconds=1)
"""How much later than announced a load may be done."""
MOST_HELD = 48
"""Requests that wait for a model on one node; each holds a thread."""


@dataclass(frozen=True, slots=True)
class Wait:
    """Nothing yet; it is worth waiting for news until then."""

    until: timedelta
    reason: Reason
    target: str = ""
    look_after: timedelta | None = None
    """When to look again without news; ``None`` if only news can help."""


@dataclass(frozen=True, slots=True)
class ComesTooLate:
    """The load under way ends too late for a request; others may come after it."""

    retry_after: timedelta


class HeldRequests:
    """The held requests of one node; safe for many threads.

    ``lock`` guards ``book``.
    """

    def __init__(
        self,
        directory: Directory,
        clock: Clock,
        book: LoadBook,
        lock: threading.Lock,
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._book = book
        self._lock = lock
        self.count = 0
        """Requests that wait now."""

    @property
    def full(self) -> bool:
        """Whether no further request may wait."""
        return self.count >= MOST_HELD

    def judge(
        self, request: GatewayRequest, place: HeldPlace | None
    ) -> Wait | ComesTooLate:
        """Decide about a request whose model or adapter no target holds."""
        now = self._clock.elapsed()
        model_held = self._directory.holders(request.service, request.model, "")
        if model_held and request.adapter:
            until = request.received + min(ADAPTER_WAIT, request.route.goal / 2)
            return Wait(until, Reason.NO_REPLICA)
        expected = self._directory.expected(request.service, request.model)
        if expected is None:
            wait = max(PLAN_WAIT, request.route.goal * PLAN_WAIT_SHARE)
            return Wait(request.received + wait, Reason.NO_REPLICA)
        ready_at = max(expected.ready_at, now)
        with self._lock:
            load = self._book.load(expected.target)
            since = now if place is None else place.since
            ahead_ms = load.held_ahead_ms(since, now) + self._book.full_work_ms(request)
        begins = ready_at + timedelta(milliseconds=ahead_ms)
        if begins + BEGIN_SLACK >= request.begin_by:
            return ComesTooLate(begins - now)
        until = min(ready_at + LOAD_SLACK, request.begin_by - BEGIN_SLACK)
        return Wait(until, Reason.NO_REPLICA, expected.target)

    def count_at(self, request: GatewayRequest, target: str, place: HeldPlace) -> None:
        """Count ``request`` among what waits for a load at ``target``."""
        if place.target == target:
            return
        self.leave(place)
        if not target:
            return
        place.target = target
        with self._lock:
            held = Outstanding(
                self._book.full_work_ms(request),
                0,
                place.since,
                0.0,
                LATE_TIER,
                held=True,
            )
            self._book.load(target).own[place.number] = held

    def leave(self, place: HeldPlace) -> None:
        """Count a request no longer."""
        if place.target:
            with self._lock:
                self._book.load(place.target).own.pop(place.number, None)
            place.target = ""

    def pause(self, longest: timedelta) -> None:
        """Wait for news of the targets."""
        self.count += 1
        try:
            with self._directory.news:
                self._directory.news.wait(longest.total_seconds())
        finally:
            self.count -= 1
