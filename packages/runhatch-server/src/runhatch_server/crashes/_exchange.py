"""Notifies all nodes of targets that ended and of the requests that they ran.

A caller may retry a crashing request at any node within a second, so each end is sent
at once, and nodes forward the ends that are new to them. To catch up after a partition,
a stall or a restart, each node sends a digest of its ends to one peer every second; the
peer replies with all its ends if the digests differ.
"""

import random
from collections.abc import Callable
from datetime import timedelta
from functools import singledispatchmethod

from runhatch_coordination import Clock
from runhatch_server.crashes._watch import CrashDetector
from runhatch_server.decisions import ObservedEnd
from runhatch_server.peers import (
    Fact,
    Member,
    RequestsCleared,
    SuspectsDigest,
    TargetEnded,
    TargetsEnded,
)

DIGEST_INTERVAL = timedelta(seconds=1)
"""Interval at which a node sends its digest to a peer."""
MAX_ENDS_PER_MESSAGE = 1_000
"""Maximum number of ends in one message, about 50 bytes each; those of the strongest
suspects come first."""
MILLISECOND = timedelta(milliseconds=1)
SuspectMessage = TargetsEnded | RequestsCleared | SuspectsDigest
"""Messages between nodes about requests that crash targets."""


class SuspectExchange:
    """Sends and receives updates about ended targets for one node."""

    def __init__(
        self,
        crashes: CrashDetector,
        clock: Clock,
        peers: Callable[[], list[str]],
        send: Callable[[str, Fact], None],
        publish: Callable[[Fact], None],
    ) -> None:
        self._crashes = crashes
        self._clock = clock
        self._peers = peers
        self._send = send
        self._broadcast = publish
        self._random = random.Random()

    def send_updates(self) -> None:
        """Send new ends and cleared requests to all connected peers."""
        ends, cleared = self._crashes.take_updates()
        if ends:
            self._broadcast(self._ends_message(ends))
        begun = self._crashes.traits.take_begun()
        if cleared or begun:
            now = self._clock.elapsed()
            ages = {name: round((now - at) / MILLISECOND) for name, at in begun.items()}
            self._broadcast(RequestsCleared(cleared, ages))

    def send_digest(self) -> None:
        """Send the digest to a random connected peer, which replies on a mismatch."""
        peers = self._peers()
        if peers:
            digest = SuspectsDigest(self._crashes.digest)
            self._send(self._random.choice(peers), digest)

    @singledispatchmethod
    def handle_message(self, fact: SuspectMessage, sender: Member) -> None:
        """Process a message from a peer about ended targets."""
        raise NotImplementedError(type(fact))

    @handle_message.register
    def _record_ends(self, fact: TargetsEnded, sender: Member) -> None:
        now = self._clock.elapsed()
        self._crashes.receive_ends(
            ObservedEnd(end.fingerprint, end.target, now - end.age_ms * MILLISECOND)
            for end in fact.ends
        )

    @handle_message.register
    def _record_cleared(self, fact: RequestsCleared, sender: Member) -> None:
        self._crashes.receive_cleared(fact.fingerprints)
        now = self._clock.elapsed()
        self._crashes.traits.receive_begun(
            {name: now - age * MILLISECOND for name, age in fact.begun_traits.items()}
        )

    @handle_message.register
    def _answer_digest(self, fact: SuspectsDigest, sender: Member) -> None:
        # Equal digests: the sender has nothing to catch up on.
        if fact.digest == self._crashes.digest:
            return
        known_ends = self._crashes.known_ends()
        if known_ends:
            self._send(sender.address, self._ends_message(known_ends))

    def _ends_message(self, ends: list[ObservedEnd]) -> TargetsEnded:
        now = self._clock.elapsed()
        return TargetsEnded(
            [
                TargetEnded(
                    end.fingerprint, end.target, round((now - end.at) / MILLISECOND)
                )
                for end in ends[:MAX_ENDS_PER_MESSAGE]
            ]
        )
