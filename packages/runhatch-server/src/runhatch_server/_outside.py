"""The outside of a node: what the platform gives, behind narrow interfaces."""

from dataclasses import dataclass
from datetime import timedelta

from runhatch_coordination import Clock, ObjectStore, SystemClock, Table
from runhatch_server.platform import (
    HttpClient,
    HttpObjects,
    HttpTable,
    HttpVmList,
    StoreClock,
    VmList,
)
from runhatch_server.settings import Settings


@dataclass(frozen=True, slots=True)
class Outside:
    """The outside as one node reaches it; tests pass their own."""

    table: Table
    objects: ObjectStore
    vms: VmList
    clock: Clock


def connect(settings: Settings) -> Outside:
    """Return the clients of the platform that ``settings`` names."""
    platform = settings.platform
    timeout = timedelta(seconds=platform.timeout_seconds)
    clock = StoreClock(SystemClock())
    table_http = HttpClient(platform.table_url, timeout, on_date=clock.hear)
    return Outside(
        HttpTable(table_http, platform.table),
        HttpObjects(HttpClient(platform.objects_url, timeout), platform.bucket),
        HttpVmList(HttpClient(platform.vms_url, timeout)),
        clock,
    )
