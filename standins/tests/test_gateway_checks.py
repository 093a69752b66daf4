"""Test that the checks after a run of the gateway soak detect violations."""

import pytest

from runhatch_standins import Event, EventKind
from runhatch_standins._gateway_checks import check_cut_streams
from runhatch_standins._partitions import Partition, Try, check_partitions

EVENTS = "id: 1\ndata: r\n\nid: 2\ndata: r\n\n"
FIRST_EVENT = EVENTS[: len(EVENTS) // 2]


class TestCheckCutStreams:
    """An unframed stream may lack events only if a target closed it early."""

    @pytest.mark.parametrize(
        ("answer", "ends", "is_violation"),
        [
            pytest.param(EVENTS, ["answered"], False, id="whole"),
            pytest.param(FIRST_EVENT, ["closed early"], False, id="closed"),
            pytest.param(FIRST_EVENT, ["reset", "closed early"], False, id="resumed"),
            pytest.param(FIRST_EVENT, ["answered"], True, id="target-answered"),
            pytest.param(FIRST_EVENT, ["left"], True, id="gateway-left"),
            pytest.param(FIRST_EVENT, ["reset"], True, id="target-reset"),
            pytest.param(FIRST_EVENT, [], True, id="not-run"),
        ],
    )
    def test_only_unexplained_ends_are_reported(self, answer, ends, is_violation):
        event = Event("r", EventKind.ANSWERED, False, answer, EVENTS, is_framed=False)
        runs = [["r", "m0", ended] for ended in ends]
        runs.append(["other", "m0", "closed early"])

        assert bool(check_cut_streams([event], runs)) == is_violation


def make_tries(gateway, served, failed, at=5.0):
    return [Try(gateway, at, number < served) for number in range(served + failed)]


class TestCheckPartitions:
    """Gateways without targets serve two thirds of the others' share."""

    @pytest.mark.parametrize(
        ("tries", "is_violation"),
        [
            pytest.param(
                make_tries("n1", 60, 40) + make_tries("n2", 99, 1), True, id="too-few"
            ),
            pytest.param(
                make_tries("n1", 0, 40) + make_tries("n2", 40, 0), True, id="none"
            ),
            pytest.param(
                make_tries("n1", 70, 30) + make_tries("n2", 99, 1), False, id="enough"
            ),
            pytest.param(
                make_tries("n1", 0, 10) + make_tries("n2", 10, 0),
                False,
                id="few-failed",
            ),
            pytest.param(
                make_tries("n1", 40, 60) + make_tries("n2", 40, 60),
                False,
                id="others-serve-no-more",
            ),
            pytest.param(
                make_tries("n1", 0, 40, at=3.9) + make_tries("n2", 40, 0),
                False,
                id="before-the-window",
            ),
            pytest.param(
                make_tries("n1", 0, 40, at=6.1) + make_tries("n2", 40, 0),
                False,
                id="after-the-window",
            ),
        ],
    )
    def test_lower_share_is_reported(self, tries, is_violation):
        partition = Partition(frozenset({"n1"}), begins=4.0, ends=6.0)

        assert bool(check_partitions(tries, [partition])) == is_violation
