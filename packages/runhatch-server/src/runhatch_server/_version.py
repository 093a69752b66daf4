"""The version of the daemon, as reported to operators and peers."""

__version__ = "0.1.0"
