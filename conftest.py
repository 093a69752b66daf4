"""Tests listed in KNOWN-RED.txt fail without failing the run, and are printed.

The file has one line a test: its node id, a colon and space, the cause, and
the issue.  Any other test that fails, fails the run.
"""

from pathlib import Path

import pytest

LIST = Path(__file__).parent / "KNOWN-RED.txt"


def _known_red():
    lines = LIST.read_text().splitlines() if LIST.exists() else []
    return dict(line.split(": ", 1) for line in lines if line.strip())


def pytest_collection_modifyitems(items):
    known = _known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid]))


def pytest_terminal_summary(terminalreporter):
    for test, cause in _known_red().items():
        terminalreporter.write_line(f"KNOWN RED {test}: {cause}")
