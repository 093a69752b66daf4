"""Learned estimates of prompt reading times by model and service times by route."""

from datetime import timedelta

from runhatch_server.decisions._load import OutstandingRequest

INITIAL_BASE_MS = 25.0
"""Initial estimate of the time to the first token that does not depend on the prompt:
the network round trip and one or two engine steps."""
MIN_BASE_MS, MAX_BASE_MS = 2.0, 100.0
INITIAL_MS_PER_TOKEN = 0.06
"""Initial estimate of the time to read a prompt token. Engines with 70 billion
parameters read 17 to 40 tokens per millisecond between the tokens of other
requests."""
MIN_MS_PER_TOKEN, MAX_MS_PER_TOKEN = 0.002, 1.0
"""Bounds of the learned time per token, against wrong measurements."""
REFERENCE_PROMPT_TOKENS = 600.0
"""Prompt length in tokens at which an error corrects base time and speed equally."""
SOONER_GAIN, LATER_GAIN = 0.3, 0.15
"""Weights of the newest first token; estimates converge after about ten. Requests
of other nodes may have delayed it unnoticed, so a token that arrives sooner than
predicted gets the larger weight."""
MAX_QUEUED_SHARE = 0.5
"""Maximum queued reading, as a share of the prompt's own time, up to which its first
token is used to learn the speed."""
MAX_RELATIVE_ERROR = 2.0
"""Maximum error of one measurement, as a multiple of the prediction."""
DEFAULT_RATE_GAIN = 0.1
"""Weight of the newest prompt in the estimate for models not measured yet."""
INITIAL_SERVICE_MS = 30.0
"""Initial estimate of the time of a plain request."""
SERVICE_GAIN = 0.1
"""Weight of the newest plain request in the average time of its route."""


class WorkRates:
    """Estimated times of prompts by model, and of plain requests by route.

    All are usual times: what a target with a work time factor of 1.0 takes.

    The time to a first token is modelled as a base common to all models, plus a time
    per uncached prompt token that depends on the model. Each first token corrects both
    by its prediction error, in proportion to their share in the prediction.
    """

    def __init__(self) -> None:
        self.base_ms = INITIAL_BASE_MS
        """Time to the first token that does not depend on the prompt."""
        self._ms_per_token: dict[str, float] = {}
        self._default_ms_per_token = INITIAL_MS_PER_TOKEN
        self._service_ms: dict[str, float] = {}

    def prompt_ms(self, model: str, tokens: int) -> float:
        """Return the time in milliseconds that ``model`` takes to read ``tokens``."""
        return tokens * self._ms_per_token.get(model, self._default_ms_per_token)

    def service_ms(self, route: str) -> float:
        """Return the usual time in milliseconds of a plain request of ``route``."""
        return self._service_ms.get(route, INITIAL_SERVICE_MS)

    def record_first_token(
        self, model: str, outstanding: OutstandingRequest, took: timedelta
    ) -> None:
        """Update the estimates, if the token waited mostly for its own prompt."""
        previous = self._ms_per_token.get(model, self._default_ms_per_token)
        expected_ms = self.base_ms + outstanding.uncached_tokens * previous
        max_queued_ms = expected_ms * outstanding.work_time_factor * MAX_QUEUED_SHARE
        if not outstanding.uncached_tokens or outstanding.queued_ms > max_queued_ms:
            return
        read_ms = took / timedelta(milliseconds=1) - outstanding.queued_ms
        error_ms = read_ms / outstanding.work_time_factor - expected_ms
        error_ms = min(max(error_ms, -expected_ms), expected_ms * MAX_RELATIVE_ERROR)
        error_ms *= SOONER_GAIN if error_ms < 0 else LATER_GAIN
        relative_length = outstanding.uncached_tokens / REFERENCE_PROMPT_TOKENS
        error_ms /= 1.0 + relative_length**2
        self.base_ms = _clamp(self.base_ms + error_ms, MIN_BASE_MS, MAX_BASE_MS)
        learned = previous + error_ms * relative_length / REFERENCE_PROMPT_TOKENS
        learned = _clamp(learned, MIN_MS_PER_TOKEN, MAX_MS_PER_TOKEN)
        self._ms_per_token[model] = learned
        self._default_ms_per_token += (
            learned - self._default_ms_per_token
        ) * DEFAULT_RATE_GAIN

    def record_service_time(self, route: str, took: timedelta) -> None:
        """Update the average with a plain request of ``route`` that took ``took``."""
        observed_ms = took / timedelta(milliseconds=1)
        previous = self._service_ms.get(route, observed_ms)
        self._service_ms[route] = previous + (observed_ms - previous) * SERVICE_GAIN


def _clamp(value: float, lower: float, upper: float) -> float:
    return min(max(value, lower), upper)
