"""Messages between nodes about permits to send prompts to a target."""

import msgspec


class PromptPermitRequest(
    msgspec.Struct, frozen=True, tag="prompt_asked", array_like=True
):
    """Requests a permit to send a prompt to ``target`` from its owner.

    Reading it takes ``work_ms``. An event of a stream there takes ``event_ms`` while no
    prompts are read, and ``pause_limit_ms`` longer at most. The prompt is in time if it
    begins to be answered within ``begin_within_ms``, and of any use within
    ``late_within_ms``.
    """

    target: str
    number: int
    work_ms: int
    tier: int
    pause_limit_ms: int
    event_ms: int
    begin_within_ms: int
    late_within_ms: int


class PromptPermitAnswer(msgspec.Struct, frozen=True, tag="prompt", array_like=True):
    """Answer to the request ``number`` for a permit of ``target``.

    ``state`` is a :class:`runhatch_server.decisions.PermitState`; ``tier`` is the
    priority at which the prompt may be sent. ``backlog_ms`` of prompt reading is ahead
    of it. A denied request may be repeated after ``retry_ms``.
    """

    target: str
    number: int
    state: int
    tier: int
    backlog_ms: int
    retry_ms: int = 0


class PromptsReleased(
    msgspec.Struct, frozen=True, tag="prompts_released", array_like=True
):
    """Prompts of the sender for ``target`` that no longer wait to be read.

    The answers of ``begun`` have begun; those of ``given_up`` never will.
    """

    target: str
    begun: list[int]
    given_up: list[int] = []
