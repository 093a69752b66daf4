"""Test requests that crash the targets that run them and are repeated by callers.

Nodes publish which targets ended under which request, and hold back a request named
in two such reports.  Without that, each node treats a repeat as a new request, and
one request ends every target in turn.  The same holds for a part of a prompt that
crashes targets, in requests of which no two are equal.
"""

import http.client
import json
import time
from contextlib import ExitStack

import pytest

from runhatch_standins._cluster import call
from runhatch_standins._gateways import GatewaySystem

MAX_CRASHED = 3
"""Targets that one request, or one part of prompts, may crash before all nodes hold it
back."""
MIN_SERVED_SHARE = 0.5
"""Least share of sound requests with a part of the crashing ones that are served."""
TARGETS = 9
REPEATS = 40
PAUSE_SECONDS = 0.1


@pytest.fixture
def system(tmp_path):
    with ExitStack() as stack:
        system = GatewaySystem(stack, tmp_path)
        system.start_gateway("n3")
        while len(system.plain) < TARGETS:
            system.plain.append(system.start_worker("plain"))
        for target in system.plain:
            call(target.url, "POST", "/faults", {"ends_on": "crashing"})
        time.sleep(1)
        yield system


def count_crashed(system):
    return sum(target.process.poll() is not None for target in system.plain)


def send_to_nodes_in_turn(system, path, method, times):
    """Send requests to the nodes in turn and return the statuses of the answers."""
    statuses = []
    for number in range(times):
        gate = number % len(system.gateways)
        try:
            statuses.append(system.answer(path, method, gate=gate)[0].status)
        except (OSError, http.client.HTTPException):
            statuses.append(None)
        time.sleep(PAUSE_SECONDS)
    return statuses


class TestCrashingRequest:
    """A request that crashes targets, sent to all nodes in turn."""

    @pytest.mark.parametrize(
        ("path", "method"),
        [
            pytest.param("/plain/crashing", "GET", id="may-be-repeated"),
            pytest.param("/once/crashing", "POST", id="runs-once"),
        ],
    )
    def test_repeated_request_crashes_few_targets(self, system, path, method):
        send_to_nodes_in_turn(system, path, method, REPEATS)

        assert count_crashed(system) <= MAX_CRASHED

    def test_other_requests_are_still_served(self, system):
        send_to_nodes_in_turn(system, "/once/crashing", "POST", 6)

        assert set(send_to_nodes_in_turn(system, "/plain/sound", "GET", 6)) == {200}


def send_prompts_in_turn(system, prompts, model="m0"):
    """Send a stream with each of ``prompts`` to the nodes in turn; return statuses."""
    statuses = []
    for number, parts in enumerate(prompts):
        own_part = f"own{number}"
        prefix = ",".join(f"{part}:30" for part in (*parts, own_part))
        headers = {"X-Runhatch-Prompt-Prefix": prefix}
        try:
            response, _ = system.answer(
                f"/stream/{number}",
                "POST",
                gate=number % len(system.gateways),
                model=model,
                **headers,
            )
            statuses.append(response.status)
        except (OSError, http.client.HTTPException):
            statuses.append(None)
        time.sleep(PAUSE_SECONDS)
    return statuses


class TestCrashingPromptPart:
    """A part of prompts that crashes targets, in requests of which no two are equal."""

    @pytest.fixture
    def system(self, tmp_path):
        with ExitStack() as stack:
            system = GatewaySystem(stack, tmp_path)
            system.start_gateway("n3")
            while len(system.engines) < TARGETS:
                system.engines.append(system.start_worker("engine", "m0,m1"))
            for target in system.engines:
                call(target.url, "POST", "/faults", {"ends_on_part": "crashing"})
            time.sleep(1)
            yield system

    @pytest.mark.parametrize(
        ("crashing", "sound"),
        [
            pytest.param(("crashing", "b{}"), ("a", "b{}"), id="first-part"),
            pytest.param(("a", "crashing"), ("a", "b{}"), id="second-part"),
        ],
    )
    def test_it_crashes_few_targets_and_sound_requests_are_served(
        self, system, crashing, sound
    ):
        prompts = [
            tuple(part.format(number % 5) for part in parts)
            for number in range(REPEATS)
            for parts in (crashing, sound)
        ]
        statuses = send_prompts_in_turn(system, prompts)
        crashed = sum(target.process.poll() is not None for target in system.engines)
        statuses_of_sound = statuses[1::2]

        assert crashed <= MAX_CRASHED
        assert statuses_of_sound.count(200) >= MIN_SERVED_SHARE * len(statuses_of_sound)


CONNECT_FAILED = "not_sent_connect_failed"
NOTIFICATION_SECONDS = 0.5
"""Time in which all nodes learn that a target has ended."""


def count_failed_connects(system):
    """Return how many attempts of requests failed to connect, over all nodes."""
    records = [
        json.loads(line[line.index("{") :])
        for gate in system.gateways
        for line in gate.process.lines
        if '"message_type": "request"' in line
    ]
    attempts = [attempt for each in records for attempt in each["attempts"]]
    return sum(attempt.endswith(CONNECT_FAILED) for attempt in attempts)


class TestEndedTargets:
    """Targets that ended, whose entries are in the store for some seconds more."""

    @pytest.fixture
    def system(self, tmp_path):
        with ExitStack() as stack:
            system = GatewaySystem(stack, tmp_path)
            system.start_gateway("n3")
            # No other engine can load the model, so each request asks for these two.
            for target in system.engines:
                call(target.url, "POST", "/faults", {"ends_on_part": "crashing"})
            time.sleep(1)
            yield system

    def test_they_get_no_further_requests_from_any_node(self, system):
        send_prompts_in_turn(system, [("crashing",)] * 2, "m1")
        assert all(t.process.poll() is not None for t in system.engines)
        time.sleep(NOTIFICATION_SECONDS)
        before = count_failed_connects(system)
        send_prompts_in_turn(system, [("sound",)] * 20, "m1")
        time.sleep(NOTIFICATION_SECONDS)

        assert count_failed_connects(system) == before
