"""Detection of targets that end while they run a request."""

import socket
from dataclasses import replace

import pytest
from gateway_cases import FakeTargets, make_directory, make_target, seconds

from runhatch_coordination import Entry
from runhatch_server.crashes import CrashDetector, TargetStanding
from runhatch_server.crashes._watch import (
    PROBE_TTL,
    PROBE_WINDOW,
    REPROBE_DELAY,
)
from runhatch_server.decisions import ObservedEnd
from runhatch_server.fleet import TargetState
from runhatch_server.gateway._connections import ConnectionPool
from runhatch_server.gateway._known_targets import KnownTargets
from runhatch_server.observability import Metrics
from runhatch_server.refusals import Executed, Reason

TARGETS = ("t0", "t1", "t2", "t3")


def always(target):
    return True


def make_known_targets(clock, directory, is_confirmed=always, request_probe=always):
    return KnownTargets(directory, ConnectionPool(clock), is_confirmed, request_probe)


class WatchCase:
    """A :class:`CrashDetector` over fake targets."""

    def __init__(self, clock):
        self.clock = clock
        self.targets = FakeTargets()
        self.notifications = 0
        self.metrics = Metrics()
        self.watch = CrashDetector(
            clock, self.targets, self.metrics, self.count_notification
        )

    def count_notification(self):
        self.notifications += 1

    def end_target(self, target, fingerprint="x"):
        self.targets.refusing.add(target)
        self.watch.record_abort(fingerprint, target)

    def answer_request(self, target, fingerprint):
        self.watch.record_answer(fingerprint, target, self.clock.elapsed())


@pytest.fixture
def case(clock):
    return WatchCase(clock)


class TestRefusal:
    """Which requests are refused, and how."""

    def test_request_that_ended_two_targets_is_refused(self, case):
        case.end_target("t0")
        assert case.watch.check_request("x") is None
        case.end_target("t1")

        refusal = case.watch.check_request("x")

        assert refusal.reason is Reason.CRASHES_TARGETS
        assert refusal.executed is Executed.NO
        assert refusal.retry_after is None
        assert case.watch.check_request("another") is None
        assert case.targets.ended_targets == ["t0", "t1"]

    def test_aborts_by_a_running_target_are_ignored(self, clock, case):
        """A target may abort many connections and still answer other requests."""
        for _ in range(23):
            for target in TARGETS:
                case.watch.record_abort("x", target)
            clock.advance(seconds(2))
            for target in TARGETS:
                case.answer_request(target, "y")
            case.watch.check_targets()

        assert case.watch.check_request("x") is None

    def test_requests_aborted_together_cause_one_probe(self, clock, case):
        for number in range(15):
            case.end_target("t0", f"x{number}")

        assert case.targets.check_count == 1
        assert b"ended_targets_total 1.0" in case.metrics.render_exposition()
        clock.advance(PROBE_TTL)
        case.end_target("t1")
        assert case.targets.check_count == 2

    @pytest.mark.parametrize(
        "standing", [TargetStanding.DRAINING, TargetStanding.REMOVED]
    )
    def test_planned_shutdown_of_a_target_is_ignored(self, case, standing):
        for target in TARGETS[:2]:
            case.targets.standings[target] = standing
            case.end_target(target)
            case.watch.record_abandoned("x", target)
        case.watch.check_targets()

        assert case.watch.check_request("x") is None


class TestDelayedDetection:
    """Ends that are detected some time after the abort."""

    @pytest.mark.parametrize(
        ("delay", "held"), [(seconds(4), True), (seconds(20), False)]
    )
    @pytest.mark.parametrize(
        "report_abort", [CrashDetector.record_abort, CrashDetector.record_abandoned]
    )
    def test_removal_of_the_store_entry_soon_after_counts(
        self, clock, case, report_abort, delay, held
    ):
        """If the target is unreachable or the caller has disconnected, only the removal
        of the store entry shows this node that the target has ended."""
        for target in TARGETS[:2]:
            report_abort(case.watch, "x", target)
            clock.advance(delay)
            case.watch.check_targets()
            case.targets.standings[target] = TargetStanding.REMOVED
            case.watch.check_targets()

        assert (case.watch.check_request("x") is not None) == held

    def test_target_that_stops_listening_later_counts(self, clock, case):
        for target in TARGETS[:2]:
            case.watch.record_abort("x", target)
            assert case.watch.recheck_requested.is_set()
            case.targets.refusing.add(target)
            clock.advance(REPROBE_DELAY)
            case.watch.check_targets()

        assert case.watch.check_request("x") is not None

    def test_target_that_drains_first_ends_as_planned(self, case):
        for target in TARGETS[:2]:
            case.watch.record_abandoned("x", target)
            for standing in (TargetStanding.DRAINING, TargetStanding.REMOVED):
                case.targets.standings[target] = standing
                case.watch.check_targets()

        assert case.watch.check_request("x") is None

    def test_abandoned_request_causes_no_probe(self, case):
        case.watch.record_abandoned("x", "t0")
        case.watch.check_targets()

        assert case.targets.check_count == 0

    def test_number_of_probes_of_a_target_is_limited(self, clock, case):
        for _ in range(40):
            case.watch.record_abort("x", "t0")
            clock.advance(REPROBE_DELAY)
            case.watch.check_targets()
        assert case.targets.check_count <= 2 * 40 * REPROBE_DELAY / PROBE_TTL
        case.targets.check_count = 0
        for _ in range(200):
            clock.advance(REPROBE_DELAY)
            case.watch.check_targets()

        assert case.targets.check_count <= 2 * PROBE_WINDOW / PROBE_TTL


class TestUpdates:
    """Updates from and to other nodes."""

    def test_updates_are_returned_once(self, case):
        case.end_target("t0")
        ends, cleared = case.watch.take_updates()

        assert [(end.fingerprint, end.target) for end in ends] == [("x", "t0")]
        assert cleared == []
        assert case.watch.take_updates() == ([], [])

    def test_targets_that_ended_elsewhere_are_known(self, clock, case):
        case.watch.receive_ends([ObservedEnd("x", "elsewhere", clock.elapsed())])

        assert case.targets.ended_targets == ["elsewhere"]

    def test_only_new_ends_from_peers_are_forwarded(self, clock, case):
        end = ObservedEnd("x", "elsewhere", clock.elapsed())
        case.watch.receive_ends([end])
        case.watch.receive_ends([end])

        assert case.watch.take_updates() == ([end], [])
        assert case.notifications == 1

    def test_answer_clears_a_request_on_all_nodes(self, clock, case):
        other = WatchCase(clock)
        for watch in (case.watch, other.watch):
            watch.receive_ends(
                [ObservedEnd("x", f"t{i}", clock.elapsed()) for i in range(2)]
            )
        case.answer_request("t3", "x")
        _, cleared = case.watch.take_updates()
        other.watch.receive_cleared(cleared)

        assert case.watch.check_request("x") is other.watch.check_request("x") is None


class TestUnbegunRequests:
    """Requests that a target had not begun to answer when it ended."""

    def test_their_traits_are_reported(self, case):
        """Also if an equal request had begun."""
        case.watch.record_abandoned("x", "t0", ("part:x",))
        case.watch.record_abandoned("x", "t0")
        case.watch.record_abandoned("y", "t0")
        case.end_target("t0", "z")
        ends, _ = case.watch.take_updates()

        assert [end.fingerprint for end in ends] == ["x", "y", "z", "part:x"]


class TestKnownTargets:
    """Standing of targets according to the directory."""

    @pytest.mark.parametrize(
        ("state", "standing"),
        [
            (TargetState.READY, TargetStanding.RUNNING),
            (TargetState.DRAINING, TargetStanding.DRAINING),
            (None, TargetStanding.REMOVED),
        ],
    )
    def test_standing_follows_the_directory(self, clock, state, standing):
        target = make_target()
        directory = make_directory(clock, target)
        clock.advance(seconds(5))
        value = None if state is None else replace(target, state=state)
        directory.apply_entries((Entry(target.name, value),))
        known = make_known_targets(clock, directory)

        assert known.standing("t1") is standing

    def test_unknown_target_does_not_count_as_refusing(self, clock):
        known = make_known_targets(clock, make_directory(clock))

        assert not known.refuses_connections("t1")
        assert known.probe_refusal("t1") is None

    @pytest.mark.parametrize("is_confirmed", [True, False])
    def test_refusal_counts_only_if_it_is_confirmed(self, clock, is_confirmed):
        """The path from this node to a running target may be interrupted."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            target = replace(make_target(), port=listener.getsockname()[1])
        asked = []

        def confirm(name):
            asked.append(name)
            return is_confirmed

        known = make_known_targets(clock, make_directory(clock, target), confirm)

        assert known.probe_refusal("t1") is True
        assert known.refuses_connections("t1") is is_confirmed
        assert asked == ["t1"]

    def test_ended_target_gets_no_requests_until_it_is_reached(self, clock):
        """Its entry stays in the store for seconds; requests for its model would fail
        to connect and be refused, and no other target would load the model."""
        directory = make_directory(clock, make_target())
        probed = []
        known = make_known_targets(clock, directory, request_probe=probed.append)
        known.record_end("t1", clock.elapsed())

        assert directory.holders("engine", "m0", "") == []
        assert probed == ["t1"]
        # Later requests that were in progress at it are still attributed to its end.
        assert known.standing("t1") is TargetStanding.RUNNING
        directory.record_reached("t1")
        known.record_end("t1", clock.elapsed())
        assert len(directory.holders("engine", "m0", "")) == 1


class TestUnframedAnswer:
    """Answers that end with their connection, as they do if the target ends."""

    def test_target_that_ends_with_its_answer_is_found(self, case):
        """The request is no less suspect than one whose answer broke off."""
        for target in ("t0", "t1"):
            case.targets.refusing.add(target)
            case.watch.record_unframed_answer("x", target, case.clock.elapsed())
            assert case.watch.recheck_requested.is_set()
            case.watch.recheck_targets()

        assert case.targets.ended_targets == ["t0", "t1"]
        assert case.watch.check_request("x") is not None

    def test_it_clears_no_request(self, case):
        case.end_target("t0")
        case.watch.record_unframed_answer("x", "t2", case.clock.elapsed())
        case.end_target("t1")

        assert case.watch.check_request("x") is not None

    def test_running_target_is_not_blamed(self, case):
        """A later answer shows that the target ran on."""
        case.watch.record_unframed_answer("x", "t0", case.clock.elapsed())
        case.watch.recheck_targets()
        case.clock.advance(PROBE_WINDOW)
        case.watch.record_unframed_answer("y", "t0", case.clock.elapsed())
        case.end_target("t0", "z")

        assert case.targets.ended_targets == ["t0"]
        assert {end.fingerprint for end in case.watch.known_ends()} == {"y", "z"}
