"""Chooses the peers to which a node forwards requests whose targets it cannot reach."""

import random
from collections.abc import Iterable, Sequence
from datetime import timedelta
from typing import TypeVar

from runhatch_coordination import Vm

PEER_AVOIDANCE = timedelta(seconds=3)
"""Time for which a peer is avoided after it could not be reached, or could not reach
the targets itself."""
EXHAUSTED_PAUSE = timedelta(milliseconds=500)
"""Pause of forwarding after several peers could not reach the targets either, which
then most likely do not run."""

Key = TypeVar("Key")
Work = tuple[str, str, str]
"""Service, model and adapter of a request, which determine the targets that hold it."""


class PeerChoice:
    """Chooses peers by the outcomes of earlier requests; not thread-safe."""

    def __init__(self, failure_domain: str, seed: int | None = None) -> None:
        self._failure_domain = failure_domain
        self._random = random.Random(seed)
        self._lost_until: dict[str, timedelta] = {}
        self._cut_off_until: dict[str, timedelta] = {}
        self._unserved_until: dict[tuple[str, Work], timedelta] = {}
        self._exhausted_until: dict[Work, timedelta] = {}

    def choose(
        self, peers: Iterable[Vm], work: Work, tried: Sequence[str], now: timedelta
    ) -> Vm | None:
        """Return one of ``peers`` to forward a request to, ``None`` if none is left.

        The first try stays in the failure domain of this node, as bytes between
        failure domains are priced.  Targets may be out of reach of the whole failure
        domain, so further tries leave it.
        """
        if now < self._exhausted_until.get(work, timedelta()):
            return None
        candidates = [
            peer
            for peer in peers
            if peer.forward_port
            and peer.name not in tried
            and now >= self._lost_until.get(peer.name, timedelta())
            and now >= self._unserved_until.get((peer.name, work), timedelta())
        ]
        if not candidates:
            return None
        candidates = [
            peer
            for peer in candidates
            if now >= self._cut_off_until.get(peer.name, timedelta())
        ] or candidates
        stays = not tried
        preferred = [
            peer
            for peer in candidates
            if (peer.failure_domain == self._failure_domain) == stays
        ]
        return self._random.choice(preferred or candidates)

    def record_served(self, peer: str, work: Work) -> None:
        """Record that ``peer`` has served or itself refused a request for ``work``."""
        self._lost_until.pop(peer, None)
        self._cut_off_until.pop(peer, None)
        self._unserved_until.pop((peer, work), None)

    def record_cut_off(self, peer: str, work: Work, now: timedelta) -> None:
        """Record that ``peer`` cannot reach the targets for ``work`` either."""
        self._cut_off_until[peer] = now + PEER_AVOIDANCE
        self._unserved_until[peer, work] = now + PEER_AVOIDANCE

    def record_lost(self, peer: str, now: timedelta) -> None:
        """Record that ``peer`` could not be reached or broke off."""
        self._lost_until[peer] = now + PEER_AVOIDANCE

    def record_exhausted(self, work: Work, now: timedelta) -> None:
        """Record that several peers in a row could not reach the targets."""
        self._exhausted_until[work] = now + EXHAUSTED_PAUSE

    def remove_expired(self, now: timedelta) -> None:
        """Remove the records of outcomes that no longer count."""
        self._lost_until = _drop_past(self._lost_until, now)
        self._cut_off_until = _drop_past(self._cut_off_until, now)
        self._unserved_until = _drop_past(self._unserved_until, now)
        self._exhausted_until = _drop_past(self._exhausted_until, now)


def _drop_past(ends: dict[Key, timedelta], now: timedelta) -> dict[Key, timedelta]:
    return {key: end for key, end in ends.items() if now < end}
