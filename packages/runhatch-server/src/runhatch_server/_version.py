"""The version of the daemon, told to operators and peers."""

__version__ = "0.1.0"
