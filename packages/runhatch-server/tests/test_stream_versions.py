"""A node's records of the software versions that began streams."""

from dataclasses import replace

import pytest
from gateway_cases import make_target, seconds

from runhatch_server.fleet import TargetState
from runhatch_server.gateway import _stream_versions
from runhatch_server.gateway._stream_versions import (
    MAX_RESUMPTION_DELAY,
    StreamVersions,
)

MAX_AGE = 20
WINDOW = MAX_RESUMPTION_DELAY // seconds(1)


class Records:
    """Records of a node that sees ``versions`` at targets of the service "s"."""

    def __init__(self, clock, *versions, max_stream_age=MAX_AGE):
        self.clock = clock
        self.versions = list(versions)
        self.is_informed = True
        self.state = TargetState.READY
        self.stored = frozenset()
        self.records = StreamVersions(
            clock, self._list_targets, self._check_informed, lambda _: self.stored
        )
        self.records.extend_stream_age(seconds(max_stream_age))

    def _check_informed(self):
        return self.is_informed

    def _list_targets(self):
        return [
            replace(
                make_target(f"t{number}", "s", state=self.state),
                software_version=version,
            )
            for number, version in enumerate(self.versions)
        ]

    def observe(self, duration):
        """Let ``duration`` seconds pass, with a look at the targets in each."""
        for _ in range(duration):
            self.records.observe_targets()
            self.records.remove_expired()
            self.clock.advance(seconds(1))

    def find(self, attempt_id="id-1"):
        return self.records.find_version(attempt_id, "s")


class TestRecordedStream:
    """Streams that this node relayed."""

    @pytest.mark.parametrize("versions", [("v1",), ("v1", "v2"), ("v2",), ()])
    def test_version_is_found(self, clock, versions):
        node = Records(clock, *versions)
        node.records.record_begun("id-1", "s", "v1")

        assert node.find() == "v1"

    def test_version_is_found_while_the_stream_may_be_in_progress(self, clock):
        node = Records(clock, "v1", "v2")
        node.records.record_begun("id-1", "s", "v1")
        node.observe(MAX_AGE)

        assert node.find() == "v1"
        node.observe(2)
        assert node.find() is None

    def test_version_of_another_service_is_not_used(self, clock):
        """Its name may be that of different software."""
        node = Records(clock, "v1")
        node.observe(WINDOW + 1)
        node.records.record_begun("id-1", "other", "v1")

        assert node.find() is None

    def test_oldest_record_is_dropped_beyond_the_bound(self, clock, monkeypatch):
        monkeypatch.setattr(_stream_versions, "MAX_RECORDS", 2)
        node = Records(clock, "v1", "v2")
        for number in range(3):
            node.records.record_begun(f"id-{number}", "s", "v1")

        assert [node.find(f"id-{number}") for number in range(3)] == [None, "v1", "v1"]

    def test_records_and_versions_of_a_service_are_listed(self, clock):
        node = Records(clock, "v1")
        node.records.record_begun("id-1", "s", "v1")
        node.records.record_begun("id-2", "other", "v9")
        node.records.record_seen("s", "v2", seconds(0))
        node.records.observe_targets()

        assert [each.attempt_id for each in node.records.records_of("s")] == ["id-1"]
        assert node.records.versions_of("s") == {"v1", "v2"}


class TestUnrecordedStream:
    """Streams that other nodes relayed."""

    @pytest.mark.parametrize("attempt_id", ["", "id-1"])
    def test_only_version_began_it(self, clock, attempt_id):
        node = Records(clock, "v1", "v1")
        node.observe(WINDOW + 1)

        assert node.find(attempt_id) == "v1"

    def test_replaced_version_counts_where_routes_have_short_timeouts(self, clock):
        node = Records(clock, "v1", max_stream_age=1)
        node.observe(WINDOW + 1)
        node.versions = ["v2"]
        node.observe(3)

        assert node.find() is None

    @pytest.mark.parametrize("state", list(TargetState))
    def test_version_is_unknown_where_there_are_two(self, clock, state):
        node = Records(clock, "v1", "v2")
        node.state = state
        node.observe(WINDOW + 1)

        assert node.find() is None

    def test_version_is_unknown_while_streams_of_the_replaced_one_may_be_resumed(
        self, clock
    ):
        node = Records(clock, "v1")
        node.observe(WINDOW + 1)
        node.versions = ["v2"]
        node.observe(WINDOW - 1)

        assert node.find() is None
        node.observe(3)
        assert node.find() == "v2"

    def test_version_is_unknown_as_soon_as_a_second_is_listed(self, clock):
        node = Records(clock, "v1")
        node.observe(WINDOW + 1)
        node.versions.append("v2")

        assert node.find() is None

    def test_version_is_unknown_to_a_node_that_has_just_started(self, clock):
        """All targets of another version may have ended before its start."""
        node = Records(clock, "v1")
        node.observe(WINDOW - 1)

        assert node.find() is None

    def test_version_is_unknown_while_new_targets_are_not_learned_of(self, clock):
        node = Records(clock, "v1")
        node.observe(WINDOW + 1)
        node.is_informed = False

        assert node.find() is None

    def test_version_seen_earlier_does_not_look_older(self, clock):
        node = Records(clock, "v1")
        node.observe(WINDOW + 1)
        node.records.record_seen("s", "v1", seconds(WINDOW + 1))

        assert node.find() == "v1"

    def test_targets_are_observed_anew_after_a_time_without_updates(self, clock):
        """Another version may have come and gone in that time."""
        node = Records(clock, "v1")
        node.observe(WINDOW + 1)
        node.is_informed = False
        node.observe(2)
        node.is_informed = True

        assert node.find() is None
        node.observe(WINDOW + 1)
        assert node.find() == "v1"

    def test_version_that_a_stream_had_counts_without_a_target(self, clock):
        node = Records(clock, "v1")
        node.observe(WINDOW + 1)
        node.records.record_begun("id-2", "s", "v2")

        assert node.find() is None
