"""An object store in memory."""


class MemoryObjectStore:
    """An object store in memory; every call fails while ``is_down`` is true."""

    def __init__(self) -> None:
        self._bodies: dict[str, bytes] = {}
        self.is_down = False

    def put(self, name: str, body: bytes) -> bool:
        """Store ``body`` under ``name``; return whether it was stored."""
        if self.is_down:
            return False
        self._bodies[name] = body
        return True

    def get(self, name: str) -> bytes | None:
        """Return the body of ``name``, ``None`` if missing or down."""
        return None if self.is_down else self._bodies.get(name)
