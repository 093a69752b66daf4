"""The platform's list of VMs, which may be some time out of date."""

from dataclasses import dataclass
from typing import Protocol

import msgspec

from runhatch_coordination import Table, Unavailable, Vm

VMS_PARTITION = "vms"
"""Partition with one row for each VM; the sort key is the VM's name."""


@dataclass(frozen=True, slots=True)
class ListedVms:
    """The VMs of the nodes, and the names of all VMs that are shutting down.

    ``leaving`` also includes VMs that targets run on.
    """

    nodes: tuple[Vm, ...]
    draining_vms: frozenset[str]


class VmList(Protocol):
    """A source of the VM list."""

    def read(self) -> ListedVms | Unavailable:
        """Return the current list."""


class VmEntry(msgspec.Struct):
    """The JSON body of a VM's row."""

    failure_domain: str
    peer_address: str = ""
    leaving: bool = False


class TableVmList:
    """Reads the VM list from the rows of a table."""

    def __init__(self, table: Table) -> None:
        self._table = table

    def read(self) -> ListedVms | Unavailable:
        """Return the list decoded from the rows."""
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
