"""Signals, exit statuses and process end, shared by both kinds of daemon."""

import ctypes
import os
import queue
import signal
import sys
from contextlib import suppress
from datetime import timedelta
from typing import NoReturn

import eliot

from runhatch_coordination import InvariantError
from runhatch_server._errors import SettingsError
from runhatch_server.observability import flush_logs

POLL_INTERVAL = timedelta(seconds=1)
"""Interval at which a daemon checks for changed settings and for a stop request."""
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
MALLOC_MMAP_THRESHOLD = -3
"""Name of the parameter of ``mallopt`` in ``malloc.h`` of the GNU C library."""
LARGE_ALLOCATION_BYTES = 131_072
EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_START = 3
EXIT_BROKEN_INVARIANT = 70


def report_faults(error: SettingsError) -> int:
    """Print the faults of the settings to stderr; return the exit status."""
    for fault in error.faults:
        print(f"runhatchd: settings: {fault}", file=sys.stderr)
    return EXIT_BAD_SETTINGS


def return_large_allocations() -> None:
    """Have memory of large bodies returned to the system as soon as it is freed.

    The GNU C library raises its threshold for doing so to the largest size that was
    freed.  The memory of each thread that has read a large body would stay with it.
    """
    with suppress(OSError, AttributeError):
        mallopt = ctypes.CDLL(None).mallopt
        mallopt(MALLOC_MMAP_THRESHOLD, LARGE_ALLOCATION_BYTES)


class SignalHandler:
    """Installs the signal handlers of this process when it is created.

    Further stop signals are ignored, so that requests in progress are not aborted.
    SIGHUP is ignored: changed settings are detected by polling.
    """

    def __init__(self) -> None:
        # SimpleQueue.put is reentrant.  Event.set is not: in a signal handler it waits
        # for a lock that the interrupted code holds, or overflows the stack when many
        # signals arrive.
        self._stop_requests: queue.SimpleQueue[int] = queue.SimpleQueue()
        for number in STOP_SIGNALS:
            signal.signal(number, self._handle_stop)
        signal.signal(signal.SIGHUP, lambda *_: None)

    def wait_for_stop(self, timeout: timedelta) -> bool:
        """Wait up to ``timeout`` for a stop signal; return whether one has arrived."""
        try:
            self._stop_requests.get(timeout=timeout.total_seconds())
        except queue.Empty:
            return False
        return True

    def _handle_stop(self, number: int, frame: object) -> None:
        for other in STOP_SIGNALS:
            signal.signal(other, signal.SIG_IGN)
        self._stop_requests.put(number)


def flush_and_exit(status: int) -> NoReturn:
    """Flush logs and output, then exit with ``status``.

    The interpreter is not finalized: threads that still run may abort the process
    during finalization, and the exit status would report a failure.  The kernel closes
    the connections to callers, targets and peers either way.
    """
    flush_logs()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)


def exit_on_invariant_error(error: InvariantError) -> None:
    """Log the broken invariant and exit at once, before it does more damage."""
    eliot.log_message(message_type="broken_invariant", promise=str(error))
    flush_and_exit(EXIT_BROKEN_INVARIANT)
