"""What an engine tells of its prefix cache.

Events are numbered from 0 by each engine; they come late, and some never.  A block
is named by the hash of the model's name and all text up to the block's end, see
:func:`block_name`.
"""

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass

BLOCK_CHARACTERS = 256
DIGEST_BYTES = 8


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A block was stored in an engine's prefix cache, or dropped from it."""

    sequence: int
    block: str
    stored: bool


@dataclass(frozen=True, slots=True)
class CacheEvents:
    """Events in their order; ``last`` is the newest number given out so far."""

    events: tuple[CacheEvent, ...]
    last: int


def block_names(model: str, text: str, most: int) -> Iterator[str]:
    """Yield the names of the whole blocks of ``text``, at most ``most``.

    >>> long = list(block_names("m", "x" * 600, 16))
    >>> len(long), long[:1] == list(block_names("m", "x" * 300, 16))
    (2, True)
    >>> long[0] in block_names("other", "x" * 600, 16)
    False
    """
    digest = hashlib.blake2b(f"{model}\0".encode(), digest_size=DIGEST_BYTES)
    for index in range(min(len(text) // BLOCK_CHARACTERS, most)):
        start = index * BLOCK_CHARACTERS
        digest.update(text[start : start + BLOCK_CHARACTERS].encode())
        yield digest.hexdigest()
