"""The platform's lagging list of VMs that are live and VMs that are leaving."""

from dataclasses import dataclass
from typing import Protocol

import msgspec

from runhatch_coordination import Unavailable, Vm
from runhatch_server.http import HttpClient, Reply


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
        """Return the list as the platform tells it now."""


class _Entry(msgspec.Struct):
    name: str
    failure_domain: str
    peer_address: str = ""
    leaving: bool = False


class _Listing(msgspec.Struct):
    vms: list[_Entry]


class HttpVmList:
    """The list behind one HTTP address."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    def read(self) -> ListedVms | Unavailable:
        """Fetch and decode the list."""
        reply = self._http.call("GET", "", b"", {})
        if not isinstance(reply, Reply):
            return Unavailable(reply.reason)
        if reply.status != 200:
            return Unavailable(f"the VM list answered {reply.status}")
        entries = msgspec.json.decode(reply.body, type=_Listing).vms
        nodes = tuple(
            Vm(entry.name, entry.failure_domain, entry.peer_address)
            for entry in entries
            if entry.peer_address
        )
        leaving = frozenset(entry.name for entry in entries if entry.leaving)
        return ListedVms(nodes, leaving)
