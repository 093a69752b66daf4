"""Positions in the history of a store that may come back from an older copy.

Such a store loses what it has acknowledged since the copy, and counts its versions
again from there: the same number stands for another change then.  Each time a new era
begins, so that an era and a number together tell which of two changes is the later.
"""

from typing import NewType

NUMBER_BITS = 44
"""Bits of a version's number below its era; at 1,000 changes a second they last 500
years."""
FENCE_BITS = 24
"""Bits of an epoch's number below its era.  Fences travel as numbers, of which JSON
keeps 53 bits."""

StoreVersion = NewType("StoreVersion", int)
"""A version of a store, in the order of its history, whatever eras they are of."""
ORIGIN = StoreVersion(0)
"""Before any change."""


def store_version(era: int, number: int) -> StoreVersion:
    """Return the version that a store called ``number`` in ``era``.

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
    """Return what the store called ``version``.

    >>> number_of(store_version(2, 90))
    90
    """
    return version & ((1 << NUMBER_BITS) - 1)


def fence_of(era: int, epoch: int) -> int:
    """Return the fence of the ``epoch``-th holder of ``era``.

    Epochs are counted in a row of the store, which goes back with it.

    >>> fence_of(0, 7), fence_of(1, 3) > fence_of(0, 7)
    (7, True)
    """
    return era << FENCE_BITS | epoch


def era_of_fence(fence: int) -> int:
    """Return the era in which ``fence`` was counted.

    >>> era_of_fence(fence_of(2, 7))
    2
    """
    return fence >> FENCE_BITS
