"""The text an engine stand-in generates: a function of the prompt alone.

Whoever knows the prompt can check that an answer is its own, whole and in order.
"""

import re
import zlib

DEFAULT_TOKENS = 8
_TAIL = re.compile(r"(?:[0-9a-f]{8}-\d+ )+$")


def token(prompt: str, index: int) -> str:
    """Return the token at ``index`` of the answer to ``prompt``."""
    return f"{zlib.crc32(prompt.encode()):08x}-{index} "


def expected_text(prompt: str, tokens: int = DEFAULT_TOKENS) -> str:
    """Return the whole answer to ``prompt``.

    >>> expected_text("a", 2)
    'e8b7be43-0 e8b7be43-1 '
    """
    return "".join(token(prompt, index) for index in range(tokens))


def split_continuation(prompt: str) -> tuple[str, int]:
    """Return the first prompt and how many tokens were appended to it.

    >>> split_continuation("a" + expected_text("a", 2))
    ('a', 2)
    """
    match = _TAIL.search(prompt)
    if match is None:
        return prompt, 0
    first = prompt[: match.start()]
    count = len(match.group().split())
    return (
        (first, count) if match.group() == expected_text(first, count) else (prompt, 0)
    )
