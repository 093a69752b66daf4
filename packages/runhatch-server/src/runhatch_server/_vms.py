"""The lagging list of VMs that are live and VMs that are leaving."""

from dataclasses import dataclass
from typing import Protocol

import msgspec

from runhatch_coordination import Table, Unavailable, Vm

VMS_PARTITION = "vms"
"""Where the platform's operators keep a row for each VM, named by its key."""


@dataclass(frozen=True, slots=True)
class ListedVms:
    """One reading: the system's own VMs, and the names of all that are leaving.

    ``leaving`` also names VMs that targets run on.
    """

    nodes: tuple[Vm, ...]
    leaving: frozenset[str]


class VmList(Protocol):
    """Reads the list."""

    def read(self) -> ListedVms | Unavailable:
        """Return the list as it is told now."""


class VmEntry(msgspec.Struct):
    """The body of one VM's row, as JSON."""

    failure_domain: str
    peer_address: str = ""
    leaving: bool = False


class TableVmList:
    """The list as rows of the table."""

    def __init__(self, table: Table) -> None:
        self._table = table

    def read(self) -> ListedVms | Unavailable:
        """Read and decode the rows."""
        rows = self._table.query(VMS_PARTITION)
        if isinstance(rows, Unavailable):
            return rows
        entries = {
            row.key.sort: msgspec.json.decode(row.body, type=VmEntry) for row in rows
        }
        nodes = tuple(
            Vm(name, entry.failure_domain, entry.peer_address)
            for name, entry in entries.items()
            if entry.peer_address
        )
        leaving = frozenset(name for name, entry in entries.items() if entry.leaving)
        return ListedVms(nodes, leaving)
