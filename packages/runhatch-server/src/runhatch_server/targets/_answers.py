"""Answers of targets: one read whole, or one still arriving."""

import http.client
from collections.abc import Mapping
from dataclasses import dataclass

from runhatch_server.targets._load import LOAD_HEADER, ReportedLoad, parse_load

READ_SIZE = 65_536


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer, checked for length; header names are lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class OpenAnswer:
    """The head of an answer whose body is still to be read."""

    def __init__(
        self,
        connection: http.client.HTTPConnection,
        response: http.client.HTTPResponse,
    ) -> None:
        self._connection = connection
        self._response = response
        self.status = response.status
        self.headers = {name.lower(): value for name, value in response.getheaders()}

    @property
    def load(self) -> ReportedLoad | None:
        """The load that the target reported with this answer."""
        return parse_load(self.headers.get(LOAD_HEADER))

    @property
    def is_framed(self) -> bool:
        """Whether the body's end can be told from a cut connection."""
        return self._response.chunked or self._response.length is not None

    def read_some(self) -> bytes:
        """Return the next bytes as they come, empty at the end.

        Raises ``OSError`` or ``HTTPException`` if the connection breaks.
        """
        chunk: bytes = self._response.read1(READ_SIZE)
        return chunk

    def read_whole(self) -> Answer:
        """Read the rest; the same errors as :meth:`read_some` if it is short."""
        body = self._response.read()
        return Answer(self.status, self.headers, body)

    def set_timeout(self, seconds: float) -> None:
        """Limit how long each further read may wait."""
        if self._connection.sock is not None:
            self._connection.sock.settimeout(seconds)

    def close(self) -> None:
        """Close the connection; it is never used again."""
        self._connection.close()
        self._response.close()
