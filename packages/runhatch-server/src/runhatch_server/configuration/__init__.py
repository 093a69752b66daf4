"""The configuration that operators declare, and how nodes apply and follow it."""

from runhatch_server.configuration._deployment import (
    AdapterSpec,
    Deployment,
    Fencing,
    ModelSpec,
    PathSpec,
    PinSpec,
    PlainServiceSpec,
    PlainTargetSpec,
    PolicySpec,
    PoolSpec,
    TargetSpec,
    WeightStoreSpec,
)
from runhatch_server.configuration._difference import format_difference
from runhatch_server.configuration._fit import find_memory_shortfalls
from runhatch_server.configuration._follower import RevisionFollower
from runhatch_server.configuration._parse import parse_deployment
from runhatch_server.configuration._service import (
    Applied,
    ApplyOutcome,
    ConfigurationService,
    Invalid,
    Overruled,
)

__all__ = [
    "AdapterSpec",
    "Applied",
    "ApplyOutcome",
    "ConfigurationService",
    "Deployment",
    "Fencing",
    "Invalid",
    "ModelSpec",
    "Overruled",
    "PathSpec",
    "PinSpec",
    "PlainServiceSpec",
    "PlainTargetSpec",
    "PolicySpec",
    "PoolSpec",
    "RevisionFollower",
    "TargetSpec",
    "WeightStoreSpec",
    "format_difference",
    "parse_deployment",
    "find_memory_shortfalls",
]
