"""Paces of the targets of all services."""

from collections.abc import Mapping
from datetime import timedelta

from runhatch_server.decisions import TargetPaces

ServingTargets = Mapping[str, Mapping[str, int]]
"""Slots of the targets that are ready and neither down nor silent, by service and
incarnation."""


class PromptPaces:
    """Paces by target; callers guard it by a lock."""

    def __init__(self) -> None:
        self._by_service: dict[str, TargetPaces] = {}
        self._service_of: dict[str, str] = {}

    def update_targets(self, serving: ServingTargets, now: timedelta) -> None:
        """Begin a pace for each target that started or recovered.

        Targets that are missing lose theirs.
        """
        for service in serving.keys() - self._by_service.keys():
            self._by_service[service] = TargetPaces()
        for service in self._by_service.keys() - serving.keys():
            del self._by_service[service]
        for service, slots in serving.items():
            self._by_service[service].update_targets(slots, now)
        self._service_of = {
            target: service for service, slots in serving.items() for target in slots
        }

    def take_over(self, target: str, outstanding: int, now: timedelta) -> None:
        """Continue the pace of ``target`` as its owner; see :class:`TargetPaces`."""
        paces = self._find(target)
        if paces is not None:
            paces.take_over(target, outstanding, now)

    def most(self, target: str, now: timedelta) -> int | None:
        """Return the bound on prompts at ``target``, ``None`` if none applies."""
        paces = self._find(target)
        return None if paces is None else paces.most(target, now)

    def bounds(self, now: timedelta) -> dict[str, int]:
        """Return the bounds of all targets that have one."""
        bounds: dict[str, int] = {}
        for paces in self._by_service.values():
            bounds.update(paces.bounds(now))
        return bounds

    def record_begun(
        self, target: str, predicted: timedelta, took: timedelta, now: timedelta
    ) -> None:
        """Record that an answer began ``took`` after its prompt was permitted."""
        paces = self._find(target)
        if paces is not None:
            paces.record_begun(target, predicted, took, now)

    def _find(self, target: str) -> TargetPaces | None:
        return self._by_service.get(self._service_of.get(target, ""))
