"""Pydantic models that validate the bodies of requests to model routes."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter

MAX_MESSAGES = 4_096


class _OpenModel(BaseModel):
    """Validates the fields runhatch uses and keeps all others for the engine."""

    model_config = ConfigDict(extra="allow", frozen=True)


class Message(_OpenModel):
    """One message of a chat completion."""

    role: str = Field(min_length=1)
    content: str | list[dict[str, object]] | None = None


class CompletionBody(_OpenModel):
    """Fields that chat and plain completions have in common."""

    model: str = Field(min_length=1, max_length=64)
    stream: bool = False
    max_tokens: Annotated[int, Field(ge=1, le=1_000_000)] | None = None
    n: Annotated[int, Field(ge=1, le=64)] | None = None


class ChatBody(CompletionBody):
    """Body of ``POST /v1/chat/completions``."""

    messages: list[Message] = Field(min_length=1, max_length=MAX_MESSAGES)


class PromptBody(CompletionBody):
    """Body of ``POST /v1/completions``."""

    prompt: str | list[str]


CHAT_PATH: Literal["/v1/chat/completions"] = "/v1/chat/completions"
PROMPT_PATH: Literal["/v1/completions"] = "/v1/completions"
BODY_MODELS: dict[str, TypeAdapter[CompletionBody]] = {
    CHAT_PATH: TypeAdapter(ChatBody),
    PROMPT_PATH: TypeAdapter(PromptBody),
}
