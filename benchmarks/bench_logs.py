"""Processor time of a request's record: no logs, by the queue, written at once."""

import statistics
import sys
import time
from collections.abc import Callable
from pathlib import Path
from unittest.mock import patch

import eliot
from _reporting import Report

sys.path.insert(0, str(Path(__file__).parent.parent / "packages/runhatch-server/tests"))

from gateway_cases import make_request, make_target, seconds

from runhatch_coordination import SystemClock
from runhatch_server.gateway import _records
from runhatch_server.gateway._balancer import Grant
from runhatch_server.gateway._records import RequestRecord, RequestRecorder
from runhatch_server.observability import LogLevel, LogQueue, Metrics

REQUESTS = 1_500
"""Requests of one trial; fewer than the queue takes, so that none is left out."""
TRIALS = 15

Destination = Callable[[dict[str, object]], None]
Log = Callable[..., None]


def make_record(clock: SystemClock) -> RequestRecord:
    """Return the record of a stream that was answered at its first target."""
    record = RequestRecord(make_request(clock))
    grant = Grant(1, make_target(), record.request, 80.0, seconds(0), 0, 4)
    record.attempt(grant, "status_200")
    record.first_byte_after(seconds(0.08))
    record.streamed("answered", 40)
    return record


def trial(log: Log, destination: Destination | None) -> tuple[float, float]:
    """Return processor time and caller's time of a request, in microseconds."""
    clock = SystemClock()
    recorder = RequestRecorder(Metrics(), clock)
    record = make_record(clock)
    if destination is not None:
        eliot.add_destinations(destination)
    with patch.object(_records, "log_change", log):
        used = time.process_time()
        begun = time.perf_counter()
        for _ in range(REQUESTS):
            recorder.ended(record)
        waited = time.perf_counter() - begun
        if isinstance(destination, LogQueue):
            destination.flush(10.0)
            assert not destination.dropped
        used = time.process_time() - used
    if destination is not None:
        eliot.remove_destination(destination)
    return used / REQUESTS * 1e6, waited / REQUESTS * 1e6


def no_log(message_type: str, **fields: object) -> None:
    """Log nothing."""


def main() -> None:
    """Try each way in turn, again and again, so that the host's moods mix."""
    report = Report("logs", "Logs of requests", "make bench-logs")
    log_change = _records.log_change
    with Path("/dev/null").open("w") as stream:
        encoder = eliot.json.EliotJSONEncoder()

        def write(message: dict[str, object]) -> None:
            stream.write(f"{encoder.encode(message)}\n")
            stream.flush()

        queue = LogQueue(stream, LogLevel.REQUEST)
        ways: dict[str, tuple[Log, Destination | None]] = {
            "none": (no_log, None),
            "by the queue": (log_change, queue),
            "written at once": (log_change, write),
        }
        results: dict[str, list[tuple[float, float]]] = {name: [] for name in ways}
        for _ in range(TRIALS):
            for name, (log, destination) in ways.items():
                results[name].append(trial(log, destination))
    for name, trials in results.items():
        report.add(
            logs=name,
            processor_us=statistics.median(used for used, _ in trials),
            request_waits_us=statistics.median(waited for _, waited in trials),
        )
    report.note(
        f"Metrics and one line of a request that was answered, {REQUESTS} in a "
        f"trial, medians of {TRIALS} trials of each in turn; into /dev/null, which "
        "never makes anybody wait."
    )
    report.write()


if __name__ == "__main__":
    main()
