"""The running and the waiting requests of a simulated engine."""

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
        """Start a request, or queue it until a slot is free."""
        if self.running < self._size:
            self.running += 1
            start()
        else:
            self.queue.append(start)

    def end(self) -> None:
        """Release a slot to the next waiting request."""
        if self.queue:
            self.queue.popleft()()
        else:
            self.running -= 1
