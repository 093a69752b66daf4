"""Workspaces: their keys, their priority and the cap on what they use.

A key is a secret: only its digest is kept after the configuration was decoded.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum


class UsageUnit(Enum):
    """What the cap of a workspace counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, slots=True)
class UsageCap:
    """A workspace may use ``rate`` a second and ``burst`` at once, over all nodes.

    A request that states no tokens counts as ``default_tokens``.
    """

    rate: float
    burst: float
    unit: UsageUnit = UsageUnit.REQUESTS
    default_tokens: int = 0

    def cost(self, stated_tokens: int | None) -> float:
        """Return what a request counts that states ``stated_tokens``.

        >>> UsageCap(10.0, 10.0, UsageUnit.TOKENS, 200).cost(None)
        200.0
        """
        if self.unit is UsageUnit.REQUESTS:
            return 1.0
        return float(self.default_tokens if stated_tokens is None else stated_tokens)

    def scale(self, share: float) -> "UsageCap":
        """Return the cap for a ``share`` of the rate; its burst is the same.

        >>> UsageCap(10.0, 8.0).scale(0.5).rate
        5.0
        """
        return replace(self, rate=self.rate * share)


@dataclass(frozen=True, slots=True)
class WorkspaceSpec:
    """A workspace and the digests of its keys.

    Its ``priority`` goes before that of a request's route, ``None`` if it has none.
    """

    name: str
    key_digests: frozenset[bytes] = frozenset()
    priority: int | None = None
    cap: UsageCap | None = None


def digest_key(key: str) -> bytes:
    """Return the digest by which a key is kept and compared."""
    return hashlib.sha256(key.encode()).digest()


class KeyDirectory:
    """Finds the workspace of a key; immutable, so readers need no lock.

    >>> directory = KeyDirectory([WorkspaceSpec("w", frozenset({digest_key("k")}))])
    >>> directory.find("k").name, directory.find("other")
    ('w', None)
    """

    def __init__(self, workspaces: Iterable[WorkspaceSpec]) -> None:
        self._by_digest = {
            digest: workspace
            for workspace in workspaces
            for digest in workspace.key_digests
        }

    def find(self, key: str) -> WorkspaceSpec | None:
        """Return the workspace that has ``key``, ``None`` if there is none.

        The time that this takes depends on the digest of ``key`` only, from which no
        known key can be guessed.
        """
        return self._by_digest.get(digest_key(key))
