"""Interfaces that a gateway needs from its platform."""

from dataclasses import dataclass

from runhatch_coordination import Clock, StoreTime, Table
from runhatch_server.decisions import VersionRecord
from runhatch_server.fleet import Target
from runhatch_server.gateway._messages import HeaderCodec
from runhatch_server.gateway._watched_tables import WatchedTable
from runhatch_server.residency import OrderClient
from runhatch_server.routing import RoutingConfiguration


@dataclass(frozen=True, slots=True)
class GatewayPlatform:
    """Platform services of one gateway; tests pass their own.

    ``store_time`` is set by answers of the store.
    """

    clock: Clock
    store_time: StoreTime
    table: Table
    configurations: WatchedTable[RoutingConfiguration]
    targets: WatchedTable[Target]
    version_records: WatchedTable[VersionRecord]
    headers: HeaderCodec
    orders: OrderClient
