"""Test that the checks after a run of the gateway soak detect violations."""

import pytest

from runhatch_standins import Event, EventKind
from runhatch_standins._gateway_checks import check_cut_streams

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
