"""Shell completion of the command line."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

RUNHATCH = Path(sys.executable).with_name("runhatch")


class TestCompletion:
    """Completions offered to bash."""

    @pytest.mark.parametrize(
        ("words", "offered"),
        [
            ("runhatch ", {"query", "apply", "status", "config"}),
            ("runhatch ap", {"apply"}),
            ("runhatch config ", {"show", "history", "diff"}),
            ("runhatch status --out", {"--output"}),
        ],
    )
    def test_offers_commands_and_options(self, words, offered):
        """Commands and options that match the typed words are offered."""
        environment = {
            **os.environ,
            "_RUNHATCH_COMPLETE": "complete_bash",
            "COMP_WORDS": words,
            "COMP_CWORD": str(len(words.split(" ")) - 1),
        }
        result = subprocess.run(
            [RUNHATCH], env=environment, capture_output=True, text=True, check=False
        )
        assert offered <= set(result.stdout.split())
