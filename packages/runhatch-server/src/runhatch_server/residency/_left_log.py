"""Log models and adapters that requests wait for and that are not loaded."""

from collections.abc import Iterable
from datetime import timedelta

from runhatch_server.observability import log_change
from runhatch_server.residency._adapter_policy import LeftAdapter
from runhatch_server.residency._policy import LeftModel, LoadModel

LOG_EVERY = timedelta(seconds=2)
"""Minimum interval between two lines about one model. Plans run every 60 ms; with 26
models of which eight are held nowhere, this is four lines per second at most."""


class LeftLog:
    """Logs what plans deferred; used only by the orderer's loop."""

    def __init__(self) -> None:
        self._logged_at: dict[str, timedelta] = {}

    def note(self, left: Iterable[LeftModel], now: timedelta) -> None:
        """Log the models in ``left`` that were not logged recently."""
        for model in left:
            if not self._is_due(model.model, now):
                continue
            log_change(
                "load_left",
                model=model.model,
                because=model.because.value,
                target=model.target,
                waiting=round(model.waiting, 2),
                rate=round(model.rate, 3),
                won=round(model.won, 2),
                lost=round(model.lost, 2),
                owed=round(model.owed, 2),
                seconds=round(model.seconds, 2),
            )

    def note_adapters(self, left: Iterable[LeftAdapter], now: timedelta) -> None:
        """Log the adapters in ``left`` that were not logged recently."""
        for each in left:
            if not self._is_due(f"{each.model}/{each.adapter}", now):
                continue
            log_change(
                "adapter_left",
                model=each.model,
                adapter=each.adapter,
                because=each.because.value,
                waiting=round(each.waiting, 2),
                lost=round(each.lost, 2),
            )

    def no_permit(self, load: LoadModel, now: timedelta) -> None:
        """Log that ``load`` is delayed by the limit of the weight store."""
        if self._is_due(load.model, now):
            log_change(
                "load_left",
                model=load.model,
                because="store limit",
                target=load.target,
                value=round(load.value, 2),
            )

    def _is_due(self, model: str, now: timedelta) -> bool:
        logged_at = self._logged_at.get(model)
        if logged_at is not None and now - logged_at < LOG_EVERY:
            return False
        self._logged_at[model] = now
        return True
