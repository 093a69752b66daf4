"""Threads of the HTTP server: as many as requests at once, never one too few."""

import http.client
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from runhatch_server.http import HttpServer, ServerLimits
from runhatch_server.http._dispatcher import (
    JUDGED_EVERY,
    LEAST_THREADS,
    SPARE_THREADS,
    GrowingDispatcher,
)

MOST = 60
GIVE_UP_SECONDS = 10


class HeldTask:
    """Work that lasts until it is let go."""

    def __init__(self, let_go):
        self._let_go = let_go
        self.begun = threading.Event()

    def service(self):
        self.begun.set()
        assert self._let_go.wait(GIVE_UP_SECONDS)

    def cancel(self):
        pass


@pytest.fixture
def dispatcher():
    dispatcher = GrowingDispatcher(MOST)
    yield dispatcher
    dispatcher.shutdown()


def hold(dispatcher, count):
    let_go = threading.Event()
    tasks = [HeldTask(let_go) for _ in range(count)]
    for task in tasks:
        dispatcher.add_task(task)
    return tasks, let_go


def wait_until(condition):
    give_up = time.monotonic() + GIVE_UP_SECONDS
    while not condition():
        assert time.monotonic() < give_up
        time.sleep(0.002)


class TestGrowingDispatcher:
    """Threads grow and shrink with the requests in progress."""

    @pytest.mark.parametrize("at_once", [0, 1, 4, 30, MOST])
    def test_each_request_has_a_thread_at_once(self, dispatcher, at_once):
        """None waits for another's end below the limit."""
        tasks, let_go = hold(dispatcher, at_once)
        assert all(task.begun.wait(GIVE_UP_SECONDS) for task in tasks)
        least = max(LEAST_THREADS, at_once)
        assert dispatcher.thread_count <= min(MOST, least + SPARE_THREADS)
        let_go.set()

    def test_no_more_than_the_most(self, dispatcher):
        """Beyond the limit requests wait, and are served in the end."""
        tasks, let_go = hold(dispatcher, MOST + 5)
        wait_until(lambda: sum(task.begun.is_set() for task in tasks) == MOST)
        assert dispatcher.thread_count == MOST
        let_go.set()
        assert all(task.begun.wait(GIVE_UP_SECONDS) for task in tasks)

    def test_threads_that_nobody_needs_end(self, dispatcher):
        """After a clump the threads fall back to what is used."""
        _, let_go = hold(dispatcher, 40)
        let_go.set()
        for _ in range(2 * JUDGED_EVERY + 40):
            (task,), done = hold(dispatcher, 1)
            done.set()
            assert task.begun.wait(GIVE_UP_SECONDS)
        wait_until(lambda: dispatcher.thread_count <= LEAST_THREADS + SPARE_THREADS)


class TestHttpServer:
    """The threads of a server that callers use."""

    def test_thirty_at_once_on_an_idle_server(self):
        """An idle server holds a few threads, and thirty requests meet in it."""
        together = threading.Barrier(30, timeout=GIVE_UP_SECONDS)

        def app(environ, start_response):
            together.wait()
            start_response("200 OK", [("Content-Length", "2")])
            return [b"ok"]

        server = HttpServer(app, "127.0.0.1", 0, 200, ServerLimits(1_000, 10_000))
        server.start()
        assert server.thread_count == LEAST_THREADS

        def ask(_):
            connection = http.client.HTTPConnection("127.0.0.1", server.port)
            connection.request("GET", "/")
            status = connection.getresponse().status
            connection.close()
            return status

        with ThreadPoolExecutor(30) as pool:
            assert set(pool.map(ask, range(30))) == {200}
        assert server.thread_count <= 30 + SPARE_THREADS
        server.stop_listening()
