"""Fakes for tests of code that uses this library."""

from runhatch_coordination.testing._clock import ManualClock
from runhatch_coordination.testing._faults import FaultyTable, TableFault
from runhatch_coordination.testing._objects import MemoryObjectStore
from runhatch_coordination.testing._table import MemoryTable

__all__ = [
    "FaultyTable",
    "ManualClock",
    "MemoryObjectStore",
    "MemoryTable",
    "TableFault",
]
