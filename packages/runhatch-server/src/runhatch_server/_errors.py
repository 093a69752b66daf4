"""Exceptions of the daemon.

Only errors of the operator or the embedding program are raised.  Failures of callers,
targets or the platform are returned as outcome values.
"""


class RunhatchError(Exception):
    """Base class of the daemon's exceptions.

    .. versionadded:: 0.1
    """


class SettingsError(RunhatchError):
    """The settings file is invalid; ``faults`` has one line for each cause."""

    def __init__(self, faults: tuple[str, ...]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


class DeploymentError(RunhatchError):
    """A configuration document is invalid; ``faults`` has one line for each cause."""

    def __init__(self, faults: tuple[str, ...]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults
