"""Test rate limits that a target announces for all gateways together."""

import random
import signal
import threading
import time
import urllib.request

import pytest

from runhatch_standins._cluster import call
from runhatch_standins._gateways import run_gateways, wait_until

NODES = 6
WINDOW = 4.0
KNOWN_SECONDS = 3.0
"""Time within which all nodes comply with an announced limit."""
MIN_USED_FRACTION = 0.8
"""Minimum fraction of the limit that is used while demand exceeds it."""
MIN_PERMITS = 54
"""Permits issued while the use is measured.  Up to four may be left at the end: unused
permits are kept for later requests."""
DEMAND = 3.0
"""Rate of the callers' requests as a multiple of the targets' limits."""
DISCOVERY_SECONDS = 2.0


@pytest.fixture
def system(tmp_path):
    with run_gateways(tmp_path, NODES, DISCOVERY_SECONDS) as system:
        yield system


class Callers:
    """Threads that send requests to each gateway at random intervals."""

    def __init__(self, system, rate):
        self._system = system
        self._mean_pause = len(system.gateways) / rate
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._send_requests, args=(gate,), daemon=True)
            for gate in range(len(system.gateways))
        ]
        self.statuses = []

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *error):
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _send_requests(self, gate):
        pauses = random.Random(gate)
        while not self._stop.wait(pauses.expovariate(1 / self._mean_pause)):
            try:
                response, _ = self._system.answer("/plain/x", gate=gate)
            except OSError:
                continue
            self.statuses.append(response.status)


def announce_limit(targets, rate):
    for target in targets:
        call(target.url, "POST", "/rate_limit", {"named": str(rate)})


def fetch_arrival_times(target, since):
    times = call(target.url, "GET", "/journal")["arrival_times"]
    return [at for at in times if at >= since]


def count_max_in_window(times):
    return max(sum(at <= other < at + WINDOW for other in times) for at in times)


def permit_counts(system):
    """Return each gateway's permit counters as text, for failure messages."""
    counts = []
    for gate in system.gateways:
        url = f"http://127.0.0.1:{gate.metrics}/metrics"
        with urllib.request.urlopen(url, timeout=5) as answer:
            lines = answer.read().decode().splitlines()
        samples = [line for line in lines if line.startswith("runhatch_permits_total")]
        counts += [f"{gate.name} {line.partition('_total')[2]}" for line in samples]
    return "\n".join(counts)


class TestRateLimit:
    """Requests that all nodes together send to a target with a rate limit."""

    @pytest.mark.parametrize("rate", [1.5, 6.0])
    def test_it_holds_over_all_nodes_and_is_used(self, system, rate):
        announce_limit(system.plain, rate)
        with Callers(system, DEMAND * rate * len(system.plain)) as callers:
            time.sleep(KNOWN_SECONDS)
            since = time.monotonic()
            duration = max(3 * WINDOW, MIN_PERMITS / rate)
            time.sleep(duration)
        for target in system.plain:
            times = fetch_arrival_times(target, since)
            assert count_max_in_window(times) <= 1.5 * rate * WINDOW + 5
            min_requests = MIN_USED_FRACTION * rate * duration
            assert len(times) >= min_requests, permit_counts(system)
        assert set(callers.statuses) == {200, 503}

    def test_it_holds_while_nodes_end_freeze_and_start(self, system):
        rate = 3.0
        announce_limit(system.plain, rate)
        with Callers(system, DEMAND * rate * len(system.plain)):
            time.sleep(KNOWN_SECONDS)
            since = time.monotonic()
            killed, frozen = system.gateways[1:3]
            killed.process.kill()
            frozen.process.signal(signal.SIGSTOP)
            time.sleep(WINDOW)
            frozen.process.signal(signal.SIGCONT)
            system.restart(killed)
            system.start_gateway("late")
            time.sleep(2 * WINDOW)
        for target in system.plain:
            times = fetch_arrival_times(target, since)
            assert count_max_in_window(times) <= 1.5 * rate * WINDOW + 5

    def test_it_ends_with_an_answer_that_names_none(self, system):
        announce_limit(system.plain, 1.0)
        with Callers(system, 6.0):
            time.sleep(KNOWN_SECONDS)
            announce_limit(system.plain, "")
            time.sleep(WINDOW)
        answers = [system.answer("/plain/x", gate=gate)[0].status for gate in range(6)]
        assert answers == [200] * 6

    def test_a_target_that_takes_none_is_tried_again(self, system):
        target, other = system.plain
        # If the other accepted requests, none would be sent to this target.
        call(other.url, "POST", "/drain")
        announce_limit([target], 0)
        with Callers(system, 6.0):
            time.sleep(KNOWN_SECONDS)
            since = time.monotonic()
            time.sleep(WINDOW)
            assert len(fetch_arrival_times(target, since)) <= 5
            announce_limit([target], "")
            assert wait_until(
                lambda: len(fetch_arrival_times(target, since)) > 10, 15.0
            )
