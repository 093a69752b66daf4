"""What makes two requests the same request, whoever sends them and wherever."""

from hashlib import blake2b

FINGERPRINT_BYTES = 12
"""Two of a million requests are alike by chance once in 10^17."""


def fingerprint_of(method: str, host: str, uri: str, body: bytes) -> str:
    """Return a name for what a target is asked, in hexadecimal digits.

    Repeats of callers are new attempts with other names and times left, and reach
    other nodes, so neither is part of it.  Nor is the caller's address: targets are
    not told it.

    >>> fingerprint_of("GET", "a", "/x", b"") == fingerprint_of("GET", "a", "/x", b"")
    True
    >>> fingerprint_of("GET", "a", "/x", b"y") == fingerprint_of("GET", "a", "/xy", b"")
    False
    """
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method.encode(), host.encode(), uri.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
