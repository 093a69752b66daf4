"""Notifies all nodes of targets that ended and of the requests that they ran.

A target that ends concerns every node: requests to it fail. Its name is sent to all
linked peers, and forwarded by each node that did not know it.

The requests and traits that were in progress there are evidence, nearly all of it
harmless: several targets that end at once leave thousands of suspects, which answers
that begin elsewhere soon clear. A node sends the strongest suspects first, most of them
to a few peers only, and no more in a second than a bound that does not grow with the
number of nodes. What is cleared before its turn is not sent.

To catch up after a partition, a stall or a restart, each node sends a digest of its
ends to one peer every second; the peer replies with some of its ends if the digests
differ.

A node that holds a trait asks some peers whether it has begun there: a node that missed
that would refuse harmless requests.
"""

import random
import threading
from collections.abc import Callable, Iterable
from datetime import timedelta
from functools import singledispatchmethod

from runhatch_coordination import Clock
from runhatch_server.crashes._evidence_budget import EvidenceBudget
from runhatch_server.crashes._packing import pack_suspect, unpack_suspect
from runhatch_server.crashes._watch import CrashDetector
from runhatch_server.decisions import ObservedEnd
from runhatch_server.observability import log_change
from runhatch_server.peers import (
    Fact,
    Member,
    RequestsCleared,
    SuspectOfEnd,
    SuspectsDigest,
    TargetEnded,
    TargetsEnded,
)

DIGEST_INTERVAL = timedelta(seconds=1)
"""Interval at which a node sends its digest to a peer."""
UPDATE_INTERVAL = timedelta(milliseconds=50)
"""Shortest interval between two updates."""
EVIDENCE_PEERS = 3
"""Number of linked peers that evidence is sent to. Nodes that it does not reach so
catch up by digests."""
MAX_SUSPECTS_PER_REPLY = 100
"""Maximum number of suspects in the reply to a digest, half of them the strongest."""
CLEARED_INTERVAL = timedelta(milliseconds=200)
"""Shortest interval between two messages about cleared requests and begun traits."""
MAX_CLEARED_PER_MESSAGE = 120
MAX_PENDING = 4_000
"""Maximum number of ends that wait to be sent; the weakest ones are dropped."""
ANNOUNCED_RETENTION = timedelta(minutes=1)
"""How long a node remembers which ended targets it has announced."""
MILLISECOND = timedelta(milliseconds=1)
SuspectMessage = TargetsEnded | RequestsCleared | SuspectsDigest
"""Messages between nodes about requests that crash targets."""


class SuspectExchange:
    """Sends and receives updates about ended targets for one node; thread-safe."""

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
        self._publish = publish
        self._random = random.Random()
        self._lock = threading.Lock()
        self._announced: dict[str, timedelta] = {}
        """When each ended target was announced."""
        self._new_targets: dict[str, timedelta] = {}
        """Ended targets to announce, and when they ended."""
        self._budget = EvidenceBudget()
        self._cleared_sent_at = timedelta(days=-1)
        self._pending_ends: list[ObservedEnd] = []
        """Evidence not sent yet, the strongest suspects first."""
        self._pending_cleared: list[str] = []
        self._pending_begun: dict[str, timedelta] = {}
        self.update_wanted = threading.Event()
        """Set when there are updates to send."""

    def send_paced_updates(self) -> None:
        """Send updates, then pause so that further ones are sent together."""
        if self.send_updates():
            self.update_wanted.set()
        self._clock.sleep(UPDATE_INTERVAL)

    def send_updates(self) -> bool:
        """Announce ended targets, and send the most important evidence.

        Return whether updates are left.
        """
        with self._lock:
            ends, cleared = self._crashes.take_updates()
            find_target_end = self._crashes.traits.find_target_end
            self._note_targets({end.target: find_target_end(end) for end in ends})
            self._pending_ends += ends
            self._pending_cleared += cleared
            self._pending_begun.update(self._crashes.traits.take_begun())
            targets, self._new_targets = self._new_targets, {}
        if targets:
            ages = self._ages(targets).items()
            self._publish(TargetsEnded([TargetEnded(*each) for each in ages]))
        self._send_evidence()
        self._ask_for_begun(self._crashes.traits.take_new_holds(), self._choose_peers())
        return bool(self._pending_ends or self._pending_cleared or self._pending_begun)

    def _send_evidence(self) -> None:
        now = self._clock.elapsed()
        with self._lock:
            pending = self._crashes.rank_ends(self._pending_ends)
            age = min((now - end.at for end in pending), default=timedelta())
            allowed = self._budget.take(len(pending), age, now)
            count = allowed.to_all + allowed.to_some
            evidence, self._pending_ends = pending[:count], pending[count:MAX_PENDING]
            names, begun = self._take_cleared(now)
        if allowed.to_all:
            self._publish(self._make_message(evidence))
        for peer in self._choose_peers():
            if allowed.to_some:
                self._send(peer, self._make_message(evidence))
            if names or begun:
                self._send(peer, RequestsCleared(names, self._pack_begun(begun)))

    def send_digest(self) -> None:
        """Send the digest to a random connected peer, which replies on a mismatch."""
        peers = self._peers()
        if peers:
            digest = SuspectsDigest(self._crashes.digest)
            self._send(self._random.choice(peers), digest)
            held = self._crashes.traits.list_held_ends()
            self._ask_for_begun(held, self._choose_peers())

    @singledispatchmethod
    def handle_message(self, fact: SuspectMessage, sender: Member) -> None:
        """Process a message from a peer about ended targets."""
        raise NotImplementedError(type(fact))

    @handle_message.register
    def _record_ends(self, fact: TargetsEnded, sender: Member) -> None:
        now = self._clock.elapsed()
        targets = {
            each.target: now - each.age_ms * MILLISECOND for each in fact.targets
        }
        with self._lock:
            self._note_targets(targets)
        if self._new_targets:
            self.update_wanted.set()
        for target, at in targets.items():
            self._crashes.receive_ended_target(target, at)
        ends = _decode_suspects(fact, now)
        begun = self._crashes.traits.find_begun(ends) if fact.wants_begun else {}
        if begun:
            # The sender has missed it, or would no longer know the ends.
            self._send(sender.address, RequestsCleared([], self._pack_begun(begun)))
        self._crashes.receive_ends(ends)

    @handle_message.register
    def _record_cleared(self, fact: RequestsCleared, sender: Member) -> None:
        self._crashes.receive_cleared(fact.fingerprints)
        now = self._clock.elapsed()
        begun = {}
        for packed, age_ms in fact.begun_traits.items():
            name = _unpack(packed)
            if name is not None:
                begun[name] = now - age_ms * MILLISECOND
        self._crashes.traits.receive_begun(begun)

    @handle_message.register
    def _answer_digest(self, fact: SuspectsDigest, sender: Member) -> None:
        # Equal digests: the sender has nothing to catch up on.
        if fact.digest == self._crashes.digest:
            return
        ends = self._crashes.known_ends()
        if len(ends) > MAX_SUSPECTS_PER_REPLY:
            strongest = MAX_SUSPECTS_PER_REPLY // 2
            others = MAX_SUSPECTS_PER_REPLY - strongest
            # The sender may lack weak suspects only, and get the strongest each time.
            ends = ends[:strongest] + self._random.sample(ends[strongest:], others)
        if ends:
            self._send(sender.address, self._make_message(ends, wants_begun=True))

    def _note_targets(self, targets: dict[str, timedelta]) -> None:
        """Note those of ``targets`` that ended lately and are not announced yet.

        Nodes repeat the ends under held traits, of targets that are long gone.
        """
        now = self._clock.elapsed()
        new = {
            name: at
            for name, at in targets.items()
            if name not in self._announced and now - at < ANNOUNCED_RETENTION
        }
        if new:
            self._new_targets |= new
            kept = {
                name: at
                for name, at in self._announced.items()
                if now - at < ANNOUNCED_RETENTION
            }
            self._announced = kept | dict.fromkeys(new, now)

    def _take_cleared(self, now: timedelta) -> tuple[list[str], dict[str, timedelta]]:
        """Take the cleared requests and begun traits of the next message."""
        is_waiting = self._pending_cleared or self._pending_begun
        if not is_waiting or now - self._cleared_sent_at < CLEARED_INTERVAL:
            return [], {}
        self._cleared_sent_at = now
        names = self._pending_cleared[:MAX_CLEARED_PER_MESSAGE]
        del self._pending_cleared[:MAX_CLEARED_PER_MESSAGE]
        begun = {
            name: self._pending_begun.pop(name)
            for name in [*self._pending_begun][:MAX_CLEARED_PER_MESSAGE]
        }
        return names, begun

    def _ask_for_begun(self, held: list[ObservedEnd], peers: Iterable[str]) -> None:
        """Ask ``peers`` which traits of ``held`` have begun since."""
        if held:
            message = self._make_message(
                held[:MAX_SUSPECTS_PER_REPLY], wants_begun=True
            )
            for peer in peers:
                self._send(peer, message)

    def _choose_peers(self) -> list[str]:
        peers = self._peers()
        if len(peers) <= EVIDENCE_PEERS:
            return peers
        return self._random.sample(peers, EVIDENCE_PEERS)

    def _ages(self, times: dict[str, timedelta]) -> dict[str, int]:
        now = self._clock.elapsed()
        return {name: round((now - at) / MILLISECOND) for name, at in times.items()}

    def _pack_begun(self, begun: dict[str, timedelta]) -> dict[bytes, int]:
        return {pack_suspect(name): age for name, age in self._ages(begun).items()}

    def _make_message(
        self, ends: Iterable[ObservedEnd], wants_begun: bool = False
    ) -> TargetsEnded:
        now = self._clock.elapsed()
        targets: dict[str, TargetEnded] = {}
        suspects = []
        indexes: dict[str, int] = {}
        for end in ends:
            age_ms = round((now - end.at) / MILLISECOND)
            index = indexes.setdefault(end.target, len(indexes))
            if end.target not in targets:
                ended_at = self._crashes.traits.find_target_end(end)
                target_age_ms = round((now - ended_at) / MILLISECOND)
                targets[end.target] = TargetEnded(end.target, target_age_ms)
            suspects.append(SuspectOfEnd(pack_suspect(end.fingerprint), index, age_ms))
        return TargetsEnded([*targets.values()], suspects, wants_begun)


def _decode_suspects(fact: TargetsEnded, now: timedelta) -> list[ObservedEnd]:
    """Return the suspects in ``fact``; unreadable ones are logged and left out."""
    ends = []
    for each in fact.suspects:
        name = _unpack(each.name)
        if name is None or not 0 <= each.index < len(fact.targets):
            continue
        target = fact.targets[each.index].target
        ends.append(ObservedEnd(name, target, now - each.age_ms * MILLISECOND))
    return ends


def _unpack(packed: bytes) -> str | None:
    """Return the name in ``packed``; an unreadable one is logged."""
    try:
        return unpack_suspect(packed)
    except ValueError as error:
        log_change("suspect_unreadable", why=str(error))
        return None
