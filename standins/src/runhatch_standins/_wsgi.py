"""A small WSGI application with routes, served by waitress, for all stand-ins."""

import json
import re
import sys
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, BinaryIO, cast

from waitress import create_server

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
    """A complete reply, or one whose ``chunks`` are streamed."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    chunks: Iterable[bytes] | None = None


Handler = Callable[[Call], Reply]


def reply_json(document: object, status: int = 200) -> Reply:
    """Return a reply with ``document`` as its JSON body."""
    return Reply(status, json.dumps(document).encode(), JSON)


@dataclass(slots=True)
class Routes:
    """A WSGI application that dispatches calls by method and path pattern."""

    table: list[tuple[str, re.Pattern[str], Handler]] = field(default_factory=list)

    def add(self, method: str, pattern: str, handler: Handler) -> None:
        """Register ``handler`` for ``method`` on paths that match ``pattern``."""
        self.table.append((method, re.compile(pattern), handler))

    def __call__(
        self, environ: Mapping[str, Any], start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        """Answer one call."""
        reply = self._dispatch(environ)
        headers = list(reply.headers)
        if reply.chunks is None:
            headers.append(("Content-Length", str(len(reply.body))))
        start_response(f"{reply.status} Status", headers)
        return [reply.body] if reply.chunks is None else reply.chunks

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
    on_bound(int(server.effective_port))
    print(f"port {server.effective_port}", flush=True)
    try:
        server.run()
    except KeyboardInterrupt:
        sys.exit(0)
