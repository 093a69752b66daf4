"""An object store in memory."""


class MemoryObjects:
    """Blobs by name; ``down`` makes every call fail."""

    def __init__(self) -> None:
        self._blobs: dict[str, bytes] = {}
        self.down = False

    def put(self, name: str, body: bytes) -> bool:
        """Store a blob unless down."""
        if self.down:
            return False
        self._blobs[name] = body
        return True

    def get(self, name: str) -> bytes | None:
        """Return a blob, ``None`` if missing or down."""
        return None if self.down else self._blobs.get(name)
