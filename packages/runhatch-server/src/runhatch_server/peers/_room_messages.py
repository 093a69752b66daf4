"""Messages between nodes about the room of brittle targets."""

import msgspec


class RoomOfTarget(msgspec.Struct, frozen=True, array_like=True):
    """Requests and unused permits of the sender for one brittle target.

    ``confirmed`` is the last grant that it received from the receiver, and ``rejected``
    the number of requests that the target rejected for want of room.
    """

    target: str
    outstanding: int
    confirmed: int
    rejected: int


class RoomReports(msgspec.Struct, frozen=True, tag="room", array_like=True):
    """What the sender has outstanding at brittle targets, in its report ``number``."""

    number: int
    rooms: list[RoomOfTarget]
