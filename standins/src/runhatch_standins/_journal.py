"""A log of what a stand-in did, which survives restarts if it has a file."""

import json
import threading
from pathlib import Path
from typing import Any, TextIO

Entry = dict[str, Any]


class Journal:
    """Entries in order; each is written to the file before ``append`` returns."""

    def __init__(self, path: Path | None) -> None:
        self._lock = threading.Lock()
        self._entries: list[Entry] = []
        self._file: TextIO | None = None
        if path is not None:
            if path.exists():
                lines = path.read_text().splitlines()
                self._entries = [json.loads(line) for line in lines if line]
            self._file = path.open("a")

    def append(self, entry: Entry) -> int:
        """Append ``entry`` and return the number of entries."""
        with self._lock:
            self._entries.append(entry)
            if self._file is not None:
                self._file.write(json.dumps(entry) + "\n")
                self._file.flush()
            return len(self._entries)

    def entries(self) -> list[Entry]:
        """Return all entries."""
        with self._lock:
            return list(self._entries)
