"""Tests for the validation and publication of configuration documents."""

import json

import pytest
from server_cases import deployment_document

from runhatch_coordination import RevisionFeed, RevisionLog, Unavailable
from runhatch_coordination.testing import MemoryObjectStore, MemoryTable
from runhatch_server._errors import DeploymentError
from runhatch_server.configuration import (
    Applied,
    ConfigurationService,
    Invalid,
    Overruled,
    parse_deployment,
)


def encode_document(**changes):
    return json.dumps(deployment_document(**changes)).encode()


class TestParseDeployment:
    """Errors of invalid documents."""

    @pytest.mark.parametrize(
        ("changes", "expected_text"),
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
                "requires 1 replicas, 0 targets accept work",
            ),
        ],
    )
    def test_error_names_field_and_allowed_values(self, changes, expected_text):
        """The error names the field, the value found and the allowed values."""
        with pytest.raises(DeploymentError, match=r".") as caught:
            parse_deployment(encode_document(**changes))
        assert expected_text in str(caught.value)


class TestConfigurationService:
    """Publishing a document on one node."""

    @pytest.fixture
    def objects(self):
        return MemoryObjectStore()

    @pytest.fixture
    def service(self, objects, clock):
        log = RevisionLog(MemoryTable(), objects, "configuration")
        return ConfigurationService(log, RevisionFeed(lambda r: None), clock)

    def test_invalid_document_changes_nothing(self, service):
        """An invalid document publishes no revision."""
        assert isinstance(service.publish_document(b'{"x": 1}', 0, "o", ""), Invalid)
        assert service.feed.number == 0

    def test_conflict_returns_difference(self, service):
        """A conflicting change returns the difference to the published revision."""
        assert service.publish_document(encode_document(), 0, "a", "") == Applied(1)
        outcome = service.publish_document(encode_document(adapters=[]), 0, "b", "")
        assert isinstance(outcome, Overruled)
        assert outcome.head == 1
        assert '-      "name": "a0"' in outcome.difference

    def test_object_store_outage_changes_nothing(self, service, objects):
        """A change is rejected while the object store is unavailable."""
        objects.is_down = True
        assert isinstance(
            service.publish_document(encode_document(), 0, "a", ""), Unavailable
        )
        assert service.feed.number == 0
