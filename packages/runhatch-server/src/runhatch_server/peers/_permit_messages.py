"""Messages between nodes about rate limits of targets and permits under them."""

import msgspec


class LimitOfTarget(msgspec.Struct, frozen=True, array_like=True):
    """A target accepts ``rate`` requests per second from all nodes together.

    ``None`` means that it stated no limit.  This was observed ``age_ms`` ago.  A
    brittle target ends if it rejects more than ``max_rejections`` in a second, as known
    for ``brittle_for_ms``.
    """

    target: str
    rate: float | None
    age_ms: int
    max_rejections: int | None = None
    brittle_for_ms: int = 0


class RateLimitsUpdate(msgspec.Struct, frozen=True, tag="limits", array_like=True):
    """Rate limits that targets have stated or no longer state."""

    limits: list[LimitOfTarget]


class PermitRequest(msgspec.Struct, frozen=True, tag="permit_asked", array_like=True):
    """Requests a permit to send a request of ``tier`` to a target.

    ``limit`` is the target's rate limit as known to the sender.
    """

    tier: int
    limit: LimitOfTarget


class PermitAnswer(msgspec.Struct, frozen=True, tag="permit", array_like=True):
    """A permit to send a request of ``tier`` to ``target``, or its refusal.

    With ``wait_ms`` the permit is refused; the receiver may retry after that time.
    ``grant`` numbers the permits of a brittle target.
    """

    target: str
    tier: int
    wait_ms: int | None
    grant: int = 0
