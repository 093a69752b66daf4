"""The runhatch daemon: one process per node, without a leader."""

from runhatch_server._errors import DeploymentError, RunhatchError, SettingsError
from runhatch_server._version import __version__

__all__ = ["DeploymentError", "RunhatchError", "SettingsError", "__version__"]
