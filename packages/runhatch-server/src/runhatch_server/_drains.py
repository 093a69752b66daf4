"""Which targets take no new work, by any of three signs."""

from collections.abc import Callable
from datetime import timedelta

from runhatch_coordination import Clock
from runhatch_server.configuration import Deployment

REMEMBERED = timedelta(seconds=15)
"""How long a target's own word that it drains holds after it was last said."""


class DrainTracker:
    """Joins the operators' drains, the VM list and the targets' own answers.

    ``on_change`` is given the whole set whenever it may have changed.
    """

    def __init__(
        self, clock: Clock, on_change: Callable[[frozenset[str]], None]
    ) -> None:
        self._clock = clock
        self._on_change = on_change
        self._deployment = Deployment()
        self._leaving: frozenset[str] = frozenset()
        self._told: dict[str, timedelta] = {}

    def configure(self, deployment: Deployment) -> None:
        """Use another deployment's drains and VMs."""
        self._deployment = deployment
        self._tell()

    def listed(self, leaving: frozenset[str]) -> None:
        """Take in the names of the VMs that the platform says are leaving."""
        if leaving != self._leaving:
            self._leaving = leaving
            self._tell()

    def said(self, targets: frozenset[str]) -> bool:
        """Take in targets that said they drain; returns whether any was news."""
        now = self._clock.elapsed()
        fresh = targets - self._told.keys()
        for target in targets:
            self._told[target] = now
        if fresh:
            self._tell()
        return bool(fresh)

    def forget_old(self) -> None:
        """Try targets again that have not said for a while that they drain."""
        now = self._clock.elapsed()
        past = [name for name, at in self._told.items() if now - at >= REMEMBERED]
        for target in past:
            del self._told[target]
        if past:
            self._tell()

    def _tell(self) -> None:
        drained = set(self._deployment.drained_targets) | set(self._told)
        for pool in self._deployment.pools:
            drained |= {t.name for t in pool.targets if t.vm in self._leaving}
        for service in self._deployment.plain_services:
            drained |= {t.name for t in service.targets if t.vm in self._leaving}
        self._on_change(frozenset(drained))
