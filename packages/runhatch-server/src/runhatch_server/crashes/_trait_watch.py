"""Refuses requests whose prompts have a trait under which targets ended.

See :mod:`runhatch_server.decisions` for what counts as evidence.
"""

import threading
from collections.abc import Callable, Hashable, Iterable, Mapping
from datetime import timedelta

from runhatch_coordination import Clock
from runhatch_server.decisions import (
    HeldTrait,
    ObservedEnd,
    SuspectTraits,
    TraitTrials,
)
from runhatch_server.observability import Metrics, log_change
from runhatch_server.refusals import Executed, Reason, Refusal


class TraitWatch:
    """The traits of prompts that crash targets, as known to one node; thread-safe.

    ``owns_trials_of`` returns whether this node is the one that tries a held trait
    again. ``notify_updates`` is called when there are updates for other nodes.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        owns_trials_of: Callable[[str], bool],
        notify_updates: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._owns_trials_of = owns_trials_of
        self._notify_updates = notify_updates
        self._lock = threading.Lock()
        self._suspects = SuspectTraits()
        self._trials = TraitTrials()
        self._known_held: dict[str, HeldTrait] = {}
        """The held traits as last logged."""
        self._new_holds: set[str] = set()
        """Held traits that :meth:`take_new_holds` has not returned yet."""
        self._new_begun: dict[str, timedelta] = {}
        """Cleared traits not yet sent to peers, and when an answer with them began."""

    @property
    def digest(self) -> int:
        """Hash of all recorded ends, equal on nodes that have recorded the same."""
        with self._lock:
            return self._suspects.digest

    # Requests.

    def check(self, traits: tuple[str, ...], key: Hashable) -> Refusal | None:
        """Return a refusal of a request with ``traits``, ``None`` if it may be sent.

        ``key`` identifies the request on this node; it may be sent as a trial.
        """
        if not traits:
            return None
        now = self._clock.elapsed()
        with self._lock:
            held = self._suspects.find_held(traits)
            if not held:
                return None
            if (
                now >= held[0].next_trial_at
                and self._owns_trials_of(held[0].trait)
                and self._trials.try_start(key, held, now)
            ):
                return None
        detail = "targets ended when they began to answer prompts like this one"
        # No retry time is given, because an early retry is not wanted.
        return Refusal(
            Reason.PROMPT_CRASHES_TARGETS, Executed.NO, detail, trait=held[0].trait
        )

    def record_sent(self, key: Hashable) -> None:
        """Record that request ``key`` is sent to a target."""
        with self._lock:
            tried = self._trials.record_sent(key)
        for trait in tried:
            self._metrics.trait_trials.inc()
            log_change("prompt_trait_tried", trait=trait)

    def record_not_run(self, key: Hashable) -> None:
        """Record that the target to which request ``key`` was sent did not run it."""
        with self._lock:
            self._trials.record_not_run(key)

    def record_request_end(self, key: Hashable) -> None:
        """Record that request ``key`` has ended on this node."""
        with self._lock:
            self._trials.record_end(key, self._clock.elapsed())

    def record_begun(self, traits: tuple[str, ...]) -> None:
        """Record that a target began to answer a request with ``traits``."""
        if traits:
            self._record_begun(dict.fromkeys(traits, self._clock.elapsed()), "own")

    # Updates.

    def record_target_end(self, target: str, at: timedelta) -> None:
        """Record that a node found ``target`` ended at ``at``."""
        with self._lock:
            self._suspects.record_target_end(target, at)

    def find_target_end(self, end: ObservedEnd) -> timedelta:
        """Return when the target of ``end`` ended, as far as is known."""
        with self._lock:
            return self._suspects.find_target_end(end)

    def record_ends(
        self, ends: Iterable[ObservedEnd], source: str
    ) -> list[ObservedEnd]:
        """Record ends; return those not known before."""
        with self._lock:
            new_ends = self._suspects.record_ends(ends)
        if new_ends:
            self._log_changes(source)
        return new_ends

    def find_begun(self, ends: Iterable[ObservedEnd]) -> dict[str, timedelta]:
        """Return the traits of ``ends`` that have begun since, and when they last did.

        The node that reported these ends has not learned of that.
        """
        with self._lock:
            return self._suspects.find_begun(ends)

    def count_ends(self, end: ObservedEnd) -> int:
        """Return how many targets ended under the trait of ``end``, 0 if cleared."""
        with self._lock:
            return self._suspects.count_ends(end)

    def receive_begun(self, begun_at: Mapping[str, timedelta]) -> None:
        """Record that targets of other nodes began answers with these traits."""
        self._record_begun(begun_at, "peer")

    def take_begun(self) -> dict[str, timedelta]:
        """Return and clear the cleared traits not yet sent to peers."""
        with self._lock:
            begun, self._new_begun = self._new_begun, {}
        return begun

    def list_held_ends(self) -> list[ObservedEnd]:
        """Return the ends under held traits."""
        with self._lock:
            held = [each.trait for each in self._suspects.all_held()]
            return self._suspects.list_ends(held)

    def take_new_holds(self) -> list[ObservedEnd]:
        """Return the ends under traits that are held since the last call."""
        with self._lock:
            new_holds, self._new_holds = self._new_holds, set()
            return self._suspects.list_ends(sorted(new_holds))

    def known_ends(self) -> list[ObservedEnd]:
        """Return all recorded ends, those of the strongest suspects first."""
        with self._lock:
            return self._suspects.known_ends()

    def remove_expired(self) -> None:
        """Remove records that are too old."""
        now = self._clock.elapsed()
        with self._lock:
            self._suspects.remove_expired(now)
            self._trials.remove_expired(now)
        self._log_changes("expired")

    def _record_begun(self, begun_at: Mapping[str, timedelta], source: str) -> None:
        cleared = {}
        with self._lock:
            for trait, at in begun_at.items():
                if self._suspects.record_begun([trait], at):
                    cleared[trait] = at
            self._trials.record_begun([*cleared])
            self._new_begun.update(cleared)
        if cleared:
            self._log_changes(source)
            self._notify_updates()

    def _log_changes(self, source: str) -> None:
        """Log the traits that are held or released since the last call."""
        with self._lock:
            previous = self._known_held
            held = {each.trait: each for each in self._suspects.all_held()}
            self._known_held = held
            self._new_holds |= held.keys() - previous.keys()
        self._metrics.traits_held.set(len(held))
        now = self._clock.elapsed()
        for trait, each in held.items():
            if previous.get(trait) != each:
                log_change(
                    "prompt_trait_held",
                    trait=trait,
                    targets=list(each.targets),
                    held_for_s=round((now - each.since).total_seconds(), 1),
                    next_trial_s=round((each.next_trial_at - now).total_seconds(), 1),
                    source=source,
                )
        for trait in previous.keys() - held.keys():
            log_change("prompt_trait_released", trait=trait, source=source)
