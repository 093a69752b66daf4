"""Messages between nodes about what workspaces use."""

import msgspec


class UsageRequest(msgspec.Struct, frozen=True, tag="usage_asked", array_like=True):
    """Asks whether ``workspace`` may use ``amount`` more now.

    The answer carries the same ``number``.  ``is_substitute`` means that the node
    that counts the workspace's usage does not answer the sender.
    """

    number: int
    workspace: str
    amount: float
    is_substitute: bool = False


class UsageAnswer(msgspec.Struct, frozen=True, tag="usage", array_like=True):
    """Grants the usage of request ``number``, or denies it for ``wait_ms``.

    Neither if the sender does not count the workspace's usage.
    """

    number: int
    is_counted: bool
    wait_ms: int | None = None


class UsageReturn(msgspec.Struct, frozen=True, tag="usage_back", array_like=True):
    """Returns ``amount`` that was granted to a request that was then not run."""

    workspace: str
    amount: float
