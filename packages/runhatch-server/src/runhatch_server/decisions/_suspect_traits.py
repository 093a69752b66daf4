"""Finds traits of prompts that crash targets, and when to try them again.

Each request that a target had not begun to answer when it ended may have crashed it,
by any of its traits. A trait that crashes targets is never seen to begin, so a begun
answer clears all traits of its request up to that moment. Of several traits that
explain the same ends, the one that explains most is held; the ends that it explains
do not count against the others.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from runhatch_server.decisions._digests import hash_end
from runhatch_server.decisions._prompt_traits import (
    ANY_MODEL,
    ONE_ADAPTER,
    ONE_MODEL,
    PREFIX,
    SCOPE_SEPARATOR,
)
from runhatch_server.decisions._suspects import ObservedEnd

MIN_MOMENTS_TO_HOLD = 2
"""Number of moments at which targets must have ended under a trait before it is held.
Each end involves the traits of all requests not begun there, nearly all harmless."""
MOMENT_DURATION = timedelta(milliseconds=100)
"""Ends within this time count as one moment: many targets may end at once for a common
cause, such as a loss of power."""
HOLD_REACTION_TIME = timedelta(seconds=3)
"""Time after the start of a hold in which requests sent before may end targets."""
FIRST_TRIAL_DELAY = timedelta(seconds=5)
"""Time from the last end to the first trial of a held trait. Until then targets that
ended may not have started again, so a trial would crash one of few others."""
SECOND_TRIAL_DELAY = timedelta(minutes=1)
REPEATED_TRIAL_DELAY = timedelta(minutes=10)
MAX_TRIAL_DELAY = timedelta(hours=2)
"""Times from the last end to the next trial after one, two and more trials that ended a
target; doubled with each further one up to ``MAX_TRIAL_DELAY``."""
MAX_DELAY_DOUBLINGS = 4
"""Number of doublings after which the delay reaches its maximum."""
END_RETENTION = timedelta(minutes=10)
"""How long an end counts against a trait that is not held, and how long a trait is held
after its next trial is due."""
MAX_ENDED_TARGETS = 2_000
MAX_SUSPECT_TRAITS = 2_000
MAX_BEGUN_TRAITS = 8_000
"""Maximum numbers of remembered targets and traits, which bound a node's memory if
callers send ever new parts."""
NEVER = timedelta(days=-1)
_GENERALITY = {ANY_MODEL: 0, ONE_MODEL: 1, ONE_ADAPTER: 2, PREFIX: 3}


@dataclass(frozen=True, slots=True)
class HeldTrait:
    """A trait whose requests are not sent."""

    trait: str
    targets: tuple[str, ...]
    """Incarnations that ended while requests with the trait had not begun there."""
    since: timedelta
    next_trial_at: timedelta


@dataclass(slots=True)
class _Record:
    """Targets that ended under one trait since an answer with it last began."""

    ended_at: dict[str, timedelta] = field(default_factory=dict)
    """Time of the end by incarnation of a target."""

    @property
    def last_end_at(self) -> timedelta:
        return max(self.ended_at.values())


class SuspectTraits:
    """Traits suspected of crashing targets, as known to one node."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._begun_at: OrderedDict[str, timedelta] = OrderedDict()
        """Time at which an answer to a request with the trait last began."""
        self._target_ended_at: OrderedDict[str, timedelta] = OrderedDict()
        """The earliest time at which an incarnation of a target is known to have ended.
        Each node that passes an end on adds the time that the message took."""
        self._held: dict[str, HeldTrait] = {}
        self._is_outdated = False
        """Whether ``_held`` must be computed again."""
        self._digest = 0

    @property
    def digest(self) -> int:
        """Hash of all recorded ends, equal on nodes that have recorded the same."""
        return self._digest

    def record_begun(self, traits: Iterable[str], at: timedelta) -> list[str]:
        """Record that an answer to a request with ``traits`` began.

        Return those under which targets had ended, and which this clears.
        """
        cleared = []
        for trait in traits:
            self._begun_at[trait] = max(at, self._begun_at.get(trait, at))
            self._begun_at.move_to_end(trait)
            if trait in self._records and self._remove_ends(trait, until=at):
                cleared.append(trait)
        while len(self._begun_at) > MAX_BEGUN_TRAITS:
            self._begun_at.popitem(last=False)
        return cleared

    def record_target_end(self, target: str, at: timedelta) -> None:
        """Record that a node found ``target`` ended at ``at``."""
        known_at = self._target_ended_at.get(target)
        if known_at is not None and known_at <= at:
            return
        self._target_ended_at[target] = at
        self._is_outdated = True
        while len(self._target_ended_at) > MAX_ENDED_TARGETS:
            self._target_ended_at.popitem(last=False)

    def find_target_end(self, end: ObservedEnd) -> timedelta:
        """Return when the target of ``end`` ended, as far as is known."""
        return self._target_ended_at.get(end.target, end.at)

    def record_ends(self, ends: Iterable[ObservedEnd]) -> list[ObservedEnd]:
        """Record ends observed on any node; return those not known before."""
        return [end for end in ends if self._record_if_new(end)]

    def find_begun(self, ends: Iterable[ObservedEnd]) -> dict[str, timedelta]:
        """Return the traits of ``ends`` that have begun since, and when they last did.

        The node that reported these ends has not learned of that.
        """
        return {
            end.fingerprint: self._begun_at[end.fingerprint]
            for end in ends
            if end.at <= self._begun_at.get(end.fingerprint, NEVER)
        }

    def count_ends(self, end: ObservedEnd) -> int:
        """Return how many targets ended under the trait of ``end``, 0 if cleared."""
        record = self._records.get(end.fingerprint)
        is_recorded = record is not None and end.target in record.ended_at
        return len(record.ended_at) if record is not None and is_recorded else 0

    def find_held(self, traits: Iterable[str]) -> list[HeldTrait]:
        """Return those of ``traits`` that are held."""
        held = self._find_all_held()
        return [held[trait] for trait in traits if trait in held]

    def all_held(self) -> list[HeldTrait]:
        """Return all held traits."""
        return [*self._find_all_held().values()]

    def known_ends(self) -> list[ObservedEnd]:
        """Return all recorded ends, those of the strongest suspects first."""
        ordered = sorted(
            self._records.items(),
            key=lambda item: (-len(item[1].ended_at), -item[1].last_end_at),
        )
        return self.list_ends(trait for trait, _ in ordered)

    def list_ends(self, traits: Iterable[str]) -> list[ObservedEnd]:
        """Return the recorded ends under ``traits``."""
        return [
            ObservedEnd(trait, target, at)
            for trait in traits
            if trait in self._records
            for target, at in self._records[trait].ended_at.items()
        ]

    def remove_expired(self, now: timedelta) -> None:
        """Remove records that are too old."""
        held = self._find_all_held()
        for trait, record in [*self._records.items()]:
            since = record.last_end_at
            if trait in held:
                since = held[trait].next_trial_at
            if now - since >= END_RETENTION:
                self._remove_ends(trait, until=record.last_end_at)

    def _record_if_new(self, end: ObservedEnd) -> bool:
        trait = end.fingerprint
        if end.at <= self._begun_at.get(trait, NEVER):
            return False
        record = self._records.setdefault(trait, _Record())
        if end.target in record.ended_at:
            return False
        record.ended_at[end.target] = end.at
        self._digest ^= hash_end(trait, end.target)
        self._is_outdated = True
        if len(self._records) > MAX_SUSPECT_TRAITS:
            self._remove_weakest()
        return True

    def _remove_weakest(self) -> None:
        """Remove a tenth of the traits: those with the fewest and oldest ends."""
        ordered = sorted(
            self._records,
            key=lambda trait: (
                len(self._records[trait].ended_at),
                self._records[trait].last_end_at,
            ),
        )
        for trait in ordered[: MAX_SUSPECT_TRAITS // 10]:
            self._remove_ends(trait, until=self._records[trait].last_end_at)

    def _remove_ends(self, trait: str, until: timedelta) -> bool:
        """Remove the ends of ``trait`` up to ``until``; return whether there were."""
        record = self._records[trait]
        removed = [target for target, at in record.ended_at.items() if at <= until]
        for target in removed:
            del record.ended_at[target]
            self._digest ^= hash_end(trait, target)
        if not record.ended_at:
            del self._records[trait]
        self._is_outdated |= bool(removed)
        return bool(removed)

    def _find_all_held(self) -> dict[str, HeldTrait]:
        if self._is_outdated:
            self._held = {trait: self._hold(trait) for trait in self._choose_held()}
            self._is_outdated = False
        return self._held

    def _choose_held(self) -> list[str]:
        """Return the fewest traits that explain all ends at several moments."""
        unexplained = {
            trait: dict(record.ended_at)
            for trait, record in self._records.items()
            if len(record.ended_at) >= MIN_MOMENTS_TO_HOLD
            and len(self._list_moments(record.ended_at)) >= MIN_MOMENTS_TO_HOLD
        }
        chosen = []
        while unexplained:
            best = max(unexplained, key=lambda t: self._rank(t, unexplained[t]))
            explained = unexplained.pop(best)
            if len(self._list_moments(explained)) < MIN_MOMENTS_TO_HOLD:
                break
            chosen.append(best)
            for trait in [*unexplained]:
                for target in explained:
                    unexplained[trait].pop(target, None)
                if not unexplained[trait]:
                    del unexplained[trait]
        return chosen

    def _rank(
        self, trait: str, ends: dict[str, timedelta]
    ) -> tuple[int, int, timedelta, str]:
        """Return the order in which traits are held, highest first.

        Of traits that explain equally many moments, this is the most general one, and
        then the one that has not begun for longest.
        """
        moments = len(self._list_moments(ends))
        begun_at = self._begun_at.get(trait, NEVER)
        generality = _GENERALITY.get(trait.partition(SCOPE_SEPARATOR)[0], 0)
        return moments, -generality, -begun_at, trait

    def _hold(self, trait: str) -> HeldTrait:
        record = self._records[trait]
        moments = self._list_moments(record.ended_at)
        since = moments[MIN_MOMENTS_TO_HOLD - 1]
        failed_trials = sum(at > since + HOLD_REACTION_TIME for at in moments)
        next_trial_at = record.last_end_at + _trial_delay(failed_trials)
        return HeldTrait(trait, tuple(record.ended_at), since, next_trial_at)

    def _list_moments(self, ends: dict[str, timedelta]) -> list[timedelta]:
        """Return the first time of each moment at which targets of ``ends`` ended."""
        times = sorted(
            self._target_ended_at.get(target, at) for target, at in ends.items()
        )
        moments: list[timedelta] = []
        for at in times:
            if not moments or at - moments[-1] >= MOMENT_DURATION:
                moments.append(at)
        return moments


def _trial_delay(failed_trials: int) -> timedelta:
    if failed_trials == 0:
        return FIRST_TRIAL_DELAY
    if failed_trials == 1:
        return SECOND_TRIAL_DELAY
    doublings = min(failed_trials - 2, MAX_DELAY_DOUBLINGS)
    return min(REPEATED_TRIAL_DELAY * (1 << doublings), MAX_TRIAL_DELAY)
