"""Runs the daemon with declared targets, from its settings file to its exit status."""

import sys
from collections.abc import Callable
from pathlib import Path

from runhatch_server._errors import SettingsError
from runhatch_server._node import Node
from runhatch_server._process import (
    EXIT_CANNOT_START,
    POLL_INTERVAL,
    SignalHandler,
    exit_on_invariant_error,
    report_faults,
    return_large_allocations,
)
from runhatch_server.external_services import ExternalServices
from runhatch_server.observability import configure_logs
from runhatch_server.settings import Settings, load_settings

ConnectServices = Callable[[Settings], ExternalServices]


def run_daemon(settings_path: Path, check_only: bool, connect: ConnectServices) -> int:
    """Run with the settings at ``settings_path`` until a stop signal; return the exit
    status.

    With ``check_only`` the settings are only validated.
    """
    try:
        settings = load_settings(settings_path)
    except SettingsError as error:
        return report_faults(error)
    if check_only:
        print(f"runhatchd: {settings_path}: settings are sound")
        return 0
    return _run(settings, connect)


def _run(settings: Settings, connect: ConnectServices) -> int:
    signals = SignalHandler()
    return_large_allocations()
    try:
        configure_logs(settings.logs.level, settings.logs.destination)
        node = Node(settings, connect(settings))
        node.set_invariant_error_handler(exit_on_invariant_error)
        node.start()
    except OSError as error:
        print(f"runhatchd: cannot start: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
    print(
        f"runhatchd: {settings.node.name} ready for callers on port "
        f"{node.caller_port}, operators on port {node.operator_port}",
        flush=True,
    )
    while not signals.wait_for_stop(POLL_INTERVAL):
        pass
    node.drain()
    return 0
