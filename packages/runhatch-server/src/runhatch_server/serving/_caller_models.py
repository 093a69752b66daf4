"""Models of what callers send to model routes, checked at the border."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter

MAX_MESSAGES = 4_096


class _OpenModel(BaseModel):
    """Checks the fields runhatch acts on, and passes all others to the engine."""

    model_config = ConfigDict(extra="allow", frozen=True)


class Message(_OpenModel):
    """One message of a chat."""

    role: str = Field(min_length=1)
    content: str | list[dict[str, object]] | None = None


class CompletionBody(_OpenModel):
    """What both calls share."""

    model: str = Field(min_length=1, max_length=64)
    stream: bool = False
    max_tokens: Annotated[int, Field(ge=1, le=1_000_000)] | None = None
    n: Annotated[int, Field(ge=1, le=64)] | None = None


class ChatBody(CompletionBody):
    """``POST /v1/chat/completions``."""

    messages: list[Message] = Field(min_length=1, max_length=MAX_MESSAGES)


class PromptBody(CompletionBody):
    """``POST /v1/completions``."""

    prompt: str | list[str]


CHAT_PATH: Literal["/v1/chat/completions"] = "/v1/chat/completions"
PROMPT_PATH: Literal["/v1/completions"] = "/v1/completions"
BODY_MODELS: dict[str, TypeAdapter[CompletionBody]] = {
    CHAT_PATH: TypeAdapter(ChatBody),
    PROMPT_PATH: TypeAdapter(PromptBody),
}
