"""Requests that run at most once: claim before sending, keep the answer after.

Nothing is refused as not run before the claim is held: until then another node
may have run the same request.
"""

import hashlib
import threading
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

from runhatch_coordination import (
    Claims,
    Clock,
    Committed,
    Done,
    Membership,
    Mismatch,
    Pending,
    Standing,
    Taken,
    Unavailable,
    require,
)
from runhatch_server.observability import Metrics, log_change
from runhatch_server.refusals import Executed, Reason, Refusal
from runhatch_server.serving._request import CallerRequest
from runhatch_server.serving._stored import AnswerStore, StoredAnswer

LOOK_EVERY = timedelta(milliseconds=100)
RECORD_TRIES = 64
FIRST_RECORD_PAUSE = timedelta(milliseconds=50)
LONGEST_RECORD_PAUSE = timedelta(seconds=1)
"""Between tries to record an answer that the store did not take, doubled each time
from the first: a repeat that comes at once waits for it, by default a second or so."""
STORE_RETRY_AFTER = timedelta(seconds=2)
OPEN_RETRY_AFTER = timedelta(seconds=2)
ANSWER_PREFIX = "answers"


class OnceGuard:
    """Claims, recorded answers and repeats of one node."""

    def __init__(
        self,
        claims: Claims,
        answers: AnswerStore,
        membership: Membership,
        metrics: Metrics,
        clock: Clock,
        wait: timedelta,
    ) -> None:
        self._claims = claims
        self._answers = answers
        self._membership = membership
        self._metrics = metrics
        self._clock = clock
        self._wait = wait
        self._pool = ThreadPoolExecutor(2, thread_name_prefix="record")
        self._closing = threading.Event()
        self._sent: set[str] = set()
        self._lock = threading.Lock()

    def begin(self, request: CallerRequest) -> Taken | StoredAnswer | Refusal:
        """Claim ``request``, or return the answer of its earlier run.

        A repeat that meets an open run waits for its answer only while the node
        that runs it is alive, and never longer than the set wait.
        """
        key = claim_key(request)
        digest = request_digest(request)
        outcome = self._claims.take(key, digest)
        give_up = self._clock.elapsed() + self._wait
        while isinstance(outcome, Pending) and self._worth_waiting(
            outcome.node, min(give_up, request.deadline)
        ):
            self._clock.sleep(LOOK_EVERY)
            outcome = self._claims.read(key, digest)
        self._metrics.claims.labels(type(outcome).__name__.lower()).inc()
        match outcome:
            case Taken():
                self._assert_first(outcome)
                return outcome
            case Done(result):
                return self._repeat(result)
            case Mismatch():
                return Refusal(Reason.KEY_REUSED, Executed.NO)
            case Pending(node):
                alive = self._is_alive(node)
                again = OPEN_RETRY_AFTER if alive else None
                detail = f"it runs on {node}" if alive else f"node {node} is gone"
                return Refusal(Reason.FIRST_RUN_OPEN, Executed.UNKNOWN, detail, again)
            case Unavailable(reason):
                return Refusal(
                    Reason.STORE_UNAVAILABLE,
                    Executed.UNKNOWN,
                    reason,
                    STORE_RETRY_AFTER,
                )

    def finish(self, taken: Taken, answer: StoredAnswer) -> None:
        """Keep ``answer`` and close the claim, in the background if need be."""
        with self._lock:
            self._sent.discard(taken.record.attempt)
        if not self._record(taken, answer):
            self._pool.submit(self._record_later, taken, answer)

    def release(self, taken: Taken) -> None:
        """Give up a claim whose request was certainly not run."""
        with self._lock:
            self._sent.discard(taken.record.attempt)
        self._claims.release(taken)

    def close(self) -> None:
        """Finish recording and stop."""
        self._closing.set()
        self._pool.shutdown()

    def _assert_first(self, taken: Taken) -> None:
        with self._lock:
            require(
                taken.record.attempt not in self._sent,
                "a claim is acted on at most once",
            )
            self._sent.add(taken.record.attempt)

    def _repeat(self, result: str) -> StoredAnswer | Refusal:
        answer = self._answers.read(result)
        if answer is not None:
            return answer
        return Refusal(
            Reason.STORE_UNAVAILABLE,
            Executed.UNKNOWN,
            "the request was run, its answer cannot be read now",
            STORE_RETRY_AFTER,
        )

    def _record(self, taken: Taken, answer: StoredAnswer) -> bool:
        name = f"{ANSWER_PREFIX}/{taken.key}-{taken.record.attempt}"
        kept = self._answers.keep(name, answer)
        if kept is None:
            return False
        return isinstance(self._claims.finish(taken, kept), Committed)

    def _record_later(self, taken: Taken, answer: StoredAnswer) -> None:
        pause = FIRST_RECORD_PAUSE
        for _ in range(RECORD_TRIES):
            if self._closing.wait(pause.total_seconds()):
                self._record(taken, answer)
                return
            if self._record(taken, answer):
                return
            pause = min(LONGEST_RECORD_PAUSE, pause * 2)
        log_change("answer_not_recorded", claim=taken.key)

    def _worth_waiting(self, node: str, give_up: timedelta) -> bool:
        return self._is_alive(node) and self._clock.elapsed() < give_up

    def _is_alive(self, node: str) -> bool:
        standing = self._membership.standing(node)
        return standing in (Standing.ALIVE, Standing.LEAVING)


def claim_key(request: CallerRequest) -> str:
    """Return the claim's key: callers cannot meet each other's keys."""
    text = f"{request.caller}\0{request.key}"
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def request_digest(request: CallerRequest) -> str:
    """Return the digest by which a repeat with another request is told."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (str(request.route), request.method, request.path):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.hexdigest()
