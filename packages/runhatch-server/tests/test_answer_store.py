"""Tests of storing answers in the claim's row or as objects."""

import pytest

from runhatch_coordination.testing import MemoryObjectStore
from runhatch_server.serving._answer_store import AnswerStore, StoredAnswer

SMALL = StoredAnswer(201, (("Content-Type", "text/plain"),), b"\x00booked")
LARGE = StoredAnswer(200, (), b"x" * 10_000)


class FailingObjects(MemoryObjectStore):
    """Fails every put."""

    def put(self, name, body):
        return False


class TestAnswerStore:
    """Storing and reading answers."""

    @pytest.mark.parametrize(
        ("answer", "inline_bytes", "objects"),
        [(SMALL, 8_192, 0), (SMALL, 0, 1), (LARGE, 8_192, 1), (LARGE, 20_000, 0)],
    )
    def test_reads_back_the_stored_answer(self, answer, inline_bytes, objects):
        """An answer is read back unchanged, stored inline or as an object."""
        store = MemoryObjectStore()
        answers = AnswerStore(store, inline_bytes)
        stored = answers.store_answer("k", answer)
        assert answers.read_answer(stored) == answer
        assert (store.get("k") is not None) == bool(objects)

    def test_failed_put_returns_none(self):
        """An answer whose object could not be written is not reported as stored."""
        assert AnswerStore(FailingObjects(), 0).store_answer("k", SMALL) is None

    def test_unavailable_object_returns_none(self):
        """Reading an answer returns ``None`` if its object is missing."""
        stored = AnswerStore(MemoryObjectStore(), 0).store_answer("k", SMALL)
        assert AnswerStore(MemoryObjectStore(), 0).read_answer(stored) is None
