"""Answers as they are kept for repeats of a request that may run only once."""

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


class _Document(msgspec.Struct):
    status: int
    headers: tuple[tuple[str, str], ...]
    body: str


def store_answer(objects: ObjectStore, name: str, answer: StoredAnswer) -> bool:
    """Keep ``answer`` under ``name``; true only if it is certainly kept."""
    body = base64.b64encode(answer.body).decode()
    document = _Document(answer.status, answer.headers, body)
    return objects.put(name, msgspec.json.encode(document))


def read_answer(objects: ObjectStore, name: str) -> StoredAnswer | None:
    """Return the answer kept under ``name``, ``None`` if it cannot be had."""
    body = objects.get(name)
    if body is None:
        return None
    document = msgspec.json.decode(body, type=_Document)
    kept = base64.b64decode(document.body)
    return StoredAnswer(document.status, document.headers, kept)
