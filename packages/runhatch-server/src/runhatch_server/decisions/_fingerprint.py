"""Fingerprints that identify equal requests across callers and nodes."""

from hashlib import blake2b

FINGERPRINT_BYTES = 12
"""Among a million requests, the chance of a collision is about 1 in 10^17."""


def compute_fingerprint(method: str, host: str, uri: str, body: bytes) -> str:
    """Return the fingerprint of a request as hexadecimal digits.

    A caller's retry has another attempt id and remaining time and may reach another
    node, so none of these is included. Nor is the caller's address, which is not
    forwarded to targets.

    >>> fingerprint = compute_fingerprint("GET", "a", "/x", b"y")
    >>> fingerprint == compute_fingerprint("GET", "a", "/x", b"y")
    True
    >>> fingerprint == compute_fingerprint("GET", "a", "/xy", b"")
    False
    """
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method.encode(), host.encode(), uri.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
