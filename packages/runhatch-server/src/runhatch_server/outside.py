"""The outside of a node with declared targets, behind narrow interfaces."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime

from runhatch_coordination import Clock, ObjectStore, Table
from runhatch_server._store_clock import StoreClock
from runhatch_server._vms import (
    VMS_PARTITION,
    ListedVms,
    TableVmList,
    VmEntry,
    VmList,
)


def _nothing_expires(now: datetime) -> None:
    """Stand for a table that drops expired rows by itself."""


@dataclass(frozen=True, slots=True)
class Outside:
    """The outside as one node reaches it; tests pass their own.

    ``sweep`` drops rows that have expired by the time it is given.
    """

    table: Table
    objects: ObjectStore
    vms: VmList
    clock: Clock
    sweep: Callable[[datetime], None] = _nothing_expires


__all__ = [
    "VMS_PARTITION",
    "ListedVms",
    "Outside",
    "StoreClock",
    "TableVmList",
    "VmEntry",
    "VmList",
]
