"""Log models and adapters that requests wait for and that are not loaded."""

from collections.abc import Iterable
from datetime import timedelta

from runhatch_server.observability import log_change
from runhatch_server.residency._adapter_policy import DeferredAdapter
from runhatch_server.residency._policy import DeferredModel, ModelLoad

LOG_INTERVAL = timedelta(seconds=2)
"""Minimum interval between two lines about one model. Plans run every 60 ms; with 26
models of which eight are held nowhere, this is four lines per second at most."""


class DeferralLog:
    """Logs what plans deferred; used only by the orderer's loop."""

    def __init__(self) -> None:
        self._logged_at: dict[str, timedelta] = {}

    def log_models(self, deferred: Iterable[DeferredModel], now: timedelta) -> None:
        """Log the models in ``deferred`` that were not logged recently."""
        for model in deferred:
            if not self._is_due(model.model, now):
                continue
            log_change(
                "load_left",
                model=model.model,
                because=model.reason.value,
                target=model.target,
                waiting=round(model.waiting, 2),
                rate=round(model.rate, 3),
                won=round(model.gain, 2),
                lost=round(model.loss, 2),
                owed=round(model.missed_gain, 2),
                seconds=round(model.ready_in_seconds, 2),
                missed_s=round(model.missed_for.total_seconds(), 1),
            )

    def log_adapters(self, deferred: Iterable[DeferredAdapter], now: timedelta) -> None:
        """Log the adapters in ``deferred`` that were not logged recently."""
        for each in deferred:
            if not self._is_due(f"{each.model}/{each.adapter}", now):
                continue
            log_change(
                "adapter_left",
                model=each.model,
                adapter=each.adapter,
                because=each.reason.value,
                waiting=round(each.waiting, 2),
                lost=round(each.loss, 2),
            )

    def log_store_limit(self, load: ModelLoad, now: timedelta) -> None:
        """Log that ``load`` is delayed by the limit of the weight store."""
        if self._is_due(load.model, now):
            log_change(
                "load_left",
                model=load.model,
                because="store limit",
                target=load.target,
                value=round(load.value, 2),
            )

    def _is_due(self, name: str, now: timedelta) -> bool:
        logged_at = self._logged_at.get(name)
        if logged_at is not None and now - logged_at < LOG_INTERVAL:
            return False
        self._logged_at[name] = now
        return True
