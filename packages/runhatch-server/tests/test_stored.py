"""Kept answers: in the claim's row or as an object."""

import pytest

from runhatch_coordination.testing import MemoryObjects
from runhatch_server.serving._stored import AnswerStore, StoredAnswer

SMALL = StoredAnswer(201, (("Content-Type", "text/plain"),), b"\x00booked")
LARGE = StoredAnswer(200, (), b"x" * 10_000)


class Refusing(MemoryObjects):
    """Takes nothing."""

    def put(self, name, body):
        return False


class TestAnswerStore:
    """What is kept comes back whole."""

    @pytest.mark.parametrize(
        ("answer", "inline_bytes", "objects"),
        [(SMALL, 8_192, 0), (SMALL, 0, 1), (LARGE, 8_192, 1), (LARGE, 20_000, 0)],
    )
    def test_comes_back(self, answer, inline_bytes, objects):
        """Whichever way it is kept, the answer is read as it was."""
        store = MemoryObjects()
        answers = AnswerStore(store, inline_bytes)
        kept = answers.keep("k", answer)
        assert answers.read(kept) == answer
        assert (store.get("k") is not None) == bool(objects)

    def test_not_certainly_kept(self):
        """An object store that did not take it is no place for an answer."""
        assert AnswerStore(Refusing(), 0).keep("k", SMALL) is None

    def test_object_out_of_reach(self):
        """An answer whose object cannot be read is not made up."""
        kept = AnswerStore(MemoryObjects(), 0).keep("k", SMALL)
        assert AnswerStore(MemoryObjects(), 0).read(kept) is None
