"""Which requests end targets, told from node to node.

A request comes again at any node, within a second, so each end is told at once, and on
from node to node while it is news.  A node that was cut off, stood still or has just
started asks for what it missed: every second each node tells one other what it knows
adds up to, and is told all where that differs.
"""

import random
from collections.abc import Callable
from datetime import timedelta
from functools import singledispatchmethod

from runhatch_coordination import Clock
from runhatch_server.crashes._watch import CrashWatch
from runhatch_server.decisions import EndedUnder
from runhatch_server.peers import (
    Fact,
    Member,
    RequestsCleared,
    SuspectsDigest,
    TargetEnded,
    TargetsEnded,
)

ASK_EVERY = timedelta(seconds=1)
"""How often a node tells another what it knows adds up to."""
MOST_TOLD = 500
"""Ends in one message, of some 50 bytes each, the gravest first."""
MILLISECOND = timedelta(milliseconds=1)
SuspectFact = TargetsEnded | RequestsCleared | SuspectsDigest
"""What nodes tell each other of requests that end targets."""


class SuspectExchange:
    """Ends of targets in and out of one node."""

    def __init__(
        self,
        crashes: CrashWatch,
        clock: Clock,
        peers: Callable[[], list[str]],
        tell: Callable[[str, Fact], None],
        tell_all: Callable[[Fact], None],
    ) -> None:
        self._crashes = crashes
        self._clock = clock
        self._peers = peers
        self._tell = tell
        self._tell_all = tell_all
        self._random = random.Random()

    def tell_news(self) -> None:
        """Tell all linked peers what is news."""
        ends, cleared = self._crashes.take_news()
        if ends:
            self._tell_all(self._fact_of(ends))
        if cleared:
            self._tell_all(RequestsCleared(cleared))

    def ask(self) -> None:
        """Have one linked peer tell what it knows, if that is something else."""
        peers = self._peers()
        if peers:
            digest = SuspectsDigest(self._crashes.digest)
            self._tell(self._random.choice(peers), digest)

    @singledispatchmethod
    def take_in(self, fact: SuspectFact, sender: Member) -> None:
        """Take in what a peer tells of ended targets, or asks."""
        raise NotImplementedError(type(fact))

    @take_in.register
    def _take_in_ends(self, fact: TargetsEnded, sender: Member) -> None:
        now = self._clock.elapsed()
        self._crashes.told(
            EndedUnder(end.fingerprint, end.target, now - end.age_ms * MILLISECOND)
            for end in fact.ends
        )

    @take_in.register
    def _take_in_cleared(self, fact: RequestsCleared, sender: Member) -> None:
        self._crashes.told_cleared(fact.fingerprints)

    @take_in.register
    def _take_in_digest(self, fact: SuspectsDigest, sender: Member) -> None:
        # One that knows the same asks for nothing.
        if fact.digest == self._crashes.digest:
            return
        known = self._crashes.known()
        if known:
            self._tell(sender.address, self._fact_of(known))

    def _fact_of(self, ends: list[EndedUnder]) -> TargetsEnded:
        now = self._clock.elapsed()
        return TargetsEnded(
            [
                TargetEnded(
                    end.fingerprint, end.target, round((now - end.at) / MILLISECOND)
                )
                for end in ends[:MOST_TOLD]
            ]
        )
