"""Fixtures that the tests share."""

import eliot
import pytest
from server_cases import deployment_document

from runhatch_coordination.testing import ManualClock
from runhatch_server.configuration import Deployment


@pytest.fixture
def deployment():
    """The small configuration."""
    return Deployment.model_validate(deployment_document())


@pytest.fixture
def clock():
    """A clock that stands still until told."""
    return ManualClock()


@pytest.fixture
def lines():
    """What is logged meanwhile."""
    logged = []
    eliot.add_destinations(logged.append)
    # A first destination gets what was logged before.
    logged.clear()
    yield logged
    eliot.remove_destination(logged.append)
