"""What differs between two configuration documents, for people to read."""

import difflib

import msgspec


def difference(old: bytes, new: bytes, names: tuple[str, str]) -> str:
    """Return a unified difference of two JSON documents, empty if they agree.

    >>> print(difference(b'{"a": 1}', b'{"a": 2}', ("1", "2")))
    --- 1
    +++ 2
    @@ -1,3 +1,3 @@
     {
    -  "a": 1
    +  "a": 2
     }
    """
    lines = difflib.unified_diff(
        _lines(old), _lines(new), names[0], names[1], lineterm=""
    )
    return "\n".join(lines)


def _lines(body: bytes) -> list[str]:
    ordered = msgspec.json.encode(msgspec.json.decode(body or b"{}"), order="sorted")
    return msgspec.json.format(ordered, indent=2).decode().splitlines()
