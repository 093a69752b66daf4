"""Explanations of requests from logs with missing and incomplete lines."""

import json

import pytest

from runhatch_cli._explain import UnknownRequestError, explain_request


def make_line(kind, at, prefix="", **fields):
    return prefix + json.dumps({"message_type": kind, "timestamp": at, **fields})


def make_request(outcome, at=100.0, **fields):
    return make_line(
        "request",
        at,
        request_id="r1",
        model="m1",
        outcome=outcome,
        attempts=fields.pop("attempts", []),
        **fields,
    )


@pytest.fixture
def write_log(tmp_path):
    def write_lines(*lines, name="n1.log"):
        path = tmp_path / name
        path.write_text("\n".join(lines))
        return path

    return write_lines


class TestExplain:
    """Explanation of a request from the logs of several nodes."""

    @pytest.mark.parametrize(
        ("lines", "cause"),
        [
            ([make_request("answered")], "It was answered."),
            ([make_request("no_replica")], "No load of it was planned"),
            (
                [
                    make_line("rate_limit", 15.0, target="i-1", rate=1.5),
                    make_line("rate_limit", 95.0, target="i-7", rate=2.0),
                    make_request("targets_limited", refused_by="i-1"),
                ],
                "Limits: i-1 1.5 a second.",
            ),
            (
                [make_request("targets_limited", refused_by="i-1")],
                "Limits: not in these logs.",
            ),
            (
                [
                    make_line("load_planned", 95.0, model="m1", evict=[]),
                    make_request("no_replica"),
                ],
                "A load of it was planned",
            ),
            (
                [
                    make_line("load_planned", 95.0, model="m2", evict=["m1"]),
                    make_request("no_replica"),
                ],
                "It had been evicted for m2.",
            ),
            ([make_request("some_new_outcome")], "It ended as some_new_outcome."),
        ],
    )
    def test_cause(self, write_log, lines, cause):
        """The cause depends on the outcome and on related lines."""
        assert cause in explain_request("r1", [write_log(*lines)]).cause

    def test_shows_related_lines_of_other_nodes(self, write_log):
        """Only lines of the model and of nodes shortly before the end are shown."""
        first = write_log(make_request("no_replica"))
        second = write_log(
            make_line("order", 97.0, model="m1", outcome="conflict"),
            make_line("order", 97.0, model="m9", outcome="accepted"),
            make_line("order", 50.0, model="m1", outcome="accepted"),
            make_line("lease", 98.0, change="lost"),
            name="n2.log",
        )

        explanation = explain_request("r1", [first, second])

        kinds = [shown.split()[3] for shown in explanation.lines]
        assert kinds == ["order", "lease", "request"]

    def test_shows_lines_of_attempted_targets(self, write_log):
        """Lines of targets that the request was not sent to are not shown."""
        path = write_log(
            make_line("target_gone", 100.5, target="i-1", why="removed"),
            make_line("target_gone", 100.5, target="i-2", why="removed"),
            make_request("target_broke_off", attempts=["i-1:status_200"]),
        )

        explanation = explain_request("r1", [path])

        assert sum("target_gone" in shown for shown in explanation.lines) == 1

    def test_incomplete_lines_are_counted(self, write_log):
        """A line cut off in its JSON object counts; a line without one does not."""
        path = write_log(
            make_request("answered"), '{"message_type": "req', "not json at all"
        )

        assert explain_request("r1", [path]).incomplete_lines == 1

    def test_source_is_last_word_of_prefix(self, write_log):
        """The prefix that a log collector adds gives the source of a line."""
        path = write_log(make_line("x", 1.0, prefix="12.5 vm-7 ", request_id="r1"))

        assert "vm-7" in explain_request("r1", [path]).lines[0]

    def test_unknown_request_id_raises(self, write_log):
        """The error names the request id that no line has."""
        with pytest.raises(UnknownRequestError, match="no line of request r2"):
            explain_request("r2", [write_log(make_request("answered"))])


class TestHeldBackRequest:
    """A request held back because targets ended while running it."""

    @pytest.fixture
    def logs(self, write_log):
        first = write_log(
            make_request(
                "target_broke_off", 20.0, fingerprint="f1", attempts=["i-1:broken"]
            ),
            make_line("target_ended", 20.1, target="i-1", requests=["f1", "f2"]),
            make_line("target_ended", 30.1, target="i-9", requests=["f2"]),
        )
        second = write_log(
            make_line("request", 60.0, request_id="r0", fingerprint="f1", outcome="x"),
            make_line("target_ended", 60.1, target="i-2", requests=["f1"]),
            make_line("request_held", 60.2, fingerprint="f1", targets=["i-2", "i-1"]),
            make_line("request_held", 60.2, fingerprint="f2", targets=["i-9"]),
            make_request("ends_targets", 90.0, fingerprint="f1"),
            name="n2.log",
        )
        return [first, second]

    def test_cause_names_ended_targets(self, logs):
        """Targets that ended while running another request are not named."""
        assert explain_request("r1", logs).cause.endswith("Ended: i-1, i-2.")

    def test_shows_repeats_regardless_of_age(self, logs):
        """Repeats are shown also if they ended long before the request."""
        kinds = [shown.split()[3] for shown in explain_request("r1", logs).lines]

        assert kinds == [
            "request",
            "target_ended",
            "request",
            "target_ended",
            "request_held",
            "request",
        ]


class TestHeldPrompt:
    """A request that was not sent because of a part of its prompt."""

    @pytest.fixture
    def logs(self, write_log):
        held = {"trait": "part:x", "targets": ["i-1", "i-2"]}
        return [
            write_log(
                make_line("target_ended", 1.0, target="i-1", traits=["part:x"]),
                make_line("target_ended", 2.0, target="i-2", traits=["part:x", "y"]),
                make_line("target_ended", 2.5, target="i-3", traits=["part:z"]),
                make_line("prompt_trait_held", 2.6, **held),
                make_line("prompt_trait_held", 2.7, trait="part:z", targets=["i-3"]),
                make_request("prompt_ends_targets", 90.0, held_trait="part:x"),
            )
        ]

    def test_cause_names_targets_that_ended_under_its_part(self, logs):
        assert explain_request("r1", logs).cause.endswith("Ended: i-1, i-2.")

    def test_shows_since_when_its_part_is_held(self, logs):
        kinds = [shown.split()[3] for shown in explain_request("r1", logs).lines]

        assert kinds == ["target_ended"] * 2 + ["prompt_trait_held", "request"]
