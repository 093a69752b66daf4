"""The sources from which a node receives a watched table."""

from enum import Enum

from runhatch_coordination._peers import Role


class Source(Enum):
    """Where a node receives a table from, and why."""

    TOLD = "told"
    READER = "reads as reader"
    WITNESS = "reads as witness"
    SILENT = "reads, no reader is heard"
    CUT_OFF = "reads, no reader reaches the store"
    GAP = "reads once, missed something"
    OVERDUE = "reads once, heard of a change elsewhere"


READING = {Role.READER: Source.READER, Role.WITNESS: Source.WITNESS}
"""Sources of the roles that read the store continuously."""
READ_ONCE = (Source.GAP, Source.OVERDUE)
"""Sources of a node that makes a single read to obtain a change it missed."""
