"""Data types of a gateway request: route, model work, content and time limits."""

from dataclasses import dataclass
from datetime import timedelta

from runhatch_server.routing import RouteSpec, WorkspaceSpec

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt; parts with the same ``name`` have the same text."""

    name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class ModelWork:
    """Model, adapter and prompt of a request, and the length of its answer.

    ``expected_output_tokens`` is the caller's estimate of the output tokens,
    ``max_output_tokens`` their maximum.
    """

    model: str
    adapter: str
    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int


@dataclass(frozen=True, slots=True)
class GatewayRequest:
    """One attempt of a caller; times are elapsed times of the node's clock.

    ``uri`` is the path and query as received. An answer that begins by ``goal_at`` is
    worth its full price; after ``deadline`` an answer is worthless.
    """

    attempt_id: str
    route: RouteSpec
    service: str
    method: str
    uri: str
    forwarded_headers: Headers
    body: bytes
    received_at: timedelta
    goal_at: timedelta
    deadline: timedelta
    work: ModelWork | None = None
    last_event_id: str = ""
    """The last event that the caller has of a stream, empty for a new request."""
    resumes: str = ""
    """The caller's attempt that brought the first event of the stream to resume."""
    software_version: str | None = None
    """Only targets with this software version may serve it, ``None`` if all may."""
    configuration_version: int = 0
    """Version of the configuration that contains its route."""
    fingerprint: str = ""
    """Equal for all retries of the request, see :func:`compute_fingerprint`."""
    traits: tuple[str, ...] = ()
    """What its prompt may have in common with those of other requests, see
    :func:`compute_traits`."""
    is_forwarded: bool = False
    """Whether a peer received it from the caller and forwarded it to this node."""
    workspace: WorkspaceSpec | None = None
    """The workspace that has its key, ``None`` for an anonymous request."""
    usage: float = 0.0
    """What it counts towards the cap of its workspace."""

    @property
    def priority(self) -> int:
        """Its rank, 0 being the most urgent: that of its workspace, else its route."""
        if self.workspace is None or self.workspace.priority is None:
            return self.route.priority
        return self.workspace.priority

    @property
    def workspace_name(self) -> str:
        """The name of its workspace, empty for an anonymous request."""
        return "" if self.workspace is None else self.workspace.name

    @property
    def may_retry(self) -> bool:
        """Whether this node may send the request again after an unknown result.

        That is up to the node that received it from the caller, as it counts the
        attempts.
        """
        return self.route.may_retry and not self.is_forwarded

    @property
    def start_deadline(self) -> timedelta:
        """Time until which the caller waits for the first byte of an answer."""
        patience = self.route.patience
        if patience is None:
            return self.deadline
        return min(self.deadline, self.received_at + patience)

    @property
    def is_resumption(self) -> bool:
        """Whether the caller continues a stream of which it has events."""
        return self.route.resumable and bool(self.last_event_id)

    @property
    def model(self) -> str:
        """The requested model, empty for plain services."""
        return "" if self.work is None else self.work.model

    @property
    def adapter(self) -> str:
        """The requested adapter, empty if none."""
        return "" if self.work is None else self.work.adapter
