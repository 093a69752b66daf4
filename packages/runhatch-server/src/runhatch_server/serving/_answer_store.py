"""Stores answers for repeats of requests that may run only once.

A small answer is stored in the row of its claim, which saves a second write and
failures between the two.  A larger one is stored as an object named in the row.
"""

import base64
from dataclasses import dataclass

import msgspec

from runhatch_coordination import ObjectStore


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A whole answer; the ``body`` of a stream contains all its events."""

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
    """Encodes answers up to ``inline_bytes`` for claims, stores others as objects."""

    def __init__(self, objects: ObjectStore, inline_bytes: int) -> None:
        self._objects = objects
        self._inline_bytes = inline_bytes

    def store_answer(self, name: str, answer: StoredAnswer) -> str | None:
        """Return the text for the claim, ``None`` if the answer may not be stored.

        ``name`` must be unique to the answer.
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

    def read_answer(self, claim_result: str) -> StoredAnswer | None:
        """Return the answer that a claim refers to, ``None`` if it is unavailable."""
        found = msgspec.json.decode(claim_result, type=_Document | _Object)
        if isinstance(found, _Object):
            body = self._objects.get(found.name)
            if body is None:
                return None
            found = msgspec.json.decode(body, type=_Document)
        content = base64.b64decode(found.body)
        return StoredAnswer(found.status, found.headers, content)
