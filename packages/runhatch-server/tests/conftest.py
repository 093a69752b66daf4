"""Fixtures shared by the tests."""

import eliot
import pytest
from server_cases import deployment_document

from runhatch_coordination.testing import ManualClock
from runhatch_server.configuration import Deployment


@pytest.fixture
def deployment():
    """Return the small valid deployment."""
    return Deployment.model_validate(deployment_document())


@pytest.fixture
def clock():
    """Return a clock that only a test advances."""
    return ManualClock()


@pytest.fixture
def lines():
    """Return a list that collects the messages logged during the test."""
    messages = []
    eliot.add_destinations(messages.append)
    # Eliot sends buffered earlier messages to the first destination.
    messages.clear()
    yield messages
    eliot.remove_destination(messages.append)
