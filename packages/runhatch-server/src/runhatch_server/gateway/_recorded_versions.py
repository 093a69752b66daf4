"""The software versions that a node observes, and those that the store states."""

from collections.abc import Callable
from datetime import timedelta

from runhatch_coordination import Membership
from runhatch_server.fleet import TargetDirectory
from runhatch_server.gateway._platform import GatewayPlatform
from runhatch_server.gateway._stored_versions import StoredVersions
from runhatch_server.gateway._stream_versions import StreamVersions
from runhatch_server.gateway._version_recorder import VersionRecorder
from runhatch_server.routing import RouteTable


class RecordedVersions:
    """Builds and connects the parts that know which versions begin streams.

    ``find_era`` returns the era in which the table of records was read, ``None`` if it
    was not yet.
    """

    def __init__(
        self,
        platform: GatewayPlatform,
        directory: TargetDirectory,
        membership: Membership,
        is_informed: Callable[[], bool],
        find_era: Callable[[], int | None],
    ) -> None:
        self.stored = StoredVersions(
            find_era, self._record_seen, lambda: self.recorder.release_recorded()
        )
        """The records in the store."""
        self.observed = StreamVersions(
            platform.clock, directory.all, is_informed, self.stored.list_all
        )
        """The versions of targets and streams of this node."""
        self.recorder = VersionRecorder(
            platform.table, self.stored, self.observed, membership, platform.clock
        )
        """Writes the records."""

    def configure(self, routes: RouteTable) -> None:
        """Apply changed routes."""
        self.observed.extend_stream_age(routes.max_stream_age)
        self.recorder.services = routes.resumable_services

    def _record_seen(self, service: str, version: str, age: timedelta) -> None:
        self.observed.record_seen(service, version, age)
