"""Announced versions that a node lacks, and the attempts to obtain them."""

import random
from datetime import timedelta

import pytest

from runhatch_coordination import (
    MissingVersions,
    Vm,
    choose_peers,
    choose_readers,
)
from runhatch_coordination._announcements import (
    MAX_PENDING,
    MIN_READ_DELAY,
    OVERDUE_MARGIN,
    READ_INTERVAL,
    REQUEST_INTERVAL,
)
from runhatch_coordination.testing import ManualClock

PAUSE = timedelta(milliseconds=150)
KNOWN = 5
TICK = timedelta(milliseconds=50)


def make_missing(pause=PAUSE):
    clock = ManualClock()
    return MissingVersions(clock, pause, random.Random(1)), clock


def attempts_within(missing, clock, seconds, known=KNOWN):
    """Return the attempts made within ``seconds``, by the time waited."""
    attempts = []
    for _ in range(round(timedelta(seconds=seconds) / TICK)):
        clock.advance(TICK)
        attempt = missing.begin_attempt(known)
        if attempt is not None:
            attempts.append(attempt)
    return attempts


class TestRecord:
    """A version is announced further once, whether its rows are known or not."""

    @pytest.mark.parametrize(
        ("announced", "is_new"),
        [
            pytest.param([6], [True], id="newer"),
            pytest.param([KNOWN], [True], id="known"),
            pytest.param([KNOWN, 4], [True, False], id="older"),
            pytest.param([6, 6], [True, False], id="repeated"),
            pytest.param([7, 6], [True, False], id="out of order"),
            pytest.param([6, 7], [True, True], id="two"),
        ],
    )
    def test_returns_whether_a_version_is_new(self, announced, is_new):
        missing, _ = make_missing()

        recorded = [missing.record(version, "p1", KNOWN) for version in announced]

        assert recorded == is_new

    @pytest.mark.parametrize("prefix", ["n", "node-", "gw"])
    def test_reaches_each_node_though_most_have_the_rows(self, prefix):
        """Nodes that had the rows did not announce the version further.

        A node whose readers were silent then never learned of it, if all nodes that
        link to it were in other failure domains. The links depend on the names.
        """
        vms = [
            Vm(f"{prefix}{domain}-{number}", domain, "")
            for domain in "abc"
            for number in range(30)
        ]
        nodes = {vm.name: make_missing()[0] for vm in vms}
        known = {vm.name: KNOWN if vm.failure_domain == "b" else 6 for vm in vms}
        silent = choose_readers("b", vms)
        announcing = choose_readers("a", vms) + choose_readers("c", vms)
        while announcing:
            announcer = announcing.pop()
            for peer in choose_peers(announcer, vms):
                missing = nodes[peer.name]
                is_new = missing.record(6, announcer.name, known[peer.name])
                if is_new and peer not in silent:
                    announcing.append(peer)

        behind = {name for name in nodes if nodes[name].is_behind(known[name])}
        assert behind == {vm.name for vm in vms if vm.failure_domain == "b"}

    def test_known_version_is_not_obtained(self):
        missing, clock = make_missing()
        missing.record(KNOWN, "p1", KNOWN)

        assert attempts_within(missing, clock, 3) == []

    @pytest.mark.parametrize(("known", "is_behind"), [(5, True), (6, False)])
    def test_tells_whether_a_newer_version_was_announced(self, known, is_behind):
        missing, _ = make_missing()
        missing.record(6, "p1", KNOWN)

        assert missing.is_behind(known) is is_behind


class TestAttempts:
    """Attempts continue until the version has arrived."""

    @pytest.mark.parametrize("pause", [PAUSE, timedelta(seconds=1.5)])
    def test_first_attempts_wait_for_the_coalescing_pause(self, pause):
        """An earlier request would fetch what the readers are about to publish."""
        missing, clock = make_missing(pause)
        missing.record(6, "p1", KNOWN)

        attempts = attempts_within(missing, clock, 3)

        first_read = next(each for each in attempts if each.reads_store)
        assert attempts[0].waited == pause + OVERDUE_MARGIN
        assert first_read.waited >= max(
            MIN_READ_DELAY, pause + OVERDUE_MARGIN + REQUEST_INTERVAL
        )
        assert first_read.waited <= MIN_READ_DELAY + pause

    def test_attempts_are_repeated_at_intervals(self):
        """Once a node made one attempt only, and kept its old version for good."""
        missing, clock = make_missing()
        missing.record(6, "p1", KNOWN)

        attempts = attempts_within(missing, clock, 10)

        requests = [each for each in attempts if each.peer]
        reads = [each for each in attempts if each.reads_store]
        assert len(requests) == pytest.approx(
            10 / REQUEST_INTERVAL.total_seconds(), 0.1
        )
        assert len(reads) == pytest.approx(10 / READ_INTERVAL.total_seconds(), 0.1)

    def test_each_announcer_is_asked_before_one_is_asked_again(self):
        missing, clock = make_missing()
        for peer in ("p1", "p2", "p3"):
            missing.record(6, peer, KNOWN)

        asked = [each.peer for each in attempts_within(missing, clock, 10) if each.peer]

        for start in range(0, 9, 3):
            assert sorted(asked[start : start + 3]) == ["p1", "p2", "p3"]

    def test_only_announcers_of_the_newest_version_are_asked(self):
        missing, clock = make_missing()
        missing.record(6, "p1", KNOWN)
        missing.record(7, "p2", KNOWN)

        attempts = attempts_within(missing, clock, 3)

        assert {each.peer for each in attempts if each.peer} == {"p2"}
        assert {each.newest for each in attempts} == {7}

    def test_no_attempt_follows_the_arrival_of_the_version(self):
        missing, clock = make_missing()
        missing.record(6, "p1", KNOWN)

        assert missing.time_until_attempt(6) is None
        assert attempts_within(missing, clock, 3, known=6) == []

    def test_second_version_is_obtained_after_the_first_has_arrived(self):
        """A version announced while an earlier one was missing was once forgotten."""
        missing, clock = make_missing()
        missing.record(6, "p1", KNOWN)
        clock.advance(TICK)
        missing.record(7, "p1", KNOWN)

        attempts = attempts_within(missing, clock, 3, known=6)

        assert [each.newest for each in attempts if each.reads_store]

    def test_frequent_versions_do_not_postpone_attempts(self):
        missing, clock = make_missing()
        attempts = []
        for version in range(6, 6 + 3 * MAX_PENDING):
            missing.record(version, "p1", KNOWN)
            attempts += attempts_within(missing, clock, 0.1)

        assert attempts[0].waited == PAUSE + OVERDUE_MARGIN
        assert attempts[-1].waited >= timedelta(seconds=0.1 * (3 * MAX_PENDING - 1))

    def test_version_that_only_this_node_announced_is_not_requested(self):
        """A concurrent call may still pass the version from before the own read."""
        missing, clock = make_missing()
        missing.record(6, "p1", KNOWN)
        missing.record(7, "", 7)

        attempts = attempts_within(missing, clock, 1)

        assert {each.peer for each in attempts} == {""}

    def test_time_until_attempt_is_when_one_begins(self):
        missing, clock = make_missing()
        missing.record(6, "p1", KNOWN)
        for _ in range(20):
            clock.advance(max(timedelta(), missing.time_until_attempt(KNOWN)))
            assert missing.begin_attempt(KNOWN) is not None
