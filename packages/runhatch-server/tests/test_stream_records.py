"""Records of the software versions that began streams."""

import pytest
from gateway_cases import seconds

from runhatch_server.decisions import RECORD_RETENTION, RecordOutcome, StreamRecords

KEY = ("engine", "9c41d07be2a35f68")
SECOND = seconds(1)


@pytest.fixture
def records():
    return StreamRecords()


def find_version(records, now, key=KEY):
    record = records.find(key, now)
    return record and record.software_version


class TestRepeats:
    """A stream that is recorded again."""

    @pytest.mark.parametrize(
        ("version", "after", "outcome", "found"),
        [
            ("v1", SECOND, RecordOutcome.KNOWN, "v1"),
            ("v1", -SECOND, RecordOutcome.KNOWN, "v1"),
            ("v1", RECORD_RETENTION / 2, RecordOutcome.RENEWED, "v1"),
            ("v1", RECORD_RETENTION, RecordOutcome.NEW, "v1"),
            ("v2", RECORD_RETENTION, RecordOutcome.NEW, "v2"),
            ("v2", SECOND, RecordOutcome.CONFLICTING, None),
            ("v2", -SECOND, RecordOutcome.CONFLICTING, None),
            ("", SECOND, RecordOutcome.CONFLICTING, None),
        ],
    )
    def test_second_record_has_an_outcome(
        self, records, version, after, outcome, found
    ):
        at = RECORD_RETENTION
        assert records.add(KEY, "v1", at, True) is RecordOutcome.NEW

        assert records.add(KEY, version, at + after, True) is outcome
        assert find_version(records, max(at, at + after)) == found
        assert len(records) == 1

    @pytest.mark.parametrize("version", ["v1", "v2", "v3"])
    def test_version_of_a_conflict_stays_unknown(self, records, version):
        records.add(KEY, "v1", SECOND, True)
        records.add(KEY, "v2", SECOND, False)

        assert records.add(KEY, version, SECOND, False) is RecordOutcome.KNOWN
        assert find_version(records, SECOND) is None

    @pytest.mark.parametrize("order", [(True, False), (False, True)])
    def test_renewed_record_remains_own(self, records, order):
        for number, is_own in enumerate(order):
            records.add(KEY, "v1", number * RECORD_RETENTION / 2, is_own)

        assert records.find(KEY, RECORD_RETENTION / 2).is_own

    def test_services_do_not_share_attempts(self, records):
        records.add(KEY, "v1", SECOND, True)
        records.add(("plain", KEY[1]), "v2", SECOND, True)

        assert find_version(records, SECOND) == "v1"
        assert find_version(records, SECOND, ("plain", KEY[1])) == "v2"
        assert sorted(records.services()) == ["engine", "plain"]


class TestBounds:
    """Records are kept for a time, and up to a number."""

    @pytest.mark.parametrize(
        ("age", "found"),
        [(RECORD_RETENTION - SECOND, "v1"), (RECORD_RETENTION, None)],
    )
    def test_record_expires(self, records, age, found):
        records.add(KEY, "v1", SECOND, True)

        assert find_version(records, SECOND + age) == found
        records.remove_expired(SECOND + age)
        assert len(records) == (found is not None)
        assert records.services() == (["engine"] if found else [])

    def test_oldest_is_dropped_beyond_the_maximum_number(self):
        records = StreamRecords(max_count=3)
        for number in range(5):
            records.add(("engine", str(number)), "v1", number * SECOND, True)

        kept = [attempt_id for (_, attempt_id), _ in records.live(5 * SECOND)]
        assert kept == ["4", "3", "2"]

    def test_record_received_late_expires_by_its_age(self, records):
        records.add(("engine", "new"), "v1", 100 * SECOND, True)
        records.add(("engine", "old"), "v1", 1 * SECOND, False)
        now = RECORD_RETENTION + 2 * SECOND

        records.remove_expired(now)

        assert find_version(records, now, ("engine", "old")) is None
        assert [key for key, _ in records.live(now)] == [("engine", "new")]
        records.remove_expired(100 * SECOND + RECORD_RETENTION)
        assert len(records) == 0
