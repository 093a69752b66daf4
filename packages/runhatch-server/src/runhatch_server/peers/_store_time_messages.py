"""Messages between nodes about the store's clock and the age of its tables."""

import msgspec

from runhatch_coordination import StoreVersion


class StoreTimeQuery(msgspec.Struct, frozen=True, tag="time_asked", array_like=True):
    """Asks what the store's clock shows; the answer carries the same ``number``."""

    number: int


class StoreTimeAnswer(msgspec.Struct, frozen=True, tag="time", array_like=True):
    """The store's clock showed ``latest_ms`` at most when the query arrived."""

    number: int
    latest_ms: int


class TableConfirmation(msgspec.Struct, frozen=True, tag="confirmed", array_like=True):
    """A watched table did not change after ``version`` up to a time of the store."""

    table: str
    version: StoreVersion
    confirmed_ms: int
