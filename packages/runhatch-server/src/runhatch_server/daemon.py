"""The daemon with declared targets, from its settings file to its exit status."""

import os
import signal
import sys
import threading
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import eliot

from runhatch_coordination import InvariantError
from runhatch_server._errors import SettingsError
from runhatch_server._node import Node
from runhatch_server.gateway import GatewayNode, GatewayOutside, GatewaySettings
from runhatch_server.observability import configure_logs, flush_logs
from runhatch_server.outside import Outside
from runhatch_server.settings import LogSettings, Settings, load_settings

Connect = Callable[[Settings], Outside]

LOOK_EVERY = timedelta(seconds=1)
"""How often a change of the settings is looked for, and a request to stop."""
EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_START = 3
EXIT_BROKEN_INVARIANT = 70


def run_daemon(path: Path, check: bool, connect: Connect) -> int:
    """Run with the settings at ``path`` until told to stop; returns the exit status.

    With ``check`` the settings are judged and nothing is started.
    """
    try:
        settings = load_settings(path)
    except SettingsError as error:
        return report_faults(error)
    if check:
        print(f"runhatchd: {path}: settings are sound")
        return 0
    return _run(settings, connect)


def report_faults(error: SettingsError) -> int:
    """Tell what is wrong with the settings; returns the exit status."""
    for fault in error.faults:
        print(f"runhatchd: settings: {fault}", file=sys.stderr)
    return EXIT_BAD_SETTINGS


def run_gateway(
    settings: GatewaySettings,
    outside: GatewayOutside,
    reread: Callable[[], GatewaySettings | None],
) -> int:
    """Run a gateway until told to stop; returns the exit status.

    ``reread`` returns the settings if they have changed since it was called last.
    """
    signals = _Signals()
    configure_logs(LogSettings(destination="stdout"))
    try:
        node = GatewayNode(settings, outside)
        node.on_broken_invariant(stop_broken)
        node.start()
    except OSError as error:
        print(f"runhatchd: cannot start: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
    while not signals.stop.wait(LOOK_EVERY.total_seconds()):
        # The settings may also change without a signal.
        changed = reread()
        if changed is not None:
            node.reload(changed)
    node.drain()
    flush_logs()
    return 0


def _run(settings: Settings, connect: Connect) -> int:
    signals = _Signals()
    try:
        configure_logs(settings.logs)
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
    while not signals.stop.wait(LOOK_EVERY.total_seconds()):
        pass
    node.drain()
    flush_logs()
    return 0


class _Signals:
    """Signals of this process, from its making on.

    A second request to stop changes nothing: requests in progress are never cut.
    A request to reload does nothing by itself: changes are looked for anyway.
    """

    def __init__(self) -> None:
        self.stop = threading.Event()
        signal.signal(signal.SIGTERM, lambda *_: self.stop.set())
        signal.signal(signal.SIGINT, lambda *_: self.stop.set())
        signal.signal(signal.SIGHUP, lambda *_: None)


def stop_broken(broken: InvariantError) -> None:
    """Stop at once: going on would break a promise further."""
    eliot.log_message(message_type="broken_invariant", promise=str(broken))
    flush_logs()
    os._exit(EXIT_BROKEN_INVARIANT)
