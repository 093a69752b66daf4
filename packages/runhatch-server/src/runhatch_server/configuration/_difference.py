"""Formats the difference of two configuration documents for operators."""

import difflib

import msgspec


def format_difference(old: bytes, new: bytes, labels: tuple[str, str]) -> str:
    """Return a unified diff of two JSON documents, empty if they are equal.

    >>> print(format_difference(b'{"a": 1}', b'{"a": 2}', ("1", "2")))
    --- 1
    +++ 2
    @@ -1,3 +1,3 @@
     {
    -  "a": 1
    +  "a": 2
     }
    """
    lines = difflib.unified_diff(
        _format_lines(old), _format_lines(new), labels[0], labels[1], lineterm=""
    )
    return "\n".join(lines)


def _format_lines(body: bytes) -> list[str]:
    sorted_body = msgspec.json.encode(
        msgspec.json.decode(body or b"{}"), order="sorted"
    )
    return msgspec.json.format(sorted_body, indent=2).decode().splitlines()
