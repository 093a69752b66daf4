"""Lookup of routes by host and longest prefix, and choice of services by weight."""

import random
from collections import Counter
from datetime import timedelta

import pytest

from runhatch_server.routing import (
    RequestKind,
    RouteSpec,
    RouteTable,
    RoutingConfiguration,
    ServiceShare,
    choose_service,
)

SECOND = timedelta(seconds=1)


def make_route(name, host="a.example", prefix="/", shares=(("s", 1.0),)):
    return RouteSpec(
        name,
        host,
        prefix,
        RequestKind.IDEMPOTENT,
        tuple(ServiceShare(*share) for share in shares),
        SECOND,
        SECOND,
    )


TABLE = RouteTable(
    RoutingConfiguration(
        3,
        (
            make_route("root"),
            make_route("x", prefix="/x/"),
            make_route("x-y", prefix="/x/y/"),
            make_route("other", host="b.example", prefix="/x/"),
        ),
        (),
    )
)


class TestFindRoute:
    """Lookup of the route of a request."""

    @pytest.mark.parametrize(
        ("host", "path", "expected"),
        [
            ("a.example", "/", "root"),
            ("a.example", "/x", "root"),
            ("a.example", "/x/", "x"),
            ("a.example", "/x/z", "x"),
            ("a.example", "/x/y", "x"),
            ("a.example", "/x/y/z/q", "x-y"),
            ("A.Example:8080", "/x/y/", "x-y"),
            ("b.example", "/x/1", "other"),
            ("b.example", "/", None),
            ("c.example", "/x/", None),
            ("", "/x/", None),
            ("a.example", "", None),
        ],
    )
    def test_longest_prefix_of_the_host_is_found(self, host, path, expected):
        found = TABLE.find(host, path)

        assert (found.name if found else None) == expected


class TestChooseService:
    """Random choice of a service by weight."""

    @pytest.mark.parametrize(
        ("shares", "expected"),
        [
            ((), {""}),
            ((("s", 1.0),), {"s"}),
            ((("s", 0.0), ("t", 1.0)), {"t"}),
            ((("s", 0.0), ("t", 0.0)), {"s"}),
        ],
    )
    def test_only_services_with_weight_are_chosen(self, shares, expected):
        random_source = random.Random(1)
        spec = make_route("r", shares=shares)

        assert {choose_service(spec, random_source) for _ in range(50)} == expected

    def test_choices_follow_the_weights(self):
        random_source = random.Random(1)
        spec = make_route("r", shares=(("s", 90.0), ("t", 10.0)))

        chosen = Counter(choose_service(spec, random_source) for _ in range(2_000))

        assert 120 < chosen["t"] < 280
