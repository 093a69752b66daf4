"""Slots, queue and admission of one node."""

import threading
import time
from datetime import timedelta

import pytest
from server_cases import make_request

from runhatch_coordination import SystemClock
from runhatch_server.refusals import Reason, Refusal
from runhatch_server.serving import Dispatcher, Grant, Hosting, Picture
from runhatch_server.targets import AttemptReason, NotSent, RefusedUnrun


@pytest.fixture
def picture(deployment):
    picture = Picture()
    picture.configure(deployment)
    picture.learn(Hosting("w0", 1, ("m0@1",)))
    return picture


@pytest.fixture
def dispatcher(picture):
    return Dispatcher(picture, SystemClock(), "d0", 8, 0.5, seed=1)


def fill(dispatcher, count=4):
    return [dispatcher.acquire(make_request(f"f{i}")) for i in range(count)]


QUEUED_WITHIN = 10.0
"""Seconds within which a thread has queued its request, also on a busy machine."""


def wait_queued(dispatcher, count):
    give_up = time.monotonic() + QUEUED_WITHIN
    while dispatcher.queued < count:
        assert time.monotonic() < give_up, f"{dispatcher.queued} of {count} are queued"
        time.sleep(0.001)


def acquire_later(dispatcher, request, results):
    def work():
        results.append((request.request_id, dispatcher.acquire(request)))

    thread = threading.Thread(target=work)
    thread.start()
    return thread


class TestDispatcher:
    """Who gets the next slot."""

    def test_never_beyond_the_limit(self, dispatcher):
        """No more requests are at a target than its limit."""
        grants = fill(dispatcher)
        assert all(isinstance(grant, Grant) for grant in grants)
        refused = dispatcher.acquire(make_request("late", seconds=0.05))
        assert isinstance(refused, Refusal)
        assert refused.reason is Reason.DEADLINE_UNMEETABLE
        assert refused.retry_after is not None

    def test_urgent_goes_first_then_the_earlier_deadline(self, dispatcher):
        """Waiting requests are ordered by priority, then by deadline."""
        grants = fill(dispatcher)
        results, threads = [], []
        wanted = [("low", 5, 9.0), ("late", 1, 9.0), ("soon", 1, 5.0)]
        for count, (name, priority, seconds) in enumerate(wanted, 1):
            request = make_request(name, name, priority, seconds)
            threads.append(acquire_later(dispatcher, request, results))
            wait_queued(dispatcher, count)
        for grant in grants[:3]:
            dispatcher.completed(grant, timedelta(), None)
            left = dispatcher.queued
            while len(results) < 3 - left:
                time.sleep(0.001)
        for thread in threads:
            thread.join()
        assert [name for name, _ in results] == ["soon", "late", "low"]

    def test_full_queue_sheds_the_least_urgent(self, dispatcher):
        """A more urgent request takes the place of a less urgent one."""
        fill(dispatcher)
        results, threads = [], []
        for index in range(8):
            request = make_request(f"w{index}", f"c{index}", 5, 3.0)
            threads.append(acquire_later(dispatcher, request, results))
            wait_queued(dispatcher, index + 1)
        same = dispatcher.acquire(make_request("same", "x", 5))
        assert same.reason is Reason.QUEUE_FULL
        urgent = make_request("urgent", "y", 0, 0.3)
        threads.append(acquire_later(dispatcher, urgent, results))
        threads[7].join()
        assert results[0][1].reason is Reason.SHED
        for thread in threads:
            thread.join()

    def test_one_caller_cannot_hold_the_queue(self, dispatcher):
        """Once the queue is half full a caller keeps to its share.

        Its requests wait for as long as the queue is being filled: with deadlines of
        0.5 s the first had left on a busy machine before the fourth came, and the test
        waited for four for ever.
        """
        grants = fill(dispatcher)
        results, threads = [], []
        for index in range(4):
            request = make_request(f"w{index}", "greedy", 3, 2 * QUEUED_WITHIN)
            threads.append(acquire_later(dispatcher, request, results))
            wait_queued(dispatcher, index + 1)
        refused = dispatcher.acquire(make_request("more", "greedy"))
        assert refused.reason is Reason.CALLER_SHARE
        for grant in grants:
            dispatcher.completed(grant, timedelta(), None)
        for thread in threads:
            thread.join()
        assert all(isinstance(grant, Grant) for _, grant in results)

    def test_drained_target_gets_nothing(self, dispatcher):
        """A target that is leaving gets no new request."""
        dispatcher.drain(frozenset({"w0"}))
        refused = dispatcher.acquire(make_request(seconds=0.05))
        assert isinstance(refused, Refusal)

    def test_new_replica_serves_those_who_wait(self, dispatcher, picture):
        """A replica that appears takes waiting requests at once."""
        fill(dispatcher)
        results = []
        thread = acquire_later(dispatcher, make_request("w"), results)
        wait_queued(dispatcher, 1)
        picture.learn(Hosting("w1", 1, ("m0@1",)))
        dispatcher.picture_changed()
        thread.join()
        assert results[0][1].host.target == "w1"

    def test_busy_target_shrinks_its_limit(self, dispatcher):
        """A target that refuses for load gets fewer requests."""
        grants = fill(dispatcher)
        busy = RefusedUnrun(AttemptReason.TARGET_BUSY)
        dispatcher.failed(grants[0], busy)
        assert dispatcher.loads()["w0"] == (3, 2)

    def test_failing_target_is_set_aside(self, dispatcher, picture):
        """After three failures requests go to the other replica."""
        picture.learn(Hosting("w1", 1, ("m0@1",)))
        failed = 0
        while failed < 3:
            grant = dispatcher.acquire(make_request())
            if grant.host.target == "w1":
                dispatcher.completed(grant, timedelta(), None)
                continue
            dispatcher.failed(grant, NotSent(AttemptReason.CONNECT_FAILED))
            failed += 1
        grants = fill(dispatcher)
        assert {grant.host.target for grant in grants} == {"w1"}

    def test_sole_replica_is_never_set_aside(self, dispatcher):
        """A model's only replica is tried however often it fails."""
        for _ in range(10):
            grant = dispatcher.acquire(make_request())
            assert isinstance(grant, Grant)
            dispatcher.failed(grant, NotSent(AttemptReason.CONNECT_FAILED))


class TestRest:
    """Targets that turn a request away and want nothing for a while."""

    def rest(self, dispatcher, grant, length):
        busy = RefusedUnrun(AttemptReason.TARGET_BUSY, timedelta(seconds=length))
        dispatcher.failed(grant, busy)

    def test_it_gets_nothing_and_callers_hear_how_long(self, dispatcher):
        (grant,) = fill(dispatcher, 1)
        self.rest(dispatcher, grant, 30)

        refusal = dispatcher.acquire(make_request("r"))

        assert refusal.reason is Reason.TARGETS_REST
        assert timedelta(seconds=29) < refusal.retry_after < timedelta(seconds=38)

    def test_another_that_holds_the_model_serves(self, dispatcher, picture):
        picture.learn(Hosting("w1", 1, ("m0@1",)))
        (grant,) = fill(dispatcher, 1)
        self.rest(dispatcher, grant, 30)

        others = fill(dispatcher, 3)

        assert grant.host.target not in {other.host.target for other in others}

    def test_what_waits_is_served_when_the_rest_is_over(self, dispatcher):
        """Nobody gives a place back at that moment."""
        grants = fill(dispatcher)
        results = []
        thread = acquire_later(dispatcher, make_request("w", seconds=20), results)
        wait_queued(dispatcher, 1)
        for grant in grants:
            self.rest(dispatcher, grant, 0.5)
        thread.join(QUEUED_WITHIN)

        assert isinstance(results[0][1], Grant)
