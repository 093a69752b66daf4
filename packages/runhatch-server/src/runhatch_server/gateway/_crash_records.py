"""Report to crash detection how the attempts at targets ended."""

from runhatch_server.crashes import CrashDetector
from runhatch_server.gateway._grant import Grant
from runhatch_server.targets import AttemptReason


def record_no_answer(
    crashes: CrashDetector, grant: Grant, reason: AttemptReason, has_begun: bool = False
) -> None:
    """Record that the attempt of ``grant`` got no complete answer, and why.

    ``has_begun``: its target sent the first event.
    """
    if grant.is_to_peer:
        # The peer records it.
        return
    request, target = grant.request, grant.target.incarnation
    unbegun_traits = () if has_begun else request.traits
    if reason is AttemptReason.CONNECTION_BROKEN:
        crashes.record_abort(request.fingerprint, target, unbegun_traits)
    else:
        crashes.record_abandoned(request.fingerprint, target, unbegun_traits)


def record_begun(crashes: CrashDetector, grant: Grant) -> None:
    """Record that the target of ``grant`` sent the first event of its answer."""
    if not grant.is_to_peer:
        crashes.traits.record_begun(grant.request.traits)


def record_answer(
    crashes: CrashDetector, grant: Grant, is_framed: bool, is_success: bool = True
) -> None:
    """Record an answer read to its end; the target failed unless ``is_success``."""
    if grant.is_to_peer:
        return
    fingerprint = grant.request.fingerprint
    target, sent_at = grant.target.incarnation, grant.granted_at
    if is_framed:
        if is_success:
            record_begun(crashes, grant)
        crashes.record_answer(fingerprint, target, sent_at, is_success)
    else:
        crashes.record_unframed_answer(fingerprint, target, sent_at)
