"""Receivers of request bodies, which are kept in memory and held once."""

import re
from enum import Enum, auto
from functools import lru_cache
from io import BytesIO

from waitress.utilities import BadRequest, Error

from runhatch_server.refusals import Executed, Reason, Refusal

OVERALLOCATION = 8
"""A growing buffer has an eighth more than its content."""
CHUNK_LINE = re.compile(
    rb"([0-9A-Fa-f]{1,16})[ \t]*"
    rb"(?:;[ \t]*[^\x00-\x08\x0a-\x1f\x7f]*)?"
)
MAX_SMALL_CHUNK_BYTES = 32
"""Size of chunks that are decoded together with those that follow."""
SMALL_SIZES = {
    line: size
    for size in range(1, MAX_SMALL_CHUNK_BYTES + 1)
    for line in (b"%x" % size, b"%X" % size)
}
"""Sizes of small chunks by their lines."""
MAX_SMALL_LINE_BYTES = 4
"""Bytes in which the line of a small chunk ends."""
LINE_END = b"\r\n"
TRAILER_END = b"\r\n\r\n"


class BodyBuffer:
    """The bytes of a body, which a reader of the whole body shares."""

    def __init__(self) -> None:
        self._file = BytesIO()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def held_bytes(self) -> int:
        """Memory of the buffer in bytes."""
        return self._size + self._size // OVERALLOCATION

    def append(self, data: bytes) -> None:
        """Add ``data`` to the end."""
        self._file.write(data)
        self._size += len(data)

    def getfile(self) -> BytesIO:
        """Return the body as a file at its beginning."""
        # Gives back what was allocated beyond the end. After that, reading the whole
        # file returns its buffer, which otherwise would be copied.
        self._file.getvalue()
        self._file.seek(0)
        return self._file

    def close(self) -> None:
        """Release the memory, unless a reader of the whole body shares it."""
        self._file.close()
        self._size = 0


def _read_run(data: bytes, start: int, size: int, parts: list[bytes]) -> int:
    """Decode equal chunks of ``size`` bytes at ``start`` into ``parts``, in one step.

    Return their end, or ``start`` if not even one has arrived.
    """
    size_line = data[start : data.index(LINE_END, start)]
    run = _compile_run(size_line, size).match(data, start)
    if run is None:
        return start
    first = start + len(size_line) + len(LINE_END)
    distance = len(size_line) + size + 2 * len(LINE_END)
    content = bytearray((run.end() - start) // distance * size)
    for offset in range(size):
        content[offset::size] = data[first + offset : run.end() : distance]
    parts.append(bytes(content))
    return run.end()


@lru_cache(maxsize=64)
def _compile_run(size_line: bytes, size: int) -> re.Pattern[bytes]:
    chunk = size_line + LINE_END + b"[\\s\\S]{%d}" % size + LINE_END
    return re.compile(b"(?:%s)+" % chunk)


class _State(Enum):
    SIZE = auto()
    DATA = auto()
    DATA_END = auto()
    TRAILER = auto()


class ChunkedBody:
    """Decodes a body in chunks, with the interface of waitress's receivers.

    waitress copies what is left of the received bytes for each chunk, and has no bound
    on the framing: the lines with sizes and extensions, and the trailer.
    """

    def __init__(
        self,
        buffer: BodyBuffer,
        max_framing_bytes: int,
        max_chunk_line_bytes: int,
        max_trailer_bytes: int,
    ) -> None:
        self.completed = False
        self.error: Error | None = None
        self.refusal: Refusal | None = None
        self.step_count = 0
        """Number of steps so far: the time that decoding takes grows with them."""
        self._buffer = buffer
        self._max_framing_bytes = max_framing_bytes
        self._max_chunk_line_bytes = max_chunk_line_bytes
        self._max_trailer_bytes = max_trailer_bytes
        self._state = _State.SIZE
        self._framing_bytes = 0
        self._left = 0
        self._pending = b""

    def __len__(self) -> int:
        return len(self._buffer)

    def getfile(self) -> BytesIO:
        """Return the body as a file at its beginning."""
        return self._buffer.getfile()

    def getbuf(self) -> BodyBuffer:
        """Return the buffer of the body."""
        return self._buffer

    def received(self, data: bytes) -> int:
        """Decode ``data``; return how many of its bytes belong to this body."""
        pending_size = len(self._pending)
        if pending_size:
            data = self._pending + data
            self._pending = b""
        size_before = len(self._buffer)
        end = self._decode(data)
        body_size = len(self._buffer) - size_before
        self._framing_bytes += end - body_size
        if self._framing_bytes > self._max_framing_bytes:
            self._refuse(
                Reason.FRAMING_TOO_LARGE,
                f"allowed: up to {self._max_framing_bytes} bytes of framing",
            )
        self._pending = b"" if self.completed or self.error else data[end:]
        if self._pending and not self.refusal:
            self._check_pending()
        if self.completed or self.error or self.refusal:
            return end - pending_size
        return len(data) - pending_size

    def _decode(self, data: bytes) -> int:
        """Decode the complete elements at the start of ``data``; return their end."""
        position = 0
        parts: list[bytes] = []
        while position < len(data) and not self.completed and not self.error:
            if self._state is _State.DATA:
                part = data[position : position + self._left]
                parts.append(part)
                position += len(part)
                self._left -= len(part)
                if self._left:
                    break
                self._state = _State.DATA_END
            start = position
            if self._state is _State.DATA_END:
                position = self._read_data_end(data, position)
            elif self._state is _State.SIZE:
                position = self._read_small_chunks(data, position, parts)
                position = self._read_size(data, position)
            else:
                position = self._read_trailer(data, position)
            if position == start:
                break
        self._buffer.append(b"".join(parts))
        return position

    def _read_data_end(self, data: bytes, start: int) -> int:
        found = data[start : start + len(LINE_END)]
        if found == LINE_END:
            self._state = _State.SIZE
            return start + len(LINE_END)
        if not LINE_END.startswith(found):
            self.error = BadRequest("Chunk not properly terminated")
        return start

    def _read_size(self, data: bytes, start: int) -> int:
        limit = start + self._max_chunk_line_bytes + len(LINE_END)
        end = data.find(LINE_END, start, limit)
        if end < 0:
            return start
        line = CHUNK_LINE.fullmatch(data, start, end)
        if line is None:
            self.error = BadRequest("Invalid chunk size")
            return start
        self.step_count += 1
        self._left = int(line[1], 16)
        self._state = _State.DATA if self._left else _State.TRAILER
        return end + len(LINE_END)

    def _read_small_chunks(self, data: bytes, start: int, parts: list[bytes]) -> int:
        """Decode the small chunks at ``start`` that have arrived, into ``parts``."""
        position = start
        last_size = 0
        while True:
            end = data.find(LINE_END, position, position + MAX_SMALL_LINE_BYTES)
            size = SMALL_SIZES.get(data[position:end]) if end > 0 else None
            if size is None:
                return position
            if size == last_size:
                position = _read_run(data, position, size, parts)
                last_size = 0
                continue
            last_size = size
            chunk_end = end + len(LINE_END) + size
            if data[chunk_end : chunk_end + len(LINE_END)] != LINE_END:
                return position
            self.step_count += 1
            parts.append(data[end + len(LINE_END) : chunk_end])
            position = chunk_end + len(LINE_END)

    def _read_trailer(self, data: bytes, start: int) -> int:
        if data.startswith(LINE_END, start):
            self.completed = True
            return start + len(LINE_END)
        end = data.find(TRAILER_END, start)
        if end < 0:
            return start
        self.completed = True
        return end + len(TRAILER_END)

    def _check_pending(self) -> None:
        """Refuse a line or trailer that is too long before its end has arrived."""
        is_line = self._state is _State.SIZE
        if is_line and len(self._pending) > self._max_chunk_line_bytes:
            self._refuse(
                Reason.FRAMING_TOO_LARGE,
                f"allowed: up to {self._max_chunk_line_bytes} bytes before a chunk",
            )
        is_trailer = self._state is _State.TRAILER
        if is_trailer and len(self._pending) > self._max_trailer_bytes:
            self._refuse(
                Reason.FRAMING_TOO_LARGE,
                f"allowed: up to {self._max_trailer_bytes} bytes of trailer",
            )

    def _refuse(self, reason: Reason, detail: str) -> None:
        self.refusal = Refusal(reason, Executed.NO, detail)
