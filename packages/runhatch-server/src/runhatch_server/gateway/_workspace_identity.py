"""Decides which workspace a request belongs to, or why it is refused.

A node may be behind: a key that it does not know may have been added a moment ago, and
one that it knows may have been removed. It says that a key is unknown, and serves one
that it knows, only while it can confirm that its configuration is current.
"""

from dataclasses import dataclass
from datetime import timedelta

from runhatch_server.refusals import Executed, Reason, Refusal
from runhatch_server.routing import RouteSpec, RouteTable, WorkspaceSpec

OUTDATED_RETRY_DELAY = timedelta(milliseconds=500)
"""Retry delay of a node that cannot confirm its configuration. Callers reach other
nodes, most of which can."""
BEHIND_RETRY_DELAY = timedelta(milliseconds=500)
"""Retry delay of a node that may lack a newer configuration. A newer one arrives within
this time unless the first request for it fails, and callers reach other nodes."""
MAX_KEY_LENGTH = 512
"""Longest key that is looked up, in characters; longer ones are unknown."""


@dataclass(frozen=True, slots=True)
class KnownConfiguration:
    """What a node knows of its configuration when it receives a request.

    ``is_current`` is whether it was confirmed recently, and ``may_be_behind`` whether
    another node announced a newer one, or this node could not learn of one.
    """

    is_current: bool
    may_be_behind: bool


def identify_workspace(
    routes: RouteTable, route: RouteSpec, key: str, known: KnownConfiguration
) -> WorkspaceSpec | Refusal | None:
    """Return the workspace that has ``key``, ``None`` for an anonymous request."""
    if not routes.has_workspaces:
        return None
    workspace = routes.keys.find(key) if 0 < len(key) <= MAX_KEY_LENGTH else None
    if route.allows_anonymous:
        return workspace
    if not known.is_current:
        return Refusal(
            Reason.KEYS_OUTDATED, Executed.NO, retry_after=OUTDATED_RETRY_DELAY
        )
    if workspace is not None:
        return workspace
    if known.may_be_behind:
        return Refusal(
            Reason.CONFIGURATION_BEHIND, Executed.NO, retry_after=BEHIND_RETRY_DELAY
        )
    return Refusal(Reason.KEY_UNKNOWN, Executed.NO)
