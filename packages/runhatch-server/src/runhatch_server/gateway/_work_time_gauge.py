"""Shows the work times of targets as a metric."""

from collections.abc import Iterable, Mapping

from runhatch_server.fleet import Target
from runhatch_server.observability import Metrics

MAX_LABELS = 200
"""Maximum number of targets with a value of their own on one node."""


class WorkTimeGauge:
    """Sets the gauge of work times; for one thread."""

    def __init__(self, metrics: Metrics) -> None:
        self._gauge = metrics.target_work_time
        self._shown: set[str] = set()

    def update(self, targets: Iterable[Target], factors: Mapping[str, float]) -> None:
        """Show the lasting ``factors``, by incarnation, of ``targets`` and no others.

        Of more than ``MAX_LABELS`` targets, all nodes show the same ones.
        """
        by_name = {
            target.name: factors[target.incarnation]
            for target in targets
            if target.incarnation in factors
        }
        names = sorted(by_name)[:MAX_LABELS]
        for name in names:
            self._gauge.labels(name).set(by_name[name])
        for name in self._shown.difference(names):
            self._gauge.remove(name)
        self._shown = set(names)
