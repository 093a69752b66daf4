"""Apply what targets state about themselves in their answers."""

from runhatch_server.gateway._balancer import Balancer
from runhatch_server.gateway._grant import Grant
from runhatch_server.gateway._messages import AnswerHead
from runhatch_server.targets import RefusedNotRun


def apply_target_signals(
    balancer: Balancer, grant: Grant, answer: AnswerHead | RefusedNotRun
) -> None:
    """Apply drain, backoff and rate limit in an answer to the request of ``grant``.

    They override the target's entry in the store.
    """
    backoff = (
        answer.retry_after if isinstance(answer, RefusedNotRun) else answer.backoff
    )
    if isinstance(answer, AnswerHead) and answer.load is not None:
        factor = answer.load.work_time_factor
        if factor is not None:
            balancer.record_work_time(grant, factor)
    if answer.draining:
        balancer.record_draining(grant)
    if backoff is not None:
        balancer.back_off_target(grant, backoff)
    balancer.limits.apply_answer(
        grant.target.incarnation,
        answer.rate_limit,
        grant.granted_at,
        answer.max_rejections,
    )
