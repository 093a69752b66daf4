"""Processor time of a request's record: no log, queued log or synchronous log."""

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
"""Requests per trial; fewer than the queue's capacity, so that none is dropped."""
TRIALS = 15

Destination = Callable[[dict[str, object]], None]
Log = Callable[..., None]


def make_record(clock: SystemClock) -> RequestRecord:
    """Return the record of a stream answered by its first target."""
    record = RequestRecord(make_request(clock))
    grant = Grant(1, make_target(), record.request, 80.0, seconds(0), 0, 4)
    record.record_attempt(grant, "status_200")
    record.record_first_byte(seconds(0.08))
    record.record_stream("answered", 40)
    return record


def run_trial(log: Log, destination: Destination | None) -> tuple[float, float]:
    """Return the processor time and the delay of a request, in microseconds."""
    clock = SystemClock()
    recorder = RequestRecorder(Metrics(), clock)
    record = make_record(clock)
    if destination is not None:
        eliot.add_destinations(destination)
    with patch.object(_records, "log_change", log):
        cpu_seconds = time.process_time()
        started = time.perf_counter()
        for _ in range(REQUESTS):
            recorder.record(record)
        waited = time.perf_counter() - started
        if isinstance(destination, LogQueue):
            destination.flush(10.0)
            assert not destination.dropped
        cpu_seconds = time.process_time() - cpu_seconds
    if destination is not None:
        eliot.remove_destination(destination)
    return cpu_seconds / REQUESTS * 1e6, waited / REQUESTS * 1e6


def discard_log(message_type: str, **fields: object) -> None:
    """Discard the message."""


def main() -> None:
    """Run the methods in turn, so that variations of the host affect all alike."""
    report = Report("logs", "Logs of requests", "make bench-logs")
    log_change = _records.log_change
    with Path("/dev/null").open("w") as stream:
        encoder = eliot.json.EliotJSONEncoder()

        def write(message: dict[str, object]) -> None:
            stream.write(f"{encoder.encode(message)}\n")
            stream.flush()

        queue = LogQueue(stream, LogLevel.REQUEST)
        methods: dict[str, tuple[Log, Destination | None]] = {
            "none": (discard_log, None),
            "by the queue": (log_change, queue),
            "written at once": (log_change, write),
        }
        results: dict[str, list[tuple[float, float]]] = {name: [] for name in methods}
        for _ in range(TRIALS):
            for name, (log, destination) in methods.items():
                results[name].append(run_trial(log, destination))
    for name, trials in results.items():
        report.add(
            logs=name,
            processor_us=statistics.median(cpu_seconds for cpu_seconds, _ in trials),
            request_waits_us=statistics.median(waited for _, waited in trials),
        )
    report.add_note(
        f"Metrics and one log line of an answered request, {REQUESTS} requests per "
        f"trial, medians of {TRIALS} alternating trials; written to /dev/null, which "
        "never blocks."
    )
    report.write()


if __name__ == "__main__":
    main()
