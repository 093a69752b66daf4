"""Generates the text of an engine stand-in, a function of the prompt alone.

A checker that knows the prompt can detect answers to other prompts, missing tokens
and reordered ones.
"""

import re
import zlib

DEFAULT_TOKENS = 8
_GENERATED_TOKENS = re.compile(r"(?:[0-9a-f]{8}-\d+ )+$")


def token(prompt: str, index: int) -> str:
    """Return the token at ``index`` of the answer to ``prompt``."""
    return f"{zlib.crc32(prompt.encode()):08x}-{index} "


def expected_text(prompt: str, tokens: int = DEFAULT_TOKENS) -> str:
    """Return the complete answer to ``prompt``.

    >>> expected_text("a", 2)
    'e8b7be43-0 e8b7be43-1 '
    """
    return "".join(token(prompt, index) for index in range(tokens))


def split_continuation(prompt: str) -> tuple[str, int]:
    """Split ``prompt`` into the original prompt and the number of tokens after it.

    >>> split_continuation("a" + expected_text("a", 2))
    ('a', 2)
    """
    match = _GENERATED_TOKENS.search(prompt)
    if match is None:
        return prompt, 0
    first = prompt[: match.start()]
    count = len(match.group().split())
    return (
        (first, count) if match.group() == expected_text(first, count) else (prompt, 0)
    )
