"""What both kinds of daemon share: signals, exit statuses, the last word."""

import os
import queue
import signal
import sys
from datetime import timedelta
from typing import NoReturn

import eliot

from runhatch_coordination import InvariantError
from runhatch_server._errors import SettingsError
from runhatch_server.observability import flush_logs

LOOK_EVERY = timedelta(seconds=1)
"""How often a change of the settings is looked for, and a request to stop."""
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
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
        # Its put may interrupt itself.  An event's set may not: it waits for a lock
        # that the interrupted code holds, or runs out of stack when signals pile up.
        self._requests: queue.SimpleQueue[int] = queue.SimpleQueue()
        for number in STOP_SIGNALS:
            signal.signal(number, self._stop)
        signal.signal(signal.SIGHUP, lambda *_: None)

    def wait_for_stop(self, longest: timedelta) -> bool:
        """Wait until told to stop; tell whether that has come."""
        try:
            self._requests.get(timeout=longest.total_seconds())
        except queue.Empty:
            return False
        return True

    def _stop(self, number: int, frame: object) -> None:
        for each in STOP_SIGNALS:
            signal.signal(each, signal.SIG_IGN)
        self._requests.put(number)


def end_process(status: int) -> NoReturn:
    """End with ``status``, once what was logged is written.

    The interpreter is not shut down first: tasks that still run may abort the process
    while it is, and the status would say that it failed.  Nothing is left to close:
    callers, targets and peers see their connections end either way.
    """
    flush_logs()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)


def stop_broken(broken: InvariantError) -> None:
    """Stop at once: going on would break a promise further."""
    eliot.log_message(message_type="broken_invariant", promise=str(broken))
    end_process(EXIT_BROKEN_INVARIANT)
