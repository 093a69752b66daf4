"""The parts of a gateway that serve requests."""

from dataclasses import dataclass, field

from runhatch_coordination import Clock
from runhatch_server.crashes import CrashDetector
from runhatch_server.gateway._balancer import Balancer
from runhatch_server.gateway._forward import Forwarder
from runhatch_server.gateway._peer_requests import PeerRequests
from runhatch_server.gateway._records import RequestRecorder
from runhatch_server.gateway._stream_versions import StreamVersionSource
from runhatch_server.http import AnswerLimits


@dataclass(frozen=True, slots=True)
class RunParts:
    """The parts of a node that all its requests share."""

    balancer: Balancer
    forwarder: Forwarder
    recorder: RequestRecorder
    crashes: CrashDetector
    clock: Clock
    versions: StreamVersionSource
    peers: PeerRequests | None = None
    """``None`` on a node whose peers accept no forwarded requests."""
    answer_limits: AnswerLimits = field(default_factory=AnswerLimits)
