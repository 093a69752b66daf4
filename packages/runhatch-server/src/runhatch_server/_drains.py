"""Tracks the targets that take no new work, from three sources."""

from collections.abc import Callable
from datetime import timedelta

from runhatch_coordination import Clock
from runhatch_server.configuration import Deployment

DRAIN_REPORT_TTL = timedelta(seconds=15)
"""How long a target counts as draining after its last report that it drains."""


class DrainTracker:
    """Combines operators' drains, the VM list and the targets' own answers.

    ``on_change`` is called with the whole set whenever the set may have changed.
    """

    def __init__(
        self, clock: Clock, on_change: Callable[[frozenset[str]], None]
    ) -> None:
        self._clock = clock
        self._on_change = on_change
        self._deployment = Deployment()
        self._draining_vms: frozenset[str] = frozenset()
        self._reported_at: dict[str, timedelta] = {}

    def set_deployment(self, deployment: Deployment) -> None:
        """Replace the deployment whose drains and VMs are used."""
        self._deployment = deployment
        self._publish_drained()

    def set_draining_vms(self, draining_vms: frozenset[str]) -> None:
        """Record the names of the VMs that the platform is shutting down."""
        if draining_vms != self._draining_vms:
            self._draining_vms = draining_vms
            self._publish_drained()

    def record_reports(self, targets: frozenset[str]) -> bool:
        """Record reports that ``targets`` drain; return whether any target is new."""
        now = self._clock.elapsed()
        new_targets = targets - self._reported_at.keys()
        for target in targets:
            self._reported_at[target] = now
        if new_targets:
            self._publish_drained()
        return bool(new_targets)

    def remove_expired(self) -> None:
        """Remove targets whose last report that they drain has expired."""
        now = self._clock.elapsed()
        expired = [
            name
            for name, at in self._reported_at.items()
            if now - at >= DRAIN_REPORT_TTL
        ]
        for target in expired:
            del self._reported_at[target]
        if expired:
            self._publish_drained()

    def _publish_drained(self) -> None:
        drained = set(self._deployment.drained_targets) | set(self._reported_at)
        for pool in self._deployment.pools:
            drained |= {t.name for t in pool.targets if t.vm in self._draining_vms}
        for service in self._deployment.plain_services:
            drained |= {t.name for t in service.targets if t.vm in self._draining_vms}
        self._on_change(frozenset(drained))
