"""What a stand-in engine runs at once, and what waits there."""

from collections import deque
from collections.abc import Callable

Work = Callable[[], None]


class Slots:
    """A bounded number of running requests and a queue in order of arrival."""

    def __init__(self, size: int) -> None:
        self._size = size
        self.running = 0
        self.queue: deque[Work] = deque()

    def begin(self, start: Work) -> None:
        """Start a request if a slot is free, else when one is."""
        if self.running < self._size:
            self.running += 1
            start()
        else:
            self.queue.append(start)

    def end(self) -> None:
        """Give a slot to who waits."""
        if self.queue:
            self.queue.popleft()()
        else:
            self.running -= 1
