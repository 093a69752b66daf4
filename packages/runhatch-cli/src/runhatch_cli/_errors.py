"""Exceptions of the command line, each class with its own exit code."""


class CommandError(Exception):
    """Base class of all errors that the command line reports in one line.

    .. versionadded:: 0.1
    """

    exit_code = 1


class LanguageError(CommandError):
    """A sentence or a configuration file cannot be parsed or read."""

    exit_code = 2


class RefusedError(CommandError):
    """The node rejected the request; nothing was changed."""

    exit_code = 4


class ConflictError(RefusedError):
    """Another change was applied first, so the base revision is outdated."""

    exit_code = 5


class UnreachableError(CommandError):
    """The node did not answer or failed; a change may have been applied."""

    exit_code = 6


class NotInForceError(CommandError):
    """The change was accepted but is not yet in force on all nodes."""

    exit_code = 7
