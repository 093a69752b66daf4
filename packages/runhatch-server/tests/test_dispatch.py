"""Tests of slots, queueing and admission of one node."""

import threading
import time
from datetime import timedelta

import pytest
from server_cases import make_request

from runhatch_coordination import SystemClock
from runhatch_server.refusals import Reason, Refusal
from runhatch_server.serving import Dispatcher, Grant, Hosting, PlacementCache
from runhatch_server.targets import AttemptReason, NotSent, RefusedNotRun


@pytest.fixture
def picture(deployment):
    picture = PlacementCache()
    picture.set_deployment(deployment)
    picture.apply_hosting(Hosting("w0", 1, ("m0@1",)))
    return picture


@pytest.fixture
def dispatcher(picture):
    return Dispatcher(picture, SystemClock(), "d0", 8, 0.5, seed=1)


def acquire_slots(dispatcher, count=4):
    return [dispatcher.acquire(make_request(f"f{i}")) for i in range(count)]


QUEUE_TIMEOUT = 10.0
"""Timeout in seconds for a thread to queue its request, also on a busy machine."""


def wait_until_queued(dispatcher, count):
    wait_until = time.monotonic() + QUEUE_TIMEOUT
    while dispatcher.queued_count < count:
        assert time.monotonic() < wait_until, (
            f"{dispatcher.queued_count} of {count} are queued"
        )
        time.sleep(0.001)


def acquire_in_thread(dispatcher, request, results):
    def wait_for_slot():
        results.append((request.request_id, dispatcher.acquire(request)))

    thread = threading.Thread(target=wait_for_slot)
    thread.start()
    return thread


class TestDispatcher:
    """Order of grants, and refusals."""

    def test_slots_stay_within_the_limit(self, dispatcher):
        """A target has at most as many outstanding requests as its limit."""
        grants = acquire_slots(dispatcher)
        assert all(isinstance(grant, Grant) for grant in grants)
        refused = dispatcher.acquire(make_request("late", seconds=0.05))
        assert isinstance(refused, Refusal)
        assert refused.reason is Reason.DEADLINE_UNMEETABLE
        assert refused.retry_after is not None

    def test_waiters_are_served_by_priority_then_deadline(self, dispatcher):
        """Waiting requests are ordered by priority, then by deadline."""
        grants = acquire_slots(dispatcher)
        results, threads = [], []
        requested = [("low", 5, 9.0), ("late", 1, 9.0), ("soon", 1, 5.0)]
        for count, (name, priority, seconds) in enumerate(requested, 1):
            request = make_request(name, name, priority, seconds)
            threads.append(acquire_in_thread(dispatcher, request, results))
            wait_until_queued(dispatcher, count)
        for grant in grants[:3]:
            dispatcher.release_completed(grant, timedelta(), None)
            still_queued = dispatcher.queued_count
            while len(results) < 3 - still_queued:
                time.sleep(0.001)
        for thread in threads:
            thread.join()
        assert [name for name, _ in results] == ["soon", "late", "low"]

    def test_full_queue_sheds_the_least_urgent_request(self, dispatcher):
        """A more urgent request takes the place of a less urgent one."""
        acquire_slots(dispatcher)
        results, threads = [], []
        for index in range(8):
            request = make_request(f"w{index}", f"c{index}", 5, 3.0)
            threads.append(acquire_in_thread(dispatcher, request, results))
            wait_until_queued(dispatcher, index + 1)
        equally_urgent = dispatcher.acquire(make_request("same", "x", 5))
        assert equally_urgent.reason is Reason.QUEUE_FULL
        urgent = make_request("urgent", "y", 0, 0.3)
        threads.append(acquire_in_thread(dispatcher, urgent, results))
        threads[7].join()
        assert results[0][1].reason is Reason.SHED
        for thread in threads:
            thread.join()

    def test_caller_is_limited_to_its_share_of_the_queue(self, dispatcher):
        """A caller gets no more than its share once the queue is half full.

        The deadlines outlast the filling of the queue: with 0.5 s the first request
        left before the fourth was queued on a busy machine, and the test hung.
        """
        grants = acquire_slots(dispatcher)
        results, threads = [], []
        for index in range(4):
            request = make_request(f"w{index}", "greedy", 3, 2 * QUEUE_TIMEOUT)
            threads.append(acquire_in_thread(dispatcher, request, results))
            wait_until_queued(dispatcher, index + 1)
        refused = dispatcher.acquire(make_request("more", "greedy"))
        assert refused.reason is Reason.CALLER_SHARE
        for grant in grants:
            dispatcher.release_completed(grant, timedelta(), None)
        for thread in threads:
            thread.join()
        assert all(isinstance(grant, Grant) for _, grant in results)

    def test_draining_target_gets_no_requests(self, dispatcher):
        """A draining target gets no new request."""
        dispatcher.set_draining(frozenset({"w0"}))
        refused = dispatcher.acquire(make_request(seconds=0.05))
        assert isinstance(refused, Refusal)

    def test_new_replica_serves_waiting_requests(self, dispatcher, picture):
        """A new replica gets waiting requests as soon as the picture changes."""
        acquire_slots(dispatcher)
        results = []
        thread = acquire_in_thread(dispatcher, make_request("w"), results)
        wait_until_queued(dispatcher, 1)
        picture.apply_hosting(Hosting("w1", 1, ("m0@1",)))
        dispatcher.grant_free_slots()
        thread.join()
        assert results[0][1].host.target == "w1"

    def test_refusal_for_load_decreases_the_limit(self, dispatcher):
        """A target that refuses for load gets fewer requests."""
        grants = acquire_slots(dispatcher)
        busy = RefusedNotRun(AttemptReason.TARGET_BUSY)
        dispatcher.release_failed(grants[0], busy)
        assert dispatcher.target_loads()["w0"] == (3, 2)

    def test_failing_target_is_ejected(self, dispatcher, picture):
        """After three failures requests go to the other replica."""
        picture.apply_hosting(Hosting("w1", 1, ("m0@1",)))
        failed = 0
        while failed < 3:
            grant = dispatcher.acquire(make_request())
            if grant.host.target == "w1":
                dispatcher.release_completed(grant, timedelta(), None)
                continue
            dispatcher.release_failed(grant, NotSent(AttemptReason.CONNECT_FAILED))
            failed += 1
        grants = acquire_slots(dispatcher)
        assert {grant.host.target for grant in grants} == {"w1"}

    def test_only_replica_is_never_ejected(self, dispatcher):
        """A model's only replica is tried however often it fails."""
        for _ in range(10):
            grant = dispatcher.acquire(make_request())
            assert isinstance(grant, Grant)
            dispatcher.release_failed(grant, NotSent(AttemptReason.CONNECT_FAILED))


class TestBackoff:
    """Targets that refuse a request with a Retry-After."""

    def back_off(self, dispatcher, grant, backoff_seconds):
        busy = RefusedNotRun(
            AttemptReason.TARGET_BUSY, timedelta(seconds=backoff_seconds)
        )
        dispatcher.release_failed(grant, busy)

    def test_requests_are_refused_with_the_backoff_as_retry_after(self, dispatcher):
        """If all targets back off, the refusal says how long, plus jitter."""
        (grant,) = acquire_slots(dispatcher, 1)
        self.back_off(dispatcher, grant, 30)

        refusal = dispatcher.acquire(make_request("r"))

        assert refusal.reason is Reason.TARGETS_BACK_OFF
        assert timedelta(seconds=29) < refusal.retry_after < timedelta(seconds=38)

    def test_another_replica_serves_during_the_backoff(self, dispatcher, picture):
        """Requests go to replicas that do not back off."""
        picture.apply_hosting(Hosting("w1", 1, ("m0@1",)))
        (grant,) = acquire_slots(dispatcher, 1)
        self.back_off(dispatcher, grant, 30)

        others = acquire_slots(dispatcher, 3)

        assert grant.host.target not in {other.host.target for other in others}

    def test_waiting_request_is_served_after_the_backoff(self, dispatcher):
        """The end of a backoff returns no slot that would wake the waiting request."""
        grants = acquire_slots(dispatcher)
        results = []
        thread = acquire_in_thread(dispatcher, make_request("w", seconds=20), results)
        wait_until_queued(dispatcher, 1)
        for grant in grants:
            self.back_off(dispatcher, grant, 0.5)
        thread.join(QUEUE_TIMEOUT)

        assert isinstance(results[0][1], Grant)
