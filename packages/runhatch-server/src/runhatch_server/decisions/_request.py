"""A request as decisions see it: its route, what it asks of a model, its times."""

from dataclasses import dataclass
from datetime import timedelta

from runhatch_server.routing import RouteSpec

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt, shared by all requests that name the same id."""

    name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class ModelWork:
    """What a request asks of a model.

    ``expected_output`` is the caller's guess at the tokens of the answer,
    ``most_output`` their bound.
    """

    model: str
    adapter: str
    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    most_output: int
    expected_output: int


@dataclass(frozen=True, slots=True)
class GatewayRequest:
    """One attempt of a caller; times are on the clock's elapsed time.

    ``uri`` is path and query as they came.  ``goal_at`` is when an answer that
    begins is still worth its full price, ``deadline`` when no answer helps.
    """

    attempt_id: str
    route: RouteSpec
    service: str
    method: str
    uri: str
    passed: Headers
    body: bytes
    received: timedelta
    goal_at: timedelta
    deadline: timedelta
    work: ModelWork | None = None
    last_event: str = ""
    configuration: int = 0
    """Version of the configuration that its route was taken from."""
    fingerprint: str = ""
    """The same for all repeats of it, see :func:`fingerprint_of`."""

    @property
    def begin_by(self) -> timedelta:
        """When the first byte of an answer finds the caller still there."""
        patience = self.route.patience
        if patience is None:
            return self.deadline
        return min(self.deadline, self.received + patience)

    @property
    def model(self) -> str:
        """The model asked for, empty for plain services."""
        return "" if self.work is None else self.work.model

    @property
    def adapter(self) -> str:
        """The adapter asked for, empty if none."""
        return "" if self.work is None else self.work.adapter
