"""Directory of targets: store entries, orderer reports and outages of the store."""

import pytest
from gateway_cases import make_directory, make_target, seconds

from runhatch_coordination import Entry
from runhatch_server.fleet import ExpectedLoad, HeldModels, TargetState
from runhatch_server.fleet._directory import DRAINING_RETENTION


def make_entry(target):
    return Entry(target.name, target)


def incarnations(targets):
    return [target.incarnation for target in targets]


class TestEntries:
    """Entries that targets write about themselves."""

    @pytest.mark.parametrize(
        ("state", "ready"),
        [(TargetState.READY, ["t1"]), (TargetState.DRAINING, [])],
    )
    def test_only_ready_targets_accept_work(self, clock, state, ready):
        directory = make_directory(clock, make_target(state=state))

        assert incarnations(directory.ready_targets("engine")) == ready

    def test_draining_target_gets_no_more_work(self, clock):
        directory = make_directory(clock, make_target())

        directory.apply_entries((make_entry(make_target(state=TargetState.DRAINING)),))

        assert directory.ready_targets("engine") == ()

    def test_removed_target_disappears_at_once_without_outage(self, clock):
        directory = make_directory(clock, make_target())
        clock.advance(seconds(10))

        directory.apply_entries((Entry("t1", None),))

        assert directory.get("t1") is None

    def test_reused_address_belongs_to_the_new_target_only(self, clock):
        directory = make_directory(clock, make_target("t1"))
        clock.advance(seconds(10))

        directory.apply_entries(
            (Entry("t1", None), make_entry(make_target("t2", service="plain")))
        )

        assert incarnations(directory.ready_targets("engine")) == []
        assert incarnations(directory.ready_targets("plain")) == ["t2"]


class TestAnnouncedDrain:
    """Targets that announce in their answers that they drain."""

    def test_target_gets_no_work_though_its_entry_is_ready(self, clock):
        """The answer takes precedence, as the store may be slow.

        An entry was seen to arrive 12 s after the first such answer.
        """
        directory = make_directory(clock, make_target())

        assert directory.record_draining("t1")
        directory.apply_entries((make_entry(make_target()),))

        assert directory.ready_targets("engine") == ()
        assert directory.holders("engine", "m0", "") == []

    @pytest.mark.parametrize("target", ["t1", "unknown"])
    def test_drain_is_reported_as_new_only_once(self, clock, target):
        directory = make_directory(clock, make_target())

        assert directory.record_draining(target)
        assert not directory.record_draining(target)

    def test_drain_outlasts_a_temporarily_missing_entry(self, clock):
        """An announced drain must not be lost with the target's entry.

        Entries expire during an outage of the store and reappear within seconds.
        """
        directory = make_directory(clock, make_target())
        directory.record_draining("t1")
        directory.replace_entries(())
        clock.advance(seconds(3))
        directory.remove_expired()
        directory.replace_entries((make_entry(make_target()),))

        assert directory.ready_targets("engine") == ()

    def test_drain_known_before_listing_applies_to_the_entry(self, clock):
        directory = make_directory(clock)
        directory.record_draining("t1")
        directory.apply_entries((make_entry(make_target()),))

        assert directory.ready_targets("engine") == ()

    def test_drain_is_forgotten_after_retention(self, clock):
        directory = make_directory(clock)
        directory.record_draining("t1")
        clock.advance(DRAINING_RETENTION)
        directory.remove_expired()

        assert directory.record_draining("t1")

    def test_next_incarnation_accepts_work(self, clock):
        directory = make_directory(clock, make_target(started_at_seconds=1))
        directory.record_draining("t1@1000")

        directory.apply_entries((make_entry(make_target(started_at_seconds=2)),))

        assert incarnations(directory.ready_targets("engine")) == ["t1@2000"]


class TestRestartedTarget:
    """A restarted target keeps its name, but none of the models it held."""

    def directory_after_restart(self, clock, born=200):
        directory = make_directory(
            clock, make_target(models=["m0"], started_at_seconds=100)
        )
        directory.record_report("t1@100000", HeldModels({"m5": frozenset()}), ())
        load = ExpectedLoad("t1@100000", "m7", seconds(9))
        directory.record_report("t1@100000", HeldModels({"m5": frozenset()}), (load,))
        directory.apply_entries(
            (make_entry(make_target(models=["m1"], started_at_seconds=born)),)
        )
        return directory

    def test_reports_on_previous_incarnation_are_deleted(self, clock):
        directory = self.directory_after_restart(clock)

        assert directory.holders("engine", "m5", "") == []
        assert directory.earliest_load("engine", "m7") is None
        assert incarnations(directory.holders("engine", "m1", "")) == ["t1@200000"]

    def test_previous_incarnation_is_removed(self, clock):
        directory = self.directory_after_restart(clock)

        assert directory.get("t1@100000") is None
        assert directory.get("t1@200000") is not None

    def test_late_report_on_previous_incarnation_is_ignored(self, clock):
        directory = self.directory_after_restart(clock)

        directory.record_report("t1@100000", HeldModels({"m5": frozenset()}), ())

        assert directory.holders("engine", "m5", "") == []

    def test_entry_of_older_incarnation_is_ignored(self, clock):
        directory = self.directory_after_restart(clock, born=50)

        assert incarnations(directory.ready_targets("engine")) == ["t1@100000"]

    @pytest.mark.parametrize(
        ("elapsed", "known"),
        [(1.0, "t1@100000"), (3.0, "t1@50000")],
    )
    def test_older_entry_that_remains_is_applied_after_clock_set_back(
        self, clock, elapsed, known
    ):
        directory = self.directory_after_restart(clock, born=50)
        clock.advance(seconds(elapsed))

        directory.remove_expired()

        assert incarnations(directory.ready_targets("engine")) == [known]

    def test_overwritten_older_entry_is_discarded(self, clock):
        directory = self.directory_after_restart(clock, born=50)
        directory.apply_entries(
            (make_entry(make_target(models=["m0"], started_at_seconds=100)),)
        )
        clock.advance(seconds(5))

        directory.remove_expired()

        assert incarnations(directory.ready_targets("engine")) == ["t1@100000"]


class TestOutages:
    """Entries that expired while the store was unreachable."""

    def directory_after_outage(self, clock):
        directory = make_directory(clock, make_target())
        clock.advance(seconds(10))
        directory.handle_outage("down")
        clock.advance(seconds(5))
        directory.handle_store_return()
        directory.handle_recovery()
        directory.replace_entries(())
        return directory

    def test_missing_target_stays_during_grace_period(self, clock):
        directory = self.directory_after_outage(clock)

        clock.advance(seconds(1.5))
        directory.remove_expired()

        assert incarnations(directory.ready_targets("engine")) == ["t1"]

    def test_missing_target_is_removed_after_grace_period(self, clock):
        directory = self.directory_after_outage(clock)

        clock.advance(seconds(2))
        directory.remove_expired()

        assert directory.ready_targets("engine") == ()

    @pytest.mark.parametrize("is_reachable", [False, True])
    def test_removed_target_is_gone_though_readers_were_turned_away(
        self, clock, is_reachable
    ):
        """The store served others meanwhile, so no entry of a running target expired.

        It got requests for 2.3 s more.
        """
        directory = make_directory(clock, make_target())
        clock.advance(seconds(10))
        directory.handle_outage("no reader reaches the store")
        if is_reachable:
            directory.handle_recovery()

        directory.apply_entries((Entry("t1", None),))

        assert directory.ready_targets("engine") == ()

    def test_relisted_target_stays(self, clock):
        directory = self.directory_after_outage(clock)
        directory.apply_entries((make_entry(make_target()),))

        clock.advance(seconds(2))
        directory.remove_expired()

        assert incarnations(directory.ready_targets("engine")) == ["t1"]


class TestHolders:
    """Holders of a model by entries, by orderer reports and by answers."""

    @pytest.mark.parametrize(
        ("model", "adapter", "holders"),
        [
            ("m0", "", ["t1"]),
            ("m0", "a1", ["t1"]),
            ("m0", "a2", []),
            ("m1", "", []),
            ("", "", ["t1"]),
        ],
    )
    def test_holders_by_entries(self, clock, model, adapter, holders):
        directory = make_directory(clock, make_target(adapters=("a1",)))

        assert incarnations(directory.holders("engine", model, adapter)) == holders

    def test_recent_orderer_report_takes_precedence_over_entry(self, clock):
        directory = make_directory(clock, make_target())
        directory.record_report("t1", HeldModels({"m5": frozenset()}), ())

        assert incarnations(directory.holders("engine", "m5", "")) == ["t1"]
        assert directory.holders("engine", "m0", "") == []

        clock.advance(seconds(9))
        directory.apply_entries((make_entry(make_target()),))

        assert incarnations(directory.holders("engine", "m0", "")) == ["t1"]

    def test_target_that_lacks_a_model_is_excluded_briefly(self, clock):
        directory = make_directory(clock, make_target())

        directory.record_missing_model("t1", "m0", "")

        assert directory.holders("engine", "m0", "") == []
        clock.advance(seconds(0.2))
        assert incarnations(directory.holders("engine", "m0", "")) == ["t1"]

    def test_earliest_load_is_expected(self, clock):
        directory = make_directory(clock, make_target("t1"), make_target("t2"))
        for name, at in (("t1", 9), ("t2", 2)):
            load = ExpectedLoad(name, "m7", seconds(at))
            directory.record_report(name, HeldModels(), (load,))

        assert directory.earliest_load("engine", "m7").target == "t2"
        assert directory.earliest_load("engine", "m6") is None
        assert directory.earliest_load("engine", "m7", "").target == "t2"
        assert directory.earliest_load("engine", "m7", "v2") is None


class TestCostOfReports:
    """A report on a few targets must not refresh all of them.

    The orderer reports ten times a second to each of 90 nodes by several paths;
    refreshing all 70 targets each time raised the mean CPU use of a node from 0.055 to
    0.089 cores when reports became three times as frequent.
    """

    def directory(self, clock):
        targets = [make_target(f"t{index}") for index in range(5)]
        return make_directory(clock, *targets)

    def test_other_targets_are_not_refreshed(self, clock):
        directory = self.directory(clock)
        before = directory.ready_targets("engine")

        directory.record_report("t2", HeldModels({"m7": frozenset()}), ())

        after = directory.ready_targets("engine")
        assert incarnations(after) == incarnations(before)
        changed = [new for new, old in zip(after, before, strict=True) if new != old]
        assert incarnations(changed) == ["t2"]
        unchanged = [new for new, old in zip(after, before, strict=True) if new is old]
        assert len(unchanged) == len(before) - 1

    def test_empty_report_wakes_no_waiter(self, clock):
        directory = self.directory(clock)
        notifications = []
        directory.update_condition.notify_all = lambda: notifications.append(True)

        directory.record_reports([])

        assert notifications == []

    def test_report_stays_when_entries_change(self, clock):
        directory = self.directory(clock)
        directory.record_report("t2", HeldModels({"m7": frozenset()}), ())

        directory.apply_entries((make_entry(make_target("t9")),))

        assert incarnations(directory.holders("engine", "m7", "")) == ["t2"]
        assert incarnations(directory.ready_targets("engine")) == [
            "t0",
            "t1",
            "t2",
            "t3",
            "t4",
            "t9",
        ]

    def test_report_does_not_make_draining_target_ready(self, clock):
        directory = self.directory(clock)
        directory.apply_entries(
            (make_entry(make_target("t2", state=TargetState.DRAINING)),)
        )

        directory.record_report("t2", HeldModels({"m7": frozenset()}), ())

        assert "t2" not in incarnations(directory.ready_targets("engine"))


class TestRestored:
    """The store was restored from an older copy."""

    def test_targets_missing_from_the_copy_stay_temporarily(self, clock):
        directory = make_directory(clock, make_target("t1"), make_target("t2"))
        clock.advance(seconds(10))

        directory.handle_restoration()
        directory.replace_entries((make_entry(make_target("t1")),))
        assert incarnations(directory.ready_targets("engine")) == ["t1", "t2"]

        clock.advance(seconds(2))
        directory.remove_expired()
        assert incarnations(directory.ready_targets("engine")) == ["t1"]

    def test_draining_target_stays_draining(self, clock):
        directory = make_directory(clock, make_target("t1"))
        directory.apply_entries(
            (make_entry(make_target("t1", state=TargetState.DRAINING)),)
        )

        directory.handle_restoration()
        directory.replace_entries((make_entry(make_target("t1")),))

        assert directory.ready_targets("engine") == ()

    @pytest.mark.parametrize("writes_again", [True, False])
    def test_removed_target_returns_only_if_it_writes_again(self, clock, writes_again):
        directory = make_directory(clock, make_target("t1"), make_target("t2"))
        clock.advance(seconds(10))
        directory.apply_entries((Entry("t1", None),))

        directory.handle_restoration()
        directory.replace_entries(
            (make_entry(make_target("t1")), make_entry(make_target("t2")))
        )
        assert incarnations(directory.ready_targets("engine")) == ["t2"]

        changed = make_entry(make_target("t1")) if writes_again else Entry("t1", None)
        directory.apply_entries((changed,))
        clock.advance(seconds(10))
        directory.remove_expired()
        assert ("t1" in incarnations(directory.ready_targets("engine"))) is writes_again
