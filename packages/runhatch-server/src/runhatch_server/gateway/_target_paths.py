"""Which targets this node can connect to, and probes of those that it could not.

After a failed connect the target has ended, or the path to it is interrupted.  Probes
find out when it can be reached again, and whether other targets are out of reach too,
so that no further request waits for a connect that fails.
"""

import random
import threading
from collections.abc import Callable, Iterable
from datetime import timedelta

from runhatch_coordination import Clock
from runhatch_server.decisions import GatewayRequest, LoadBook
from runhatch_server.fleet import Target, TargetDirectory
from runhatch_server.gateway._holders import find_holders
from runhatch_server.targets import Probed, probe_connects

MAX_CONNECT_FAILURES = 2
"""Consecutive failed connects after which a target counts as down: the orderer then
plans without it, so that other targets replace it."""
PROBE_TIMEOUT = timedelta(milliseconds=400)
"""As long as a request waits for a connect."""
PROBE_INTERVAL = timedelta(milliseconds=100)
IDLE_PROBE_INTERVAL = timedelta(seconds=2)
MIN_FAILING_TARGETS = 2
"""Number of unreachable targets from which others may be out of reach too."""
RECENT_ANSWER_AGE = timedelta(seconds=1)
"""Age up to which an answer or a probe shows that the path to a target works."""
SILENCE_OF_LOST_PATHS = timedelta(seconds=1)
"""Time without an answer from any target after which failing connects mean that this
node has lost its paths to the targets."""
MIN_TARGETS_TO_JUDGE = 3
"""Number of targets below which failing connects say more of them than of the node."""
ENDED_PROBE_DELAY = timedelta(seconds=4)
"""Time after a failed connect at which a target is probed again that was found to have
ended.  Its entry has expired by then, unless the finding was wrong."""
MAX_UNTESTED_PROBES = 16
"""Maximum number of targets probed at a time only because others failed."""
MAX_PROBES = 64
"""Maximum number of targets that are probed at a time."""


class TargetPaths:
    """The targets that one node can connect to; thread-safe."""

    def __init__(
        self,
        book: LoadBook,
        lock: threading.Lock,
        directory: TargetDirectory,
        clock: Clock,
        has_connection: Callable[[str], bool],
        close_idle: Callable[[str], None],
    ) -> None:
        self._book = book
        self._lock = lock
        self._directory = directory
        self._clock = clock
        self._has_connection = has_connection
        self._close_idle = close_idle
        self._is_any_failing = False
        self._broken: set[str] = set()
        """Targets to which a connection broke since their last probe."""
        self.failure_recorded = threading.Event()
        """Set after a failed connect or a broken connection, to begin probes."""

    @property
    def probe_interval(self) -> timedelta:
        """Interval between rounds of probes."""
        is_probe_due_soon = self._is_any_failing or self._broken
        return PROBE_INTERVAL if is_probe_due_soon else IDLE_PROBE_INTERVAL

    def lacks_all(self, request: GatewayRequest) -> bool:
        """Return whether no target with the model of ``request`` can be reached."""
        holders, lacking = self._find_lacking(request)
        return bool(holders) and len(lacking) == len(holders)

    def lacks_any(self, request: GatewayRequest) -> bool:
        """Return whether a target with the model of ``request`` cannot be reached."""
        return bool(self._find_lacking(request)[1])

    def is_down(self, target: str) -> bool:
        """Return whether the last ``MAX_CONNECT_FAILURES`` connects all failed."""
        with self._lock:
            return self._book.load(target).avoidance_count >= MAX_CONNECT_FAILURES

    def find_serving(self, targets: Iterable[Target]) -> dict[str, int]:
        """Return the slots of those of ``targets`` that are neither down nor silent."""
        now = self._clock.elapsed()
        serving = {}
        with self._lock:
            for target in targets:
                load = self._book.load(target.incarnation)
                is_down = load.avoidance_count >= MAX_CONNECT_FAILURES
                if not is_down and not load.is_silent(now):
                    serving[target.incarnation] = target.slots
        return serving

    def are_lost(self, targets: list[Target]) -> bool:
        """Return whether this node seems to have lost its paths to ``targets``.

        None of them has begun an answer for ``SILENCE_OF_LOST_PATHS``, and the latest
        connects to at least half of them failed.  A failed connect counts until a probe
        after its backoff succeeds or is overdue.
        """
        if len(targets) < MIN_TARGETS_TO_JUDGE:
            return False
        now = self._clock.elapsed()
        with self._lock:
            loads = [self._book.load(target.incarnation) for target in targets]
            lacking_count = sum(load.lacks_path(now) for load in loads)
            received_at = max(load.last_received_at for load in loads)
        is_silent = now - received_at >= SILENCE_OF_LOST_PATHS
        return is_silent and 2 * lacking_count >= len(loads)

    def record_failure(self, target: str) -> None:
        """Record that no connection to ``target`` could be made."""
        now = self._clock.elapsed()
        with self._lock:
            self._book.load(target).record_connect_failure(now)
        self._is_any_failing = True
        self.failure_recorded.set()

    def record_broken(self, target: str) -> None:
        """Record that a connection to ``target`` broke before the end of an answer.

        A path that resets connections shows no sign of it on idle ones until they are
        used, and each would fail one request.
        """
        with self._lock:
            self._broken.add(target)
        self.failure_recorded.set()

    def probe(self) -> None:
        """Probe the targets that are due, and record which can be reached."""
        broken = self._take_broken()
        due = self._find_due(broken)
        if not due:
            return
        results = probe_connects(
            [(target.host, target.port) for target in due], PROBE_TIMEOUT
        )
        now = self._clock.elapsed()
        with self._lock:
            for target, result in zip(due, results, strict=True):
                load = self._book.load(target.incarnation)
                if result is Probed.ACCEPTED:
                    load.record_connected()
                    load.reached_at = now
                else:
                    load.record_connect_failure(now)
                    self._is_any_failing = True
        for target, result in zip(due, results, strict=True):
            if result is Probed.ACCEPTED:
                self._directory.record_reached(target.incarnation)
            is_broken = target.incarnation in broken
            if result is Probed.SILENT or (result is Probed.REFUSED and is_broken):
                # Packets of open connections are lost or reset too.
                self._close_idle(target.incarnation)

    def _take_broken(self) -> set[str]:
        """Return the targets that broke a connection and were not reached just now.

        A target may break the connection of each request.
        """
        earliest = self._clock.elapsed() - PROBE_INTERVAL
        with self._lock:
            taken = {
                target
                for target in self._broken
                if self._book.load(target).reached_at <= earliest
            }
            self._broken -= taken
        return taken

    def _find_lacking(
        self, request: GatewayRequest
    ) -> tuple[list[Target], list[Target]]:
        """Return the targets with the model, and those of them out of reach."""
        holders = find_holders(self._directory, request, request.adapter)
        now = self._clock.elapsed()
        with self._lock:
            lacking = [
                target
                for target in holders
                if self._book.load(target.incarnation).lacks_path(now)
                and not self._has_connection(target.incarnation)
            ]
        return holders, lacking

    def _find_due(self, broken: set[str]) -> list[Target]:
        """Return the targets to probe.

        These are those in ``broken``, those whose backoff has ended, those that owe an
        answer for too long, and all others if most targets that were tried lately
        failed: then this node has most likely lost its path to them as well.  Targets
        that were found to have ended say nothing of this node's paths: if each node
        probed all others for them, targets would get thousands of connections a second.
        """
        now = self._clock.elapsed()
        recent = now - RECENT_ANSWER_AGE
        due, untested = [], []
        failing_count = reached_count = 0
        with self._lock:
            for target in self._directory.all():
                load = self._book.load(target.incarnation)
                is_broken = target.incarnation in broken
                if load.avoidance_count:
                    has_ended = self._directory.has_ended(target.incarnation)
                    failing_count += not has_ended
                    delay = ENDED_PROBE_DELAY if has_ended else timedelta()
                    if is_broken or now >= load.next_connect_at + delay:
                        due.append(target)
                elif is_broken:
                    due.append(target)
                elif max(load.last_received_at, load.reached_at) > recent:
                    reached_count += 1
                elif load.is_silent(now):
                    due.append(target)
                else:
                    untested.append(target)
        self._is_any_failing = bool(failing_count)
        if failing_count >= max(MIN_FAILING_TARGETS, reached_count):
            due += random.sample(untested, min(len(untested), MAX_UNTESTED_PROBES))
        return due[:MAX_PROBES]
