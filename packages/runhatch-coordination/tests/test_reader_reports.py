"""The state of a failure domain's readers by their last reports."""

from datetime import timedelta

import pytest

from runhatch_coordination._reader_reports import ReaderReports, ReaderState
from runhatch_coordination.testing import ManualClock

SILENCE_TIMEOUT = timedelta(seconds=1)


def report(*reports):
    """Return the reports after those of (second, reader, reachable), at second 2."""
    clock = ManualClock()
    found = ReaderReports(clock, SILENCE_TIMEOUT)
    for second, reader, reachable in reports:
        clock.advance(timedelta(seconds=second) - clock.elapsed())
        found.record(reader, reachable)
    clock.advance(timedelta(seconds=2) - clock.elapsed())
    return found


@pytest.mark.parametrize(
    ("reports", "state", "seconds_until_silent"),
    [
        pytest.param([], ReaderState.SILENT, 1.0, id="none"),
        pytest.param([(0.5, "r1", True)], ReaderState.SILENT, -0.5, id="old"),
        pytest.param([(1.5, "r1", True)], ReaderState.ACTIVE, 0.5, id="recent"),
        pytest.param([(1.5, "r1", False)], ReaderState.CUT_OFF, 0.5, id="unreachable"),
        pytest.param(
            [(1.25, "r1", True), (1.5, "r2", False)],
            ReaderState.ACTIVE,
            0.5,
            id="one of two",
        ),
        pytest.param(
            [(1.25, "r1", True), (1.5, "r1", False)],
            ReaderState.CUT_OFF,
            0.5,
            id="last of two",
        ),
        pytest.param(
            [(0.5, "r1", True), (1.5, "r2", False)],
            ReaderState.CUT_OFF,
            0.5,
            id="old and unreachable",
        ),
    ],
)
def test_state_follows_recent_reports(reports, state, seconds_until_silent):
    found = report(*reports)

    assert found.state is state
    assert found.time_until_silent.total_seconds() == seconds_until_silent
