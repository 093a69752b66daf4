"""Structured logs by eliot: one JSON object a line, a request under one action.

Whoever logs never waits for the pipe: lines go into a bounded queue, and one thread
writes them.  When the queue fills, lines of requests that were answered are left out
first; what is left out is counted, and told in a line of its own.
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
ORDER = (LogLevel.ERROR, LogLevel.CHANGE, LogLevel.REQUEST)
QUEUE_LINES = 4_096
"""Lines that may wait: some 2 MB, a few seconds of a node at 300 requests a second."""
PLENTY = 0.5
"""Share of the queue from which on only what matters most is taken."""
MOST_WRITTEN = 256
"""Lines written at once."""
FLUSH_SECONDS = 1.0
"""Longest wait for the writer at the end of the process."""


class LogQueue:
    """Takes messages from any thread and writes them from one.

    A reader of the log that stops reading stops the writer alone.
    """

    def __init__(self, stream: TextIO, level: LogLevel, limit: int = QUEUE_LINES):
        self._stream = stream
        self._limit = limit
        self._lines: deque[dict[str, object]] = deque()
        self._changed = threading.Condition()
        self._writing = False
        self._dropped = 0
        rank = ORDER.index(level)
        self._shown = frozenset(shown.value for shown in ORDER[: rank + 1])
        threading.Thread(target=self._run, name="log", daemon=True).start()

    @property
    def dropped(self) -> int:
        """Lines left out since they were told of last."""
        return self._dropped

    def __call__(self, message: dict[str, object]) -> None:
        """Take in one message; never waits for the writer."""
        if message.get(LEVEL_FIELD, LogLevel.ERROR.value) not in self._shown:
            return
        with self._changed:
            if len(self._lines) >= self._room_for(message):
                self._dropped += 1
                return
            self._lines.append(message)
            self._changed.notify()

    def flush(self, longest: float = FLUSH_SECONDS) -> bool:
        """Wait until all is written; false if that takes too long."""
        with self._changed:
            return self._changed.wait_for(
                lambda: not self._lines and not self._writing, longest
            )

    def _room_for(self, message: dict[str, object]) -> int:
        common = message.get("outcome") == "answered"
        return int(self._limit * PLENTY) if common else self._limit

    def _run(self) -> None:
        encoder = eliot.json.EliotJSONEncoder()
        while True:
            batch = self._take()
            try:
                self._stream.write(
                    "".join(f"{encoder.encode(line)}\n" for line in batch)
                )
                self._stream.flush()
            except (OSError, ValueError):
                # Nobody reads the log; there is nowhere else to say so.
                continue
            finally:
                with self._changed:
                    self._writing = False
                    self._changed.notify_all()

    def _take(self) -> list[dict[str, object]]:
        with self._changed:
            self._changed.wait_for(lambda: bool(self._lines))
            self._writing = True
            batch = [
                self._lines.popleft()
                for _ in range(min(len(self._lines), MOST_WRITTEN))
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
    # What libraries log, the HTTP server's failures among them, goes the same way.
    logging.getLogger().addHandler(EliotHandler())


def flush_logs() -> None:
    """Have what was logged so far written, before the process ends."""
    for queue in _queues:
        queue.flush()


def log_change(message_type: str, **fields: object) -> None:
    """Log one change of state: a lease, an order, a configuration, a member."""
    fields[LEVEL_FIELD] = LogLevel.CHANGE.value
    eliot.log_message(message_type=message_type, **fields)


class RequestLog:
    """The log of one request; every line carries the action's id.

    Unless requests are logged nothing is put together at all: messages cost as
    much as several tokens of a stream.
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

    def attempt(self, target: str, outcome: str) -> None:
        """Log how one attempt ended."""
        if self._action is None:
            return
        self._action.log(
            message_type="attempt", target=target, outcome=outcome, **self._level
        )

    def finish(self, outcome: str, status: int) -> None:
        """Log the end of the request."""
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
