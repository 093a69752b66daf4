"""Interfaces to the external services used by a node with declared targets."""

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


def _keep_expired_rows(now: datetime) -> None:
    """Do nothing; for a table that removes expired rows itself."""


@dataclass(frozen=True, slots=True)
class ExternalServices:
    """External services of one node; tests replace them.

    ``remove_expired_rows`` removes the rows that have expired at the given time.
    """

    table: Table
    object_store: ObjectStore
    vm_list: VmList
    clock: Clock
    remove_expired_rows: Callable[[datetime], None] = _keep_expired_rows


__all__ = [
    "VMS_PARTITION",
    "ListedVms",
    "ExternalServices",
    "StoreClock",
    "TableVmList",
    "VmEntry",
    "VmList",
]
