"""Software versions of the targets that began streams, as all nodes know them."""

import threading
from collections.abc import Callable
from datetime import timedelta

from runhatch_server._waiting import wait_for_event
from runhatch_server.gateway._stream_inquiry import StreamFinding
from runhatch_server.gateway._stream_version_exchange import StreamVersionExchange
from runhatch_server.gateway._stream_versions import StreamVersions
from runhatch_server.gateway._version_recorder import VersionRecorder
from runhatch_server.observability import log_change

RECORD_SEND_TIMEOUT = timedelta(milliseconds=100)
"""Longest delay of a stream whose record cannot be sent to a keeper."""
VERSION_RECORD_TIMEOUT = timedelta(milliseconds=300)
"""Longest delay of a stream of a version that the store doesn't know yet."""
RECORD_READ_TIMEOUT = timedelta(milliseconds=300)
"""Longest wait for the versions that the store states now."""


class SharedStreamVersions:
    """A :class:`StreamVersionSource` with the records of this node and its peers."""

    def __init__(
        self,
        own: StreamVersions,
        exchange: StreamVersionExchange,
        recorder: VersionRecorder,
        wait: Callable[[threading.Event, timedelta], None] = wait_for_event,
    ) -> None:
        self._own = own
        self._exchange = exchange
        self._recorder = recorder
        self._wait = wait

    def record_begun(
        self, attempt_id: str, service: str, software_version: str
    ) -> None:
        """Record that a target began to send events of a stream.

        Waits until a keeper was sent the record, so that the stream can be resumed at
        other nodes once its caller has an event, and until the store knows the version,
        so that another one isn't taken for the only one if all nodes end.
        """
        self._own.record_begun(attempt_id, service, software_version)
        recorded = self._recorder.request(service, software_version)
        if recorded is not None:
            self._wait(recorded, VERSION_RECORD_TIMEOUT)
        sent = self._exchange.record_begun(attempt_id, service, software_version)
        if sent is None:
            return
        self._wait(sent, RECORD_SEND_TIMEOUT)
        if not sent.is_set():
            log_change("stream_version_unsent", service=service, attempt=attempt_id)

    def find_version(self, attempt_id: str, service: str) -> str | None:
        """Return the version that began a stream, ``None`` if it is not known.

        Records go before conclusions from the versions seen.  Waits for the answers of
        peers, unless this node has a record, and for the store if they don't answer:
        what this node has not learned of may exist all the same.
        """
        if attempt_id and self._own.is_recorded(attempt_id):
            return self._own.find_version(attempt_id, service)
        # Without an attempt, this asks whether the keepers are in touch.
        finding = self._exchange.find(attempt_id, service)
        if finding.software_version is not None:
            return finding.software_version
        if not self._may_conclude(attempt_id, service, finding):
            return None
        return self._conclude_version(attempt_id, service)

    def _may_conclude(
        self, attempt_id: str, service: str, finding: StreamFinding
    ) -> bool:
        """Return whether one version only can have begun streams in progress.

        Neither this node nor a keeper may have seen another, and the keepers or the
        store must have answered after the request.  The store is not read for streams
        of which all keepers in a cluster without suspects have no record.
        """
        if finding.has_several or self._own.has_several_versions(service):
            return False
        is_denied = finding.is_denied and not finding.may_be_partitioned
        if attempt_id and is_denied:
            return True
        # Without an attempt, keepers that answer may not be those of the stream.
        is_current = self._read_stored_versions(service) or is_denied
        return is_current and not self._own.has_several_versions(service)

    def _read_stored_versions(self, service: str) -> bool:
        """Return whether this node now knows all versions that the store states."""
        read = self._recorder.request_read(service)
        if read is None:
            return False
        self._wait(read.finished, RECORD_READ_TIMEOUT)
        return read.is_current

    def _conclude_version(self, attempt_id: str, service: str) -> str | None:
        """Return the only version that can have begun a stream without a record."""
        version = self._own.find_version(attempt_id, service)
        if version is not None:
            return version
        version = self._own.find_unrecorded_version(attempt_id, service)
        if version is not None:
            log_change(
                "stream_version_concluded",
                service=service,
                attempt=attempt_id,
                software_version=version,
            )
        return version
