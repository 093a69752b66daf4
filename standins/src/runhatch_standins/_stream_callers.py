"""Callers that read a stream and take it up again at another gateway."""

import http.client
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from runhatch_standins._gateways import Gateway, request_headers
from runhatch_standins._software_versions import (
    CallerStream,
    StreamTry,
    parse_events,
    parse_refusal_reason,
)

TIMEOUT_SECONDS = 5.0
MAX_PAUSE_SECONDS = 2.0
READ_BYTES = 65_536


@dataclass(slots=True)
class StreamCaller:
    """Reads one stream over several tries.

    ``choose`` returns the gateway for the try with a number.  ``leave_after`` is the
    number of events after which the caller breaks its first connection.  The last try
    begins ``longest_seconds`` after the first at the latest.
    """

    name: str
    path: str
    model: str
    tokens: int
    choose: Callable[[int], Gateway]
    max_tries: int = 4
    leave_after: int = 0
    longest_seconds: float = float("inf")
    is_in_touch: Callable[[Gateway, float], bool] = lambda gate, began: True
    """Whether the gateway has run without a fault since a time."""
    began: threading.Event = field(default_factory=threading.Event)
    """Set when the first event has arrived."""
    stream: CallerStream = field(init=False)

    def __post_init__(self) -> None:
        self.stream = CallerStream(self.name, self.tokens)

    def run(self, max_tries: int | None = None) -> CallerStream:
        """Try until the stream is complete, or ``max_tries`` times more."""
        first = len(self.stream.tries)
        ends = time.monotonic() + self.longest_seconds
        for number in range(first, first + (max_tries or self.max_tries)):
            pause = self._try(number)
            if self.stream.is_complete or time.monotonic() + pause > ends:
                break
            time.sleep(pause)
        self.began.set()
        return self.stream

    def _try(self, number: int) -> float:
        """Try once; return the seconds to wait before the next try."""
        gate = self.choose(number)
        attempt_id = f"{self.name}-{number}"
        headers = self._headers(attempt_id)
        received = _Received()
        connection = http.client.HTTPConnection(
            "127.0.0.1", gate.front, timeout=TIMEOUT_SECONDS
        )
        began = time.monotonic()
        try:
            connection.request("POST", self.path + attempt_id, headers=headers)
            response = connection.getresponse()
            received.status = response.status
            received.retry_after = float(response.getheader("Retry-After") or 0)
            self._read(response, received, self.leave_after if number == 0 else 0)
        except (OSError, http.client.HTTPException, ValueError):
            # The events that have arrived count.
            pass
        finally:
            connection.close()
        is_answer = received.status == http.client.OK
        attempt = StreamTry(
            attempt_id,
            gate.name,
            began,
            time.monotonic(),
            received.status,
            parse_events(received.text) if is_answer else (),
            is_take_up="Last-Event-Id" in headers,
            is_in_touch=self.is_in_touch(gate, began),
            reason="" if is_answer else parse_refusal_reason(received.text),
        )
        self.stream.tries.append(attempt)
        return min(received.retry_after, MAX_PAUSE_SECONDS)

    def _headers(self, attempt_id: str) -> dict[str, str]:
        headers = request_headers(attempt_id, self.model, self.tokens)
        events = self.stream.events
        if events:
            headers["Last-Event-Id"] = str(events[-1].number)
            headers["Resumes"] = self.stream.first_attempt_id
        return headers

    def _read(
        self,
        response: http.client.HTTPResponse,
        received: "_Received",
        leave_after: int,
    ) -> None:
        while data := response.read1(READ_BYTES):
            received.text += data.decode()
            events = parse_events(received.text)
            if events and response.status == http.client.OK:
                self.began.set()
            if leave_after and len(events) >= leave_after:
                return


@dataclass(slots=True)
class _Received:
    status: int = 0
    retry_after: float = 0.0
    text: str = ""


def take_turns(gateways: Sequence[Gateway], first: int) -> Callable[[int], Gateway]:
    """Return a choice of ``gateways`` in turn, from the one at index ``first``."""
    return lambda number: gateways[(first + number) % len(gateways)]
