"""Index of the prompt prefixes that each target is expected to have cached.

A prompt is split into blocks. A block's name covers the model and all text before it,
so two prompts share a block only if they share the whole prefix.
"""

from collections import Counter, OrderedDict
from collections.abc import Iterable

from runhatch_server.targets import compute_block_names

MAX_BLOCKS = 16
MAX_INDEXED_BLOCKS = 20_000


def prefix_blocks(model: str, text: str) -> tuple[str, ...]:
    """Return the names of the complete blocks of ``text``, at most ``MAX_BLOCKS``."""
    return tuple(compute_block_names(model, text, MAX_BLOCKS))


class PrefixIndex:
    """Bounded LRU index of blocks by target; guarded by its owner's lock."""

    def __init__(self, max_blocks: int = MAX_INDEXED_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[tuple[str, str], None] = OrderedDict()
        self._target_counts: Counter[str] = Counter()
        self._block_counts: Counter[str] = Counter()

    def targets(self) -> list[str]:
        """Return the sorted names of the targets that have any block."""
        return sorted(self._block_counts)

    def record_blocks(self, target: str, blocks: Iterable[str]) -> None:
        """Record that ``target`` has read ``blocks``."""
        for block in blocks:
            if (target, block) not in self._blocks:
                self._target_counts[block] += 1
                self._block_counts[target] += 1
                self._blocks[target, block] = None
            self._blocks.move_to_end((target, block))
        while len(self._blocks) > self._max_blocks:
            self._remove(*next(iter(self._blocks)))

    def remove_block(self, target: str, block: str) -> None:
        """Record that ``target`` no longer has ``block``."""
        if (target, block) in self._blocks:
            self._remove(target, block)

    def remove_target(self, target: str) -> None:
        """Remove all blocks of ``target``."""
        for pair in [pair for pair in self._blocks if pair[0] == target]:
            self._remove(*pair)

    def is_known(self, block: str) -> bool:
        """Return whether any target is expected to have ``block``."""
        return block in self._target_counts

    def count_matching(self, target: str, blocks: tuple[str, ...]) -> int:
        """Return how many leading ``blocks`` the target is expected to have."""
        for count, block in enumerate(blocks):
            if (target, block) not in self._blocks:
                return count
        return len(blocks)

    def _remove(self, target: str, block: str) -> None:
        del self._blocks[target, block]
        for counts, name in (
            (self._target_counts, block),
            (self._block_counts, target),
        ):
            counts[name] -= 1
            if not counts[name]:
                del counts[name]
