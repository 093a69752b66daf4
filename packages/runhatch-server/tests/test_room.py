"""Grants of the room of brittle targets by one node."""

import itertools

import pytest
from gateway_cases import seconds

from runhatch_server.decisions import RoomGate, RoomReport
from runhatch_server.decisions._room import (
    GROWTH_INTERVAL,
    REJECTION_WINDOW,
    REPORT_RETENTION,
    SILENT_AFTER,
    WARM_UP,
)

SLOTS = 4
MANY = 10
"""Rejections that a target accepts in a second, more than most tests cause."""


def count_grants(answers):
    return sum(answer.wait is None for answer in answers)


class TestRoomGate:
    """Decisions of the node that counts what all nodes have outstanding."""

    @pytest.fixture
    def gate(self):
        return RoomGate(SLOTS, seconds(0), itertools.count(1))

    def ask(self, gate, now, count=1, most=MANY, alive=(), lost=0):
        for _ in range(count):
            gate.request("a", 1, now)
        return gate.answer_requests(most, alive, lost, now)

    @pytest.mark.parametrize(
        ("reported", "after", "granted"),
        [
            pytest.param({}, seconds(0.1), 0, id="nothing reported"),
            pytest.param({"a": 0}, seconds(0.1), 0, id="one has not reported"),
            pytest.param({"a": 0, "b": 0}, seconds(0.1), 4, id="all have"),
            pytest.param({"a": 1, "b": 2}, seconds(0.1), 1, id="some outstanding"),
            pytest.param({"a": 3, "b": 9}, seconds(0.1), 0, id="more than fits"),
            pytest.param({}, WARM_UP, 0, id="nothing reported for long"),
            pytest.param({"b": 1}, WARM_UP, 1, id="one has not, for long"),
            pytest.param({"a": 0, "b": 1}, SILENT_AFTER, 0, id="all are silent"),
        ],
    )
    def test_what_all_nodes_have_outstanding_counts(
        self, gate, reported, after, granted
    ):
        for node, outstanding in reported.items():
            gate.apply_report(node, RoomReport(1, outstanding, 0, 0), seconds(0))

        assert count_grants(self.ask(gate, after, 6, alive=("a", "b"))) == granted

    def test_grant_counts_until_its_node_reports_it(self, gate):
        at = WARM_UP
        numbers = [answer.grant for answer in self.ask(gate, at, 3)]
        gate.apply_report("a", RoomReport(1, 1, numbers[0], 0), at)
        assert gate.count_outstanding(at) == 3
        gate.apply_report("a", RoomReport(2, 1, numbers[2], 0), at)
        assert gate.count_outstanding(at) == 1

    def test_late_report_is_ignored(self, gate):
        gate.apply_report("a", RoomReport(2, 3, 0, 0), seconds(0))
        gate.apply_report("a", RoomReport(1, 0, 0, 0), seconds(0.1))
        assert gate.count_outstanding(seconds(0.1)) == 3

    def test_report_of_silent_node_expires(self, gate):
        gate.apply_report("a", RoomReport(1, 3, 0, 0), seconds(0))
        assert gate.count_outstanding(REPORT_RETENTION - seconds(0.1)) == 3
        assert gate.count_outstanding(REPORT_RETENTION) == 0

    @pytest.mark.parametrize(
        ("rejected", "most", "granted"), [(1, 10, 1), (4, 10, 1), (5, 10, 0), (1, 1, 0)]
    )
    def test_nothing_is_granted_near_the_most_rejections(
        self, gate, rejected, most, granted
    ):
        gate.apply_report("a", RoomReport(1, 0, 0, 0), WARM_UP)
        gate.apply_report("a", RoomReport(2, 0, 0, rejected), WARM_UP)
        assert count_grants(self.ask(gate, WARM_UP, most=most)) == granted
        later = WARM_UP + REJECTION_WINDOW
        assert count_grants(self.ask(gate, later, most=most)) == 1

    @pytest.mark.parametrize(("most", "fitting"), [(0, 4), (2, 4), (3, 5), (9, 8)])
    def test_more_is_tried_while_a_wave_of_rejections_is_accepted(
        self, gate, most, fitting
    ):
        now = WARM_UP
        for number in range(1, 20):
            gate.apply_report("a", RoomReport(number, gate.fitting, 0, 0), now)
            self.ask(gate, now, most=most)
            now += GROWTH_INTERVAL
        assert gate.fitting == fitting

    @pytest.mark.parametrize(
        ("outstanding", "rejected", "fitting"),
        [
            pytest.param(8, 1, 4, id="slots still run"),
            pytest.param(4, 1, 4, id="one more than the slots"),
            pytest.param(3, 1, 3, id="all slots were not free"),
            pytest.param(1, 1, 1, id="at least one"),
        ],
    )
    def test_rejection_lowers_what_fits(self, gate, outstanding, rejected, fitting):
        gate.apply_report("a", RoomReport(1, outstanding, 0, 0), seconds(0))
        gate.apply_report("a", RoomReport(2, outstanding, 0, rejected), seconds(0))
        assert gate.fitting == fitting

    def test_first_report_after_a_grant_counts_no_earlier_rejections(self, gate):
        (answer,) = self.ask(gate, WARM_UP)

        gate.apply_report("a", RoomReport(1, 0, answer.grant, 7), WARM_UP)
        assert gate.fitting == SLOTS
        assert count_grants(self.ask(gate, WARM_UP)) == 1

        gate.apply_report("a", RoomReport(2, 1, answer.grant + 1, 8), WARM_UP)
        assert gate.fitting == 1

    @pytest.mark.parametrize(
        ("heard", "silent", "lost", "granted"),
        [(2, 0, 0, 4), (2, 0, 1, 2), (2, 1, 1, 2), (1, 3, 0, 1), (1, 8, 0, 0)],
    )
    def test_room_is_left_to_nodes_that_are_not_heard(
        self, gate, heard, silent, lost, granted
    ):
        alive = [f"n{number}" for number in range(heard + silent)]
        for name in alive[:heard]:
            gate.apply_report(name, RoomReport(1, 0, 0, 0), WARM_UP)

        answers = self.ask(gate, WARM_UP, 6, alive=alive, lost=lost)

        assert count_grants(answers) == granted

    @pytest.mark.parametrize(
        ("heard", "silent", "lost", "granted"),
        [(9, 0, 1, 1), (90, 0, 1, 1), (8, 1, 0, 1), (2, 1, 1, 0), (1, 0, 1, 0)],
    )
    def test_most_nodes_grant_room_of_one_request(self, heard, silent, lost, granted):
        gate = RoomGate(1, seconds(0), itertools.count(1))
        alive = [f"n{number}" for number in range(heard + silent)]
        for name in alive[:heard]:
            gate.apply_report(name, RoomReport(1, 0, 0, 0), WARM_UP)

        answers = self.ask(gate, WARM_UP, 3, alive=alive, lost=lost)

        assert count_grants(answers) == granted

    @pytest.mark.parametrize(("lost", "fitting"), [(1, 8), (2, 4)])
    def test_what_fits_grows_while_a_node_is_lost(self, gate, lost, fitting):
        alive = ["a", "b"]
        now = WARM_UP
        for number in range(1, 20):
            shared = int(gate.fitting * len(alive) / (len(alive) + lost))
            gate.apply_report("a", RoomReport(number, shared, 0, 0), now)
            gate.apply_report("b", RoomReport(number, 0, 0, 0), now)
            self.ask(gate, now, most=9 if lost == 1 else 2, alive=alive, lost=lost)
            now += GROWTH_INTERVAL
        assert gate.fitting == fitting

    def test_part_without_room_takes_no_more_to_fit(self, gate):
        alive = [f"n{number}" for number in range(9)]
        now = WARM_UP
        for number in range(1, 20):
            gate.apply_report("n0", RoomReport(number, 0, 0, 0), now)
            self.ask(gate, now, most=9, alive=alive)
            now += GROWTH_INTERVAL
        assert gate.fitting == SLOTS

    def test_urgent_request_gets_first_grant(self, gate):
        gate.apply_report("b", RoomReport(1, SLOTS - 1, 0, 0), WARM_UP)
        gate.request("a", 1, WARM_UP)
        gate.request("b", 0, WARM_UP)
        answers = gate.answer_requests(MANY, (), 0, WARM_UP)
        assert [answer.node for answer in answers if answer.grant] == ["b"]

    def test_requests_that_wait_too_long_are_denied(self, gate):
        gate.apply_report("b", RoomReport(1, SLOTS, 0, 0), WARM_UP)
        assert self.ask(gate, WARM_UP) == []
        (denied,) = gate.answer_requests(MANY, (), 0, WARM_UP + seconds(0.3))
        assert denied.wait is not None
