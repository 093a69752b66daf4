"""The exception tree of the command line; each class has its exit code."""


class CommandError(Exception):
    """Base of all failures the command line reports in one line.

    .. versionadded:: 0.1
    """

    exit_code = 1


class LanguageError(CommandError):
    """The sentence is not in the language."""

    exit_code = 2


class RefusedError(CommandError):
    """The node refused; nothing was changed."""

    exit_code = 4


class ConflictError(RefusedError):
    """Another change came first."""

    exit_code = 5


class UnreachableError(CommandError):
    """No answer from the node; what was asked may have happened."""

    exit_code = 6


class NotInForceError(CommandError):
    """The change was accepted and is not in force everywhere yet."""

    exit_code = 7
