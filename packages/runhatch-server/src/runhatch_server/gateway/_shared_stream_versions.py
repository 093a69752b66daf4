"""Software versions of the targets that began streams, as all nodes know them."""

from runhatch_server.gateway._stream_version_exchange import StreamVersionExchange
from runhatch_server.gateway._stream_versions import StreamVersions


class SharedStreamVersions:
    """A :class:`StreamVersionSource` with the records of this node and its peers."""

    def __init__(self, own: StreamVersions, exchange: StreamVersionExchange) -> None:
        self._own = own
        self._exchange = exchange

    def record_begun(
        self, attempt_id: str, service: str, software_version: str
    ) -> None:
        """Record that a target began to send events of a stream."""
        self._own.record_begun(attempt_id, service, software_version)
        self._exchange.record_begun(attempt_id, service, software_version)

    def find_version(self, attempt_id: str, service: str) -> str | None:
        """Return the version that began a stream, ``None`` if it is not known.

        Records go before conclusions from the versions seen.  May wait for the answers
        of peers, unless this node can tell.
        """
        is_asked = False
        if attempt_id and not self._own.is_recorded(attempt_id):
            version = self._exchange.find_held_version(attempt_id, service)
            if version is None and self._own.has_several_versions(service):
                is_asked = True
                version = self._exchange.find_version(attempt_id, service)
            if version is not None:
                return version
        version = self._own.find_version(attempt_id, service)
        if version is None and attempt_id and not is_asked:
            version = self._exchange.find_version(attempt_id, service)
        if version is None:
            version = self._own.find_unrecorded_version(attempt_id, service)
        return version
