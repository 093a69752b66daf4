"""Configuration documents: checked whole, refused with reasons."""

import json

import pytest
from server_cases import deployment_document

from runhatch_coordination import RevisionFeed, RevisionLog, Unavailable
from runhatch_coordination.testing import MemoryObjects, MemoryTable
from runhatch_server._errors import DeploymentError
from runhatch_server.configuration import (
    Applied,
    ConfigurationService,
    Invalid,
    Overruled,
    parse_deployment,
)


def encode(**changes):
    return json.dumps(deployment_document(**changes)).encode()


class TestParseDeployment:
    """What is refused, and what the refusal names."""

    @pytest.mark.parametrize(
        ("changes", "words"),
        [
            ({"pool": []}, "pool: unknown field"),
            (
                {"models": [{"name": "m", "pool": "x", "memory_mb": 1}]},
                "models.0.pool: found 'x', allowed: one of reader",
            ),
            (
                {"adapters": [{"name": "m1", "base": "m0", "memory_mb": 1}]},
                "models: found 'm1' 2 times",
            ),
            ({"drained_targets": ["w9"]}, "drained_targets.0: found 'w9'"),
            ({"pins": [{"model": "m9", "target": "w0"}]}, "pins.0.model: found 'm9'"),
            (
                {
                    "models": [{"name": "m", "pool": "reader", "memory_mb": 101}],
                    "adapters": [],
                },
                "needs 101 MB on one target, short by 1 MB (most left: d0 100 MB",
            ),
            (
                {"drained_targets": ["w0", "w1", "w2"]},
                "wants 1 replicas, 0 targets take work",
            ),
        ],
    )
    def test_names_the_fault(self, changes, words):
        """Each fault is told with its field and what is allowed."""
        with pytest.raises(DeploymentError, match=r".") as caught:
            parse_deployment(encode(**changes))
        assert words in str(caught.value)


class TestConfigurationService:
    """Applying on one node."""

    @pytest.fixture
    def objects(self):
        return MemoryObjects()

    @pytest.fixture
    def service(self, objects, clock):
        log = RevisionLog(MemoryTable(), objects, "configuration")
        return ConfigurationService(log, RevisionFeed(lambda r: None), clock)

    def test_whole_or_not_at_all(self, service):
        """A faulty document changes nothing."""
        assert isinstance(service.apply(b'{"x": 1}', 0, "o", ""), Invalid)
        assert service.feed.number == 0

    def test_conflict_shows_the_difference(self, service):
        """The operator who comes second sees what the first changed."""
        assert service.apply(encode(), 0, "a", "") == Applied(1)
        outcome = service.apply(encode(adapters=[]), 0, "b", "")
        assert isinstance(outcome, Overruled)
        assert outcome.head == 1
        assert '-      "name": "a0"' in outcome.difference

    def test_outage_changes_nothing(self, service, objects):
        """With the object store down the change is refused."""
        objects.down = True
        assert isinstance(service.apply(encode(), 0, "a", ""), Unavailable)
        assert service.feed.number == 0
