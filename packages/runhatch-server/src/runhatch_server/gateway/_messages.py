"""A request on its way through a gateway, and what headers say, decoded."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from runhatch_server.fleet import Target
from runhatch_server.routing import RouteSpec
from runhatch_server.targets import ReportedLoad

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
class CallerHeaders:
    """What a caller's headers say; ``passed`` is what goes on to the target."""

    attempt_id: str
    time_left: timedelta | None
    work: ModelWork | None
    last_event: str
    passed: Headers


@dataclass(frozen=True, slots=True)
class HeaderFault:
    """A header that cannot be used: which, and what is allowed."""

    detail: str


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


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """What the head of a target's answer says.

    ``attempt_id`` is the request's that it answers, empty if it names none.
    ``sealed`` tells that the target vouches for the answer; ``not_run`` that it
    did not run the request.  ``idle`` is how long the connection may be kept
    without a request, ``None`` if it must not be used again.
    """

    status: int
    reason: str
    attempt_id: str
    sealed: bool
    not_run: bool
    encoded: bool
    load: ReportedLoad | None
    idle: timedelta | None
    passed: Headers


class HeaderCodec(Protocol):
    """Between headers and what they mean; the one place that knows their names."""

    def read_caller(self, headers: Mapping[str, str]) -> CallerHeaders | HeaderFault:
        """Decode a caller's headers, by name in lower case."""

    def for_target(
        self,
        request: GatewayRequest,
        target: Target,
        time_left: timedelta,
        tier: int,
    ) -> Headers:
        """Return all headers for sending ``request`` to ``target``.

        It gets ``time_left`` for its work, takes requests of a lower ``tier``
        first, and is asked to work only if it is the life of the target that is
        meant.
        """

    def resumed_after(self, headers: Headers, event: str) -> Headers:
        """Return ``headers`` with the request to go on after ``event``."""

    def read_answer(
        self, status: int, reason: str, headers: Mapping[str, str], closes: bool
    ) -> AnswerHead:
        """Decode the head of an answer; ``closes`` if its connection ends with it."""

    def for_refusal(self, attempt_id: str) -> Headers:
        """Return the headers by which a caller matches a refusal to its attempt."""
