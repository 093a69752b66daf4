"""The queue of prompts that all nodes send to one target.

An engine reads a chunk of a prompt between any two tokens of its streams. Two prompts
that arrive together from two nodes delay every stream there, and neither node knows of
the other's in time. So one node, the owner of the target, permits each prompt.

An event of a stream takes several tokens. If prompts were read all the time, each of
them would wait for a chunk. So prompts are permitted in batches that are shorter than
the pause that streams may make, and between two batches the target has the time of one
event, so that no event waits for two of them.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from datetime import timedelta
from enum import IntEnum

from runhatch_server.decisions._load import LATE_TIER, MIN_REMAINING_SHARE

READING_SHARE = 0.85
"""Share of a target's time in which prompts are read, for estimates: the rest passes
between batches."""
MAX_WAITING = 256
"""Most requests that wait for one target, which bounds the memory of its owner."""
MIN_OVERDUE_TIME = timedelta(milliseconds=200)
"""How long a prompt that should have been read counts, at least, if its node does not
release it: the node may have ended, and other prompts must not wait for it for long.
Longer prompts count for their own reading time."""
MIN_RETRY_DELAY = timedelta(milliseconds=100)
"""Shortest time after which a denied request is worth asking for again."""
MAX_EXPIRED = 64
"""Most expired permits that are remembered, to know how late their prompts begin."""
MILLISECOND = timedelta(milliseconds=1)


@dataclass(frozen=True, slots=True)
class KnownPrompts:
    """Prompts known to be at a target, whoever permitted them.

    Reading the ``count`` prompts takes ``backlog_ms``. An answer begins ``start_ms``
    after its prompt was read.
    """

    backlog_ms: float = 0.0
    count: int = 0
    start_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class BegunPrompt:
    """A prompt whose answer began, with the times from its permit until then.

    ``predicted`` is the reading ahead of it at its permit, and its own.
    """

    predicted: timedelta
    took: timedelta


class PermitState(IntEnum):
    """What the owner of a target answers to a request for a permit."""

    GRANTED = 0
    QUEUED = 1
    DENIED = 2


@dataclass(frozen=True, slots=True)
class PromptRequest:
    """A prompt that ``node`` wants to send, under a number of its own.

    Reading it takes ``work_ms`` at the target. An event of a stream there takes
    ``event_ms`` while no prompts are read, and ``pause_limit_ms`` longer at most. The
    prompt is in time if it begins to be answered within ``begin_within``, and of any
    use within ``late_within``.
    """

    node: str
    number: int
    work_ms: float
    tier: int
    pause_limit_ms: float
    event_ms: float
    begin_within: timedelta
    late_within: timedelta


@dataclass(frozen=True, slots=True)
class PromptAnswer:
    """Answer to the request ``number`` of ``node``.

    ``backlog_ms`` is the prompt reading ahead of it, and ``tier`` the one that it was
    granted. If it was denied, the target has room again after ``retry_after``.
    """

    node: str
    number: int
    state: PermitState
    backlog_ms: float
    tier: int
    retry_after: timedelta = timedelta()


@dataclass(frozen=True, slots=True)
class _Waiting:
    """A request that waits, with the times until which it is in time and of use."""

    request: PromptRequest
    tier: int
    begin_by: timedelta
    late_by: timedelta
    order: int
    is_new: bool = True

    @property
    def sort_key(self) -> tuple[int, timedelta, int]:
        return self.tier, self.begin_by, self.order


@dataclass(slots=True)
class _Granted:
    """A permitted prompt, the time to read it, and how much of that has passed."""

    cost_ms: float
    granted_at: timedelta
    predicted_ms: float
    """Reading until its answer begins, as predicted at its permit."""
    read_ms: float = 0.0
    overdue_ms: float = 0.0
    """Time since it should have been read."""
    is_reported: bool = True
    """Whether its node reports when it begins; not for prompts known by other means."""

    @property
    def remaining_ms(self) -> float:
        """Remaining reading; never zero, since a target may be slower than expected."""
        return max(self.cost_ms - self.read_ms, self.cost_ms * MIN_REMAINING_SHARE)

    @property
    def has_expired(self) -> bool:
        """Whether the permit has not been released for too long."""
        if not self.is_reported:
            return self.read_ms >= self.cost_ms
        min_overdue_ms = MIN_OVERDUE_TIME / MILLISECOND
        return self.overdue_ms >= max(min_overdue_ms, self.cost_ms)


class PromptQueue:
    """Prompts permitted and waiting at one target; the caller holds a lock."""

    def __init__(
        self, known_backlog_ms: float, now: timedelta, known_count: int = 0
    ) -> None:
        """Begin with the prompts that are already queued at the target."""
        self._granted: dict[tuple[str, int], _Granted] = {}
        """By node and number, in the order in which the target reads them."""
        self._expired: dict[tuple[str, int], _Granted] = {}
        """Prompts that count no longer and were not released, the latest ones."""
        self._known_count = known_count
        self._waiting: list[_Waiting] = []
        self._order = 0
        self._read_until = now
        self._batch_ms = known_backlog_ms
        """Reading time of the prompts permitted since the last batch ended."""
        self._batch_ended_at: timedelta | None = None
        """When the last prompt of the batch was released, ``None`` if some are not."""
        if known_backlog_ms > 0:
            self._granted["", 0] = _Granted(
                known_backlog_ms, now, known_backlog_ms, is_reported=False
            )
        self._end_batch_if_read(now)

    def __len__(self) -> int:
        return len(self._granted) + len(self._waiting)

    @property
    def outstanding(self) -> int:
        """Number of prompts at the target that have not been released."""
        known = self._known_count - 1 if ("", 0) in self._granted else 0
        return len(self._granted) + known

    def backlog_ms(self, now: timedelta) -> float:
        """Return the prompt reading permitted and not yet done, in milliseconds."""
        self._advance(now)
        return sum(granted.remaining_ms for granted in self._granted.values())

    def request(self, request: PromptRequest, now: timedelta) -> None:
        """Queue a request; :meth:`decide` answers it."""
        self._order += 1
        self._waiting.append(
            _Waiting(
                request,
                request.tier,
                now + request.begin_within,
                now + request.late_within,
                self._order,
            )
        )

    def release(self, node: str, numbers: Iterable[int], now: timedelta) -> None:
        """Remove prompts of ``node`` that ended or were given up."""
        # Time until now was spent on the prompts ahead, not on those behind them.
        self._advance(now)
        released = {(node, number) for number in numbers}
        for key in released:
            self._granted.pop(key, None)
            self._expired.pop(key, None)
        self._end_batch_if_read(now)
        self._waiting = [
            each
            for each in self._waiting
            if (each.request.node, each.request.number) not in released
        ]

    def begin(
        self, node: str, numbers: Iterable[int], now: timedelta
    ) -> list[BegunPrompt]:
        """Remove prompts of ``node`` whose answers began, and return their times.

        Prompts that were not permitted here are left out.
        """
        self._advance(now)
        keys = [(node, number) for number in numbers]
        found = [self._granted.get(key) or self._expired.get(key) for key in keys]
        self.release(node, [number for _, number in keys], now)
        return [
            BegunPrompt(granted.predicted_ms * MILLISECOND, now - granted.granted_at)
            for granted in found
            if granted is not None
        ]

    def decide(self, now: timedelta, most: int | None = None) -> list[PromptAnswer]:
        """Grant what fits, and deny what would begin too late.

        At most ``most`` prompts are outstanding at the target, if it is given. Each
        request that stays in the queue is answered once that it does.
        """
        backlog_ms = self.backlog_ms(now)
        answers: list[PromptAnswer] = []
        kept: list[_Waiting] = []
        self._waiting.sort(key=lambda each: each.sort_key)
        ahead_ms = backlog_ms
        while self._waiting:
            waiting = self._waiting.pop(0)
            work_ms = waiting.request.work_ms
            if not kept and self._fits(waiting.request, now, most):
                answers.append(self._grant(waiting, backlog_ms, now))
                backlog_ms += work_ms
                ahead_ms = backlog_ms
                continue
            begins_at = now + (ahead_ms + work_ms) / READING_SHARE * MILLISECOND
            if begins_at > waiting.begin_by and waiting.tier != LATE_TIER:
                # A late answer still has some value, but has the lowest priority.
                late = replace(waiting, tier=LATE_TIER, begin_by=waiting.late_by)
                self._waiting.append(late)
                self._waiting.sort(key=lambda each: each.sort_key)
                continue
            if begins_at > waiting.begin_by or len(kept) >= MAX_WAITING:
                answers.append(_deny(waiting, ahead_ms))
                continue
            if waiting.is_new:
                answers.append(_answer(waiting, PermitState.QUEUED, ahead_ms))
            kept.append(replace(waiting, is_new=False))
            ahead_ms += work_ms
        self._waiting = kept
        return answers

    def next_decision_in(self, now: timedelta) -> timedelta | None:
        """Return when the first waiting request may fit, ``None`` if none waits."""
        if not self._waiting:
            return None
        if self._batch_ended_at is None:
            # Decided as soon as the batch is read, which its nodes report.
            return max(self.backlog_ms(now) * MILLISECOND, MIN_RETRY_DELAY)
        event = self._waiting[0].request.event_ms * MILLISECOND
        return max(self._batch_ended_at + event - now, MILLISECOND)

    def _fits(self, request: PromptRequest, now: timedelta, most: int | None) -> bool:
        """Return whether the prompt may join the batch, or begin a new one.

        A prompt that is too long for any batch is sent alone; otherwise it would never
        be sent.
        """
        if most is not None and self.outstanding >= most:
            return False
        if self._batch_ended_at is not None:
            pause = now - self._batch_ended_at
            if pause >= request.event_ms * MILLISECOND:
                self._batch_ms = 0.0
        if self._batch_ms <= 0:
            return True
        return self._batch_ms + request.work_ms <= request.pause_limit_ms

    def _grant(
        self, waiting: _Waiting, backlog_ms: float, now: timedelta
    ) -> PromptAnswer:
        request = waiting.request
        self._granted[request.node, request.number] = _Granted(
            request.work_ms, now, backlog_ms + request.work_ms
        )
        self._batch_ms += request.work_ms
        self._batch_ended_at = None
        return _answer(waiting, PermitState.GRANTED, backlog_ms)

    def _advance(self, now: timedelta) -> None:
        """Count the time since the last call as reading of the prompts in order."""
        left_ms = max(timedelta(), now - self._read_until) / MILLISECOND
        self._read_until = max(now, self._read_until)
        for key, granted in list(self._granted.items()):
            read_ms = min(left_ms, granted.cost_ms - granted.read_ms)
            granted.read_ms += read_ms
            left_ms -= read_ms
            if granted.read_ms >= granted.cost_ms:
                granted.overdue_ms += left_ms
            if granted.has_expired:
                self._expired[key] = self._granted.pop(key)
        while len(self._expired) > MAX_EXPIRED:
            del self._expired[next(iter(self._expired))]
        self._end_batch_if_read(now)

    def _end_batch_if_read(self, now: timedelta) -> None:
        if not self._granted and self._batch_ended_at is None:
            self._batch_ended_at = now


def _answer(waiting: _Waiting, state: PermitState, backlog_ms: float) -> PromptAnswer:
    request = waiting.request
    return PromptAnswer(request.node, request.number, state, backlog_ms, waiting.tier)


def _deny(waiting: _Waiting, ahead_ms: float) -> PromptAnswer:
    retry_after = max(MIN_RETRY_DELAY, ahead_ms * MILLISECOND)
    return replace(
        _answer(waiting, PermitState.DENIED, ahead_ms), retry_after=retry_after
    )
