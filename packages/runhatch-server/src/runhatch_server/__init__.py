"""The runhatch daemon: every process between callers and targets."""

from runhatch_server._version import __version__

__all__ = ["__version__"]
