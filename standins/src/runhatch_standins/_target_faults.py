"""Set faults of targets that overlap in time."""

import random
import threading
import time
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from runhatch_standins._cluster import call

Document = dict[str, Any]

MAX_BREAK_BYTE = 800
"""Beyond the end of many of the callers' streams."""
BREAK_CHANGE_SECONDS = 0.1


class TargetFaults:
    """The faults of all targets; those of one target at the same time are merged."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._held: dict[str, list[Document]] = defaultdict(list)

    @contextmanager
    def hold(self, url: str, **faults: object) -> Iterator[None]:
        """Set ``faults`` of the target at ``url`` while the block runs."""
        with self._lock:
            self._held[url].append(faults)
            self._apply(url)
        try:
            yield
        finally:
            with self._lock:
                # Equal faults may be held at the same time.
                self._held[url].remove(faults)
                self._apply(url)

    def break_streams(
        self, url: str, seed: int, seconds: float, is_reset: bool
    ) -> None:
        """Break off streams of a target at changing bytes, half of them unframed."""
        rng = random.Random(seed)
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            faults: Document = {
                "break_at": rng.randrange(MAX_BREAK_BYTE),
                "break_by_reset": is_reset,
            }
            if rng.random() < 0.5:
                faults["unframed"] = True
            with self.hold(url, **faults):
                time.sleep(BREAK_CHANGE_SECONDS)

    def _apply(self, url: str) -> None:
        merged: Document = {}
        for faults in self._held[url]:
            merged |= faults
        call(url, "POST", "/faults", merged)
