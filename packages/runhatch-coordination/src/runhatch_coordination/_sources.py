"""Where a node gets a watched table from."""

from enum import Enum

from runhatch_coordination._peers import Role


class Source(Enum):
    """Where a node gets a table from, and why."""

    TOLD = "told"
    READER = "reads as reader"
    WITNESS = "reads as witness"
    SILENT = "reads, no reader is heard"
    CUT_OFF = "reads, no reader reaches the store"
    GAP = "reads once, missed something"
    OVERDUE = "reads once, heard of a change elsewhere"


READING = {Role.READER: Source.READER, Role.WITNESS: Source.WITNESS}
"""What nodes do that read for as long as they have their role."""
READ_ONCE = (Source.GAP, Source.OVERDUE)
"""What nodes that are told do when they miss something."""
