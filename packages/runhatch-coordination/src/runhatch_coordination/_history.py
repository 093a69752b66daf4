"""Versions of a store that may be restored from an older copy.

A restored store has lost the writes acknowledged after the copy and reuses their
version numbers for other changes. Each restoration begins a new era, so that an era
and a number together order all changes.
"""

from typing import NewType

NUMBER_BITS = 44
"""Bits of a version's number, below the bits of its era; enough for 500 years at 1,000
changes a second."""
FENCE_BITS = 24
"""Bits of an epoch, below the bits of its era. Fences are sent as JSON numbers, which
are exact up to 53 bits."""

StoreVersion = NewType("StoreVersion", int)
"""A version of a store; versions of all eras compare in the order of its history."""
ORIGIN = StoreVersion(0)
"""The version before any change."""


def store_version(era: int, number: int) -> StoreVersion:
    """Return the version that the store numbered ``number`` in ``era``.

    >>> store_version(1, 90) > store_version(0, 100)
    True
    """
    return StoreVersion(era << NUMBER_BITS | number)


def era_of(version: StoreVersion) -> int:
    """Return the era of ``version``.

    >>> era_of(store_version(2, 90))
    2
    """
    return version >> NUMBER_BITS


def number_of(version: StoreVersion) -> int:
    """Return the number that the store gave to ``version``.

    >>> number_of(store_version(2, 90))
    90
    """
    return version & ((1 << NUMBER_BITS) - 1)


def fence_of(era: int, epoch: int) -> int:
    """Return the fence of the ``epoch``-th holder of ``era``.

    Epochs are counted in a row of the store, so a restoration resets them too.

    >>> fence_of(0, 7), fence_of(1, 3) > fence_of(0, 7)
    (7, True)
    """
    return era << FENCE_BITS | epoch


def era_of_fence(fence: int) -> int:
    """Return the era in which ``fence`` was issued.

    >>> era_of_fence(fence_of(2, 7))
    2
    """
    return fence >> FENCE_BITS
