"""Tests that the HTTP server has a thread for each concurrent request."""

import http.client
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from runhatch_server.http import HttpServer, ServerLimits
from runhatch_server.http._dispatcher import (
    MIN_THREADS,
    REQUESTS_PER_CHECK,
    SPARE_THREADS,
    GrowingDispatcher,
)

MAX_THREADS = 60
TIMEOUT_SECONDS = 10


class BlockedTask:
    """A task that runs until ``release`` is set."""

    def __init__(self, release):
        self._release = release
        self.begun = threading.Event()

    def service(self):
        self.begun.set()
        assert self._release.wait(TIMEOUT_SECONDS)

    def cancel(self):
        pass


@pytest.fixture
def dispatcher():
    dispatcher = GrowingDispatcher(MAX_THREADS)
    yield dispatcher
    dispatcher.shutdown()


def add_blocked_tasks(dispatcher, count):
    release = threading.Event()
    tasks = [BlockedTask(release) for _ in range(count)]
    for task in tasks:
        dispatcher.add_task(task)
    return tasks, release


def wait_until(condition):
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.002)


class TestGrowingDispatcher:
    """The number of threads follows the number of requests in progress."""

    @pytest.mark.parametrize("concurrent", [0, 1, 4, 30, MAX_THREADS])
    def test_each_request_has_a_thread(self, dispatcher, concurrent):
        """Below the limit no request waits until another one ends."""
        tasks, release = add_blocked_tasks(dispatcher, concurrent)
        assert all(task.begun.wait(TIMEOUT_SECONDS) for task in tasks)
        needed = max(MIN_THREADS, concurrent)
        assert dispatcher.thread_count <= min(MAX_THREADS, needed + SPARE_THREADS)
        release.set()

    def test_requests_above_limit_wait(self, dispatcher):
        """Requests above the limit wait for a thread and are then served."""
        tasks, release = add_blocked_tasks(dispatcher, MAX_THREADS + 5)
        wait_until(lambda: sum(task.begun.is_set() for task in tasks) == MAX_THREADS)
        assert dispatcher.thread_count == MAX_THREADS
        release.set()
        assert all(task.begun.wait(TIMEOUT_SECONDS) for task in tasks)

    def test_unneeded_threads_end(self, dispatcher):
        """After a burst the number of threads shrinks to what is used."""
        _, release = add_blocked_tasks(dispatcher, 40)
        release.set()
        for _ in range(2 * REQUESTS_PER_CHECK + 40):
            (task,), done = add_blocked_tasks(dispatcher, 1)
            done.set()
            assert task.begun.wait(TIMEOUT_SECONDS)
        wait_until(lambda: dispatcher.thread_count <= MIN_THREADS + SPARE_THREADS)


class TestHttpServer:
    """The threads of a running server."""

    def test_idle_server_serves_thirty_concurrent_requests(self):
        """An idle server has few threads, and serves thirty requests concurrently."""
        barrier = threading.Barrier(30, timeout=TIMEOUT_SECONDS)

        def app(environ, start_response):
            barrier.wait()
            start_response("200 OK", [("Content-Length", "2")])
            return [b"ok"]

        server = HttpServer(app, "127.0.0.1", 0, 200, ServerLimits(1_000, 10_000))
        server.start()
        assert server.thread_count == MIN_THREADS

        def send_request(_):
            connection = http.client.HTTPConnection("127.0.0.1", server.port)
            connection.request("GET", "/")
            status = connection.getresponse().status
            connection.close()
            return status

        with ThreadPoolExecutor(30) as pool:
            assert set(pool.map(send_request, range(30))) == {200}
        assert server.thread_count <= 30 + SPARE_THREADS
        server.stop_listening()
