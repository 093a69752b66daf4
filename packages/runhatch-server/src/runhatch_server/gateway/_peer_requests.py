"""Forward requests to peers that reach targets which this node cannot reach."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from enum import Enum

from runhatch_coordination import Clock, Membership, Vm
from runhatch_server.decisions import GatewayRequest, PeerChoice, Work
from runhatch_server.fleet import Target, TargetState
from runhatch_server.gateway._connections import ConnectionPool
from runhatch_server.gateway._forward import Forwarder, OpenedAnswer
from runhatch_server.gateway._grant import Grant
from runhatch_server.gateway._messages import HeaderCodec
from runhatch_server.gateway._peer_headers import (
    decode_peer_answer,
    decode_peer_refusal,
    encode_forwarded,
)
from runhatch_server.observability import Metrics
from runhatch_server.refusals import Executed, Reason, Refusal
from runhatch_server.targets import AttemptReason, NotSent, UnknownResult

MAX_PEERS = 3
"""Maximum number of peers that are asked to serve one request."""
MAX_PEER_CONNECTIONS = 200
"""Maximum number of open connections to one peer."""
PEER_IDLE_TIMEOUT = timedelta(seconds=5)
"""Idle time of a connection to a peer, which closes it much later."""
PEER_SERVICE = "peers"
OTHER_PEER_REASONS = frozenset(
    {
        Reason.TARGETS_UNREACHABLE,
        Reason.NOT_READY,
        Reason.STOPPING,
        Reason.CONFIGURATION_BEHIND,
        Reason.NO_ROUTE,
        Reason.STREAM_UNKNOWN,
    }
)
"""Reasons that concern the peer, not the request or the targets."""

REASONS_OF_LOAD = frozenset(
    {
        Reason.GOAL_UNMEETABLE,
        Reason.TOO_BUSY,
        Reason.TARGETS_BUSY,
        Reason.TARGETS_BACK_OFF,
        Reason.TARGETS_LIMITED,
    }
)
"""Reasons that hold for the targets in reach only."""

PeerResult = OpenedAnswer | Refusal | UnknownResult | NotSent


class NextStep(Enum):
    """What follows an attempt to have a request served by a peer."""

    TRY_TARGETS = "no peer can serve it"
    RETRY = "another attempt is allowed after an unknown result"


@dataclass(frozen=True, slots=True)
class ForwardedAttempt:
    """One attempt to have a request served by a peer; ``grant`` names the peer."""

    grant: Grant
    result: PeerResult

    @property
    def unknown_reason(self) -> AttemptReason | None:
        """Why the request may have run without an answer, ``None`` if neither."""
        match self.result:
            case UnknownResult(reason):
                return reason
            case Refusal(Reason.DEADLINE_PASSED, Executed.UNKNOWN):
                return AttemptReason.TIMED_OUT
            case Refusal(executed=Executed.UNKNOWN):
                return AttemptReason.CONNECTION_BROKEN
            case _:
                return None

    @property
    def outcome(self) -> str:
        """The outcome for the log."""
        match self.result:
            case OpenedAnswer(head=head):
                return f"forwarded_{head.status}"
            case Refusal(reason=reason):
                return f"forwarded_{reason.code}"
            case NotSent(reason):
                return f"forwarded_not_sent_{reason.value}"
            case UnknownResult(reason):
                return f"forwarded_unknown_{reason.value}"
            case _:
                raise AssertionError(self.result)


class PeerRequests:
    """Forwards the requests of one node to its peers, over one hop; thread-safe."""

    def __init__(
        self,
        membership: Membership,
        pool: ConnectionPool,
        forwarder: Forwarder,
        codec: HeaderCodec,
        clock: Clock,
        metrics: Metrics,
        choice: PeerChoice,
    ) -> None:
        self._membership = membership
        self._pool = pool
        self._forwarder = forwarder
        self._codec = codec
        self._clock = clock
        self._metrics = metrics
        self._choice = choice
        self._lock = threading.Lock()

    def send(
        self,
        request: GatewayRequest,
        wait_until: timedelta,
        caller_gone: Callable[[], bool],
        resume_after: str,
        on_attempt: Callable[[ForwardedAttempt], None],
    ) -> ForwardedAttempt | None:
        """Forward ``request`` to one peer after another until one can serve it.

        Returns ``None`` if none can; the request has not run then.  ``on_attempt`` is
        called with each attempt.
        """
        work = (request.service, request.model, request.adapter)
        tried: list[str] = []
        while len(tried) < MAX_PEERS:
            peer = self._choose(work, tried)
            if peer is None:
                break
            tried.append(peer.name)
            attempt = self._send_to(
                peer, request, wait_until, caller_gone, resume_after
            )
            on_attempt(attempt)
            self._record(peer.name, work, attempt)
            if not _is_for_other_peer(attempt.result):
                return attempt
        if tried:
            with self._lock:
                self._choice.record_exhausted(work, self._clock.elapsed())
        return None

    def remove_expired(self) -> None:
        """Remove the records of outcomes that no longer count."""
        with self._lock:
            self._choice.remove_expired(self._clock.elapsed())

    def known_names(self) -> frozenset[str]:
        """Return the names under which connections to peers are pooled."""
        return frozenset(vm.name for vm in self._membership.alive())

    def _choose(self, work: Work, tried: list[str]) -> Vm | None:
        own_name = self._membership.own.name
        peers = [vm for vm in self._membership.alive() if vm.name != own_name]
        with self._lock:
            return self._choice.choose(peers, work, tried, self._clock.elapsed())

    def _record(self, peer: str, work: Work, attempt: ForwardedAttempt) -> None:
        self._metrics.forwarded_requests.labels(attempt.outcome).inc()
        now = self._clock.elapsed()
        with self._lock:
            match attempt.result:
                case Refusal(Reason.TARGETS_UNREACHABLE):
                    self._choice.record_cut_off(peer, work, now)
                case OpenedAnswer():
                    self._choice.record_served(peer, work)
                case NotSent(AttemptReason.CONNECT_FAILED):
                    self._choice.record_lost(peer, now)
                case UnknownResult(AttemptReason.CONNECTION_BROKEN):
                    self._choice.record_lost(peer, now)

    def _send_to(
        self,
        peer: Vm,
        request: GatewayRequest,
        wait_until: timedelta,
        caller_gone: Callable[[], bool],
        resume_after: str,
    ) -> ForwardedAttempt:
        now = self._clock.elapsed()
        grant = _make_grant(peer, request, now)
        time_left = request.deadline - now
        if time_left <= timedelta():
            return ForwardedAttempt(grant, NotSent(AttemptReason.TIMED_OUT))
        connection = self._pool.acquire(
            grant.target, grant.max_connections, time_left, request.attempt_id
        )
        if isinstance(connection, NotSent):
            return ForwardedAttempt(grant, connection)
        now = self._clock.elapsed()
        headers = self._codec.encode_request(
            request, grant.target, request.deadline - now, grant.tier
        )
        if resume_after:
            headers = self._codec.add_resume_after(headers, resume_after)
        headers = encode_forwarded(request, headers, now)
        self._metrics.forwarded_bytes.labels("out").inc(len(request.body))
        head = self._forwarder.read_head(
            connection, request, headers, wait_until, caller_gone
        )
        if isinstance(head, UnknownResult):
            self._pool.discard(connection)
            return ForwardedAttempt(grant, head)
        if head.idle_timeout is not None:
            head = replace(head, idle_timeout=PEER_IDLE_TIMEOUT)
        is_matching = head.attempt_id == request.attempt_id
        refusal = decode_peer_refusal(head)
        if refusal is not None and (is_matching or not head.attempt_id):
            self._forwarder.recycle_after_refusal(connection, head.idle_timeout)
            return ForwardedAttempt(grant, refusal)
        if not is_matching or not head.is_authentic or head.encoded:
            self._pool.discard(connection)
            unknown = UnknownResult(AttemptReason.WRONG_ANSWER)
            return ForwardedAttempt(grant, unknown)
        head, version = decode_peer_answer(head)
        grant = replace(grant, peer_software_version=version)
        return ForwardedAttempt(grant, OpenedAnswer(connection, head))


def _is_for_other_peer(result: PeerResult) -> bool:
    match result:
        case NotSent(reason):
            return reason is not AttemptReason.TIMED_OUT
        case Refusal(reason, Executed.NO):
            return reason in OTHER_PEER_REASONS
        case _:
            return False


def _make_grant(peer: Vm, request: GatewayRequest, now: timedelta) -> Grant:
    """Return a grant for ``peer``, which makes the request's admission decision."""
    host = peer.address.rpartition(":")[0]
    target = Target(
        peer.name,
        PEER_SERVICE,
        host,
        peer.forward_port,
        peer.failure_domain,
        MAX_PEER_CONNECTIONS,
        TargetState.READY,
    )
    return Grant(0, target, request, 0.0, now, 0, 0.0, 0.0, MAX_PEER_CONNECTIONS, True)
