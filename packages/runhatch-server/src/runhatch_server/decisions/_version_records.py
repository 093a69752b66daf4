"""Records of the software versions of a service, which outlast all nodes.

Nodes forget who began a stream when they end.  If all of them end together, the record
in the store still tells whether a second version may have begun one.
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


def plan_version_record(
    known: VersionRecord | None,
    needed: frozenset[str],
    removable: frozenset[str],
    era: int,
    knows_all: bool,
) -> VersionRecord:
    """Return the record that should replace ``known``, the one in the store.

    ``needed`` are the versions that a node has seen, ``removable`` those whose streams
    can't be resumed any more.  ``knows_all`` is whether the node has seen all versions
    that count.  Without a record no version has been seen, as it is written before a
    version's first stream, unless the store has lost it.

    >>> known = VersionRecord(frozenset({"v1"}), 0)
    >>> sorted(plan_version_record(known, {"v2"}, set(), 0, False).versions)
    ['v1', 'v2']
    """
    versions = frozenset(needed) - removable
    if known is not None:
        versions = (known.versions | needed) - removable
        knows_all |= known.is_complete_in(era)
    else:
        knows_all |= era == FIRST_ERA
    if knows_all:
        return VersionRecord(versions, era)
    if known is None:
        return VersionRecord(versions, era, is_complete=False)
    return replace(known, versions=versions)
