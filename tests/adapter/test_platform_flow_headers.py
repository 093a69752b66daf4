"""Decoding of flow-control headers in the responses of targets."""

from datetime import timedelta

import pytest

from runhatch_platform import PlatformHeaders
from runhatch_server.targets import InvalidMaxRejections, InvalidRateLimit


class TestFlowControlHeaders:
    """Each header, with valid, invalid and missing values."""

    @pytest.mark.parametrize(
        ("status", "value", "rest"),
        [
            (503, "3", 3.0),
            (503, "0.25", 0.25),
            (503, "0", 0.0),
            (503, "999999999", 3600.0),
            (503, "-1", None),
            (503, "soon", None),
            (503, "1e9", None),
            (503, "Wed, 21 Oct 2026 07:28:00 GMT", None),
            (503, None, None),
            (200, "3", None),
        ],
    )
    def test_retry_after_is_decoded_only_for_status_503(self, status, value, rest):
        headers = {} if value is None else {"retry-after": value}
        found = PlatformHeaders().decode_answer(status, "", headers, False).backoff

        assert found == (None if rest is None else timedelta(seconds=rest))

    @pytest.mark.parametrize(
        ("headers", "leaving"),
        [
            ({"server-leaving": "1"}, True),
            ({"server-leaving": "0"}, False),
            ({}, False),
        ],
    )
    def test_only_the_value_1_means_that_the_target_drains(self, headers, leaving):
        head = PlatformHeaders().decode_answer(200, "", headers, False)

        assert head.draining is leaving

    @pytest.mark.parametrize(
        ("headers", "limit"),
        [
            ({"server-limit": "1.2"}, 1.2),
            ({"server-limit": "0"}, 0.0),
            ({"server-limit": "few"}, InvalidRateLimit("few")),
            ({}, None),
        ],
    )
    @pytest.mark.parametrize("status", [200, 421, 503])
    def test_rate_limit_is_decoded_for_any_status(self, status, headers, limit):
        head = PlatformHeaders().decode_answer(status, "", headers, False)

        assert head.rate_limit == limit

    @pytest.mark.parametrize(
        ("headers", "most"),
        [
            ({"server-brittle": "6"}, 6),
            ({"server-brittle": "0"}, 0),
            ({"server-brittle": "few"}, InvalidMaxRejections("few")),
            ({"x-runhatch-server-brittle": "6"}, None),
            ({}, None),
        ],
    )
    @pytest.mark.parametrize("status", [200, 421, 503])
    def test_brittleness_is_decoded_for_any_status(self, status, headers, most):
        head = PlatformHeaders().decode_answer(status, "", headers, False)

        assert head.max_rejections == most
