"""Directory of the targets and the models they hold, as known to this node.

It merges two sources: entries that targets write to the store, which arrive late, and
messages of the orderer, which arrive at once.
"""

import threading
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, replace
from datetime import timedelta

from runhatch_coordination import Clock, Entry
from runhatch_server.fleet._ended_targets import EndedTargets
from runhatch_server.fleet._targets import HeldModels, Target, TargetState
from runhatch_server.observability import log_change

RELIST_GRACE = timedelta(seconds=1.8)
"""Time after an outage of the store before a target missing from it is removed: running
targets are listed again within about two seconds."""
ORDERER_REPORT_VALIDITY = timedelta(seconds=8)
"""Time for which the orderer's report on a target takes precedence over the target's
entry. The orderer repeats it every few seconds; entries are written every 1.2 s, and
not if only adapters changed."""
OLDER_INCARNATION_GRACE = timedelta(seconds=3)
"""Time for which an entry of an older incarnation than the known one is ignored. Late
writes of an ended incarnation arrive within seconds, and its successor overwrites them
meanwhile; an entry that remains is that of a target whose clock was set back."""
RESTORED_ENTRY_GRACE = timedelta(seconds=6)
"""Time after a restore of the store from an older copy for which entries of removed
targets are ignored unless written again: the entries of ended targets expire
meanwhile."""
REMOVED_RETENTION = timedelta(minutes=2)
"""Time for which removed incarnations are remembered; restored copies of the store are
only seconds old."""
DRAINING_RETENTION = timedelta(minutes=10)
"""Time for which an announced drain is remembered: the target's entry may expire in an
outage of the store and come back with the state ``ready`` as last written."""
CORRECTION_VALIDITY = timedelta(milliseconds=120)
"""Time for which a target that answered that it lacks a model gets no requests for it,
unless the orderer reports on the target: an adapter may be loaded within some ten
milliseconds."""


@dataclass(frozen=True, slots=True)
class ExpectedLoad:
    """A load in progress: ``target`` will hold ``model`` at about ``ready_at``."""

    target: str
    model: str
    ready_at: timedelta


@dataclass(frozen=True, slots=True)
class _Report:
    held: HeldModels
    received_at: timedelta


class TargetDirectory:
    """Targets by name, one incarnation of each; readers get immutable values.

    ``update_condition`` is notified whenever a request that found no target may find
    one now. A :class:`runhatch_coordination.FeedListener`.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.update_condition = threading.Condition()
        self._targets: dict[str, Target] = {}
        self._by_incarnation: dict[str, Target] = {}
        self._reports: dict[str, _Report] = {}
        self._expected_loads: dict[str, tuple[ExpectedLoad, ...]] = {}
        self._lacking_until: dict[tuple[str, str, str], timedelta] = {}
        self._missing_until: dict[str, timedelta] = {}
        self._draining: dict[str, timedelta] = {}
        """Time of the announcement that it drains, by incarnation."""
        self._ended = EndedTargets()
        self._removed: dict[str, timedelta] = {}
        """Time of the removal, by incarnation."""
        self._ignored_entries: dict[str, tuple[Target, timedelta]] = {}
        self._ready: defaultdict[str, dict[str, Target]] = defaultdict(dict)
        """Ready targets by service and incarnation, in order of incarnation."""
        self._by_service: dict[str, tuple[Target, ...]] = {}
        self.is_reachable = True
        """Whether the store sends updates at present."""
        self._store_returned_at = clock.elapsed()
        self._restored_at = timedelta(days=-1)
        self.is_listed = False
        """Whether the targets have been listed at least once."""

    # Updates from the store.

    def replace_entries(self, entries: tuple[Entry[Target], ...]) -> None:
        """Replace all targets by those in ``entries``."""
        with self.update_condition:
            present = {entry.key for entry in entries if entry.value is not None}
            for key in set(self._targets) - present:
                self._remove_after_grace(key)
            for entry in entries:
                if not self._is_of_removed_target(entry):
                    self._apply(entry)
            self.is_listed = True
            self._rebuild()

    def apply_entries(self, entries: tuple[Entry[Target], ...]) -> None:
        """Apply changes of single targets."""
        with self.update_condition:
            for entry in entries:
                self._apply(entry)
            self._rebuild()

    def handle_restoration(self) -> None:
        """Record that the store was restored from an older copy.

        Targets missing from the copy may still run; those known to drain or to be
        removed stay so, even if the copy lists them as ready.
        """
        now = self._clock.elapsed()
        with self.update_condition:
            self._store_returned_at = self._restored_at = now
            for target in self._targets.values():
                if target.state is TargetState.DRAINING:
                    self._draining.setdefault(target.incarnation, now)

    def handle_outage(self, reason: str) -> None:
        """Record that the store sends no updates from now on."""
        log_change("targets_unreachable", why=reason)
        with self.update_condition:
            self.is_reachable = False

    def handle_recovery(self) -> None:
        """Record that the store sends updates again."""
        log_change("targets_reachable")
        with self.update_condition:
            self.is_reachable = True

    def handle_store_return(self) -> None:
        """Record the end of an outage in which entries of running targets expired.

        Entries that disappear while the store only turns this node or its readers away
        are those of targets that have left.
        """
        log_change("targets_may_be_missing")
        with self.update_condition:
            self._store_returned_at = self._clock.elapsed()

    def remove_expired(self) -> None:
        """Remove targets missing too long, and apply ignored entries that remain."""
        now = self._clock.elapsed()
        with self.update_condition:
            expired = [
                key for key, until in self._missing_until.items() if now >= until
            ]
            for key in expired:
                self._remove(key, "not listed again")
            remaining = [
                target
                for target, until in self._ignored_entries.values()
                if now >= until
            ]
            for target in remaining:
                self._put(target)
            if expired or remaining:
                self._rebuild()
            self._delete_unlisted_reports(now)
            if self._ended.remove_expired(now):
                self._rebuild()
            _delete_older(self._draining, now - DRAINING_RETENTION)
            _delete_older(self._removed, now - REMOVED_RETENTION)

    # Updates from the orderer and from answers of targets.

    def record_report(
        self, target: str, held: HeldModels, expected: Iterable[ExpectedLoad]
    ) -> None:
        """Record the orderer's report of what ``target`` holds and is loading."""
        self.record_reports([(target, held, expected)])

    def record_reports(
        self, reports: Iterable[tuple[str, HeldModels, Iterable[ExpectedLoad]]]
    ) -> None:
        """Record the orderer's reports on several targets.

        Only these are refreshed: the orderer reports on some targets ten times a
        second, and each report reaches a node by several paths.
        """
        reported = set()
        with self.update_condition:
            now = self._clock.elapsed()
            for target, held, expected in reports:
                self._expected_loads[target] = tuple(expected)
                self._reports[target] = _Report(held, now)
                self._delete_corrections(target)
                reported.add(target)
            if reported:
                self._refresh(reported)

    def record_draining(self, incarnation: str, source: str = "answer") -> bool:
        """Record that a target drains, whatever state its entry gives.

        The entry may change many seconds later, or never. Returns whether the drain was
        not known before.
        """
        with self.update_condition:
            if incarnation in self._draining:
                return False
            self._draining[incarnation] = self._clock.elapsed()
            target = self._by_incarnation.get(incarnation)
            if target is not None:
                self._put(target, source)
                self._rebuild()
        return True

    def record_end(self, incarnation: str, at: timedelta) -> bool:
        """Record that a target ended at ``at``, long before its entry expires.

        It is not ready until it is reached again. Returns whether this was not known.
        """
        with self.update_condition:
            if not self._ended.record_end(incarnation, at, self._clock.elapsed()):
                return False
            self._rebuild()
        return True

    def has_ended(self, incarnation: str) -> bool:
        """Return whether a target was found to have ended and not reached since."""
        return incarnation in self._ended

    def record_reached(self, incarnation: str) -> None:
        """Record that a target answers or accepts connections, so it has not ended."""
        if incarnation not in self._ended:
            return
        with self.update_condition:
            if not self._ended.record_reached(incarnation, self._clock.elapsed()):
                return
            self._rebuild()
        log_change("target_reached", target=incarnation)

    def record_missing_model(self, target: str, model: str, adapter: str) -> None:
        """Record that ``target`` answered that it does not hold ``model``."""
        with self.update_condition:
            until = self._clock.elapsed() + CORRECTION_VALIDITY
            self._lacking_until[target, model, adapter] = until

    def notify_waiters(self) -> None:
        """Wake requests that wait for an update, so that they search again."""
        with self.update_condition:
            self.update_condition.notify_all()

    # Queries.

    def get(self, incarnation: str) -> Target | None:
        """Return the target with this incarnation, if known."""
        return self._by_incarnation.get(incarnation)

    def all(self) -> tuple[Target, ...]:
        """Return all known targets."""
        return tuple(self._targets.values())

    def ready_targets(self, service: str) -> tuple[Target, ...]:
        """Return the targets of ``service`` that accept new requests."""
        return self._by_service.get(service, ())

    def holders(self, service: str, model: str, adapter: str) -> list[Target]:
        """Return the ready targets that hold ``model`` with ``adapter``."""
        if not model:
            return list(self.ready_targets(service))
        return [
            target
            for target in self.ready_targets(service)
            if target.held.holds(model, adapter)
            and not self._lacks_model(target.incarnation, model, adapter)
        ]

    def earliest_load(
        self, service: str, model: str, software_version: str | None = None
    ) -> ExpectedLoad | None:
        """Return the load of ``model`` in progress that ends first, if any.

        Only targets with ``software_version`` count, unless it is ``None``.
        """
        loads = [
            load
            for target in self.ready_targets(service)
            for load in self._expected_loads.get(target.incarnation, ())
            if load.model == model
            and software_version in (None, target.software_version)
        ]
        return min(loads, key=lambda load: load.ready_at, default=None)

    def loads_at(self, target: str) -> tuple[ExpectedLoad, ...]:
        """Return the loads in progress at ``target``, as reported by the orderer."""
        return self._expected_loads.get(target, ())

    # The methods below require the lock of ``update_condition``.

    def _apply(self, entry: Entry[Target]) -> None:
        if entry.value is None:
            self._remove_after_grace(entry.key)
            return
        previous = self._targets.get(entry.key)
        if previous is not None and entry.value.is_older_than(previous):
            log_change("target_entry_old", target=previous.incarnation)
            until = self._clock.elapsed() + OLDER_INCARNATION_GRACE
            self._ignored_entries.setdefault(entry.key, (entry.value, until))
            return
        self._put(entry.value)

    def _is_of_removed_target(self, entry: Entry[Target]) -> bool:
        """Return whether a restored entry is that of a removed target.

        The entry is applied later if it still exists then.
        """
        until = self._restored_at + RESTORED_ENTRY_GRACE
        target = entry.value
        if target is None or self._clock.elapsed() >= until:
            return False
        if target.name in self._targets or target.incarnation not in self._removed:
            return False
        log_change("target_entry_old", target=target.incarnation)
        self._ignored_entries[entry.key] = (target, until)
        return True

    def _put(self, target: Target, source: str = "store") -> None:
        """Store ``target`` under its name, in place of a previous one."""
        if target.incarnation in self._draining:
            target = replace(target, state=TargetState.DRAINING)
        self._missing_until.pop(target.name, None)
        self._ignored_entries.pop(target.name, None)
        previous = self._targets.get(target.name)
        if previous is not None and previous.incarnation != target.incarnation:
            self._remove(target.name, "started again")
            previous = None
        self._targets[target.name] = target
        if previous is None:
            log_change(
                "target_learned",
                target=target.incarnation,
                service=target.service,
                software_version=target.software_version,
                address=f"{target.host}:{target.port}",
                state=target.state.value,
                models=sorted(target.held.adapters_by_model),
                on_disk=len(target.copies.on_disk),
            )
        elif previous.state is not target.state:
            log_change(
                "target_draining",
                target=target.incarnation,
                source=source,
                leaves_in=_to_seconds(target.drains_in),
            )

    def _remove_after_grace(self, key: str) -> None:
        """Remove a target, after a grace period if the store has just returned."""
        grace_end = self._store_returned_at + RELIST_GRACE
        if key not in self._targets:
            self._ignored_entries.pop(key, None)
            return
        if self._clock.elapsed() < grace_end:
            self._missing_until.setdefault(key, grace_end)
            return
        self._remove(key, "removed from the store")

    def _remove(self, key: str, reason: str) -> None:
        self._missing_until.pop(key, None)
        self._ignored_entries.pop(key, None)
        target = self._targets.pop(key, None)
        if target is None:
            return
        self._removed[target.incarnation] = self._clock.elapsed()
        self._reports.pop(target.incarnation, None)
        self._expected_loads.pop(target.incarnation, None)
        log_change("target_gone", target=target.incarnation, why=reason)

    def _delete_unlisted_reports(self, now: timedelta) -> None:
        """Delete old reports on incarnations that are not listed."""
        unlisted = [
            name
            for name, report in self._reports.items()
            if name not in self._by_incarnation
            and now - report.received_at >= ORDERER_REPORT_VALIDITY
        ]
        for name in unlisted:
            del self._reports[name]
            self._expected_loads.pop(name, None)

    def _delete_corrections(self, target: str) -> None:
        for key in [key for key in self._lacking_until if key[0] == target]:
            del self._lacking_until[key]

    def _lacks_model(self, target: str, model: str, adapter: str) -> bool:
        until = self._lacking_until.get((target, model, adapter))
        return until is not None and self._clock.elapsed() < until

    def _rebuild(self) -> None:
        """Rebuild the views read by requests from all targets."""
        self._by_incarnation = {
            target.incarnation: target for target in self._targets.values()
        }
        self._ready = defaultdict(dict)
        for target in sorted(self._targets.values(), key=lambda each: each.incarnation):
            if self._accepts_requests(target):
                updated = replace(target, held=self._newest_held(target))
                self._ready[target.service][target.incarnation] = updated
        self._by_service = {
            service: tuple(targets.values()) for service, targets in self._ready.items()
        }
        self.update_condition.notify_all()

    def _refresh(self, incarnations: set[str]) -> None:
        """Refresh the ready targets with these incarnations in the views."""
        services = set()
        for incarnation in incarnations:
            target = self._by_incarnation.get(incarnation)
            if target is not None and self._accepts_requests(target):
                updated = replace(target, held=self._newest_held(target))
                self._ready[target.service][incarnation] = updated
                services.add(target.service)
        for service in services:
            self._by_service[service] = tuple(self._ready[service].values())
        self.update_condition.notify_all()

    def _accepts_requests(self, target: Target) -> bool:
        return target.is_ready and target.incarnation not in self._ended

    def _newest_held(self, target: Target) -> HeldModels:
        report = self._reports.get(target.incarnation)
        if (
            report is None
            or self._clock.elapsed() - report.received_at >= ORDERER_REPORT_VALIDITY
        ):
            return target.held
        return report.held


def _delete_older(times: dict[str, timedelta], earliest: timedelta) -> None:
    for name in [name for name, at in times.items() if at <= earliest]:
        del times[name]


def _to_seconds(duration: timedelta | None) -> float | None:
    return None if duration is None else duration.total_seconds()
