"""Answers operators' questions about where a request would go."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass
from datetime import timedelta

from runhatch_server.configuration import Deployment
from runhatch_server.operations._query import QueryError
from runhatch_server.refusals import Executed, Refusal, retry_after_header
from runhatch_server.serving import (
    DEFAULT_CALLER,
    PRIORITIES,
    Dispatcher,
    HostPreview,
    PlacementCache,
    Route,
    RouteKind,
    RoutePreview,
    Verdict,
    declared_priority,
)

Document = dict[str, object]


@dataclass(frozen=True, slots=True)
class CandidateRecord:
    """A target that serves the model, and why it is not chosen."""

    target: str
    failure_domain: str
    outstanding: int
    limit: int
    load: float
    predicted_wait_ms: float
    excess_ms: float
    chosen: bool
    left_out: str


class UnknownNameError(QueryError):
    """No pool, model or adapter has the name in the question."""


class RouteService:
    """Previews requests for models and adapters, without sending any."""

    def __init__(
        self,
        picture: PlacementCache,
        dispatcher: Dispatcher,
        default_deadline: timedelta,
    ) -> None:
        self._picture = picture
        self._dispatcher = dispatcher
        self._default_deadline = default_deadline

    def preview(self, arguments: Mapping[str, str]) -> Document:
        """Return where a request with ``arguments`` would go now.

        These are ``pool``, ``model`` and optionally ``adapter`` and ``priority``.
        Raises :class:`UnknownNameError` or, for other bad input, :class:`QueryError`.
        """
        deployment = self._picture.deployment
        name = _find_name(deployment, arguments)
        priority = _read_priority(arguments.get("priority"))
        if priority is None:
            priority = declared_priority(deployment, name)
        route = Route(RouteKind.MODEL, name)
        preview = self._dispatcher.preview_route(
            route, DEFAULT_CALLER, priority, self._default_deadline
        )
        return _make_document(route, priority, preview)


def _find_name(deployment: Deployment, arguments: Mapping[str, str]) -> str:
    """Return the name that callers would send: the adapter's, else the model's."""
    pool, model = arguments.get("pool", ""), arguments.get("model", "")
    if pool not in {known.name for known in deployment.pools}:
        raise UnknownNameError(f"unknown pool: found {pool!r}")
    known_model = next((m for m in deployment.models if m.name == model), None)
    if known_model is None:
        raise UnknownNameError(f"unknown model: found {model!r}")
    if known_model.pool != pool:
        raise UnknownNameError(
            f"pool {pool!r} has no model {model!r}; it is in {known_model.pool!r}"
        )
    adapter = arguments.get("adapter")
    if adapter is None:
        return model
    if adapter not in {known.name for known in deployment.adapters_of(model)}:
        raise UnknownNameError(f"unknown adapter of {model!r}: found {adapter!r}")
    return adapter


def _read_priority(text: str | None) -> int | None:
    if text is None:
        return None
    if not (text.isascii() and text.isdecimal()) or int(text) not in PRIORITIES:
        raise QueryError(
            f"priority: found {text[:40]!r}, "
            f"allowed: {PRIORITIES[0]} to {PRIORITIES[-1]}"
        )
    return int(text)


def _make_document(route: Route, priority: int, preview: RoutePreview) -> Document:
    verdict = preview.verdict
    chosen = preview.chosen
    return {
        "route": str(route),
        "priority": priority,
        "outcome": verdict.outcome.value,
        "target": None if chosen is None else chosen.target,
        "reason": None if verdict.reason is None else verdict.reason.code,
        "status": None if verdict.reason is None else verdict.reason.status,
        "retry_after_seconds": _read_retry_after(verdict),
        "max_wait_seconds": _to_seconds(verdict.max_wait),
        "ahead": preview.ahead,
        "candidates": [asdict(_make_record(host)) for host in preview.hosts],
    }


def _make_record(host: HostPreview) -> CandidateRecord:
    return CandidateRecord(
        host.target,
        host.failure_domain,
        host.outstanding,
        host.limit,
        round(host.load, 2),
        round(host.predicted_wait.total_seconds() * 1000, 1),
        round(host.excess.total_seconds() * 1000, 1),
        not host.exclusion,
        host.exclusion,
    )


def _read_retry_after(verdict: Verdict) -> int | None:
    """Return the value of the header that a caller would be sent."""
    if verdict.reason is None:
        return None
    refusal = Refusal(verdict.reason, Executed.NO, retry_after=verdict.retry_after)
    return next((int(value) for _, value in retry_after_header(refusal)), None)


def _to_seconds(value: timedelta | None) -> float | None:
    return None if value is None else round(value.total_seconds(), 3)
