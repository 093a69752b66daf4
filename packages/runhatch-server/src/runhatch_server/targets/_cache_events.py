"""Changes of an engine's prefix cache, and names of its blocks.

Each engine numbers its events from 0; events arrive late, and some are lost.  The
name of a block is a hash of the model's name and of all text up to the end of the
block, see :func:`compute_block_names`.
"""

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass

BLOCK_CHARACTERS = 256
DIGEST_BYTES = 8


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A block was stored in an engine's prefix cache, or evicted from it."""

    sequence: int
    block: str
    stored: bool


@dataclass(frozen=True, slots=True)
class CacheEvents:
    """Events in order; ``last`` is the highest number that the engine assigned."""

    events: tuple[CacheEvent, ...]
    last: int


def compute_block_names(model: str, text: str, max_blocks: int) -> Iterator[str]:
    """Yield the names of the first ``max_blocks`` complete blocks of ``text``.

    >>> long = list(compute_block_names("m", "x" * 600, 16))
    >>> len(long), long[:1] == list(compute_block_names("m", "x" * 300, 16))
    (2, True)
    >>> long[0] in compute_block_names("other", "x" * 600, 16)
    False
    """
    digest = hashlib.blake2b(f"{model}\0".encode(), digest_size=DIGEST_BYTES)
    for index in range(min(len(text) // BLOCK_CHARACTERS, max_blocks)):
        start = index * BLOCK_CHARACTERS
        digest.update(text[start : start + BLOCK_CHARACTERS].encode())
        yield digest.hexdigest()
