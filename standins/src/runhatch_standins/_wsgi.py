"""A small WSGI application with routes, served by waitress, for all stand-ins."""

import json
import re
import socket
import struct
import sys
from collections.abc import Callable, Iterable, Iterator, Mapping, MutableMapping
from dataclasses import dataclass, field
from typing import Any, BinaryIO, cast

from waitress import create_server
from waitress.channel import HTTPChannel
from waitress.task import WSGITask

TASK_KEY = "runhatch_standins.task"
NO_LINGER = struct.pack("ii", 1, 0)
"""Socket option that makes ``close`` reset the connection."""
THREADS = 400
JSON = (("Content-Type", "application/json"),)
Document = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Call:
    """One call to a stand-in."""

    method: str
    path: str
    match: re.Match[str]
    query: str
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Document:
        """Return the body as a JSON object."""
        return dict(json.loads(self.body or b"{}"))


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete reply, or one whose ``chunks`` are streamed.

    One that is not framed has neither a length nor chunks, and ends with its
    connection.
    """

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    chunks: Iterable[bytes] | None = None
    is_framed: bool = True


Handler = Callable[[Call], Reply]


def reply_json(document: object, status: int = 200) -> Reply:
    """Return a reply with ``document`` as its JSON body."""
    return Reply(status, json.dumps(document).encode(), JSON)


class BrokenOffError(OSError):
    """Raised by the chunks of a reply to break off its connection.

    waitress closes the connection after an ``OSError`` without logging it.
    """

    def __init__(self, is_reset: bool) -> None:
        super().__init__("connection broken off")
        self.is_reset = is_reset


def break_off(chunks: Iterable[bytes], at_byte: int, is_reset: bool) -> Iterator[bytes]:
    """Yield ``at_byte`` bytes of ``chunks``; if more follow, break the connection.

    The connection is closed normally unless ``is_reset``.
    """
    left = at_byte
    for chunk in chunks:
        if len(chunk) > left:
            yield chunk[:left]
            raise BrokenOffError(is_reset)
        yield chunk
        left -= len(chunk)


class _Task(WSGITask):  # type: ignore[misc]
    """A request to a stand-in, whose reply may be unframed or broken off."""

    is_framed = True
    wrote_header: bool

    def get_environment(self) -> Mapping[str, Any]:
        return {**super().get_environment(), TASK_KEY: self}

    def build_response_header(self) -> bytes:
        if self.is_framed:
            return bytes(super().build_response_header())
        # waitress adds chunks to replies without a length, but not in HTTP/1.0.
        self.version = "1.0"
        header = bytes(super().build_response_header())
        return header.replace(b"HTTP/1.0", b"HTTP/1.1", 1)

    def execute(self) -> None:
        try:
            super().execute()
        except BrokenOffError as error:
            if self.complete and not self.wrote_header:
                self.write(b"")
            # waitress answers with an error unless a header was written.
            self.wrote_header = True
            if error.is_reset:
                self.channel.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
                )
            raise


class _Channel(HTTPChannel):  # type: ignore[misc]
    task_class = _Task


@dataclass(slots=True)
class Routes:
    """A WSGI application that dispatches calls by method and path pattern."""

    table: list[tuple[str, re.Pattern[str], Handler]] = field(default_factory=list)

    def add(self, method: str, pattern: str, handler: Handler) -> None:
        """Register ``handler`` for ``method`` on paths that match ``pattern``."""
        self.table.append((method, re.compile(pattern), handler))

    def __call__(
        self,
        environ: MutableMapping[str, Any],
        start_response: Callable[..., object],
    ) -> Iterable[bytes]:
        """Answer one call."""
        reply = self._dispatch(environ)
        environ[TASK_KEY].is_framed = reply.is_framed
        headers = list(reply.headers)
        if reply.chunks is None and reply.is_framed:
            headers.append(("Content-Length", str(len(reply.body))))
        start_response(f"{reply.status} Status", headers)
        if reply.chunks is not None:
            return reply.chunks
        # waitress adds a length to a reply that is a list with one element.
        return [reply.body] if reply.is_framed else iter([reply.body])

    def _dispatch(self, environ: Mapping[str, Any]) -> Reply:
        method, path = str(environ["REQUEST_METHOD"]), str(environ["PATH_INFO"])
        for route_method, pattern, handler in self.table:
            match = pattern.fullmatch(path)
            if route_method == method and match:
                length = int(environ.get("CONTENT_LENGTH") or 0)
                body = cast(BinaryIO, environ["wsgi.input"]).read(length)
                headers = {
                    name.removeprefix("HTTP_").replace("_", "-").lower(): str(value)
                    for name, value in environ.items()
                    if name.startswith("HTTP_")
                }
                query = str(environ.get("QUERY_STRING", ""))
                return handler(Call(method, path, match, query, headers, body))
        return reply_json({"error": f"no route {method} {path}"}, 404)


def serve(
    app: Routes,
    port: int,
    threads: int = THREADS,
    on_bound: Callable[[int], None] = lambda port: None,
) -> None:
    """Serve ``app`` on loopback until killed; print the port first.

    With ``port`` 0 the system chooses a port; ``on_bound`` is called with it.
    """
    server = create_server(
        app,
        host="127.0.0.1",
        port=port,
        threads=threads,
        connection_limit=threads + 200,
        backlog=1024,
        asyncore_use_poll=True,
        send_bytes=1,
        channel_request_lookahead=1,
        clear_untrusted_proxy_headers=False,
    )
    server.channel_class = _Channel
    on_bound(int(server.effective_port))
    print(f"port {server.effective_port}", flush=True)
    try:
        server.run()
    except KeyboardInterrupt:
        sys.exit(0)
