"""Up to when a shared table is known to be complete."""

from datetime import timedelta

import pytest
from shared_cases import make_table, row, whole_table

from runhatch_coordination import Changes, Listing, Role, TableChanges
from runhatch_coordination._shared import MAX_READER_CALL_WAIT


def seconds(value):
    return timedelta(seconds=value)


class TimedFeed:
    """A feed whose answers state times of the store's clock."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.waits = []

    def read(self):
        return self.answers.pop(0)

    def read_changes(self, after, wait):
        self.waits.append(wait)
        return self.answers.pop(0)


def make_reader(*answers):
    table, *_, peers, _ = make_table(Role.READER, answers=False)
    feed = TimedFeed(*answers)
    table._reader._watcher._feed = feed
    for _ in answers:
        table.step()
    return table, feed, peers


FIRST = Listing((row("a", b"1"),), 3, 3, seconds(70))


class TestReader:
    """A reader confirms the table by each answer of the store."""

    @pytest.mark.parametrize(
        ("answer", "confirmed_at"),
        [
            pytest.param(Changes((), 3, 0, seconds(72)), 72, id="no change"),
            pytest.param(
                Changes((row("a", b"2"),), 4, 4, seconds(71)), 71, id="a change"
            ),
            pytest.param(Changes((), 9, 0, None), 70, id="no time stated"),
        ],
    )
    def test_answers_confirm(self, answer, confirmed_at):
        table, _, _ = make_reader(FIRST, answer)

        assert table.confirmed_at == seconds(confirmed_at)
        assert table.empty_changes.confirmed_at == seconds(confirmed_at)

    def test_published_change_is_confirmed(self):
        change = Changes((row("a", b"2"),), 4, 4, seconds(71))
        _, _, peers = make_reader(FIRST, change)

        assert peers.published[-1].confirmed_at == seconds(71)

    def test_calls_end_in_time_to_confirm(self):
        table, feed, _ = make_reader(FIRST)
        feed.answers = [Changes((), 3), Changes((), 3)]
        table.record_answer_to_other_node()
        table.step()
        table.max_call_wait = seconds(2)
        table.step()

        assert feed.waits[1] == seconds(2) < feed.waits[0] <= MAX_READER_CALL_WAIT


class TestBackupReader:
    """The second reader of a domain leaves confirmations to the first."""

    def make_backup(self):
        table, feed, _ = make_reader(FIRST)
        table.max_call_wait = seconds(2)
        table.is_backup_reader = True
        table.apply_changes("first", TableChanges(3, 3, ()), True)
        feed.interruptions = 0
        feed.interrupt_wait = lambda: setattr(
            feed, "interruptions", feed.interruptions + 1
        )
        return table, feed

    def step(self, table, feed):
        feed.answers = [Changes((), 3)]
        table.step()
        return feed.waits[-1]

    def test_it_waits_long_while_the_first_reaches_the_store(self):
        table, feed = self.make_backup()

        assert self.step(table, feed) == MAX_READER_CALL_WAIT

    def test_it_takes_over_at_once_when_the_first_loses_the_store(self):
        table, feed = self.make_backup()
        table.apply_changes("first", None, False)

        assert feed.interruptions == 1
        assert self.step(table, feed) == seconds(2)

    def test_it_takes_over_at_once_when_the_first_has_ended(self):
        table, feed = self.make_backup()
        table.is_backup_reader = False

        assert feed.interruptions == 1
        assert self.step(table, feed) == seconds(2)


def make_follower(version):
    table, *_ = make_table()
    table.apply_changes("r", whole_table(version, a=b"1"), True)
    return table


class TestFollower:
    """A node that receives the table is confirmed by what other nodes confirmed."""

    @pytest.mark.parametrize(
        ("changes", "confirmed_at"),
        [
            pytest.param(
                TableChanges(3, 8, (), confirmed_at=seconds(70)), 70, id="unchanged"
            ),
            pytest.param(
                TableChanges(3, 4, (row("a", b"2"),), confirmed_at=seconds(70)),
                70,
                id="a change",
            ),
            pytest.param(
                TableChanges(4, 8, (), confirmed_at=seconds(70)),
                None,
                id="an earlier change is missing",
            ),
            pytest.param(
                TableChanges(1, 2, (), confirmed_at=seconds(70)), 70, id="older"
            ),
            pytest.param(TableChanges(3, 8, ()), None, id="not confirmed"),
        ],
    )
    def test_updates(self, changes, confirmed_at):
        table = make_follower(3)
        table.apply_changes("r", changes, True)

        assert table.confirmed_at == (confirmed_at and seconds(confirmed_at))

    @pytest.mark.parametrize(("version", "confirmed_at"), [(2, 70), (3, 70), (4, None)])
    def test_confirmations_of_other_domains(self, version, confirmed_at):
        table = make_follower(3)
        table.record_confirmation(version, seconds(70))

        assert table.confirmed_at == (confirmed_at and seconds(confirmed_at))

    def test_the_latest_confirmation_counts(self):
        table = make_follower(3)
        table.record_confirmation(3, seconds(70))
        table.record_confirmation(3, seconds(69))

        assert table.confirmed_at == seconds(70)
