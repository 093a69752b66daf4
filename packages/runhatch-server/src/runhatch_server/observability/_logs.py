"""Structured logs written with eliot: one JSON object per line.

Lines go through a bounded queue to a single writer thread, so a stalled log reader
cannot block the threads that log.  When the queue fills up, lines of answered requests
are dropped first; the number of dropped lines is logged.
"""

import logging
import sys
import threading
from collections import deque
from pathlib import Path
from typing import TextIO

import eliot
from eliot.stdlib import EliotHandler

from runhatch_server.observability._levels import LogLevel

LEVEL_FIELD = "level"
LEVELS_BY_VERBOSITY = (LogLevel.ERROR, LogLevel.CHANGE, LogLevel.REQUEST)
MAX_QUEUED_LINES = 4_096
"""About 2 MB, a few seconds of a node that serves 300 requests a second."""
DROP_ANSWERED_ABOVE = 0.5
"""Fill level of the queue above which lines of answered requests are dropped."""
MAX_LINES_PER_WRITE = 256
"""Maximum number of lines per write."""
FLUSH_TIMEOUT_SECONDS = 1.0
"""Maximum wait for the writer thread when the process exits."""


class LogQueue:
    """Queue messages from any thread and write them from a single thread.

    A log reader that stops reading blocks only the writer thread.
    """

    def __init__(self, stream: TextIO, level: LogLevel, limit: int = MAX_QUEUED_LINES):
        self._stream = stream
        self._limit = limit
        self._lines: deque[dict[str, object]] = deque()
        self._condition = threading.Condition()
        self._is_writing = False
        self._dropped = 0
        rank = LEVELS_BY_VERBOSITY.index(level)
        self._logged_levels = frozenset(
            logged.value for logged in LEVELS_BY_VERBOSITY[: rank + 1]
        )
        threading.Thread(target=self._write_lines, name="log", daemon=True).start()

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the last ``log_lines_dropped`` line."""
        return self._dropped

    def __call__(self, message: dict[str, object]) -> None:
        """Queue ``message``, or drop it if the queue is full; never blocks."""
        if message.get(LEVEL_FIELD, LogLevel.ERROR.value) not in self._logged_levels:
            return
        with self._condition:
            if len(self._lines) >= self._limit_for(message):
                self._dropped += 1
                return
            self._lines.append(message)
            self._condition.notify()

    def flush(self, timeout_seconds: float = FLUSH_TIMEOUT_SECONDS) -> bool:
        """Wait until all lines are written; return false after ``timeout_seconds``."""
        with self._condition:
            return self._condition.wait_for(
                lambda: not self._lines and not self._is_writing, timeout_seconds
            )

    def _limit_for(self, message: dict[str, object]) -> int:
        is_droppable = message.get("outcome") == "answered"
        return int(self._limit * DROP_ANSWERED_ABOVE) if is_droppable else self._limit

    def _write_lines(self) -> None:
        encoder = eliot.json.EliotJSONEncoder()
        while True:
            batch = self._next_batch()
            try:
                self._stream.write(
                    "".join(f"{encoder.encode(line)}\n" for line in batch)
                )
                self._stream.flush()
            except (OSError, ValueError):
                # The log reader is gone, and there is no other place to report it.
                continue
            finally:
                with self._condition:
                    self._is_writing = False
                    self._condition.notify_all()

    def _next_batch(self) -> list[dict[str, object]]:
        with self._condition:
            self._condition.wait_for(lambda: bool(self._lines))
            self._is_writing = True
            batch = [
                self._lines.popleft()
                for _ in range(min(len(self._lines), MAX_LINES_PER_WRITE))
            ]
            if self._dropped:
                batch.append(
                    {"message_type": "log_lines_dropped", "count": self._dropped}
                )
                self._dropped = 0
            return batch


_queues: list[LogQueue] = []


def configure_logs(level: LogLevel, destination: str) -> None:
    """Send logs up to ``level`` to "stdout", "stderr" or the file ``destination``.

    Raises ``OSError`` if the file cannot be opened.
    """
    queue = LogQueue(_open(destination), level)
    _queues.append(queue)
    eliot.add_destinations(queue)
    # Also writes the logs of libraries, such as errors of the HTTP server.
    logging.getLogger().addHandler(EliotHandler())


def flush_logs() -> None:
    """Wait until all queued lines are written, for use before the process exits."""
    for queue in _queues:
        queue.flush()


def log_change(message_type: str, **fields: object) -> None:
    """Log a change of state, for example of a lease, an order or a configuration."""
    fields[LEVEL_FIELD] = LogLevel.CHANGE.value
    eliot.log_message(message_type=message_type, **fields)


class RequestLog:
    """The log of one request; every line carries the id of its eliot action.

    If ``enabled`` is false, no messages are built, because building one costs as much
    processor time as several tokens of a stream.
    """

    def __init__(
        self, request_id: str, route: str, caller: str, enabled: bool = True
    ) -> None:
        level = {LEVEL_FIELD: LogLevel.REQUEST.value}
        self._level = level
        self._action: eliot.Action | None = None
        if enabled:
            self._action = eliot.start_action(
                action_type="request",
                request_id=request_id,
                route=route,
                caller=caller,
                **level,
            )

    def log_attempt(self, target: str, outcome: str) -> None:
        """Log the outcome of an attempt at ``target``."""
        if self._action is None:
            return
        self._action.log(
            message_type="attempt", target=target, outcome=outcome, **self._level
        )

    def log_limit(self, limit: str) -> None:
        """Log that the answer has met ``limit`` of the node."""
        if self._action is None:
            return
        self._action.log(message_type="limit", limit=limit, **self._level)

    def finish(self, outcome: str, status: int) -> None:
        """Log the outcome and HTTP status of the request."""
        if self._action is None:
            return
        self._action.add_success_fields(outcome=outcome, status=status, **self._level)
        self._action.finish()


def _open(destination: str) -> TextIO:
    if destination == "stderr":
        return sys.stderr
    if destination == "stdout":
        return sys.stdout
    return Path(destination).open("a", encoding="utf-8")
