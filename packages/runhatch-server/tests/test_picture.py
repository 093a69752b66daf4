"""The picture of who serves what, and what counts as news."""

import json

import pytest
from server_cases import deployment_document

from runhatch_server.configuration import Deployment, parse_deployment
from runhatch_server.serving import Hosting, Picture, Route, RouteKind

M0 = Route(RouteKind.MODEL, "m0")


@pytest.fixture
def picture(deployment):
    picture = Picture()
    picture.configure(deployment)
    return picture


def targets(picture, route=M0):
    return [host.target for host in picture.hosts(route)]


class TestPicture:
    """Hostings in, routes out."""

    @pytest.mark.parametrize(
        ("hostings", "news", "hosts"),
        [
            ([("w0", 1, ["m0@1"])], [True], ["w0"]),
            ([("w0", 2, ["m0@1"]), ("w0", 1, [])], [True, False], ["w0"]),
            ([("w0", 1, ["m0@1"]), ("w0", 2, [])], [True, True], []),
            ([("w0", 1, ["m0@1"]), ("w0", 2, ["m0@1"])], [True, False], ["w0"]),
            ([("w9", 1, ["m0@1"])], [True], []),
        ],
    )
    def test_newer_wins_and_only_changes_are_news(self, picture, hostings, news, hosts):
        """Older versions change nothing; a newer one that says the same is no news."""
        told = [picture.learn(Hosting(t, v, tuple(u))) for t, v, u in hostings]
        assert told == news
        assert targets(picture) == hosts

    def test_versions_without_news_keep_digests_equal(self, picture, deployment):
        """A node that missed a version which changed nothing lacks nothing."""
        other = Picture()
        other.configure(deployment)
        picture.learn(Hosting("w0", 1, ("m0@1", "m1@1")))
        picture.learn(Hosting("w0", 2, ("m1@1", "m0@1")))
        other.learn(Hosting("w0", 1, ("m0@1", "m1@1")))
        assert picture.digest == other.digest
        other.learn(Hosting("w1", 1, ("m2@1",)))
        assert picture.digest != other.digest

    def test_correction_holds_until_the_next_version(self, picture):
        """A target that has not the unit is left out until its row changes."""
        picture.learn(Hosting("w0", 1, ("m0@1",)))
        picture.correct("w0", "m0@1")
        assert targets(picture) == []
        assert picture.learn(Hosting("w0", 2, ("m0@1",)))
        assert targets(picture) == ["w0"]

    def test_old_version_serves_until_the_new_one_does(self, picture):
        """While a version is replaced requests go to the old one."""
        document = deployment_document()
        document["models"][0]["version"] = "2"
        body = json.dumps(document).encode()
        picture.learn(Hosting("w0", 1, ("m0@1",)))
        picture.configure(parse_deployment(body))
        assert targets(picture) == ["w0"]
        picture.learn(Hosting("w1", 1, ("m0@2",)))
        assert targets(picture) == ["w1"]

    def test_undeclared_targets_are_forgotten(self, picture):
        """A target that is declared no more leaves the picture and the digest."""
        picture.learn(Hosting("w2", 1, ("m0@1",)))
        document = deployment_document()
        del document["pools"][0]["targets"][2]
        picture.configure(Deployment.model_validate(document))
        assert targets(picture) == []
        assert picture.digest == 0
