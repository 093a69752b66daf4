"""Records of a lease: its stored row, its epoch and how it changed hands."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from runhatch_coordination._table import Check


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Body of a lease row; an empty ``holder`` means that it was released.

    ``free_ms`` is the time in milliseconds, up to this write, during which only the
    holder could have held the lease; ``None`` if no other node ever held it.  Rows
    written by earlier versions lack the field.
    """

    holder: str
    epoch: int
    renewal: int
    address: str = ""
    free_ms: int | None = 0


@dataclass(frozen=True, slots=True)
class Epoch:
    """Proof of holding a lease: an increasing fence and a condition for writes."""

    number: int
    guard: Check


class Vacancy(Enum):
    """Why a lease was free to be acquired."""

    NEVER_HELD = "never held"
    RELEASED = "given up"
    OWN_PREVIOUS_PROCESS = "held by an earlier process of this node"
    RESIGNED = "resigned"
    LAPSED = "lapsed"
    RESTORED = "lapsed since the table came back"
    """The last holder is unknown because the row may come from an older copy."""
    OWN_PROCESS = "held by this process last"


@dataclass(frozen=True, slots=True)
class Takeover:
    """How a lease was acquired.

    ``holder`` and ``epoch`` come from the row read before the acquisition: ``holder``
    is empty if the lease was released and ``None`` if there was no row.
    ``free_since`` is the elapsed time of the clock by which the lease had certainly
    expired on every other node, ``None`` if no other node ever held it.
    """

    vacancy: Vacancy
    holder: str | None
    epoch: int
    free_since: timedelta | None
    era: int | None

    @property
    def is_from_other_node(self) -> bool:
        """Whether another node may have held the lease since this process did."""
        return self.vacancy is not Vacancy.OWN_PROCESS and self.free_since is not None

    @property
    def previous_epoch(self) -> int:
        """Epoch of the previous holder, 0 if there was none or it is unknown."""
        is_holder_unknown = self.vacancy in (Vacancy.RESTORED, Vacancy.OWN_PROCESS)
        return 0 if is_holder_unknown else self.epoch


class LeaseChange(Enum):
    """Effect of one step on this node's hold of the lease."""

    NONE = "none"
    ACQUIRED = "acquired"
    LOST = "lost"
    STORE_DOWN = "store_down"
    TABLE_BEHIND = "behind"
    """Not acquired: an observed epoch is newer than those stored in the table."""
