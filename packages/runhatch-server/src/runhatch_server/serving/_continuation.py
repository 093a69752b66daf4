"""Continues a broken stream on another engine from the text received so far.

Chat completions use the engine parameters ``continue_final_message`` and
``add_generation_prompt`` as documented by vLLM; plain completions append the text
to the prompt.
"""

from collections.abc import Iterable, Mapping

import msgspec

from runhatch_server.targets import parse_event_data

DONE_DATA = b"[DONE]"
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


def build_continuation(
    document: Mapping[str, object], events: Iterable[bytes]
) -> dict[str, object] | None:
    """Return the request for the remaining text, ``None`` if that is impossible.

    Requests with several choices, tools or structured output cannot be continued,
    nor can those whose token limit is used up.
    """
    if document.get("n", 1) != 1 or any(document.get(f) for f in UNCONTINUABLE_FIELDS):
        return None
    pieces = _extract_text(events)
    if pieces is None:
        return None
    continued = dict(document)
    token_limit = document.get("max_tokens")
    if isinstance(token_limit, int):
        if token_limit <= len(pieces):
            return None
        continued["max_tokens"] = token_limit - len(pieces)
    text = "".join(pieces)
    if "messages" not in document:
        continued["prompt"] = f"{document.get('prompt', '')}{text}"
        return continued
    if not text:
        return continued
    messages = document["messages"]
    if not isinstance(messages, list):
        return None
    continued["messages"] = [*messages, {"role": "assistant", "content": text}]
    continued["continue_final_message"] = True
    continued["add_generation_prompt"] = False
    return continued


def _extract_text(events: Iterable[bytes]) -> list[str] | None:
    pieces = []
    for event in events:
        data = parse_event_data(event)
        if not data or data == DONE_DATA:
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
