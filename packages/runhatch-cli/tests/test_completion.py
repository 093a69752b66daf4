"""Completion in the shells."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

RUNHATCH = Path(sys.executable).with_name("runhatch")


class TestCompletion:
    """What a shell is told to offer."""

    @pytest.mark.parametrize(
        ("words", "offered"),
        [
            ("runhatch ", {"query", "apply", "status", "config"}),
            ("runhatch ap", {"apply"}),
            ("runhatch config ", {"show", "history", "diff"}),
            ("runhatch status --out", {"--output"}),
        ],
    )
    def test_offers(self, words, offered):
        """Commands and options are offered by what was typed so far."""
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
