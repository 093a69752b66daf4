"""Keys of peer links, read anew while the node runs."""

import ssl
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import pynng

if TYPE_CHECKING:
    # A gateway has no such settings, and starts 0.1 s sooner without their module.
    from runhatch_server.settings import PeerTls


PEER_NAME = "runhatch-peer"
"""The name that every node's certificate is issued for; addresses come and go."""


class KeysChange(Enum):
    """What reading the key files again brought."""

    SAME = "same"
    RENEWED = "renewed"
    UNUSABLE = "unusable"


@dataclass(frozen=True, slots=True)
class _Keys:
    certificate: str
    key: str
    authority: str


class PeerKeys:
    """The keys in force: all three files of one reading, or none of them.

    Raises ``OSError`` with the cause if the files cannot be used.
    """

    def __init__(self, tls: "PeerTls") -> None:
        self._tls = tls
        self._keys = self._read()

    def reload(self) -> KeysChange:
        """Read the files again; unusable ones leave the keys in force as they are."""
        try:
            keys = self._read()
        except OSError:
            return KeysChange.UNUSABLE
        if keys == self._keys:
            return KeysChange.SAME
        self._keys = keys
        return KeysChange.RENEWED

    def config(self, server: bool) -> "pynng.TLSConfig":
        """Return the TLS configuration of one side; the other side is checked."""
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
            # A certificate and a key that do not belong together are found here.
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
