"""Which target has which prompt prefix cached, as far as this node knows.

A prompt is cut into blocks; a block's hash covers all text before it, so two
prompts share a block only if they share the whole prefix.
"""

import hashlib
from collections import OrderedDict

BLOCK_CHARACTERS = 256
MAX_BLOCKS = 16
MAX_KNOWN = 20_000


def prefix_blocks(text: str) -> tuple[str, ...]:
    """Return the hashes of the whole blocks of ``text``, at most ``MAX_BLOCKS``.

    >>> long, short = prefix_blocks("x" * 600), prefix_blocks("x" * 300)
    >>> len(long), long[0] == short[0]
    (2, True)
    """
    blocks = []
    digest = hashlib.blake2b(digest_size=8)
    whole = min(len(text) // BLOCK_CHARACTERS, MAX_BLOCKS)
    for index in range(whole):
        start = index * BLOCK_CHARACTERS
        digest.update(text[start : start + BLOCK_CHARACTERS].encode())
        blocks.append(digest.hexdigest())
    return tuple(blocks)


class PrefixIndex:
    """Bounded memory of blocks by target; guarded by the dispatcher's lock."""

    def __init__(self, known: int = MAX_KNOWN) -> None:
        self._known = known
        self._blocks: OrderedDict[tuple[str, str], None] = OrderedDict()

    def stored(self, target: str, blocks: tuple[str, ...]) -> None:
        """Note that ``target`` has seen ``blocks``."""
        for block in blocks:
            self._blocks[target, block] = None
            self._blocks.move_to_end((target, block))
        while len(self._blocks) > self._known:
            self._blocks.popitem(last=False)

    def matched(self, target: str, blocks: tuple[str, ...]) -> int:
        """Return how many leading ``blocks`` the target is believed to have."""
        for count, block in enumerate(blocks):
            if (target, block) not in self._blocks:
                return count
        return len(blocks)
