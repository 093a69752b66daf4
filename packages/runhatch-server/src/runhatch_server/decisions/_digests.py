"""Hashes of single ends of targets, from which nodes compare what they know."""

from hashlib import blake2b


def hash_end(suspect: str, target: str) -> int:
    """Return the hash of one end; the digest of several is the XOR of all of them."""
    name = f"{suspect} {target}".encode()
    return int.from_bytes(blake2b(name, digest_size=8).digest(), "big")
