"""Runs the daemon with declared targets, from its settings file to its exit status."""

import sys
from collections.abc import Callable
from pathlib import Path

from runhatch_server._errors import SettingsError
from runhatch_server._node import Node
from runhatch_server._process import (
    EXIT_CANNOT_START,
    LOOK_EVERY,
    Signals,
    report_faults,
    stop_broken,
)
from runhatch_server.observability import configure_logs
from runhatch_server.outside import Outside
from runhatch_server.settings import Settings, load_settings

Connect = Callable[[Settings], Outside]


def run_daemon(path: Path, check: bool, connect: Connect) -> int:
    """Run with the settings at ``path`` until a stop signal; return the exit status.

    With ``check`` the settings are only validated.
    """
    try:
        settings = load_settings(path)
    except SettingsError as error:
        return report_faults(error)
    if check:
        print(f"runhatchd: {path}: settings are sound")
        return 0
    return _run(settings, connect)


def _run(settings: Settings, connect: Connect) -> int:
    signals = Signals()
    try:
        configure_logs(settings.logs.level, settings.logs.destination)
        node = Node(settings, connect(settings))
        node.on_broken_invariant(stop_broken)
        node.start()
    except OSError as error:
        print(f"runhatchd: cannot start: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
    print(
        f"runhatchd: {settings.node.name} ready for callers on port "
        f"{node.caller_port}, operators on port {node.operator_port}",
        flush=True,
    )
    while not signals.wait_for_stop(LOOK_EVERY):
        pass
    node.drain()
    return 0
