"""Targets as they tell of themselves while the system runs."""

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum


class TargetState(Enum):
    """Whether a target takes new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class HeldModels:
    """What a target holds and may be asked for.

    >>> held = HeldModels({"m": frozenset({"a1"})})
    >>> held.holds("m"), held.holds("m", "a1"), held.holds("m", "a2")
    (True, True, False)
    """

    adapters_by_model: dict[str, frozenset[str]] = field(default_factory=dict)

    def holds(self, model: str, adapter: str = "") -> bool:
        """Tell whether requests for ``model`` with ``adapter`` can run."""
        adapters = self.adapters_by_model.get(model)
        if adapters is None:
            return False
        return not adapter or adapter in adapters


@dataclass(frozen=True, slots=True)
class StoredCopies:
    """Models of which a target keeps the weights beside its accelerators."""

    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Target:
    """One life of one target.

    A target may start again under its ``name``; it then holds nothing, and counts
    its orders anew.  Its address may be given to another target later.
    ``leaves_in`` is set when it will be taken away at short notice.

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
    slow_start_left: timedelta = timedelta()
    leaves_in: timedelta | None = None
    started_at: datetime | None = None
    """``None`` if it does not tell; its name is then new after each start."""
    incarnation: str = field(init=False)
    """Names this life of it, and no other."""

    def __post_init__(self) -> None:
        """Name the incarnation; it is looked at for each request."""
        named = self.name
        if self.started_at is not None:
            named += f"@{round(self.started_at.timestamp() * 1000)}"
        object.__setattr__(self, "incarnation", named)

    @property
    def is_ready(self) -> bool:
        """Whether it takes new work."""
        return self.state is TargetState.READY

    def is_older_than(self, other: "Target") -> bool:
        """Tell whether this is an earlier life than ``other``."""
        if self.started_at is None or other.started_at is None:
            return False
        return self.started_at < other.started_at
