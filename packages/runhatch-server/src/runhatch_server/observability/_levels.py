"""How much is logged."""

from enum import Enum


class LogLevel(Enum):
    """What is logged; each level includes those before it."""

    ERROR = "error"
    CHANGE = "change"
    REQUEST = "request"
