"""The runhatch daemon: one process on each node, all of them equal."""

from runhatch_server._errors import DeploymentError, RunhatchError, SettingsError
from runhatch_server._version import __version__

__all__ = ["DeploymentError", "RunhatchError", "SettingsError", "__version__"]
