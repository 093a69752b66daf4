"""Shows a value of each target as a metric."""

from collections.abc import Iterable, Mapping

from prometheus_client import Gauge

from runhatch_server.fleet import Target

MAX_LABELS = 200
"""Maximum number of targets with a value of their own on one node."""


class TargetGauge:
    """Sets a gauge that is labelled by the names of targets; for one thread."""

    def __init__(self, gauge: Gauge) -> None:
        self._gauge = gauge
        self._shown: set[str] = set()

    def update(self, targets: Iterable[Target], values: Mapping[str, float]) -> None:
        """Show the ``values``, by incarnation, of ``targets`` and no others.

        Of more than ``MAX_LABELS`` targets, all nodes show the same ones.
        """
        by_name = {
            target.name: values[target.incarnation]
            for target in targets
            if target.incarnation in values
        }
        names = sorted(by_name)[:MAX_LABELS]
        for name in names:
            self._gauge.labels(name).set(by_name[name])
        for name in self._shown.difference(names):
            self._gauge.remove(name)
        self._shown = set(names)
