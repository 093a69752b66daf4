"""The ``runhatchd`` command."""

import os
import signal
import sys
import threading
from argparse import ArgumentParser, Namespace
from pathlib import Path

import eliot

from runhatch_coordination import InvariantError
from runhatch_server._errors import SettingsError
from runhatch_server._node import Node
from runhatch_server._outside import connect
from runhatch_server._version import __version__
from runhatch_server.observability import configure_logs
from runhatch_server.settings import Settings, load_settings

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_START = 3
EXIT_BROKEN_INVARIANT = 70


def main() -> None:
    """Run the daemon until it is told to stop."""
    arguments = _parse_arguments()
    try:
        settings = load_settings(arguments.settings)
    except SettingsError as error:
        for fault in error.faults:
            print(f"runhatchd: settings: {fault}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    if arguments.check:
        print(f"runhatchd: {arguments.settings}: settings are sound")
        return
    sys.exit(_run(settings))


def _parse_arguments() -> Namespace:
    # argparse and not typer: typer costs 7 MB, of which the daemon has few.
    parser = ArgumentParser(
        prog="runhatchd",
        description="Serves many models from fewer accelerators.",
        epilog="example: runhatchd --settings node.json5",
    )
    parser.add_argument("--settings", type=Path, required=True, metavar="FILE")
    parser.add_argument("--check", action="store_true", help="check FILE and exit")
    parser.add_argument("--version", action="version", version=__version__)
    return parser.parse_args()


def _run(settings: Settings) -> int:
    stop = threading.Event()
    # A second signal changes nothing: requests in progress are never cut.
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    signal.signal(signal.SIGINT, lambda *_: stop.set())
    try:
        configure_logs(settings.logs)
        node = Node(settings, connect(settings))
        node.on_broken_invariant(_die)
        node.start()
    except OSError as error:
        print(f"runhatchd: cannot start: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
    print(
        f"runhatchd: {settings.node.name} ready for callers on port "
        f"{node.caller_port}, operators on port {node.operator_port}",
        flush=True,
    )
    while not stop.wait(1):
        pass
    node.drain()
    return 0


def _die(broken: InvariantError) -> None:
    """Stop at once: going on would break a promise further."""
    eliot.log_message(message_type="broken_invariant", promise=str(broken))
    sys.stderr.flush()
    os._exit(EXIT_BROKEN_INVARIANT)


if __name__ == "__main__":
    main()
