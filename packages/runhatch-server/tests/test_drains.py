"""Targets that take no new work, by any sign."""

from datetime import timedelta

import pytest
from server_cases import deployment_document

from runhatch_server._drains import DrainTracker
from runhatch_server.configuration import Deployment


@pytest.fixture
def seen():
    return []


@pytest.fixture
def tracker(clock, seen):
    return DrainTracker(clock, seen.append)


class TestDrainTracker:
    """Three signs, one set."""

    def test_joins_all_signs(self, tracker, seen):
        """An operator's drain, the VM list and an answer add up."""
        document = deployment_document(drained_targets=["w0"])
        document["pools"][0]["targets"][1]["vm"] = "vm-1"
        tracker.configure(Deployment.model_validate(document))
        tracker.listed(frozenset({"vm-1"}))
        assert tracker.said(frozenset({"w2"}))
        assert seen[-1] == {"w0", "w1", "w2"}

    def test_an_answer_is_news_once(self, tracker):
        """Saying it again is no news, so it dies out among peers."""
        assert tracker.said(frozenset({"w2"}))
        assert not tracker.said(frozenset({"w2"}))

    def test_an_answer_is_forgotten(self, tracker, clock, seen):
        """A target that has not said it for a while is tried again."""
        tracker.said(frozenset({"w2"}))
        clock.advance(timedelta(seconds=10))
        tracker.said(frozenset({"w2"}))
        clock.advance(timedelta(seconds=10))
        tracker.forget_old()
        assert seen[-1] == {"w2"}
        clock.advance(timedelta(seconds=6))
        tracker.forget_old()
        assert seen[-1] == frozenset()
