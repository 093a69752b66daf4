"""Exchange of the software versions that began streams."""

import random

import msgspec
import pytest
from gateway_cases import do_nothing, seconds
from stream_version_cases import SERVICE, WAKE_DELAY, VersionCluster

from runhatch_coordination import MemberFact, Membership, Standing, Vm
from runhatch_coordination.testing import ManualClock
from runhatch_server.decisions import RECORD_RETENTION, choose_keepers, keeper_slot
from runhatch_server.gateway._stream_version_exchange import (
    KEEPER_LINK_RETENTION,
    QUERY_REPEAT_DELAY,
    QUERY_TIMEOUT,
    RESEND_DELAY,
    StreamVersionExchange,
)
from runhatch_server.peers import (
    Member,
    StreamVersionAnswer,
    StreamVersionQuery,
    StreamVersionRecord,
    StreamVersionsUpdate,
)

ATTEMPT = "9c41d07be2a35f68"
SOON = seconds(0.1)


@pytest.fixture
def cluster(clock):
    return VersionCluster(clock, random.Random(1), 9)


def keeper_names(cluster, attempt_id=ATTEMPT):
    vms = [node.vm for node in cluster.alive()]
    return [vm.name for vm in choose_keepers(keeper_slot(attempt_id), vms)]


def keepers_and_others(cluster):
    """Return the nodes that keep records of ``ATTEMPT``, and all others."""
    names = keeper_names(cluster)
    others = [node for node in cluster.alive() if node.vm.name not in names]
    return [cluster.nodes[name] for name in names], others


def sent_facts(cluster, kind):
    return [each for each in cluster.sent if isinstance(each[2], kind)]


class TestSharing:
    """Which nodes are sent the record of a stream, and when."""

    def test_keepers_are_sent_a_new_record(self, cluster):
        keepers, others = keepers_and_others(cluster)
        cluster.begin_stream(others[0], ATTEMPT, "v1")
        cluster.play(SOON)

        update = StreamVersionsUpdate([StreamVersionRecord(ATTEMPT, SERVICE, "v1", 1)])
        sent = [(address, fact) for _, address, fact in cluster.sent]
        assert sorted(sent) == sorted((node.vm.name, update) for node in keepers)

    def test_received_record_tells_that_its_version_serves(self, cluster):
        """Its targets may not be listed at the keeper yet, or no longer."""
        keepers, others = keepers_and_others(cluster)
        cluster.begin_stream(others[0], ATTEMPT, "v1")
        cluster.play(SOON)

        for node in keepers:
            assert node.seen == [(SERVICE, "v1", WAKE_DELAY)]

    def test_records_made_together_are_sent_together(self, cluster):
        _, others = keepers_and_others(cluster)
        for number in range(100):
            cluster.begin_stream(others[0], f"a{number}", "v1")
        cluster.play(SOON)

        assert len(cluster.sent) < len(cluster.nodes)

    @pytest.mark.parametrize("count", [1, 2, 9])
    def test_sending_of_a_new_record_is_reported(self, clock, count):
        cluster = VersionCluster(clock, random.Random(1), count)
        sent = cluster.begin_stream(cluster.nodes["n0"], ATTEMPT, "v1")
        assert not sent.is_set()
        cluster.play(WAKE_DELAY)

        assert sent.is_set()

    def test_sending_of_a_known_record_is_not_reported(self, cluster):
        """Its keepers were sent it when it was new."""
        node = cluster.nodes["n0"]
        cluster.begin_stream(node, ATTEMPT, "v1")

        assert cluster.begin_stream(node, ATTEMPT, "v1") is None

    def test_sending_is_not_reported_while_a_service_has_one_version(self, cluster):
        cluster.has_several_versions = False

        assert cluster.begin_stream(cluster.nodes["n0"], ATTEMPT, "v1") is None

    def test_nothing_is_sent_while_a_service_has_one_version(self, cluster):
        cluster.has_several_versions = False
        _, others = keepers_and_others(cluster)
        others[0].exchange.record_begun(ATTEMPT, SERVICE, "v1")
        assert not others[0].exchange.update_wanted.is_set()
        cluster.play(seconds(5))

        assert cluster.sent == []

    def test_earlier_records_are_sent_once_a_second_version_is_known(self, cluster):
        cluster.has_several_versions = False
        _, others = keepers_and_others(cluster)
        cluster.begin_stream(others[0], ATTEMPT, "v1")
        cluster.play(seconds(5))
        cluster.has_several_versions = True
        cluster.play(seconds(2))
        cluster.kill(others[0])

        assert others[1].exchange.find(ATTEMPT, SERVICE).software_version == "v1"

    @pytest.mark.parametrize(
        ("pause", "times"),
        [(0.25, 1), (0.75, 2)],
        ids=["recent", "half of its retention old"],
    )
    def test_record_of_a_lasting_stream_is_sent_again(self, cluster, pause, times):
        """Otherwise a stream that lasts for minutes could not be taken up."""
        _, others = keepers_and_others(cluster)
        for _ in range(2):
            cluster.begin_stream(others[0], ATTEMPT, "v1")
            cluster.play(pause * RECORD_RETENTION)

        assert len(cluster.sent) == 2 * 3 * times

    def test_versions_of_services_are_read_without_the_lock(self, clock):
        """Their owner may hold a lock of its own while it records a stream."""
        locked = []

        def has_several_versions(service):
            locked.append(exchange._lock.locked())
            return True

        membership = Membership(Vm("n0", "d0", "n0"), clock)
        exchange = StreamVersionExchange(
            membership,
            clock,
            has_several_versions,
            do_nothing,
            do_nothing,
            do_nothing,
            do_nothing,
        )
        exchange.record_begun(ATTEMPT, SERVICE, "v1")
        exchange.send_updates()

        assert locked == [False, False]

    def test_links_to_nodes_sent_to_are_kept_for_a_while(self, cluster):
        keepers, others = keepers_and_others(cluster)
        vms = [node.vm for node in cluster.alive()]
        exchange = others[0].exchange
        assert exchange.choose_links(vms) == []

        cluster.begin_stream(others[0], ATTEMPT, "v1")
        cluster.play(SOON)
        linked = exchange.choose_links(vms)
        cluster.play(KEEPER_LINK_RETENTION)

        assert sorted(linked) == sorted(node.vm for node in keepers)
        assert exchange.choose_links(vms) == []


class TestQuestions:
    """A node asks the keepers for the version of a stream that it doesn't know."""

    @pytest.mark.parametrize("is_recorder_killed", [False, True])
    @pytest.mark.parametrize("killed_keepers", [0, 1, 2])
    def test_version_is_found_at_other_nodes(
        self, cluster, killed_keepers, is_recorder_killed
    ):
        keepers, others = keepers_and_others(cluster)
        cluster.begin_stream(others[0], ATTEMPT, "v1")
        cluster.play(SOON)
        for node in keepers[:killed_keepers] + others[: int(is_recorder_killed)]:
            cluster.kill(node)
        started_at = cluster.clock.elapsed()

        for node in [*others[1:], *keepers[killed_keepers:]]:
            assert node.exchange.find(ATTEMPT, SERVICE).software_version == "v1"
        assert cluster.clock.elapsed() - started_at < QUERY_REPEAT_DELAY

    def test_own_record_needs_no_question(self, cluster):
        _, others = keepers_and_others(cluster)
        cluster.begin_stream(others[0], ATTEMPT, "v1")

        assert others[0].exchange.find(ATTEMPT, SERVICE).software_version == "v1"
        assert cluster.sent == []

    @pytest.mark.parametrize(
        ("attempt_id", "service"),
        [("0123456789abcdef", SERVICE), (ATTEMPT, "plain")],
        ids=["other attempt", "other service"],
    )
    def test_unknown_stream_is_settled_once_all_have_answered(
        self, cluster, attempt_id, service
    ):
        _, others = keepers_and_others(cluster)
        cluster.begin_stream(others[0], ATTEMPT, "v1")
        cluster.play(SOON)
        started_at = cluster.clock.elapsed()

        assert others[1].exchange.find(attempt_id, service).software_version is None
        assert cluster.clock.elapsed() - started_at < QUERY_REPEAT_DELAY

    def test_stream_of_a_node_killed_before_it_sent_the_record_is_unknown(
        self, cluster
    ):
        _, others = keepers_and_others(cluster)
        cluster.begin_stream(others[0], ATTEMPT, "v1")
        cluster.kill(others[0])
        cluster.play(SOON)

        assert others[1].exchange.find(ATTEMPT, SERVICE).software_version is None

    def test_wait_for_dead_keepers_is_limited(self, cluster):
        keepers, others = keepers_and_others(cluster)
        for node in keepers:
            cluster.kill(node)
        started_at = cluster.clock.elapsed()

        assert others[0].exchange.find(ATTEMPT, SERVICE).software_version is None
        assert cluster.clock.elapsed() - started_at == QUERY_TIMEOUT
        assert len(sent_facts(cluster, StreamVersionQuery)) == 6

    def test_unknown_version_is_logged_with_the_silent_keepers(self, cluster, lines):
        keepers, others = keepers_and_others(cluster)
        cluster.kill(keepers[0])
        others[0].exchange.find(ATTEMPT, SERVICE)

        (line,) = [
            each for each in lines if each["message_type"] == "stream_version_unknown"
        ]
        assert line["asked"] == sorted(node.vm.name for node in keepers)
        assert line["unanswered"] == [keepers[0].vm.name]

    @pytest.mark.parametrize("killed_keepers", [0, 1, 3])
    def test_stream_is_denied_only_if_all_keepers_answer(self, cluster, killed_keepers):
        keepers, others = keepers_and_others(cluster)
        for node in keepers[:killed_keepers]:
            cluster.kill(node)

        is_denied = others[0].exchange.find(ATTEMPT, SERVICE).is_denied

        assert is_denied is (killed_keepers == 0)

    @pytest.mark.parametrize("unsure", [1, 3])
    def test_keeper_that_may_have_lost_the_record_does_not_deny(self, cluster, unsure):
        """It has just started, and the targets of a version may have ended before."""
        keepers, others = keepers_and_others(cluster)
        for node in keepers[:unsure]:
            node.can_deny = False

        finding = others[0].exchange.find(ATTEMPT, SERVICE)

        assert finding.software_version is None
        assert not finding.is_denied

    def test_keeper_that_may_have_lost_other_records_tells_of_its_own(self, cluster):
        keepers, others = keepers_and_others(cluster)
        cluster.begin_stream(others[0], ATTEMPT, "v1")
        cluster.play(SOON)
        for node in keepers:
            node.can_deny = False

        assert others[1].exchange.find(ATTEMPT, SERVICE).software_version == "v1"

    def test_keepers_tell_whether_they_have_seen_several_versions(self, cluster):
        _, others = keepers_and_others(cluster)

        assert others[0].exchange.find(ATTEMPT, SERVICE).has_several
        cluster.has_several_versions = False
        assert not others[0].exchange.find(ATTEMPT, SERVICE).has_several

    @pytest.mark.parametrize("standing", [Standing.ALIVE, Standing.SUSPECT])
    def test_suspected_nodes_may_serve_a_version_unseen_by_keepers(
        self, cluster, standing
    ):
        """All nodes that can be asked may be on one side of a partition."""
        _, others = keepers_and_others(cluster)
        node, lost = others[:2]
        node.membership.merge_facts([MemberFact(lost.vm, standing)])

        finding = node.exchange.find(ATTEMPT, SERVICE)

        assert finding.is_denied
        assert finding.may_be_partitioned is (standing is Standing.SUSPECT)

    def test_node_without_peers_may_be_cut_off(self, clock):
        alone = VersionCluster(clock, random.Random(1), 1)

        assert alone.nodes["n0"].exchange.find(ATTEMPT, SERVICE).may_be_partitioned

    def test_question_that_fails_is_forgotten(self, cluster):
        _, others = keepers_and_others(cluster)
        exchange = others[0].exchange
        exchange._send = None
        with pytest.raises(TypeError):
            exchange.find(ATTEMPT, SERVICE)

        assert not exchange._inquiries

    def test_node_without_peers_does_not_wait(self, clock):
        alone = VersionCluster(clock, random.Random(1), 1)

        assert (
            alone.nodes["n0"].exchange.find(ATTEMPT, SERVICE).software_version is None
        )
        assert clock.elapsed() == seconds(0)

    @pytest.mark.parametrize(
        "answers",
        [
            pytest.param([("n0", 7, "v2")], id="of another question"),
            pytest.param([("stranger", 1, "v2")], id="of a node that was not asked"),
            pytest.param([("first", 1, None)] * 3, id="repeated"),
        ],
    )
    def test_other_answers_do_not_settle_a_question(self, cluster, answers):
        keepers, others = keepers_and_others(cluster)
        names = {"first": keepers[0].vm.name}
        cluster.begin_stream(others[0], ATTEMPT, "v1")
        cluster.play(SOON)
        cluster.kill(keepers[0])
        for name, number, version in answers:
            sender = Member(names.get(name, name), "d1", name, 1, Standing.ALIVE)
            fact = StreamVersionAnswer(number, version)
            cluster.schedule(
                seconds(0),
                lambda fact=fact, sender=sender: others[1].exchange.handle_message(
                    fact, sender
                ),
            )

        assert others[1].exchange.find(ATTEMPT, SERVICE).software_version == "v1"

    def test_late_answer_is_ignored(self, cluster):
        keepers, others = keepers_and_others(cluster)
        for node in keepers:
            cluster.kill(node)
        exchange = others[0].exchange
        assert exchange.find(ATTEMPT, SERVICE).software_version is None
        sender = Member(keepers[0].vm.name, "d1", "", 1, Standing.ALIVE)

        exchange.handle_message(StreamVersionAnswer(1, "v1"), sender)

        assert exchange.find("0123456789abcdef", SERVICE).software_version is None


class TestSilentConnections:
    """Open connections lose what is sent, while new ones work."""

    def test_question_is_repeated_over_new_connections(self, cluster):
        _, others = keepers_and_others(cluster)
        cluster.begin_stream(others[0], ATTEMPT, "v1")
        cluster.play(SOON)
        cluster.silence()

        assert others[1].exchange.find(ATTEMPT, SERVICE).software_version == "v1"

    def test_connection_is_replaced_once_a_second_at_most(self, clock):
        """A node that has ended answers nothing, whatever the connection."""
        reopened = []
        membership = Membership(Vm("n0", "d0", "n0"), clock)
        membership.merge_facts([MemberFact(Vm("n1", "d1", "n1"), Standing.ALIVE)])
        exchange = StreamVersionExchange(
            membership,
            clock,
            do_nothing,
            do_nothing,
            do_nothing,
            do_nothing,
            reopened.append,
            lambda event, longest: clock.advance(longest),
        )
        for number in range(10):
            assert exchange.find(f"a{number}", SERVICE).software_version is None

        assert clock.elapsed() == 10 * QUERY_TIMEOUT
        assert reopened == ["n1"] * 3

    def test_records_lost_on_the_way_are_sent_again(self, cluster):
        _, others = keepers_and_others(cluster)
        cluster.silence()
        cluster.begin_stream(others[0], ATTEMPT, "v1")
        cluster.play(seconds(3.5))
        cluster.silent.clear()
        cluster.play(RESEND_DELAY)
        cluster.kill(others[0])

        assert others[1].exchange.find(ATTEMPT, SERVICE).software_version == "v1"

    def test_records_of_a_second_are_sent_again_together(self, cluster):
        _, others = keepers_and_others(cluster)
        for number in range(20):
            cluster.begin_stream(others[0], f"a{number}", "v1")
            cluster.play(seconds(0.03))
        cluster.sent.clear()
        cluster.play(RESEND_DELAY + seconds(2))

        assert len(cluster.sent) <= 2 * len(cluster.nodes)


class TestConflicts:
    """Two versions claim a stream, as two attempts had one id."""

    def test_version_is_unknown_to_all_nodes(self, cluster, lines):
        """Going on with either could join events of two versions."""
        _, others = keepers_and_others(cluster)
        cluster.begin_stream(others[0], ATTEMPT, "v1")
        cluster.begin_stream(others[1], ATTEMPT, "v2")
        cluster.play(SOON)

        assert others[2].exchange.find(ATTEMPT, SERVICE).software_version is None
        assert not others[2].exchange.find(ATTEMPT, SERVICE).is_denied
        conflicts = [
            each for each in lines if each["message_type"] == "stream_version_conflict"
        ]
        assert {each["attempt"] for each in conflicts} == {ATTEMPT}


class TestHandover:
    """New keepers are sent the records made before."""

    def test_records_outlive_all_first_keepers_and_the_recorder(self, cluster):
        keepers, others = keepers_and_others(cluster)
        cluster.begin_stream(others[0], ATTEMPT, "v1")
        cluster.play(SOON)
        for node in [others[0], *keepers]:
            cluster.kill(node)
            cluster.play(seconds(6))

        for node in others[1:]:
            assert node.exchange.find(ATTEMPT, SERVICE).software_version == "v1"

    def test_restarted_keeper_is_sent_the_records_again(self, cluster):
        """Otherwise restarts of all nodes in turn would lose all records."""
        keepers, others = keepers_and_others(cluster)
        cluster.begin_stream(others[0], ATTEMPT, "v1")
        cluster.play(SOON)
        cluster.kill(others[0])
        for keeper in keepers:
            cluster.restart(keeper)
            cluster.play(seconds(3))

        assert [node.vm.incarnation for node in cluster.alive()].count(2) == 3
        assert others[1].exchange.find(ATTEMPT, SERVICE).software_version == "v1"

    def test_record_that_is_handed_over_keeps_its_age(self, cluster):
        """Otherwise records that are handed over again and again never expire."""
        keepers, others = keepers_and_others(cluster)
        cluster.begin_stream(others[0], ATTEMPT, "v1")
        cluster.play(RECORD_RETENTION / 2)
        cluster.restart(keepers[0])
        cluster.play(RECORD_RETENTION / 2 + seconds(1))

        assert others[1].exchange.find(ATTEMPT, SERVICE).software_version is None

    @pytest.mark.parametrize("has_several_versions", [True, False])
    def test_expired_records_are_removed(self, cluster, has_several_versions):
        cluster.has_several_versions = has_several_versions
        _, others = keepers_and_others(cluster)
        for number in range(50):
            cluster.begin_stream(others[0], f"a{number}", "v1")
        cluster.play(RECORD_RETENTION + seconds(3))

        for node in cluster.alive():
            assert len(node.exchange._records) == 0
            assert not node.exchange._unsent
            assert not node.exchange._resends


class TestModel:
    """Streams of two versions that are taken up at other nodes, over many seeds.

    One message in twenty is lost, others are late or repeated, and one node in ten is
    killed: often the one that relayed the stream, sometimes before it sent the record.
    """

    STREAMS = 30

    @pytest.mark.parametrize(("count", "runs"), [(4, 90), (9, 70), (40, 40)])
    def test_version_is_never_wrong_and_seldom_unknown(self, count, runs):
        found = []
        for seed in range(runs):
            found += self.play(random.Random(seed), count)

        answered = [version for version, _ in found if version is not None]
        assert all(version in (None, expected) for version, expected in found)
        assert len(answered) / len(found) >= 0.95

    def play(self, rng, count):
        """Return the version found for each stream, and the one that began it."""
        cluster = VersionCluster(
            ManualClock(), rng, count, lost=0.05, late=0.05, repeated=0.05
        )
        cluster.play(seconds(1))
        kills = sorted(rng.sample(range(self.STREAMS), max(1, count // 10)))
        found = []
        for number in range(self.STREAMS):
            attempt_id = f"{rng.getrandbits(64):016x}"
            version = rng.choice(["v1", "v2"])
            recorder = rng.choice(cluster.alive())
            cluster.begin_stream(recorder, attempt_id, version)
            cluster.play(seconds(rng.uniform(0.0, 1.0)))
            if number in kills:
                cluster.kill(rng.choice([recorder, rng.choice(cluster.alive())]))
            other = rng.choice([node for node in cluster.alive() if node != recorder])
            found.append(
                (other.exchange.find(attempt_id, SERVICE).software_version, version)
            )
        return found


class TestMessages:
    """The messages on the wire."""

    @pytest.mark.parametrize(
        "fact",
        [
            StreamVersionsUpdate([StreamVersionRecord(ATTEMPT, SERVICE, "2.1", 17)]),
            StreamVersionQuery(5, ATTEMPT, SERVICE),
            StreamVersionAnswer(5, "2.1"),
            StreamVersionAnswer(5, None),
        ],
    )
    def test_messages_are_decoded_as_sent(self, fact):
        encoded = msgspec.msgpack.encode(fact)
        union = StreamVersionsUpdate | StreamVersionQuery | StreamVersionAnswer

        assert msgspec.msgpack.decode(encoded, type=union) == fact
