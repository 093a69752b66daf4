"""An object store in memory."""


class MemoryObjects:
    """An object store in memory; every call fails while ``down`` is true."""

    def __init__(self) -> None:
        self._bodies: dict[str, bytes] = {}
        self.down = False

    def put(self, name: str, body: bytes) -> bool:
        """Store ``body`` under ``name``; return whether it was stored."""
        if self.down:
            return False
        self._bodies[name] = body
        return True

    def get(self, name: str) -> bytes | None:
        """Return the body of ``name``, ``None`` if missing or down."""
        return None if self.down else self._bodies.get(name)
