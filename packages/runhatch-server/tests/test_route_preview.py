"""Previews of where a request would go."""

from dataclasses import replace
from datetime import timedelta

import pytest
from server_cases import ROUTE, deployment_document, make_request

from runhatch_server.configuration import Deployment
from runhatch_server.refusals import Reason, Refusal
from runhatch_server.serving import (
    Dispatcher,
    Grant,
    Hosting,
    PlacementCache,
    Route,
    RouteKind,
    RouteOutcome,
)
from runhatch_server.targets import AttemptReason, NotSent, RefusedNotRun

ALLOWED = timedelta(seconds=5)
TARGET_COUNT = 8
SLOTS = 4


def make_dispatcher(clock, target_count=TARGET_COUNT):
    target = deployment_document()["pools"][0]["targets"][0]
    targets = [{**target, "name": f"w{i}"} for i in range(target_count)]
    document = deployment_document(pools=[{"name": "reader", "targets": targets}])
    picture = PlacementCache()
    picture.set_deployment(Deployment.model_validate(document))
    for index in range(target_count):
        picture.apply_hosting(Hosting(f"w{index}", 1, ("m0@1",)))
    return Dispatcher(picture, clock, "d0", 4, 0.5, seed=1)


def acquire(dispatcher, clock, priority=3, caller="c"):
    request = make_request("r", caller, priority)
    return dispatcher.try_acquire(replace(request, deadline=clock.elapsed() + ALLOWED))


def preview(dispatcher, route=ROUTE, priority=3, allowed=ALLOWED, caller="c"):
    return dispatcher.preview_route(route, caller, priority, allowed)


def exclusions(shown):
    return {host.target: host.exclusion for host in shown.hosts}


def run_script(dispatcher, clock, ask):
    """Run requests in several situations; return what each of them got."""
    outcomes, grants = [], []

    def step(priority=3, caller="c"):
        ask(dispatcher)
        outcome = acquire(dispatcher, clock, priority, caller)
        grants.extend([outcome] if isinstance(outcome, Grant) else [])
        is_known = isinstance(outcome, Grant | Refusal)
        outcomes.append(outcome if is_known else outcome.patience)
        outcomes.append((dispatcher.target_loads(), dispatcher.queued_count))
        clock.advance(timedelta(seconds=0.7))

    for _ in range(12):
        step()
    for grant in grants[:6]:
        dispatcher.release_completed(grant, timedelta(seconds=0.1), None)
        step()
    for _ in range(3):
        dispatcher.release_failed(grants.pop(), NotSent(AttemptReason.CONNECT_FAILED))
        step()
    for number in range(TARGET_COUNT * SLOTS):
        step(number % 8, f"c{number}")
    return outcomes


class TestWithoutEffect:
    """Asking changes nothing."""

    def test_same_requests_get_the_same_outcomes(self, clock):
        """Guards against a preview that uses random numbers or takes a slot or a place
        in the queue: later requests would then get other targets, waits or
        Retry-After than on a node that was not asked.
        """
        twin_clock = type(clock)()
        unasked = run_script(make_dispatcher(clock), clock, lambda dispatcher: None)

        def ask(dispatcher):
            for priority in (0, 3, 7):
                preview(dispatcher, priority=priority)
            preview(dispatcher, Route(RouteKind.MODEL, "m3"))

        asked = run_script(make_dispatcher(twin_clock), twin_clock, ask)
        assert asked == unasked
        kinds = {type(outcome) for outcome in unasked}
        assert kinds == {Grant, Refusal, timedelta, tuple}

    def test_unused_target_and_route_are_not_stored(self, clock):
        """Guards against state that grows with the questions of operators."""
        dispatcher = make_dispatcher(clock)
        preview(dispatcher)
        preview(dispatcher, Route(RouteKind.MODEL, "m3"))
        assert dispatcher.target_loads() == {}
        assert not dispatcher._routes

    def test_drain_rate_is_not_changed(self, clock):
        """Guards against a preview that moves the window of the drain rate, which
        reading the rate does: a later refusal would then state another Retry-After.
        """
        twin_clock = type(clock)()

        def read_retry_after(own_clock, is_asked):
            dispatcher = make_dispatcher(own_clock, 1)
            first = acquire(dispatcher, own_clock)
            dispatcher.release_completed(first, timedelta(), None)
            for _ in range(SLOTS):
                acquire(dispatcher, own_clock)
            own_clock.advance(timedelta(seconds=6))
            if is_asked:
                preview(dispatcher)
            own_clock.advance(timedelta(seconds=1.5))
            return dispatcher.estimate_retry_after(ROUTE)

        assert read_retry_after(clock, True) == read_retry_after(twin_clock, False)

    def test_full_queue_is_not_shed(self, clock):
        """Guards against a preview of an urgent request that sheds a waiting one."""
        dispatcher = make_dispatcher(clock, 1)
        for _ in range(SLOTS):
            acquire(dispatcher, clock)
        waiters = [acquire(dispatcher, clock, 7, f"c{i}") for i in range(4)]
        shown = preview(dispatcher, priority=0)
        assert shown.verdict.outcome is RouteOutcome.WAITS
        assert dispatcher.queued_count == 4
        assert not any(waiter.is_shed for waiter in waiters)


class TestChoice:
    """The preview is what the next request gets."""

    def test_next_request_gets_the_chosen_target(self, clock):
        """Guards against a preview that decides otherwise than the router."""
        dispatcher = make_dispatcher(clock)
        for _ in range(TARGET_COUNT * SLOTS):
            shown = preview(dispatcher)
            grant = acquire(dispatcher, clock)
            assert shown.chosen.target == grant.host.target
            assert shown.chosen.predicted_wait == grant.choice.predicted_wait
            clock.advance(timedelta(seconds=0.1))

    def test_each_other_target_has_a_reason(self, clock):
        """Guards against a target that is left out without a reason."""
        dispatcher = make_dispatcher(clock)
        shown = preview(dispatcher)
        reasons = [reason for reason in exclusions(shown).values() if reason]
        assert len(reasons) == TARGET_COUNT - 1
        assert sum("not among the 3" in reason for reason in reasons) == 5
        assert sum("ms more than" in reason for reason in reasons) == 2

    def test_reasons_of_targets_without_work(self, clock):
        """A draining, backing off, ejected or full target is distinguished."""
        dispatcher = make_dispatcher(clock, 5)
        held = [acquire(dispatcher, clock) for _ in range(5 * SLOTS)]
        by_target = {}
        for grant in held:
            by_target.setdefault(grant.host.target, []).append(grant)
        for grant in by_target["w1"]:
            busy = RefusedNotRun(AttemptReason.TARGET_BUSY, timedelta(seconds=9))
            dispatcher.release_failed(grant, busy)
        for grant in by_target["w2"]:
            dispatcher.release_failed(grant, NotSent(AttemptReason.CONNECT_FAILED))
        for grant in by_target["w4"]:
            dispatcher.release_completed(grant, timedelta(), None)
        dispatcher.set_draining(frozenset({"w0"}))
        shown = preview(dispatcher)
        assert exclusions(shown) == {
            "w0": "draining",
            "w1": "requested a backoff, 9.0 s remain",
            "w2": "ejected after failures",
            "w3": "its limit is reached",
            "w4": "",
        }


class TestRefusal:
    """The reason and Retry-After are those of a refusal now."""

    def test_backoff_of_all_targets(self, clock):
        """The refusal is the one that the next request gets."""
        dispatcher = make_dispatcher(clock, 1)
        busy = RefusedNotRun(AttemptReason.TARGET_BUSY, timedelta(seconds=9))
        dispatcher.release_failed(acquire(dispatcher, clock), busy)
        verdict = preview(dispatcher).verdict
        refusal = acquire(dispatcher, clock)
        assert verdict.outcome is RouteOutcome.REFUSED
        assert verdict.reason is refusal.reason is Reason.TARGETS_BACK_OFF
        assert verdict.retry_after == refusal.retry_after

    @pytest.mark.parametrize(
        ("callers", "reason"),
        [
            (("a", "b", "d", "e"), Reason.QUEUE_FULL),
            (("c", "c"), Reason.CALLER_SHARE),
        ],
    )
    def test_queue_without_room(self, clock, callers, reason):
        """The refusal is the one that the next request gets."""
        dispatcher = make_dispatcher(clock, 1)
        for _ in range(SLOTS):
            acquire(dispatcher, clock)
        for caller in callers:
            acquire(dispatcher, clock, caller=caller)
        shown = preview(dispatcher)
        refusal = acquire(dispatcher, clock)
        assert shown.verdict.outcome is RouteOutcome.REFUSED
        assert shown.verdict.reason is refusal.reason is reason
        assert shown.verdict.retry_after == refusal.retry_after
        assert shown.ahead == len(callers)

    def test_unmeetable_deadline(self, clock):
        """The refusal follows from the drain rate, and is that of the next request."""
        dispatcher = make_dispatcher(clock, 1)
        first = acquire(dispatcher, clock)
        clock.advance(timedelta(seconds=4))
        dispatcher.release_completed(first, timedelta(), None)
        for _ in range(SLOTS):
            acquire(dispatcher, clock)
        clock.advance(timedelta(seconds=2))
        verdict = preview(dispatcher).verdict
        refusal = acquire(dispatcher, clock)
        assert verdict.outcome is RouteOutcome.REFUSED
        assert verdict.reason is refusal.reason is Reason.DEADLINE_UNMEETABLE
        assert verdict.retry_after == refusal.retry_after

    def test_model_without_replica_waits(self, clock):
        """A model that no target serves has no candidates and a bounded wait."""
        shown = preview(make_dispatcher(clock), Route(RouteKind.MODEL, "m3"))
        assert shown.hosts == ()
        assert shown.verdict.outcome is RouteOutcome.WAITS
        assert shown.verdict.reason is Reason.NO_REPLICA
        assert shown.verdict.max_wait == timedelta(seconds=5)

    def test_request_waits_behind_others(self, clock):
        """A wait states the requests ahead and the refusal after it."""
        dispatcher = make_dispatcher(clock, 1)
        for _ in range(SLOTS):
            acquire(dispatcher, clock)
        waiter = acquire(dispatcher, clock, caller="a")
        shown = preview(dispatcher)
        assert (shown.verdict.outcome, shown.ahead) == (RouteOutcome.WAITS, 1)
        assert shown.verdict.reason is dispatcher.finish_waiting(waiter).reason
        assert exclusions(shown) == {"w0": "waiting requests are served first"}
