"""Packs the names of suspects for messages: a node sends hundreds when targets end."""

from runhatch_server.decisions import TRAIT_SCOPES, is_trait, join_trait, split_trait

FINGERPRINT = 0
TEXT = 255
"""First byte of a packed fingerprint, and of a name that is packed as text. That of a
trait is the position of its scope, counted from 1."""


def pack_suspect(name: str) -> bytes:
    """Return a fingerprint or trait as bytes.

    >>> pack_suspect("part:1a2b")
    b'\\x01\\x1a+'
    """
    scope, value = split_trait(name) if is_trait(name) else ("", name)
    try:
        first = TRAIT_SCOPES.index(scope) + 1 if scope else FINGERPRINT
        packed = bytes([first]) + bytes.fromhex(value)
    except ValueError:
        packed = b""
    # Upper case digits or spaces would be lost.
    is_reversible = packed and unpack_suspect(packed) == name
    return packed if is_reversible else bytes([TEXT]) + name.encode()


def unpack_suspect(packed: bytes) -> str:
    """Return the fingerprint or trait in ``packed``.

    Raises ``ValueError`` if it is malformed.

    >>> unpack_suspect(pack_suspect("part:1a2b")), unpack_suspect(pack_suspect("x"))
    ('part:1a2b', 'x')
    """
    first, value = packed[:1], packed[1:]
    if not first:
        raise ValueError("a packed name is empty")
    number = first[0]
    if number == TEXT:
        return value.decode()
    if number == FINGERPRINT:
        return value.hex()
    if number > len(TRAIT_SCOPES):
        raise ValueError(f"found scope {number}, allowed: 1 to {len(TRAIT_SCOPES)}")
    return join_trait(TRAIT_SCOPES[number - 1], value.hex())
