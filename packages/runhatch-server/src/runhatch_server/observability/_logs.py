"""Structured logs by eliot: one JSON object a line, a request under one action."""

import logging
import sys
import threading
from pathlib import Path
from typing import TextIO

import eliot
from eliot.stdlib import EliotHandler

from runhatch_server.settings import LogLevel, LogSettings

LEVEL_FIELD = "level"
ORDER = (LogLevel.ERROR, LogLevel.CHANGE, LogLevel.REQUEST)


class _Destination:
    """Writes messages up to a level; eliot calls it from any thread."""

    def __init__(self, stream: TextIO, level: LogLevel) -> None:
        self._stream = stream
        self._lock = threading.Lock()
        rank = ORDER.index(level)
        self._shown = frozenset(shown.value for shown in ORDER[: rank + 1])

    def __call__(self, message: dict[str, object]) -> None:
        if message.get(LEVEL_FIELD, LogLevel.ERROR.value) not in self._shown:
            return
        line = eliot.json.EliotJSONEncoder().encode(message)
        with self._lock:
            self._stream.write(line + "\n")
            self._stream.flush()


def configure_logs(settings: LogSettings) -> None:
    """Send logs where ``settings`` says.

    Raises ``OSError`` if the file cannot be opened.
    """
    eliot.add_destinations(_Destination(_open(settings.destination), settings.level))
    # What libraries log, the HTTP server's failures among them, goes the same way.
    logging.getLogger().addHandler(EliotHandler())


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
