"""Chooses by software version which targets may continue a stream.

What targets of two versions write does not fit together in one stream, and targets do
not check this.
"""

from collections.abc import Iterable, Mapping
from datetime import timedelta

from runhatch_server.fleet import Target


def select_version(
    targets: Iterable[Target], software_version: str | None
) -> list[Target]:
    """Return the targets with ``software_version``, all if it is ``None``."""
    return [
        target
        for target in targets
        if software_version is None or target.software_version == software_version
    ]


def find_sole_recent_version(
    last_seen_at: Mapping[str, timedelta],
    observed_since: timedelta,
    oldest_break: timedelta,
) -> str | None:
    """Return the version that began all streams of a service, if there is only one.

    ``last_seen_at`` maps versions to the time at which a target had them last, as
    observed from ``observed_since``.  Streams that callers may still resume broke off
    after ``oldest_break``; until then their version had a target.

    >>> hour = timedelta(hours=1)
    >>> find_sole_recent_version({"v1": 3 * hour}, hour, 2 * hour)
    'v1'
    >>> seen = {"v1": 3 * hour, "v2": 3 * hour}
    >>> find_sole_recent_version(seen, hour, 2 * hour) is None
    True
    """
    if observed_since > oldest_break:
        return None
    recent = [version for version, at in last_seen_at.items() if at >= oldest_break]
    return recent[0] if len(recent) == 1 else None
