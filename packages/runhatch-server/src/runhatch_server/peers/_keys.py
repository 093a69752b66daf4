"""TLS keys of peer links, reloadable while the node runs."""

import ssl
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import pynng

if TYPE_CHECKING:
    # Gateways do not use these settings; importing them takes 0.1 s at start.
    from runhatch_server.settings import PeerTls


PEER_NAME = "runhatch-peer"
"""Name in every node's certificate; addresses change too often for that."""


class ReloadOutcome(Enum):
    """Outcome of reloading the key files."""

    UNCHANGED = "same"
    RENEWED = "renewed"
    UNUSABLE = "unusable"


@dataclass(frozen=True, slots=True)
class _Keys:
    certificate: str
    key: str
    authority: str


class PeerKeys:
    """The keys in use, always all three files of the same read.

    Raises ``OSError`` naming the files and the cause if they are unusable.
    """

    def __init__(self, tls: "PeerTls") -> None:
        self._tls = tls
        self._keys = self._read()

    def reload(self) -> ReloadOutcome:
        """Read the files again; unusable files leave the current keys in use."""
        try:
            keys = self._read()
        except OSError:
            return ReloadOutcome.UNUSABLE
        if keys == self._keys:
            return ReloadOutcome.UNCHANGED
        self._keys = keys
        return ReloadOutcome.RENEWED

    def tls_config(self, server: bool) -> "pynng.TLSConfig":
        """Return the TLS configuration of one side, which verifies the other side."""
        mode = pynng.TLSConfig.MODE_SERVER if server else pynng.TLSConfig.MODE_CLIENT
        return pynng.TLSConfig(
            mode,
            ca_string=self._keys.authority,
            own_key_string=self._keys.key,
            own_cert_string=self._keys.certificate,
            auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
            server_name=None if server else PEER_NAME,
        )

    def _read(self) -> _Keys:
        tls = self._tls
        try:
            # Raises if the certificate and the key do not match.
            context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            context.load_cert_chain(tls.certificate_file, tls.key_file)
            context.load_verify_locations(tls.authority_file)
            return _Keys(
                tls.certificate_file.read_text(),
                tls.key_file.read_text(),
                tls.authority_file.read_text(),
            )
        except (OSError, ValueError) as error:
            raise OSError(
                f"peering.tls: found {tls.certificate_file}, {tls.key_file} and "
                f"{tls.authority_file}, which are no usable keys: {error}"
            ) from None
