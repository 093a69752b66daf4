"""What a lease's row holds, and what is told of its changes."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from runhatch_coordination._table import Check


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Body of a lease row; an empty ``holder`` means that it was given up.

    ``free_ms`` is for how many milliseconds no node but the holder had any right when
    this was written, ``None`` if none ever had.
    """

    holder: str
    epoch: int
    renewal: int
    address: str = ""
    free_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Epoch:
    """Proof of holding: the fence, which only rises, and a condition for writes."""

    number: int
    guard: Check


class Vacancy(Enum):
    """Why a lease was free to be acquired."""

    NEVER_HELD = "never held"
    GIVEN_UP = "given up"
    OWN = "held by an earlier process of this node"
    RESIGNED = "resigned"
    LAPSED = "lapsed"
    RESTORED = "lapsed since the table came back"
    """Nobody knows who held it: the row may be the one of an older copy."""
    KEPT = "held by this process last"


@dataclass(frozen=True, slots=True)
class Takeover:
    """How a lease was acquired.

    ``holder`` and ``epoch`` stand in the row that was read for it: no holder if it
    was given up, ``None`` if there was no row.  ``free_since`` is when the right of
    any other node had surely ended, on the clock's elapsed time, ``None`` if no other
    ever held it.
    """

    vacancy: Vacancy
    holder: str | None
    epoch: int
    free_since: timedelta | None
    era: int | None

    @property
    def is_from_another(self) -> bool:
        """Whether other nodes may have acted since this process did."""
        return self.vacancy is not Vacancy.KEPT and self.free_since is not None

    @property
    def predecessor(self) -> int:
        """Epoch of the last holder, 0 if there was none or it is not known."""
        is_unknown = self.vacancy in (Vacancy.RESTORED, Vacancy.KEPT)
        return 0 if is_unknown else self.epoch


class LeaseChange(Enum):
    """What one step did to the caller's own standing."""

    NONE = "none"
    ACQUIRED = "acquired"
    LOST = "lost"
    STORE_DOWN = "store_down"
    BEHIND = "behind"
    """Not acquired: a newer epoch was heard of than the table's answers allow for."""
