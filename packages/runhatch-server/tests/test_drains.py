"""Tests for the set of targets that take no new work."""

from datetime import timedelta

import pytest
from server_cases import deployment_document

from runhatch_server._drains import DrainTracker
from runhatch_server.configuration import Deployment


@pytest.fixture
def published_sets():
    return []


@pytest.fixture
def tracker(clock, published_sets):
    return DrainTracker(clock, published_sets.append)


class TestDrainTracker:
    """Combining the three sources of drained targets."""

    def test_combines_all_sources(self, tracker, published_sets):
        """Operators' drains, the VM list and targets' answers are combined."""
        document = deployment_document(drained_targets=["w0"])
        document["pools"][0]["targets"][1]["vm"] = "vm-1"
        tracker.set_deployment(Deployment.model_validate(document))
        tracker.set_draining_vms(frozenset({"vm-1"}))
        assert tracker.record_reports(frozenset({"w2"}))
        assert published_sets[-1] == {"w0", "w1", "w2"}

    def test_repeated_answer_is_not_new(self, tracker):
        """A repeated answer is not new, so peers do not forward it forever."""
        assert tracker.record_reports(frozenset({"w2"}))
        assert not tracker.record_reports(frozenset({"w2"}))

    def test_answer_expires(self, tracker, clock, published_sets):
        """A target whose last answer that it drains has expired gets work again."""
        tracker.record_reports(frozenset({"w2"}))
        clock.advance(timedelta(seconds=10))
        tracker.record_reports(frozenset({"w2"}))
        clock.advance(timedelta(seconds=10))
        tracker.remove_expired()
        assert published_sets[-1] == {"w2"}
        clock.advance(timedelta(seconds=6))
        tracker.remove_expired()
        assert published_sets[-1] == frozenset()
