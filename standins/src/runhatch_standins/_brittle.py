"""The room of a target, and its fall if it turns too many requests away."""

import threading
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from runhatch_standins._wsgi import BrokenOffError

WINDOW_SECONDS = 1.0
"""Time in which a brittle target counts the requests that it turns away."""
NOTICE_SECONDS = 3.0
"""Time from a target's first answer that announces it as brittle to its first fall, at
least.  Callers cannot know of it earlier."""


@dataclass(slots=True)
class Room:
    """Places for requests; a target that is brittle falls if too many find none.

    While it is down it breaks off all its connections.  ``clock`` returns seconds.
    """

    places: int
    clock: Callable[[], float]
    brittle: int = 0
    """Requests turned away in ``WINDOW_SECONDS`` without a fall; 0 for any number."""
    down_seconds: float = 3.0
    falls: list[float] = field(default_factory=list)
    """Times of the falls, in seconds of the clock."""
    _announced_at: float | None = None
    _taken: int = 0
    _turned_away: deque[float] = field(default_factory=deque)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    @property
    def is_down(self) -> bool:
        """Whether the target has fallen and is not yet back."""
        is_back = not self.falls or self.clock() >= self.falls[-1] + self.down_seconds
        return not is_back

    def headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers that announce how many requests may be turned away."""
        if not self.brittle:
            return ()
        with self._lock:
            if self._announced_at is None:
                self._announced_at = self.clock()
        return (("Server-Brittle", str(self.brittle)),)

    def check_up(self) -> None:
        """Raise ``BrokenOffError`` while the target is down."""
        if self.is_down:
            raise BrokenOffError(is_reset=True)

    def take(self) -> bool:
        """Take a place; return whether one was free.

        A target that isn't brittle accepts any number of requests.  Raises
        ``BrokenOffError`` if the target is down, or falls.
        """
        with self._lock:
            self.check_up()
            if not self.brittle or self._taken < self.places:
                self._taken += 1
                return True
            self._turn_away()
            return False

    def release(self) -> None:
        """Release a place."""
        with self._lock:
            self._taken -= 1

    def _turn_away(self) -> None:
        now = self.clock()
        self._turned_away.append(now)
        while self._turned_away[0] <= now - WINDOW_SECONDS:
            self._turned_away.popleft()
        is_announced = (
            self._announced_at is not None
            and now >= self._announced_at + NOTICE_SECONDS
        )
        if is_announced and len(self._turned_away) > self.brittle:
            self._turned_away.clear()
            self.falls.append(now)
            raise BrokenOffError(is_reset=True)


class OccupyingChunks:
    """The chunks of a reply, which hold a place until the server closes them."""

    def __init__(self, chunks: Iterable[bytes], room: Room) -> None:
        self._chunks = chunks
        self._room = room

    def __iter__(self) -> Iterator[bytes]:
        for chunk in self._chunks:
            self._room.check_up()
            yield chunk

    def close(self) -> None:
        """Release the place, and close the chunks if they are a generator."""
        self._room.release()
        close = getattr(self._chunks, "close", None)
        if close is not None:
            close()
