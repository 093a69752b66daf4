"""Limits on the length and the rate of one stream."""

from datetime import timedelta

from runhatch_server.http import AnswerLimits, AnswerTooLongError


class StreamMeter:
    """Counts the bytes of one stream, from whichever targets; decides how to limit it.

    >>> meter = StreamMeter(AnswerLimits(max_bytes=3_000, max_stream_rate=1_000))
    >>> meter.record(1_000, timedelta(seconds=5))
    datetime.timedelta(0)
    >>> meter.record(500, timedelta(seconds=5))
    datetime.timedelta(microseconds=500000)
    """

    def __init__(self, limits: AnswerLimits) -> None:
        self._limits = limits
        self._received_bytes = 0
        self._began_at: timedelta | None = None

    def record(self, size: int, now: timedelta) -> timedelta:
        """Count ``size`` bytes; return how long to wait until reading on.

        Raises ``AnswerTooLongError`` if the stream is longer than allowed.
        """
        self._received_bytes += size
        if self._received_bytes > self._limits.max_bytes:
            raise AnswerTooLongError(f"found more than {self._limits.max_bytes} bytes")
        if self._began_at is None:
            self._began_at = now
        rate = self._limits.max_stream_rate
        excess = self._received_bytes - rate
        if excess <= 0:
            return timedelta()
        due_at = self._began_at + timedelta(seconds=excess / rate)
        return max(timedelta(), due_at - now)
