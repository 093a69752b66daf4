"""Record each request in metrics and in one log line when it ends."""

from datetime import timedelta

from runhatch_coordination import Clock
from runhatch_server.decisions import GatewayRequest
from runhatch_server.gateway._grant import Grant
from runhatch_server.gateway._pace import StreamPace
from runhatch_server.observability import Metrics, log_change
from runhatch_server.refusals import Refusal
from runhatch_server.targets import AttemptReason


class RequestRecord:
    """Attempts, timing and outcome of one request, filled in while it runs."""

    def __init__(self, request: GatewayRequest) -> None:
        self.request = request
        self.attempts: list[str] = []
        self.retries: list[tuple[AttemptReason, bool]] = []
        self.predicted_ms: float | None = None
        self.busy: float | None = None
        self.pause_ms: float | None = None
        self.work_time_factor: float | None = None
        self.waited = timedelta()
        """Total time for which the request waited on this node for a target."""
        self.tier = 0
        self.outcome = ""
        self.status = 0
        self.retry_after: timedelta | None = None
        self.refused_by = ""
        self.held_trait = ""
        """The target whose answer led to the refusal."""
        self.is_framed: bool | None = None
        """Whether the last answer that began stated where its body ends."""
        self.software_version: str | None = None
        """Software version of the target that began the stream, if recorded."""
        self.pace = StreamPace()
        self.was_slowed = False
        self.first_byte_latency: timedelta | None = None

    def record_attempt(self, grant: Grant, outcome: str) -> None:
        """Record the outcome of one attempt, or the status of the answer it began."""
        if self.predicted_ms is None:
            self.predicted_ms = grant.predicted_ms
            self.busy = grant.busy
            self.pause_ms = grant.pause_ms
            self.work_time_factor = grant.work_time_factor
            self.tier = grant.tier
        self.attempts.append(f"{grant.target.incarnation}:{outcome}")

    def record_first_byte(self, took: timedelta) -> None:
        """Record the time that the target took to begin its answer."""
        self.first_byte_latency = took

    def record_retry(self, reason: AttemptReason, paid: bool) -> None:
        """Record a retry that was due, and whether the retry budget allowed it."""
        self.retries.append((reason, paid))

    def record_answer(self, status: int) -> None:
        """Record the status of a complete answer."""
        self.outcome = "answered"
        self.status = status

    def record_stream(
        self, outcome: str, pace: StreamPace, was_slowed: bool = False
    ) -> None:
        """Record the outcome of a stream and the times of its events.

        ``was_slowed``: it was read no faster than its limit allows.
        """
        self.outcome = outcome
        self.was_slowed = was_slowed
        self.status = 200
        self.pace = pace

    def is_in_time(self, now: timedelta) -> bool:
        """Return whether the answer succeeded and began by the goal.

        No pause between its events may exceed the maximum gap of the route.
        """
        request = self.request
        if self.outcome != "answered" or self.status >= 300:
            return False
        began_at = now if self.pace.first_at is None else self.pace.first_at
        max_gap = request.route.max_gap
        exceeds_gap = max_gap is not None and self.pace.longest_pause > max_gap
        return began_at <= request.goal_at and not exceeds_gap

    def record_refusal(self, refusal: Refusal) -> None:
        """Record a refusal."""
        self.outcome = refusal.reason.code
        self.status = refusal.reason.status
        self.retry_after = refusal.retry_after
        self.refused_by = refusal.target
        self.held_trait = refusal.trait
        prediction = refusal.prediction
        if prediction is not None and not self.attempts:
            self.predicted_ms = prediction.predicted_ms
            self.busy = prediction.busy_share
            self.pause_ms = prediction.pause_ms
            self.work_time_factor = prediction.work_time_factor


class RequestRecorder:
    """Counts and logs requests that have ended."""

    def __init__(self, metrics: Metrics, clock: Clock) -> None:
        self._metrics = metrics
        self._clock = clock

    def record(self, record: RequestRecord) -> None:
        """Count and log one request that has ended."""
        request = record.request
        for attempt in record.attempts:
            self._metrics.attempts.labels(attempt.partition(":")[2]).inc()
        if not request.is_forwarded:
            self._count(record)
        self._log(record)

    def _count(self, record: RequestRecord) -> None:
        request = record.request
        in_time = record.is_in_time(self._clock.elapsed())
        if record.outcome == "answered":
            self._metrics.answers.labels(request.route.kind.value).inc()
            if not in_time:
                self._metrics.late_answers.labels(request.route.kind.value).inc()
        else:
            self._metrics.refusals.labels(record.outcome).inc()
        for reason, paid in record.retries:
            label = reason.value if paid else f"{reason.value}_no_budget"
            self._metrics.retries.labels(label).inc()
        kind = request.route.kind.value
        if record.was_slowed:
            self._metrics.slowed_streams.labels(kind).inc()
        if record.pace.pieces > 1:
            pause = record.pace.longest_pause.total_seconds()
            self._metrics.longest_pause_seconds.labels(kind).observe(pause)
        if record.first_byte_latency is not None:
            seconds = record.first_byte_latency.total_seconds()
            self._metrics.target_first_byte_seconds.labels(kind).observe(seconds)
        self._metrics.wait_seconds.labels(kind).observe(record.waited.total_seconds())
        took = self._clock.elapsed() - request.received_at
        self._metrics.first_byte_seconds.labels(kind).observe(took.total_seconds())

    def _log(self, record: RequestRecord) -> None:
        request = record.request
        now = self._clock.elapsed()
        took = now - request.received_at
        log_change(
            "forwarded_request" if request.is_forwarded else "request",
            request_id=request.attempt_id,
            fingerprint=request.fingerprint,
            route=request.route.name,
            workspace=request.workspace_name,
            model=request.model,
            adapter=request.adapter,
            outcome=record.outcome,
            status=record.status,
            attempts=record.attempts,
            tier=record.tier,
            retries=[
                f"{reason.value}:{'paid' if paid else 'no_budget'}"
                for reason, paid in record.retries
            ],
            predicted_ms=_round(record.predicted_ms),
            busy=_round_share(record.busy),
            work_time_factor=_round_share(record.work_time_factor),
            waited_ms=_to_milliseconds(record.waited),
            first_byte_ms=_to_milliseconds(record.first_byte_latency),
            took_ms=round(took / timedelta(milliseconds=1)),
            pieces=record.pace.pieces,
            slowed=record.was_slowed,
            framed=record.is_framed,
            began_ms=_compute_began_ms(record),
            goal_ms=_to_milliseconds(request.route.goal),
            longest_pause_ms=_to_milliseconds(record.pace.longest_pause),
            max_gap_ms=_to_milliseconds(request.route.max_gap),
            predicted_pause_ms=_round(record.pause_ms),
            in_time=record.is_in_time(now),
            retry_after=_to_seconds(record.retry_after),
            refused_by=record.refused_by,
            held_trait=record.held_trait,
            resumes=request.resumes if request.is_resumption else "",
            software_version=record.software_version,
            configuration=request.configuration_version,
        )


def _compute_began_ms(record: RequestRecord) -> int | None:
    first_at = record.pace.first_at
    return (
        None
        if first_at is None
        else _to_milliseconds(first_at - record.request.received_at)
    )


def _round(value: float | None) -> int | None:
    return None if value is None else round(value)


def _round_share(value: float | None) -> float | None:
    return None if value is None else round(value, 2)


def _to_milliseconds(duration: timedelta | None) -> int | None:
    return None if duration is None else round(duration / timedelta(milliseconds=1))


def _to_seconds(duration: timedelta | None) -> float | None:
    return None if duration is None else round(duration.total_seconds(), 2)
