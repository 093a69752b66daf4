"""Gateway that proxies requests of declared routes to targets found at run time."""

from runhatch_server.decisions import GatewayRequest, Headers, ModelWork, PromptPart
from runhatch_server.gateway._messages import (
    AnswerHead,
    CallerHeaders,
    HeaderCodec,
    InvalidHeader,
)
from runhatch_server.gateway._node import GatewayNode
from runhatch_server.gateway._platform import GatewayPlatform
from runhatch_server.gateway._settings import (
    Endpoint,
    GatewaySettings,
    OrderBounds,
    RetryBounds,
)
from runhatch_server.gateway._stored_versions import decode_version_record
from runhatch_server.gateway._version_recorder import VERSIONS_TABLE
from runhatch_server.gateway._watched_tables import WatchedTable, decode_rows

__all__ = [
    "AnswerHead",
    "CallerHeaders",
    "Endpoint",
    "GatewayNode",
    "GatewayPlatform",
    "GatewayRequest",
    "GatewaySettings",
    "HeaderCodec",
    "InvalidHeader",
    "Headers",
    "ModelWork",
    "OrderBounds",
    "PromptPart",
    "RetryBounds",
    "VERSIONS_TABLE",
    "WatchedTable",
    "decode_rows",
    "decode_version_record",
]
