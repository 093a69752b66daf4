"""Targets that nodes found to have ended, as the directory lists them."""

import pytest
from gateway_cases import make_directory, make_target, seconds

from runhatch_coordination import Entry
from runhatch_server.fleet import ExpectedLoad, HeldModels
from runhatch_server.fleet._ended_targets import ENDED_RETENTION


def names(targets):
    return [target.name for target in targets]


class TestEndedTarget:
    """Targets that nodes found to have ended, and that the store still lists."""

    @pytest.fixture
    def directory(self, clock):
        clock.advance(2 * ENDED_RETENTION)
        return make_directory(clock, make_target(), make_target("t2"))

    def test_it_accepts_no_work_on_any_path(self, clock, directory):
        assert directory.record_end("t1", clock.elapsed())
        assert not directory.record_end("t1", clock.elapsed())
        held = HeldModels({"m0": frozenset()})
        directory.record_report("t1", held, [ExpectedLoad("t1", "m1", clock.elapsed())])
        directory.apply_entries((Entry("t1", make_target()),))

        assert names(directory.ready_targets("engine")) == ["t2"]
        assert names(directory.holders("engine", "m0", "")) == ["t2"]
        assert directory.earliest_load("engine", "m1") is None
        assert directory.get("t1") is not None

    def test_it_accepts_work_once_it_is_reached(self, clock, directory):
        """The report may come from nodes whose paths to it were interrupted."""
        ended_at = clock.elapsed()
        directory.record_end("t1", ended_at)
        clock.advance(seconds(1))
        directory.record_reached("t1")
        assert not directory.record_end("t1", ended_at)

        assert names(directory.ready_targets("engine")) == ["t1", "t2"]

    def test_end_known_before_listing_applies_to_the_entry(self, clock, directory):
        directory.record_end("t3", clock.elapsed())
        directory.apply_entries((Entry("t3", make_target("t3")),))

        assert names(directory.ready_targets("engine")) == ["t1", "t2"]

    @pytest.mark.parametrize("is_reported_late", [True, False])
    def test_end_is_forgotten_after_retention(self, clock, directory, is_reported_late):
        ended_at = clock.elapsed()
        if not is_reported_late:
            directory.record_end("t1", ended_at)
        clock.advance(ENDED_RETENTION)
        directory.remove_expired()
        directory.record_end("t1", ended_at)

        assert names(directory.ready_targets("engine")) == ["t1", "t2"]
