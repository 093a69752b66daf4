"""Runs keyed requests at most once: claims them before sending, then records answers.

Until the claim is held, another node may have run the same request, so no refusal
before that says that it did not run.
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
from runhatch_server.serving._answer_store import AnswerStore, StoredAnswer
from runhatch_server.serving._request import CallerRequest

CLAIM_POLL_INTERVAL = timedelta(milliseconds=100)
MAX_RECORD_ATTEMPTS = 64
MIN_RECORD_BACKOFF = timedelta(milliseconds=50)
MAX_RECORD_BACKOFF = timedelta(seconds=1)
"""Maximum pause between attempts to record an answer; pauses double up to it.  An
immediate repeat waits for the record, by default about a second."""
STORE_RETRY_AFTER = timedelta(seconds=2)
RUNNING_RETRY_AFTER = timedelta(seconds=2)
ANSWER_PREFIX = "answers"


class OnceGuard:
    """Claims requests, records their answers and answers repeats on one node."""

    def __init__(
        self,
        claims: Claims,
        answers: AnswerStore,
        membership: Membership,
        metrics: Metrics,
        clock: Clock,
        max_wait: timedelta,
    ) -> None:
        self._claims = claims
        self._answers = answers
        self._membership = membership
        self._metrics = metrics
        self._clock = clock
        self._wait = max_wait
        self._recorders = ThreadPoolExecutor(2, thread_name_prefix="record")
        self._closing = threading.Event()
        self._active_attempts: set[str] = set()
        self._lock = threading.Lock()

    def claim_request(self, request: CallerRequest) -> Taken | StoredAnswer | Refusal:
        """Claim ``request``, or return the answer of its previous run or a refusal.

        A repeat of an unfinished run waits for its answer while the node that runs
        it is alive, at most for the configured wait.
        """
        key = claim_key(request)
        digest = request_digest(request)
        outcome = self._claims.acquire(key, digest)
        wait_until = self._clock.elapsed() + self._wait
        while isinstance(outcome, Pending) and self._should_wait(
            outcome.node, min(wait_until, request.deadline)
        ):
            self._clock.sleep(CLAIM_POLL_INTERVAL)
            outcome = self._claims.read(key, digest)
        self._metrics.claims.labels(type(outcome).__name__.lower()).inc()
        match outcome:
            case Taken():
                self._require_first_use(outcome)
                return outcome
            case Done(result):
                return self._read_recorded(result)
            case Mismatch():
                return Refusal(Reason.KEY_REUSED, Executed.NO)
            case Pending(node):
                is_running = self._is_alive(node)
                retry_delay = RUNNING_RETRY_AFTER if is_running else None
                detail = f"it runs on {node}" if is_running else f"node {node} is gone"
                return Refusal(
                    Reason.FIRST_RUN_OPEN, Executed.UNKNOWN, detail, retry_delay
                )
            case Unavailable(reason):
                return Refusal(
                    Reason.STORE_UNAVAILABLE,
                    Executed.UNKNOWN,
                    reason,
                    STORE_RETRY_AFTER,
                )

    def finish_claim(self, claim: Taken, answer: StoredAnswer) -> None:
        """Record ``answer`` and finish the claim; retry failures in the background."""
        with self._lock:
            self._active_attempts.discard(claim.record.attempt)
        if not self._record_answer(claim, answer):
            self._recorders.submit(self._retry_recording, claim, answer)

    def release_claim(self, claim: Taken) -> None:
        """Release a claim whose request certainly did not run."""
        with self._lock:
            self._active_attempts.discard(claim.record.attempt)
        self._claims.release(claim)

    def close(self) -> None:
        """Record pending answers once more and stop."""
        self._closing.set()
        self._recorders.shutdown()

    def _require_first_use(self, taken: Taken) -> None:
        with self._lock:
            require(
                taken.record.attempt not in self._active_attempts,
                "a claim is acted on at most once",
            )
            self._active_attempts.add(taken.record.attempt)

    def _read_recorded(self, result: str) -> StoredAnswer | Refusal:
        answer = self._answers.read_answer(result)
        if answer is not None:
            return answer
        return Refusal(
            Reason.STORE_UNAVAILABLE,
            Executed.UNKNOWN,
            "the request was run, its answer cannot be read now",
            STORE_RETRY_AFTER,
        )

    def _record_answer(self, taken: Taken, answer: StoredAnswer) -> bool:
        name = f"{ANSWER_PREFIX}/{taken.key}-{taken.record.attempt}"
        claim_result = self._answers.store_answer(name, answer)
        if claim_result is None:
            return False
        return isinstance(self._claims.finish(taken, claim_result), Committed)

    def _retry_recording(self, taken: Taken, answer: StoredAnswer) -> None:
        pause = MIN_RECORD_BACKOFF
        for _ in range(MAX_RECORD_ATTEMPTS):
            if self._closing.wait(pause.total_seconds()):
                self._record_answer(taken, answer)
                return
            if self._record_answer(taken, answer):
                return
            pause = min(MAX_RECORD_BACKOFF, pause * 2)
        log_change("answer_not_recorded", claim=taken.key)

    def _should_wait(self, node: str, wait_until: timedelta) -> bool:
        return self._is_alive(node) and self._clock.elapsed() < wait_until

    def _is_alive(self, node: str) -> bool:
        standing = self._membership.standing(node)
        return standing in (Standing.ALIVE, Standing.DRAINING)


def claim_key(request: CallerRequest) -> str:
    """Return the key of the claim, which is unique to the caller."""
    text = f"{request.caller}\0{request.key}"
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def request_digest(request: CallerRequest) -> str:
    """Return a digest of ``request`` that detects a key reused for another request."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (str(request.route), request.method, request.path):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.hexdigest()
