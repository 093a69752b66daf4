"""Targets as described by the entries that they publish about themselves."""

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum


class TargetState(Enum):
    """Whether a target accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class HeldModels:
    """The models and adapters that a target has loaded and can serve.

    >>> held = HeldModels({"m": frozenset({"a1"})})
    >>> held.holds("m"), held.holds("m", "a1"), held.holds("m", "a2")
    (True, True, False)
    """

    adapters_by_model: dict[str, frozenset[str]] = field(default_factory=dict)

    def holds(self, model: str, adapter: str = "") -> bool:
        """Return whether requests for ``model`` with ``adapter`` can run."""
        adapters = self.adapters_by_model.get(model)
        if adapters is None:
            return False
        return not adapter or adapter in adapters


@dataclass(frozen=True, slots=True)
class StoredCopies:
    """Models whose weights a target stores in host memory or on disk."""

    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Target:
    """One incarnation of a target.

    A target may restart under the same ``name``; it then holds no models and counts its
    orders from zero. Its address may be reused by another target later. ``drains_in``
    is the time to its announced removal, if it is to be removed soon.

    >>> from datetime import UTC
    >>> born = datetime.fromtimestamp(1.5, UTC)
    >>> made = Target("i", "s", "h", 1, "d", 8, TargetState.READY, started_at=born)
    >>> made.incarnation
    'i@1500'
    """

    name: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    state: TargetState
    held: HeldModels = HeldModels()
    copies: StoredCopies = StoredCopies()
    slow_start_remaining: timedelta = timedelta()
    drains_in: timedelta | None = None
    started_at: datetime | None = None
    """``None`` if not published; the target then has a new name after each start."""
    software_version: str = ""
    """A stream can only be continued by a target with the version that began it."""
    incarnation: str = field(init=False)
    """Unique name of this incarnation."""

    def __post_init__(self) -> None:
        """Compute the incarnation's name once, as it is read for each request."""
        incarnation_name = self.name
        if self.started_at is not None:
            incarnation_name += f"@{round(self.started_at.timestamp() * 1000)}"
        object.__setattr__(self, "incarnation", incarnation_name)

    @property
    def is_ready(self) -> bool:
        """Whether the target accepts new requests."""
        return self.state is TargetState.READY

    def is_older_than(self, other: "Target") -> bool:
        """Return whether this incarnation started before ``other``."""
        if self.started_at is None or other.started_at is None:
            return False
        return self.started_at < other.started_at
