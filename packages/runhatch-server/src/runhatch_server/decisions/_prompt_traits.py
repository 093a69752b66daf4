"""Traits of prompts: what requests may share that crashes targets.

A crash may depend on one part of a prompt alone, or also on the model, the adapter or
the parts before it. A request has a trait for each of these combinations.
"""

from collections.abc import Iterable
from hashlib import blake2b

from runhatch_server.decisions._request import ModelWork

MAX_PARTS = 16
"""Maximum number of parts of a prompt that have traits. Callers choose the number of
parts, and each part costs memory on all nodes if its target ends."""
TRAIT_BYTES = 10
SCOPE_SEPARATOR = ":"
"""Separates a trait's scope from its hash; no fingerprint contains it."""
ANY_MODEL = "part"
"""Scope of a part, whatever the model."""
ONE_MODEL = "part-model"
ONE_ADAPTER = "part-adapter"
PREFIX = "prefix"
"""Scope of a part after just these parts, with one model and adapter."""
BLOCK = "block"
"""Scope of a block of text and all text before it, with one model."""


def compute_traits(work: ModelWork | None) -> tuple[str, ...]:
    """Return the traits of a request, the most general ones of a part first.

    A trait is its scope and a hash, which does not reveal the ids of the parts. The
    last part has none, because it belongs to the request or its session alone.

    >>> from runhatch_server.decisions import PromptPart
    >>> prompt = (PromptPart("a", 30), PromptPart("own", 5))
    >>> [name.split(":")[0] for name in compute_traits(ModelWork("m", "", prompt, 35,
    ...     20, 20))]
    ['part', 'part-model', 'part-adapter', 'prefix']
    """
    if work is None:
        return ()
    names = [part.name for part in work.prompt[:-1]][:MAX_PARTS]
    traits = []
    for count, name in enumerate(names, start=1):
        traits += [
            _make_trait(ANY_MODEL, [name]),
            _make_trait(ONE_MODEL, [work.model, name]),
            _make_trait(ONE_ADAPTER, [work.model, work.adapter, name]),
            _make_trait(PREFIX, [work.model, work.adapter, *names[:count]]),
        ]
    return tuple(dict.fromkeys(traits))


def make_block_traits(blocks: Iterable[str]) -> tuple[str, ...]:
    """Return the traits of a prompt whose text is divided into ``blocks``.

    The name of a block covers the model and all text up to the end of the block.

    >>> make_block_traits(["1a"])
    ('block:1a',)
    """
    return tuple(f"{BLOCK}{SCOPE_SEPARATOR}{name}" for name in blocks)


TRAIT_SCOPES = (ANY_MODEL, ONE_MODEL, ONE_ADAPTER, PREFIX, BLOCK)
"""All scopes; nodes exchange their positions, so new ones are added at the end."""


def split_trait(trait: str) -> tuple[str, str]:
    """Return the scope and the hash of ``trait``."""
    scope, _, value = trait.partition(SCOPE_SEPARATOR)
    return scope, value


def join_trait(scope: str, value: str) -> str:
    """Return the trait with a scope and a hash."""
    return f"{scope}{SCOPE_SEPARATOR}{value}"


def is_trait(name: str) -> bool:
    """Return whether ``name`` is a trait; otherwise it is a fingerprint."""
    return SCOPE_SEPARATOR in name


def _make_trait(scope: str, values: Iterable[str]) -> str:
    digest = blake2b(digest_size=TRAIT_BYTES)
    for value in values:
        encoded = value.encode()
        digest.update(len(encoded).to_bytes(8, "big"))
        digest.update(encoded)
    return f"{scope}{SCOPE_SEPARATOR}{digest.hexdigest()}"
