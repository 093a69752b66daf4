"""Report to crash detection how the attempts at targets ended."""

from runhatch_server.crashes import CrashDetector
from runhatch_server.gateway._grant import Grant
from runhatch_server.targets import AttemptReason


def record_no_answer(
    crashes: CrashDetector, grant: Grant, reason: AttemptReason
) -> None:
    """Record that the attempt of ``grant`` got no complete answer, and why."""
    if grant.is_to_peer:
        # The peer records it.
        return
    fingerprint = grant.request.fingerprint
    if reason is AttemptReason.CONNECTION_BROKEN:
        crashes.record_abort(fingerprint, grant.target.incarnation)
    else:
        crashes.record_abandoned(fingerprint, grant.target.incarnation)


def record_answer(
    crashes: CrashDetector, grant: Grant, is_framed: bool, is_success: bool = True
) -> None:
    """Record an answer read to its end; the target failed unless ``is_success``."""
    if grant.is_to_peer:
        return
    fingerprint = grant.request.fingerprint
    target, sent_at = grant.target.incarnation, grant.granted_at
    if is_framed:
        crashes.record_answer(fingerprint, target, sent_at, is_success)
    else:
        crashes.record_unframed_answer(fingerprint, target, sent_at)
