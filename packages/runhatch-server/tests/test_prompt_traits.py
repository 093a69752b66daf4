"""Traits of prompts."""

import pytest

from runhatch_server.decisions import (
    ModelWork,
    PromptPart,
    compute_fingerprint,
    compute_traits,
    is_trait,
)
from runhatch_server.decisions._prompt_traits import MAX_PARTS

SCOPES = 4


def make_work(*names, model="m", adapter=""):
    prompt = tuple(PromptPart(name, 10) for name in names)
    return ModelWork(model, adapter, prompt, 10 * len(names), 20, 20)


def shared_scopes(first, second):
    """Return the scopes of the traits that two requests share."""
    shared = set(compute_traits(first)) & set(compute_traits(second))
    return {trait.partition(":")[0] for trait in shared}


class TestTraits:
    """What two requests have in common."""

    @pytest.mark.parametrize(
        ("other", "shared"),
        [
            (
                make_work("a", "b", "y"),
                {"part", "part-model", "part-adapter", "prefix"},
            ),
            (make_work("b", "y"), {"part", "part-model", "part-adapter"}),
            (make_work("b", "y", adapter="x"), {"part", "part-model"}),
            (make_work("b", "y", model="other"), {"part"}),
            (make_work("c", "y"), set()),
            (make_work("own", "y"), set()),
        ],
    )
    def test_shared_parts_have_shared_traits(self, other, shared):
        assert shared_scopes(make_work("a", "b", "own"), other) == shared

    @pytest.mark.parametrize("work", [None, make_work(), make_work("own")])
    def test_last_part_has_none(self, work):
        assert compute_traits(work) == ()

    def test_number_is_bounded(self):
        names = [f"p{number}" for number in range(10 * MAX_PARTS)]

        assert len(compute_traits(make_work(*names))) == MAX_PARTS * SCOPES

    def test_ids_of_parts_are_not_revealed(self):
        """Traits are sent to all nodes and written to logs."""
        assert not any("secret" in t for t in compute_traits(make_work("secret", "x")))

    def test_traits_are_told_from_fingerprints(self):
        assert all(map(is_trait, compute_traits(make_work("a", "own"))))
        assert not is_trait(compute_fingerprint("GET", "a", "/x", b""))
