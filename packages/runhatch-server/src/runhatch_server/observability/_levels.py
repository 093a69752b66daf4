"""Levels of the structured log."""

from enum import Enum


class LogLevel(Enum):
    """Verbosity of the log; each level includes the levels before it."""

    ERROR = "error"
    CHANGE = "change"
    REQUEST = "request"
