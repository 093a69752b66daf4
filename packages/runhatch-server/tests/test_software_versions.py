"""Decisions by software version: which targets may serve, what began a stream."""

from dataclasses import replace

import pytest
from gateway_cases import make_target, seconds

from runhatch_server.decisions import find_sole_recent_version, select_version

TARGETS = [
    replace(make_target(name), software_version=version)
    for name, version in [("a", "v1"), ("b", "v2"), ("c", "v1"), ("d", "")]
]


@pytest.mark.parametrize(
    ("version", "names"), [(None, "abcd"), ("v1", "ac"), ("", "d"), ("v3", "")]
)
def test_targets_of_a_version_are_selected(version, names):
    selected = select_version(TARGETS, version)

    assert "".join(target.name for target in selected) == names


@pytest.mark.parametrize(
    ("last_seen_at", "observed_since", "version"),
    [
        pytest.param({"v1": 100}, 0, "v1", id="one version"),
        pytest.param({"": 100}, 0, "", id="version without a name"),
        pytest.param({"v1": 100, "v2": 100}, 0, None, id="two versions"),
        pytest.param({"v1": 51, "v2": 100}, 0, None, id="first left lately"),
        pytest.param({"v1": 49, "v2": 100}, 0, "v2", id="first left long ago"),
        pytest.param({"v1": 100}, 51, None, id="observed too short a time"),
        pytest.param({}, 0, None, id="none"),
    ],
)
def test_sole_version_of_streams_that_broke_off_after_50_s(
    last_seen_at, observed_since, version
):
    seen = {name: seconds(at) for name, at in last_seen_at.items()}

    assert (
        find_sole_recent_version(seen, seconds(observed_since), seconds(50)) == version
    )
