"""What both kinds of daemon share: signals, exit statuses, the last word."""

import os
import signal
import sys
import threading
from datetime import timedelta

import eliot

from runhatch_coordination import InvariantError
from runhatch_server._errors import SettingsError
from runhatch_server.observability import flush_logs

LOOK_EVERY = timedelta(seconds=1)
"""How often a change of the settings is looked for, and a request to stop."""
EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_START = 3
EXIT_BROKEN_INVARIANT = 70


def report_faults(error: SettingsError) -> int:
    """Tell what is wrong with the settings; returns the exit status."""
    for fault in error.faults:
        print(f"runhatchd: settings: {fault}", file=sys.stderr)
    return EXIT_BAD_SETTINGS


class Signals:
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
