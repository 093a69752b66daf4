"""An HTTP client for services, and a server for a WSGI application."""

from runhatch_server.http._answers import (
    AnswerLimits,
    AnswerMemory,
    AnswerMemoryFullError,
    AnswerTooLongError,
)
from runhatch_server.http._body import OVERALLOCATION
from runhatch_server.http._client import (
    INVALID_HOST_ERRORS,
    MAX_BODY_BYTES,
    AbortedCall,
    HttpClient,
    Reply,
    enable_keepalive,
)
from runhatch_server.http._memory import Holding, RequestMemory
from runhatch_server.http._refusals import (
    BuildRefusal,
    RefusalAnswer,
    build_plain_refusal,
)
from runhatch_server.http._response import (
    StrictLineReader,
    StrictResponse,
    read_head,
)
from runhatch_server.http._server import (
    DEFAULT_MAX_UNSENT_BYTES,
    HttpServer,
    ServerLimits,
)
from runhatch_server.http._wsgi import (
    AbortedStreamError,
    ClosingEvents,
    Environ,
    EventStream,
    StartResponse,
    caller_disconnect_check,
    omit_framing,
    send_response,
)

__all__ = [
    "AbortedStreamError",
    "AbortedCall",
    "AnswerLimits",
    "AnswerMemory",
    "AnswerMemoryFullError",
    "AnswerTooLongError",
    "BuildRefusal",
    "ClosingEvents",
    "DEFAULT_MAX_UNSENT_BYTES",
    "Environ",
    "EventStream",
    "Holding",
    "HttpClient",
    "HttpServer",
    "INVALID_HOST_ERRORS",
    "MAX_BODY_BYTES",
    "OVERALLOCATION",
    "RefusalAnswer",
    "Reply",
    "RequestMemory",
    "ServerLimits",
    "StartResponse",
    "StrictLineReader",
    "StrictResponse",
    "build_plain_refusal",
    "caller_disconnect_check",
    "enable_keepalive",
    "omit_framing",
    "read_head",
    "send_response",
]
