"""HTTP by library: calls to services, and a server for one application."""

from runhatch_server.http._client import (
    BrokenOff,
    HttpClient,
    Reply,
    notice_dead_peers,
)
from runhatch_server.http._server import HttpServer, ServerLimits

__all__ = [
    "BrokenOff",
    "HttpClient",
    "HttpServer",
    "Reply",
    "ServerLimits",
    "notice_dead_peers",
]
