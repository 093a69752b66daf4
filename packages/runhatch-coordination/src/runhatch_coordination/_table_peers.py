"""What a shared table needs of the other nodes."""

from datetime import timedelta
from typing import Protocol

from runhatch_coordination._history import StoreVersion
from runhatch_coordination._peers import Role
from runhatch_coordination._replica import TableChanges
from runhatch_coordination._sources import Source
from runhatch_coordination._store_contact import Reachability


class TablePeers(Protocol):
    """The exchange of a shared table with the other nodes."""

    def role(self) -> Role:
        """Return the role of this node for watched tables."""

    def request_changes(self, table: str, version: StoreVersion | None) -> bool:
        """Request the changes since ``version`` from another node.

        Returns whether there is such a node. Its answer, if any, is passed to
        :meth:`SharedTable.apply_answer`.
        """

    def request_from(
        self, address: str, table: str, version: StoreVersion | None
    ) -> None:
        """Request the changes since ``version`` from the node at ``address``."""

    def publish(self, table: str, changes: TableChanges, reachable: bool) -> None:
        """Send ``changes`` read from the store to the nodes of this failure domain."""

    def publish_version(self, table: str, version: StoreVersion) -> None:
        """Notify nodes in all failure domains that the table reached ``version``."""

    def record_source(self, table: str, source: Source) -> None:
        """Record that this node now receives the table from ``source``."""

    def record_store_contact(
        self,
        table: str,
        reachability: Reachability,
        answered_at: timedelta | None,
    ) -> None:
        """Record whether this node itself reaches the store.

        The store last answered a call of this node at ``answered_at``, if ever.
        """
