"""Records of the software versions of a service, which outlast all nodes.

Nodes lose their records of streams when they end.  If all of them end together, the
record in the store still states whether a second version may have begun a stream.
"""

from dataclasses import dataclass, replace

FIRST_ERA = 0
"""The era of a store that was never restored from an older copy."""


@dataclass(frozen=True, slots=True)
class VersionRecord:
    """Versions that may have begun streams of a service which callers may resume.

    ``era`` is that of the store when the record was last known to be complete, that is
    to lack no version.  A later era may have lost what was added before it.
    """

    versions: frozenset[str]
    era: int
    is_complete: bool = True

    def is_complete_in(self, era: int | None) -> bool:
        """Return whether the record lacks no version in a store of ``era``."""
        return self.is_complete and self.era == era


def missing_record(era: int) -> VersionRecord:
    """Return what the lack of a record means in a store of ``era``.

    A record is written before a version's first stream begins, so none has begun,
    unless a restoration has lost the record.
    """
    return VersionRecord(frozenset(), era, is_complete=era == FIRST_ERA)


def plan_version_record(
    known: VersionRecord,
    needed: frozenset[str],
    removable: frozenset[str],
    era: int,
    knows_all: bool,
) -> VersionRecord:
    """Return the record that should replace ``known``, the one in the store.

    ``needed`` are the versions that a node has seen, ``removable`` those whose streams
    can't be resumed any more.  ``knows_all`` is whether the node has seen all versions
    that count in a store of ``era``.

    >>> known = VersionRecord(frozenset({"v1"}), 0)
    >>> sorted(plan_version_record(known, {"v2"}, set(), 0, False).versions)
    ['v1', 'v2']
    """
    versions = (known.versions | needed) - removable
    if knows_all:
        return VersionRecord(versions, era)
    return replace(known, versions=versions)
