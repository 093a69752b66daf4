"""Connections of callers, whose requests are bounded by the server."""

import time
from typing import Any

from waitress.task import ErrorTask

from runhatch_server.http._channel import FramingChannel
from runhatch_server.http._parser import BoundedParser
from runhatch_server.http._refusals import BuildRefusal, status_line

MAX_STEPS_PER_READ = 64
SMALL_CHUNKS_RECEIVE_BYTES = 1_024
"""Bytes read at once from a connection with small chunks: each costs as much time as
some hundred bytes, and other connections wait meanwhile."""


class RefusalTask(ErrorTask):  # type: ignore[misc]
    """Answers a request that the server itself refuses."""

    def execute(self) -> None:
        """Send the refusal, after which the connection closes."""
        refusal = self.request.refusal
        if refusal is None:
            super().execute()
            return
        headers = {
            name.replace("_", "-").lower(): value
            for name, value in self.request.headers.items()
        }
        answer = self.channel.build_refusal(refusal, headers)
        self.status = status_line(refusal)
        self.response_headers.extend(answer.headers)
        self.set_close_on_finish()
        self.content_length = len(answer.body)
        self.write(answer.body)


class BoundedChannel(FramingChannel):
    """A connection whose requests are bounded."""

    error_task_class = RefusalTask
    request: BoundedParser | None

    def __init__(
        self,
        build_refusal: BuildRefusal,
        *arguments: Any,
        **named: Any,
    ) -> None:
        """The further arguments are waitress's."""
        self.build_refusal = build_refusal
        self._has_small_chunks = False
        super().__init__(*arguments, **named)

    def parser_class(self, settings: Any) -> BoundedParser:
        """Return the parser of the next request."""
        return BoundedParser(settings)

    def handle_read(self) -> None:
        """Receive and parse some bytes."""
        try:
            data = self.recv(self._choose_receive_bytes())
        except OSError:
            self.handle_close()
            return
        if data:
            self.last_activity = time.time()
            self.received(data)
        else:
            self.connected = False

    def received(self, data: bytes) -> bool:
        """Parse ``data``, which the caller sent."""
        steps_before = self._step_count
        is_accepted = super().received(data)
        self._has_small_chunks = self._step_count - steps_before > MAX_STEPS_PER_READ
        return is_accepted

    @property
    def _step_count(self) -> int:
        request = self.request
        return 0 if request is None else request.step_count

    def _choose_receive_bytes(self) -> int:
        if self._has_small_chunks:
            return SMALL_CHUNKS_RECEIVE_BYTES
        return int(self.adj.recv_bytes)
