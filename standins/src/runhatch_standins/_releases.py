"""Replace the targets of a service by those of another software version.

Callers read streams meanwhile, break some off, and take them up at other gateways.
"""

import random
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from runhatch_standins._cluster import call
from runhatch_standins._gateways import Gateway, GatewaySystem, route
from runhatch_standins._launch import Launched
from runhatch_standins._software_versions import (
    CallerStream,
    ServingTime,
    check_streams,
)
from runhatch_standins._stream_callers import StreamCaller
from runhatch_standins._target_faults import TargetFaults

SERVICE = "released"
MODEL = "m0"
TARGETS = 4
CALLERS = 8
KNOWN_SECONDS = 2.0
"""Time within which gateways know that a target has started."""
DRAIN_SECONDS = 1.5
"""Time from a target's drain to its end, by which streams in progress are broken."""


@dataclass(slots=True)
class ReleasedTarget:
    """One target of the service, and the time in which it serves."""

    worker: Launched
    version: str
    begins: float
    lock: threading.Lock = field(default_factory=threading.Lock)


class Releases:
    """A service whose targets are replaced, and the callers of its streams."""

    def __init__(self, system: GatewaySystem) -> None:
        self.streams: list[CallerStream] = []
        self.serving: list[ServingTime] = []
        self._system = system
        self._lock = threading.Lock()
        self._newest = 1
        self._targets = [self._start_target("v1") for _ in range(TARGETS)]
        routes = [route(f"/{SERVICE}/", "stream", SERVICE, resumable=True)]
        system.add_service(SERVICE, routes)

    def replace_target(self) -> None:
        """Replace one target of the oldest version by one of the newest."""
        with self._lock:
            if all(t.version == f"v{self._newest}" for t in self._targets):
                self._newest += 1
            self._targets.append(self._start_target(f"v{self._newest}"))
            old = min(self._targets, key=lambda t: int(t.version[1:]))
            self._targets.remove(old)
        with old.lock:
            call(old.worker.url, "POST", "/drain", {})
            self._end_serving(old)
            time.sleep(DRAIN_SECONDS)
            self._end_target(old)

    def crash_target(self, subject: int) -> None:
        """Kill one target, and start another one of its version."""
        with self._lock:
            target = self._targets.pop(subject % len(self._targets))
            with target.lock:
                self._end_serving(target)
                self._end_target(target)
            self._targets.append(self._start_target(target.version))

    def break_streams(
        self, faults: TargetFaults, subject: int, seconds: float, is_reset: bool
    ) -> None:
        """Break off streams of one target at random bytes."""
        with self._hold_target(subject) as target:
            faults.break_streams(target.worker.url, subject, seconds, is_reset)

    def run_caller(
        self,
        rng: random.Random,
        name: str,
        stop: threading.Event,
        is_in_touch: Callable[[Gateway, float], bool],
    ) -> None:
        """Read one stream after another until ``stop`` is set."""
        for number in range(1_000_000):
            if stop.is_set():
                return
            caller = StreamCaller(
                f"{name}-{number}",
                f"/{SERVICE}/",
                MODEL,
                rng.randint(5, 120),
                self._choose_others(rng),
                leave_after=rng.choice((0, 0, 1, 4, 20)),
                is_in_touch=is_in_touch,
            )
            self.streams.append(caller.run())
            stop.wait(rng.uniform(0, 0.1))

    def check(self) -> list[str]:
        """Return all violations by the streams."""
        still = [
            ServingTime(t.version, t.begins + KNOWN_SECONDS) for t in self._targets
        ]
        return check_streams(self.streams, [*self.serving, *still])

    def _choose_others(self, rng: random.Random) -> Callable[[int], Gateway]:
        """Return a choice of random gateways, each other than the one before."""
        gateways = self._system.gateways
        first = rng.randrange(len(gateways))
        steps = [rng.randrange(1, len(gateways)) for _ in range(3)]
        return lambda number: gateways[(first + sum(steps[:number])) % len(gateways)]

    @contextmanager
    def _hold_target(self, subject: int) -> Iterator[ReleasedTarget]:
        with self._lock:
            target = self._targets[subject % len(self._targets)]
            target.lock.acquire()
        try:
            yield target
        finally:
            target.lock.release()

    def _start_target(self, version: str) -> ReleasedTarget:
        worker = self._system.start_worker(SERVICE, MODEL, version)
        return ReleasedTarget(worker, version, time.monotonic())

    def _end_serving(self, target: ReleasedTarget) -> None:
        begins = target.begins + KNOWN_SECONDS
        self.serving.append(ServingTime(target.version, begins, time.monotonic()))

    def _end_target(self, target: ReleasedTarget) -> None:
        identity = call(target.worker.url, "GET", "/journal")["identity"]
        target.worker.kill()
        self._system.remove_row("servers", identity)
