"""Confirms with peers that a target refuses connections.

The path of one node to a target may be interrupted so that connections are refused
while the target runs.  A target that has ended refuses those of all nodes.
"""

import itertools
import random
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from functools import singledispatchmethod

from runhatch_server.peers import Fact, Member, RefusalAnswer, RefusalQuery

MAX_ASKED_PEERS = 5
"""Maximum number of peers asked about one target: the paths of most nodes may be
interrupted at once, and a single peer that reaches the target settles the question."""
ANSWER_TIMEOUT = timedelta(milliseconds=300)
"""Longest wait for the peers' answers; a probe without a response takes 200 ms."""
PROBE_WORKERS = 2
"""Maximum concurrent probes for peers."""
RefusalMessage = RefusalQuery | RefusalAnswer
"""Messages between nodes about targets that refuse connections."""


class RefusalCheck:
    """Asks peers whether targets refuse connections, and answers them; thread-safe.

    ``probe`` returns whether a target refuses connections from here, ``None`` if
    unknown.
    """

    def __init__(
        self,
        probe: Callable[[str], bool | None],
        peers: Callable[[], list[str]],
        send: Callable[[str, Fact], None],
    ) -> None:
        self._probe = probe
        self._peers = peers
        self._send = send
        self._random = random.Random()
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._inquiries: dict[int, _Inquiry] = {}
        # A probe may block, and the thread that receives messages must not.
        self._executor = ThreadPoolExecutor(PROBE_WORKERS, "probe")

    def is_confirmed(self, target: str) -> bool:
        """Return whether ``target``, which refuses connections from here, has ended.

        Blocks for at most ``ANSWER_TIMEOUT``.  It has if a peer is refused too and none
        can connect, or if there is no peer.  If no peer knows, the removal of the
        target's store entry shows its end.
        """
        peers = self._peers()
        if not peers:
            return True
        asked = self._random.sample(peers, min(len(peers), MAX_ASKED_PEERS))
        number, inquiry = next(self._numbers), _Inquiry(len(asked))
        with self._lock:
            self._inquiries[number] = inquiry
        for peer in asked:
            self._send(peer, RefusalQuery(number, target))
        inquiry.decided.wait(ANSWER_TIMEOUT.total_seconds())
        with self._lock:
            del self._inquiries[number]
        return inquiry.is_confirmed

    @singledispatchmethod
    def handle_message(self, fact: RefusalMessage, sender: Member) -> None:
        """Process a message from a peer about a target that refuses connections."""
        raise NotImplementedError(type(fact))

    @handle_message.register
    def _start_probe(self, fact: RefusalQuery, sender: Member) -> None:
        self._executor.submit(self._answer, fact, sender)

    @handle_message.register
    def _record_answer(self, fact: RefusalAnswer, sender: Member) -> None:
        with self._lock:
            inquiry = self._inquiries.get(fact.number)
            if inquiry is not None:
                inquiry.record_answer(fact.is_refused)

    def _answer(self, query: RefusalQuery, sender: Member) -> None:
        is_refused = self._probe(query.target)
        self._send(sender.address, RefusalAnswer(query.number, is_refused))


class _Inquiry:
    """The answers of peers about one target; guarded by the lock of the check."""

    def __init__(self, asked_count: int) -> None:
        self.decided = threading.Event()
        self._missing_count = asked_count
        self._is_refused = False
        self._is_accepted = False

    @property
    def is_confirmed(self) -> bool:
        return self._is_refused and not self._is_accepted

    def record_answer(self, is_refused: bool | None) -> None:
        self._missing_count -= 1
        if is_refused is not None:
            self._is_refused |= is_refused
            self._is_accepted |= not is_refused
        if self._is_accepted or not self._missing_count:
            self.decided.set()
