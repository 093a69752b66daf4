"""Responses of targets: read completely, or with the body still to be read."""

import http.client
from collections.abc import Mapping
from dataclasses import dataclass

from runhatch_server.http import AnswerMemory, StrictResponse
from runhatch_server.targets._load import LOAD_HEADER, ReportedLoad, parse_load

READ_SIZE = 65_536


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete response, checked for length; header names are lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class OpenAnswer:
    """A response whose head has been read and whose body has not."""

    def __init__(
        self,
        connection: http.client.HTTPConnection,
        response: StrictResponse,
        answers: AnswerMemory | None = None,
    ) -> None:
        """``answers`` bounds the answers that are read whole."""
        self._answers = answers or AnswerMemory()
        self._connection = connection
        self._response = response
        self.status = response.status
        self.headers = {name.lower(): value for name, value in response.getheaders()}

    @property
    def load(self) -> ReportedLoad | None:
        """The load that the target reported in this response, if any."""
        return parse_load(self.headers.get(LOAD_HEADER))

    @property
    def is_framed(self) -> bool:
        """Whether a complete body can be distinguished from a truncated one."""
        return self._response.chunked or self._response.length is not None

    def read_chunk(self) -> bytes:
        """Return the next available bytes, or ``b""`` at the end of the body.

        Raises ``OSError`` or ``HTTPException`` if the connection breaks.
        """
        chunk: bytes = self._response.read1(READ_SIZE)
        return chunk

    def read_answer(self) -> Answer:
        """Read the rest of the body.

        Raises the errors of :meth:`read_chunk` if the body is incomplete, and those of
        :class:`AnswerMemory`.
        """
        body = self._answers.read_body(self._response)
        return Answer(self.status, self.headers, body)

    def set_timeout(self, seconds: float) -> None:
        """Set the timeout of each further read."""
        if self._connection.sock is not None:
            self._connection.sock.settimeout(seconds)

    def close(self) -> None:
        """Close the response and its connection, which is not reused."""
        self._connection.close()
        self._response.close()
