"""Cut gateways off from all other gateways, while all else stays reachable."""

from pathlib import Path

PEER_CUT_VARIABLE = "RUNHATCH_STANDINS_PEER_CUT"
"""Environment variable with the file of a gateway."""


class PeerCuts:
    """Makes gateways lose all messages to and from their peers.

    A gateway does so while its file exists.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def file_of(self, gateway: str) -> Path:
        """Return the file that cuts ``gateway`` off."""
        return self._folder / f"{gateway}-peers-cut"

    def cut(self, gateway: str, is_cut: bool) -> None:
        """Cut ``gateway`` off, or reconnect it."""
        if is_cut:
            self.file_of(gateway).touch()
        else:
            self.file_of(gateway).unlink(missing_ok=True)
