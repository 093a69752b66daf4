"""Types and functions shared by the WSGI applications that serve callers."""

from collections.abc import Callable, Iterable, Iterator, Mapping
from io import BytesIO
from typing import Protocol

from waitress.buffers import ReadOnlyFileBasedBuffer

from runhatch_server._errors import RunhatchError
from runhatch_server.http._channel import OMIT_FRAMING_KEY

MAX_COPIED_BYTES = 65_536
"""Longest body that is copied to the buffer of its connection: a file is shared."""
CLIENT_DISCONNECTED_KEY = "waitress.client_disconnected"

Environ = Mapping[str, object]
StartResponse = Callable[[str, list[tuple[str, str]]], object]


class AbortedStreamError(RunhatchError):
    """Raised to make the HTTP server end a response so that it looks truncated.

    The connection is closed without the last chunk, or reset if the body has no
    framing.
    """


class EventStream(Protocol):
    """An iterator over the parts of a streamed response."""

    def __next__(self) -> bytes:
        """Return the next part."""

    def close(self) -> None:
        """Release the resources of the stream."""


class ClosingEvents:
    """Forwards events and calls ``on_close`` once when they are closed."""

    def __init__(self, events: EventStream, on_close: Callable[[], None]) -> None:
        self._events = events
        self._on_end = on_close
        self._closed = False

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        return next(self._events)

    def close(self) -> None:
        """Release the resources of the stream; further calls have no effect."""
        if self._closed:
            return
        self._closed = True
        try:
            self._events.close()
        finally:
            self._on_end()


def send_response(
    status: str,
    headers: Iterable[tuple[str, str]],
    body: bytes,
    start_response: StartResponse,
    close_connection: bool,
) -> Iterable[bytes]:
    """Send a complete response and close the connection if ``close_connection``."""
    if close_connection:
        # Without a Content-Length waitress closes the connection after the response.
        start_response(status, [*headers])
        return iter([body])
    start_response(status, [*headers, ("Content-Length", str(len(body)))])
    if len(body) > MAX_COPIED_BYTES:
        shared: Iterable[bytes] = ReadOnlyFileBasedBuffer(BytesIO(body))
        return shared
    return [body]


def omit_framing(environ: Environ) -> None:
    """Have the response to ``environ`` end with its connection, without framing.

    The caller then can't take the end of the body for more than the end of the
    connection.  Call before the first part of the body is returned.
    """
    omit = environ.get(OMIT_FRAMING_KEY)
    if callable(omit):
        omit()


def caller_disconnect_check(environ: Environ) -> Callable[[], bool]:
    """Return a function that checks if the caller has closed its connection."""
    check = environ.get(CLIENT_DISCONNECTED_KEY)
    return check if callable(check) else _never_closed


def _never_closed() -> bool:
    return False
