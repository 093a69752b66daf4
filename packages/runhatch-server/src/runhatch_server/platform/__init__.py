"""Clients of what the platform gives: table, object store and VM list."""

from runhatch_server.http import HttpClient, Reply
from runhatch_server.platform._objects import HttpObjects
from runhatch_server.platform._table import HttpTable
from runhatch_server.platform._time import StoreClock
from runhatch_server.platform._vms import HttpVmList, ListedVms, VmList

__all__ = [
    "HttpObjects",
    "HttpTable",
    "HttpVmList",
    "ListedVms",
    "HttpClient",
    "Reply",
    "StoreClock",
    "VmList",
]
