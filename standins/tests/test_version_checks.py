"""Test that the checks of streams detect mixed, broken and abandoned ones."""

from dataclasses import replace

import pytest

from runhatch_standins._software_versions import (
    CallerStream,
    ServingTime,
    StreamEvent,
    StreamTry,
    check_event_numbers,
    check_taken_up,
    check_versions,
    parse_events,
)

TWO_TARGETS = [ServingTime("v1", 0.0), ServingTime("v1", 0.0)]


def make_events(first, *versions):
    return tuple(StreamEvent(first + i, v) for i, v in enumerate(versions))


def make_try(events, is_take_up=False, is_in_touch=True, began=5.0):
    return StreamTry(
        "a", "n1", began, began + 1.0, 200, events, is_take_up, is_in_touch
    )


def make_stream(*tries):
    return CallerStream("s", 4, [*tries])


WHOLE = make_stream(make_try(make_events(1, "v1", "v1", "v1", "v1")))
MIXED_IN_ONE_ANSWER = make_stream(make_try(make_events(1, "v1", "v2")))
MIXED_OVER_TRIES = make_stream(
    make_try(make_events(1, "v1")), make_try(make_events(2, "v2"), is_take_up=True)
)
GONE_ON = make_stream(
    make_try(make_events(1, "v1")), make_try(make_events(2, "v1"), is_take_up=True)
)
STUCK = make_stream(make_try(make_events(1, "v1")), make_try((), is_take_up=True))
NOT_BEGUN = make_stream(make_try(()))
CUT_OFF = make_stream(
    make_try(make_events(1, "v1")), make_try((), is_take_up=True, is_in_touch=False)
)


class TestParseEvents:
    """Only whole events count."""

    def test_data_shows_the_version(self):
        text = "id: 1\ndata: a v1\n\nid: 2\ndata: a\n\nid: 3\ndata: a v"

        assert parse_events(text) == (StreamEvent(1, "v1"), StreamEvent(2, ""))


class TestCheckVersions:
    """At most two streams may hold events of two versions."""

    @pytest.mark.parametrize(
        ("streams", "violations"),
        [
            pytest.param([WHOLE, GONE_ON] * 9, 0, id="none-mixed"),
            pytest.param([WHOLE, MIXED_IN_ONE_ANSWER, MIXED_OVER_TRIES], 0, id="two"),
            pytest.param([MIXED_IN_ONE_ANSWER] * 3, 3, id="in-one-answer"),
            pytest.param([MIXED_OVER_TRIES] * 3, 3, id="over-tries"),
        ],
    )
    def test_more_than_two_are_reported(self, streams, violations):
        assert len(check_versions(streams)) == violations


class TestCheckEventNumbers:
    """Events are neither missing nor sent twice."""

    @pytest.mark.parametrize(
        ("second", "is_violation"), [(1, True), (2, False), (3, True)]
    )
    def test_gap_or_repetition_is_reported(self, second, is_violation):
        stream = make_stream(
            make_try(make_events(1, "v1")), make_try(make_events(second, "v1"))
        )

        assert bool(check_event_numbers([stream])) == is_violation


class TestCheckTakenUp:
    """Streams that are taken up go on half as often as new ones begin."""

    @pytest.mark.parametrize(
        ("streams", "serving", "is_violation"),
        [
            pytest.param([STUCK] * 12, TWO_TARGETS, True, id="none-goes-on"),
            pytest.param([STUCK] * 11, TWO_TARGETS, False, id="too-few-to-count"),
            pytest.param([STUCK] * 12, TWO_TARGETS[:1], False, id="one-target"),
            pytest.param(
                [STUCK] * 12,
                [ServingTime("v1", 0.0), ServingTime("v2", 0.0)],
                False,
                id="other-version",
            ),
            pytest.param(
                [STUCK] * 12,
                [ServingTime("v1", 0.0), ServingTime("v1", 0.0, 5.5)],
                False,
                id="target-ended-meanwhile",
            ),
            pytest.param([CUT_OFF] * 12, TWO_TARGETS, False, id="not-in-touch"),
            pytest.param([STUCK, GONE_ON] * 6, TWO_TARGETS, False, id="half"),
            pytest.param(
                [STUCK] * 7 + [GONE_ON] * 5, TWO_TARGETS, True, id="under-half"
            ),
            pytest.param(
                [STUCK] * 7 + [GONE_ON] * 5 + [NOT_BEGUN] * 3,
                TWO_TARGETS,
                False,
                id="new-ones-begin-rarely",
            ),
        ],
    )
    def test_lower_share_is_reported(self, streams, serving, is_violation):
        assert bool(check_taken_up(streams, serving)) == is_violation

    def test_reasons_of_refusals_are_stated(self):
        refused = replace(make_try((), is_take_up=True), reason="stream_unknown")
        stream = make_stream(make_try(make_events(1, "v1")), refused, refused)
        (violation,) = check_taken_up([stream] * 12, TWO_TARGETS)

        assert "{'stream_unknown': 24}" in violation
