"""An HTTP client for services, and a server for a WSGI application."""

from runhatch_server.http._client import (
    BrokenOff,
    HttpClient,
    Reply,
    notice_dead_peers,
)
from runhatch_server.http._server import HttpServer, ServerLimits
from runhatch_server.http._wsgi import (
    AbortedStreamError,
    CountedEvents,
    Environ,
    Events,
    StartResponse,
    caller_gone,
    send_whole,
)

__all__ = [
    "AbortedStreamError",
    "BrokenOff",
    "CountedEvents",
    "Environ",
    "Events",
    "HttpClient",
    "HttpServer",
    "Reply",
    "ServerLimits",
    "StartResponse",
    "caller_gone",
    "notice_dead_peers",
    "send_whole",
]
