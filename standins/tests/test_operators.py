"""Test the operators' command line, conflicts, drains and pins."""

import json
import subprocess
import sys
import time

import pytest

from runhatch_standins._callers import Shape, Wanted, send
from runhatch_standins._cluster import call


def runhatch(cluster, *arguments, node="n1"):
    """Run the command; return exit status, standard output and standard error."""
    result = subprocess.run(
        [sys.executable, "-m", "runhatch_cli", *arguments],
        capture_output=True,
        text=True,
        env={"RUNHATCH_NODE": cluster.operator_url(node), "COLUMNS": "200"},
        check=False,
    )
    return result.returncode, result.stdout, result.stderr


class TestCommandLine:
    """Output and exit status of commands."""

    @pytest.mark.parametrize(
        ("arguments", "status", "words"),
        [
            (["query", "show models where loaded on e1"], 0, "e1"),
            (["query", "show targets order by outstanding desc"], 0, "refuses"),
            (["query", "show nodes where standing = alive"], 0, "n3"),
            (["query", "show leases"], 0, "reader"),
            (["query", "show orders limit 2"], 0, "serving"),
            (["query", "show refusals where count > 0"], 0, ""),
            (["query", "show configuration"], 0, "revision"),
            (["query", "show adapters"], 0, "a3"),
            (["query", "show models where size > 3"], 4, "found field 'size'"),
            (["query", "show drums"], 2, "column 6"),
            (["config", "show", "--revision", "99999"], 4, "found 99999"),
            (["query", "explain request nonsense"], 4, "not among the last"),
            (["apply", "no-such-file"], 2, "No such file"),
            (["status"], 0, "leases"),
        ],
    )
    def test_command_has_output_and_exit_status(
        self, cluster, arguments, status, words
    ):
        """A command prints its result, or one line of error with its exit status."""
        code, output, errors = runhatch(cluster, *arguments)
        assert (code, words in output + errors) == (status, True)
        if status:
            assert len(errors.splitlines()) == 1

    def test_json_output(self, cluster):
        """``--output json`` prints records as JSON."""
        _, output, _ = runhatch(
            cluster, "query", "show targets order by name", "--output", "json"
        )
        assert [record["name"] for record in json.loads(output)] == ["e1", "e2", "e3"]

    def test_unreachable_node(self, cluster):
        """An unreachable node has its own exit status."""
        code, _, errors = runhatch(
            cluster, "query", "show models", "--node", "http://127.0.0.1:1"
        )
        assert code == 6
        assert len(errors.splitlines()) == 1

    def test_stale_base_conflicts(self, cluster, tmp_path):
        """A change based on an old revision is refused with the difference."""
        path = tmp_path / "d.json5"
        document = cluster.deployment()
        document["policy"]["move_price"] = 7
        path.write_text("// mine\n" + json.dumps(document))
        code, _, errors = runhatch(cluster, "apply", str(path), "--base", "0")
        assert code == 5
        assert '+    "move_price": 7' in errors

    def test_explains_a_request(self, cluster):
        """``explain request`` prints the decisions made for a request."""
        send(cluster.caller_url("n1"), Wanted("explained", Shape.WHOLE, "m0"))
        records = cluster.query("n1", {"noun": "requests", "limit": 1000})
        served = [r for r in records if r["attempts"] > 0]
        code, output, _ = runhatch(
            cluster, "query", f"explain request {served[-1]['id']}"
        )
        assert code == 0
        assert "predicted wait" in output


class TestDrainAndPins:
    """Commands become revisions that take effect on all nodes."""

    def test_drain_moves_models_and_stops_new_work(self, cluster):
        """A drain removes all replicas while every model keeps one elsewhere."""
        revision = call(
            cluster.operator_url("n2"),
            "POST",
            "/v1/command",
            {"verb": "drain", "target": "e2"},
        )["revision"]
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline:
            models = cluster.query("n3", {"noun": "models"})
            assert all(model["replicas"] >= 1 for model in models)
            if not any("e2" in model["targets"] for model in models):
                break
            time.sleep(0.3)
        assert not any("e2" in model["targets"] for model in models)
        call(
            cluster.operator_url("n2"),
            "POST",
            "/v1/command",
            {"verb": "undrain", "target": "e2"},
        )
        history = call(cluster.operator_url("n1"), "GET", "/v1/history")["records"]
        assert [r["note"] for r in history if r["revision"] == revision] == ["drain e2"]

    def test_pin_loads_model_and_can_be_released(self, cluster):
        """A pinned model is loaded on its target."""
        command = {"verb": "load", "model": "m5", "target": "e2"}
        call(cluster.operator_url("n1"), "POST", "/v1/command", command)
        deadline = time.monotonic() + 20
        targets = []
        while "e2" not in targets and time.monotonic() < deadline:
            models = cluster.query("n2", {"noun": "models"})
            targets = next(m["targets"] for m in models if m["name"] == "m5")
            time.sleep(0.2)
        assert "e2" in targets
        released = {**command, "verb": "release"}
        call(cluster.operator_url("n1"), "POST", "/v1/command", released)

    def test_memory_was_never_overcommitted(self, cluster):
        """The engines recorded no violation of memory or of load limits."""
        for engine in cluster.engines:
            record = call(engine.url, "GET", "/record")
            assert record["violations"] == []
            assert record["most_mb"] <= cluster.sizes.memory_mb
        assert call(cluster.weights.url, "GET", "/stats")["breaches"] == 0
