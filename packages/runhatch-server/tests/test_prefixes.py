"""Names of prompt blocks, and the index of prefix caches."""

import pytest

from runhatch_server.decisions._prefixes import PrefixIndex, prefix_blocks

BLOCKS = prefix_blocks("m", "x" * 1_024)


class TestPrefixBlocks:
    """Names of prompt blocks."""

    @pytest.mark.parametrize(
        ("model", "text", "shared"),
        [
            ("m", "x" * 1_024, 4),
            ("m", "x" * 512 + "y" * 512, 2),
            ("m", "y" + "x" * 1_023, 0),
            ("other", "x" * 1_024, 0),
            ("m", "x" * 255, 0),
        ],
    )
    def test_blocks_are_shared_only_with_the_whole_prefix(self, model, text, shared):
        """A block's name depends on the model and all text before it."""
        assert len(set(BLOCKS) & set(prefix_blocks(model, text))) == shared


class TestPrefixIndex:
    """The index of blocks by target."""

    @pytest.fixture
    def index(self):
        index = PrefixIndex(max_blocks=6)
        index.record_blocks("w0", BLOCKS)
        return index

    def test_counts_matching_leading_blocks(self, index):
        """Blocks after the first missing one are not counted."""
        assert index.count_matching("w0", BLOCKS) == 4
        index.remove_block("w0", BLOCKS[1])
        assert index.count_matching("w0", BLOCKS) == 1
        assert index.count_matching("w1", BLOCKS) == 0

    def test_forgets_one_target(self, index):
        """Forgetting a restarted target keeps the blocks of the others."""
        index.record_blocks("w1", BLOCKS[:2])
        index.remove_target("w0")
        assert index.targets() == ["w1"]
        assert index.count_matching("w1", BLOCKS) == 2
        assert index.is_known(BLOCKS[1])
        assert not index.is_known(BLOCKS[2])

    def test_is_bounded(self, index):
        """The newest blocks are kept, and targets without blocks are removed."""
        index.record_blocks("w1", [f"b{i}" for i in range(10)])
        assert index.targets() == ["w1"]
        assert index.count_matching("w1", ("b9",)) == 1
        assert index.count_matching("w1", ("b0",)) == 0
