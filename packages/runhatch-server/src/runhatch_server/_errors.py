"""The exception tree of the daemon.

Only faults of whoever starts or embeds the daemon are raised.  What callers,
targets or the platform do is an outcome value.
"""


class RunhatchError(Exception):
    """Base of the daemon's exceptions.

    .. versionadded:: 0.1
    """


class SettingsError(RunhatchError):
    """The settings file cannot be used; ``faults`` has one line for each cause."""

    def __init__(self, faults: tuple[str, ...]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


class DeploymentError(RunhatchError):
    """A configuration document cannot be used; one line for each cause."""

    def __init__(self, faults: tuple[str, ...]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults
