"""Which target has which prompt prefix cached, as far as this node knows.

A prompt is cut into blocks; a block's name covers the model and all text before it,
so two prompts share a block only if they share the whole prefix.
"""

from collections import Counter, OrderedDict
from collections.abc import Iterable

from runhatch_server.targets import block_names

MAX_BLOCKS = 16
MAX_KNOWN = 20_000


def prefix_blocks(model: str, text: str) -> tuple[str, ...]:
    """Return the names of the whole blocks of ``text``, at most ``MAX_BLOCKS``."""
    return tuple(block_names(model, text, MAX_BLOCKS))


class PrefixIndex:
    """Bounded memory of blocks by target; guarded by the dispatcher's lock."""

    def __init__(self, known: int = MAX_KNOWN) -> None:
        self._known = known
        self._blocks: OrderedDict[tuple[str, str], None] = OrderedDict()
        self._holders: Counter[str] = Counter()
        self._held: Counter[str] = Counter()

    def targets(self) -> list[str]:
        """Return the targets of which something is believed, in order."""
        return sorted(self._held)

    def stored(self, target: str, blocks: Iterable[str]) -> None:
        """Note that ``target`` has seen ``blocks``."""
        for block in blocks:
            if (target, block) not in self._blocks:
                self._holders[block] += 1
                self._held[target] += 1
                self._blocks[target, block] = None
            self._blocks.move_to_end((target, block))
        while len(self._blocks) > self._known:
            self._drop(*next(iter(self._blocks)))

    def dropped(self, target: str, block: str) -> None:
        """Note that ``target`` has ``block`` no more."""
        if (target, block) in self._blocks:
            self._drop(target, block)

    def forget(self, target: str) -> None:
        """Give up all blocks of ``target``."""
        for pair in [pair for pair in self._blocks if pair[0] == target]:
            self._drop(*pair)

    def is_known(self, block: str) -> bool:
        """Tell whether any target is believed to have ``block``."""
        return block in self._holders

    def matched(self, target: str, blocks: tuple[str, ...]) -> int:
        """Return how many leading ``blocks`` the target is believed to have."""
        for count, block in enumerate(blocks):
            if (target, block) not in self._blocks:
                return count
        return len(blocks)

    def _drop(self, target: str, block: str) -> None:
        del self._blocks[target, block]
        for counts, name in ((self._holders, block), (self._held, target)):
            counts[name] -= 1
            if not counts[name]:
                del counts[name]
