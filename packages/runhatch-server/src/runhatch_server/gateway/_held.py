"""Requests held on a node until their model or adapter is loaded.

Requests are held only while they can still be answered in time.  Each is counted as
load of the target it waits for, so that peers and later requests account for it.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from runhatch_coordination import Clock
from runhatch_server.decisions import (
    LATE_TIER,
    MIN_START_SLACK,
    GatewayRequest,
    HeldRequest,
    LoadBook,
    OutstandingRequest,
)
from runhatch_server.fleet import TargetDirectory
from runhatch_server.gateway._holders import find_holders
from runhatch_server.refusals import Reason

ADAPTER_WAIT = timedelta(milliseconds=400)
"""Maximum wait for an adapter of a loaded model: loading it takes some ten milliseconds
and publishing that as long again."""
PLAN_WAIT = timedelta(milliseconds=200)
PLAN_WAIT_SHARE = 0.125
"""Maximum wait for the announcement of a model's load: the larger of ``PLAN_WAIT`` and
this fraction of the request's goal, as other models may be loaded first."""
LOAD_DELAY_TOLERANCE = timedelta(seconds=1)
"""Tolerated delay of a load beyond its announced end."""
MAX_HELD_REQUESTS = 48
"""Maximum number of held requests on a node; each blocks a thread."""


@dataclass(frozen=True, slots=True)
class HoldDecision:
    """Decision to hold a request until a target can take it, or until ``until``.

    If none can by then, the request is refused for ``reason``.  ``target`` is the one
    that loads the model, empty if it is not known.
    """

    until: timedelta
    reason: Reason
    target: str = ""
    recheck_interval: timedelta | None = None
    """Interval of checks without an update of the targets; ``None`` if nothing but an
    update can help."""


@dataclass(frozen=True, slots=True)
class LoadTooLate:
    """Decision to refuse a request, as the load in progress ends too late for it.

    A retry after ``retry_after`` can find the model loaded.
    """

    retry_after: timedelta


class HeldRequests:
    """The held requests of one node; thread-safe.

    ``lock`` guards ``book``.
    """

    def __init__(
        self,
        directory: TargetDirectory,
        clock: Clock,
        book: LoadBook,
        lock: threading.Lock,
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._book = book
        self._lock = lock
        self.count = 0
        """Number of requests that currently wait."""

    @property
    def is_full(self) -> bool:
        """Whether no further request may be held."""
        return self.count >= MAX_HELD_REQUESTS

    def decide(
        self, request: GatewayRequest, held_place: HeldRequest | None
    ) -> HoldDecision | LoadTooLate:
        """Decide whether to hold a request whose model or adapter no target holds."""
        now = self._clock.elapsed()
        model_holders = find_holders(self._directory, request, adapter="")
        if model_holders and request.adapter:
            until = request.received_at + min(ADAPTER_WAIT, request.route.goal / 2)
            return HoldDecision(until, Reason.NO_REPLICA)
        expected_load = self._directory.earliest_load(
            request.service, request.model, request.software_version
        )
        if expected_load is None:
            plan_wait = max(PLAN_WAIT, request.route.goal * PLAN_WAIT_SHARE)
            return HoldDecision(request.received_at + plan_wait, Reason.NO_REPLICA)
        ready_at = max(expected_load.ready_at, now)
        with self._lock:
            load = self._book.load(expected_load.target)
            since = now if held_place is None else held_place.held_since
            ahead_ms = load.held_ahead_ms(since, now) + self._book.full_prompt_ms(
                request
            )
        starts_at = ready_at + timedelta(milliseconds=ahead_ms)
        if starts_at + MIN_START_SLACK >= request.start_deadline:
            return LoadTooLate(starts_at - now)
        until = min(
            ready_at + LOAD_DELAY_TOLERANCE, request.start_deadline - MIN_START_SLACK
        )
        return HoldDecision(until, Reason.NO_REPLICA, expected_load.target)

    def count_at(
        self, request: GatewayRequest, target: str, place: HeldRequest
    ) -> None:
        """Count ``request`` as load of ``target``, which is loading its model."""
        if place.target == target:
            return
        self.uncount(place)
        if not target:
            return
        place.target = target
        with self._lock:
            outstanding = OutstandingRequest(
                self._book.full_prompt_ms(request),
                0,
                place.held_since,
                0.0,
                LATE_TIER,
                held=True,
            )
            self._book.load(target).own_requests[place.number] = outstanding

    def uncount(self, place: HeldRequest) -> None:
        """Stop counting a request as load of the target it waits for."""
        if place.target:
            with self._lock:
                self._book.load(place.target).own_requests.pop(place.number, None)
            place.target = ""

    def wait_for_update(
        self, timeout: timedelta, is_due: Callable[[], bool] = lambda: False
    ) -> None:
        """Wait at most ``timeout`` for an update of the targets.

        Do not wait if ``is_due``, which shows an update since the last search.
        """
        self.count += 1
        try:
            with self._directory.update_condition:
                if not is_due():
                    self._directory.update_condition.wait(timeout.total_seconds())
        finally:
            self.count -= 1
