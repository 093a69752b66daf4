"""The sources from which a node receives a watched table."""

from enum import Enum

from runhatch_coordination._peers import Role


class Source(Enum):
    """Where a node receives a table from, and why."""

    UPDATES = "told"
    READER = "reads as reader"
    WITNESS = "reads as witness"
    NO_READER = "reads, no reader is heard"
    READERS_CUT_OFF = "reads, no reader reaches the store"
    GAP = "reads once, missed something"
    OVERDUE = "reads once, heard of a change elsewhere"


CONTINUOUS_SOURCES = {Role.READER: Source.READER, Role.WITNESS: Source.WITNESS}
"""Sources of the roles that read the store continuously."""
SINGLE_READ_SOURCES = (Source.GAP, Source.OVERDUE)
"""Sources of a node that makes a single read to obtain a change it missed."""
