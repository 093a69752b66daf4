"""What the WSGI applications towards callers share."""

from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Protocol

from runhatch_server._errors import RunhatchError

GONE_VARIABLE = "waitress.client_disconnected"

Environ = Mapping[str, object]
StartResponse = Callable[[str, list[tuple[str, str]]], object]


class AbortedStreamError(RunhatchError):
    """Raised into the HTTP server so that it closes without the final chunk."""


class Events(Protocol):
    """Pieces of an answer that come one by one."""

    def __next__(self) -> bytes:
        """Return the next piece."""

    def close(self) -> None:
        """Let go of what the rest would need."""


class CountedEvents:
    """Passes events on and tells once when they have ended, however they did."""

    def __init__(self, events: Events, on_end: Callable[[], None]) -> None:
        self._events = events
        self._on_end = on_end
        self._closed = False

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        return next(self._events)

    def close(self) -> None:
        """Give back what the stream holds; called once by the HTTP server."""
        if self._closed:
            return
        self._closed = True
        try:
            self._events.close()
        finally:
            self._on_end()


def send_whole(
    status: str,
    headers: Iterable[tuple[str, str]],
    body: bytes,
    start_response: StartResponse,
    closing: bool,
) -> Iterable[bytes]:
    """Send a whole answer; with ``closing`` its connection ends with it."""
    if closing:
        # Without a length waitress closes the connection after the answer.
        start_response(status, [*headers])
        return iter([body])
    start_response(status, [*headers, ("Content-Length", str(len(body)))])
    return [body]


def caller_gone(environ: Environ) -> Callable[[], bool]:
    """Return what tells whether the caller has closed its connection."""
    check = environ.get(GONE_VARIABLE)
    return check if callable(check) else _never


def _never() -> bool:
    return False
