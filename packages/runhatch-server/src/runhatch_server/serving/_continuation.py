"""Continuing a broken stream on another engine from the text so far.

Uses the engine parameters ``continue_final_message`` and
``add_generation_prompt`` as published by vLLM for chat completions; plain
completions continue by a longer prompt.
"""

from collections.abc import Iterable, Mapping

import msgspec

from runhatch_server.targets import event_data

DONE = b"[DONE]"
PLAIN_DELTA = frozenset({"role", "content"})
UNCONTINUABLE_FIELDS = ("tools", "response_format", "logprobs", "echo", "suffix")


class _Delta(msgspec.Struct):
    content: str | None = None
    tool_calls: msgspec.Raw | None = None


class _ChunkChoice(msgspec.Struct):
    delta: _Delta | None = None
    text: str | None = None


class _Chunk(msgspec.Struct):
    choices: list[_ChunkChoice] = []


def continue_document(
    document: Mapping[str, object], events: Iterable[bytes]
) -> dict[str, object] | None:
    """Return the request that asks for the rest, ``None`` if there is no way.

    There is none for several choices, tools, structured output, or when the
    token limit is already used up.
    """
    if document.get("n", 1) != 1 or any(document.get(f) for f in UNCONTINUABLE_FIELDS):
        return None
    pieces = _pieces(events)
    if pieces is None:
        return None
    rest = dict(document)
    limit = document.get("max_tokens")
    if isinstance(limit, int):
        if limit <= len(pieces):
            return None
        rest["max_tokens"] = limit - len(pieces)
    text = "".join(pieces)
    if "messages" not in document:
        rest["prompt"] = f"{document.get('prompt', '')}{text}"
        return rest
    if not text:
        return rest
    messages = document["messages"]
    if not isinstance(messages, list):
        return None
    rest["messages"] = [*messages, {"role": "assistant", "content": text}]
    rest["continue_final_message"] = True
    rest["add_generation_prompt"] = False
    return rest


def _pieces(events: Iterable[bytes]) -> list[str] | None:
    pieces = []
    for event in events:
        data = event_data(event)
        if not data or data == DONE:
            continue
        try:
            chunk = msgspec.json.decode(data, type=_Chunk)
        except msgspec.MsgspecError:
            return None
        for choice in chunk.choices:
            if choice.delta is not None and choice.delta.tool_calls is not None:
                return None
            piece = choice.text if choice.delta is None else choice.delta.content
            if piece:
                pieces.append(piece)
    return pieces
