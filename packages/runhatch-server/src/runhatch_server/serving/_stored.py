"""Answers as they are kept for repeats of a request that may run only once.

A small answer is kept in its claim's own row, which saves a write to the store and
the failures between two; a larger one is an object, and the row names it.
"""

import base64
from dataclasses import dataclass

import msgspec

from runhatch_coordination import ObjectStore


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A whole answer; ``body`` holds all events of a stream."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class _Document(msgspec.Struct, tag="answer"):
    status: int
    headers: tuple[tuple[str, str], ...]
    body: str


class _Object(msgspec.Struct, tag="object"):
    name: str


class AnswerStore:
    """Keeps answers up to ``inline_bytes`` in what it returns, others as objects."""

    def __init__(self, objects: ObjectStore, inline_bytes: int) -> None:
        self._objects = objects
        self._inline_bytes = inline_bytes

    def keep(self, name: str, answer: StoredAnswer) -> str | None:
        """Return what to write into the claim, ``None`` if it is not certainly kept.

        ``name`` is unique to the answer.
        """
        body = base64.b64encode(answer.body).decode()
        document = msgspec.json.encode(
            _Document(answer.status, answer.headers, body),
        )
        if len(document) <= self._inline_bytes:
            return document.decode()
        if not self._objects.put(name, document):
            return None
        return msgspec.json.encode(_Object(name)).decode()

    def read(self, kept: str) -> StoredAnswer | None:
        """Return the answer of a claim, ``None`` if it cannot be had now."""
        found = msgspec.json.decode(kept, type=_Document | _Object)
        if isinstance(found, _Object):
            body = self._objects.get(found.name)
            if body is None:
                return None
            found = msgspec.json.decode(body, type=_Document)
        content = base64.b64decode(found.body)
        return StoredAnswer(found.status, found.headers, content)
