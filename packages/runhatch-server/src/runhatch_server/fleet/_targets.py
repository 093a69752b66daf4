"""Targets as they tell of themselves while the system runs."""

from dataclasses import dataclass, field
from datetime import timedelta
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
    """One life of one target; ``incarnation`` is its name and never reused.

    Its address may be given to another target later.  ``leaves_in`` is set when
    it will be taken away at short notice.
    """

    incarnation: str
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

    @property
    def is_ready(self) -> bool:
        """Whether it takes new work."""
        return self.state is TargetState.READY
