"""Tests of the picture: which targets serve a route, and reported changes."""

import json

import pytest
from server_cases import deployment_document

from runhatch_server.configuration import Deployment, parse_deployment
from runhatch_server.serving import Hosting, PlacementCache, Route, RouteKind

M0 = Route(RouteKind.MODEL, "m0")


@pytest.fixture
def picture(deployment):
    picture = PlacementCache()
    picture.set_deployment(deployment)
    return picture


def target_names(picture, route=M0):
    return [host.target for host in picture.hosts(route)]


class TestPicture:
    """Hosts of routes by learnt hostings."""

    @pytest.mark.parametrize(
        ("hostings", "changes", "hosts"),
        [
            ([("w0", 1, ["m0@1"])], [True], ["w0"]),
            ([("w0", 2, ["m0@1"]), ("w0", 1, [])], [True, False], ["w0"]),
            ([("w0", 1, ["m0@1"]), ("w0", 2, [])], [True, True], []),
            ([("w0", 1, ["m0@1"]), ("w0", 2, ["m0@1"])], [True, False], ["w0"]),
            ([("w9", 1, ["m0@1"])], [True], []),
        ],
    )
    def test_newer_hosting_applies_and_reports_changes(
        self, picture, hostings, changes, hosts
    ):
        """An older version is ignored; a newer one with equal units is no change."""
        results = [
            picture.apply_hosting(Hosting(t, v, tuple(u))) for t, v, u in hostings
        ]
        assert results == changes
        assert target_names(picture) == hosts

    def test_version_without_changes_keeps_the_digest(self, picture, deployment):
        """Nodes have equal digests if one missed a version with equal units."""
        other = PlacementCache()
        other.set_deployment(deployment)
        picture.apply_hosting(Hosting("w0", 1, ("m0@1", "m1@1")))
        picture.apply_hosting(Hosting("w0", 2, ("m1@1", "m0@1")))
        other.apply_hosting(Hosting("w0", 1, ("m0@1", "m1@1")))
        assert picture.digest == other.digest
        other.apply_hosting(Hosting("w1", 1, ("m2@1",)))
        assert picture.digest != other.digest

    def test_correction_applies_until_the_next_version(self, picture):
        """A target that lacks the unit is skipped until its row has a newer version."""
        picture.apply_hosting(Hosting("w0", 1, ("m0@1",)))
        picture.mark_unit_missing("w0", "m0@1")
        assert target_names(picture) == []
        assert picture.apply_hosting(Hosting("w0", 2, ("m0@1",)))
        assert target_names(picture) == ["w0"]

    def test_previous_version_serves_until_the_new_one_does(self, picture):
        """Requests go to the previous version until a target serves the new one."""
        document = deployment_document()
        document["models"][0]["version"] = "2"
        body = json.dumps(document).encode()
        picture.apply_hosting(Hosting("w0", 1, ("m0@1",)))
        picture.set_deployment(parse_deployment(body))
        assert target_names(picture) == ["w0"]
        picture.apply_hosting(Hosting("w1", 1, ("m0@2",)))
        assert target_names(picture) == ["w1"]

    def test_undeclared_targets_are_removed(self, picture):
        """A target that is no longer declared has no part in hosts and digest."""
        picture.apply_hosting(Hosting("w2", 1, ("m0@1",)))
        document = deployment_document()
        del document["pools"][0]["targets"][2]
        picture.set_deployment(Deployment.model_validate(document))
        assert target_names(picture) == []
        assert picture.digest == 0
