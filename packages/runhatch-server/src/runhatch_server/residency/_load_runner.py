"""Carry out planned loads, one order after another, within the store's limit."""

from collections.abc import Iterable, Mapping
from datetime import timedelta

from runhatch_coordination import Clock, Epoch
from runhatch_server.observability import log_change
from runhatch_server.residency._adapter_policy import AdapterLoad
from runhatch_server.residency._control import Intent, TargetControl
from runhatch_server.residency._deferral_log import DeferralLog
from runhatch_server.residency._permits import LoadPermits
from runhatch_server.residency._policy import ModelLoad
from runhatch_server.residency._sending import OrderSender
from runhatch_server.routing import EngineModel, EngineSpec, ServiceSpec
from runhatch_server.targets import OrderKind


class DeclaredModels:
    """Declared models of all services, looked up by service or target.

    ``services`` is replaced as a whole.
    """

    def __init__(self) -> None:
        self.services: Mapping[str, ServiceSpec] = {}

    def engine(self, service: str) -> EngineSpec | None:
        """Return the engine declaration of ``service``, if it has one."""
        declared = self.services.get(service)
        return None if declared is None else declared.engine

    def model(self, control: TargetControl, name: str) -> EngineModel | None:
        """Return the declaration of model ``name`` for a target."""
        engine = self.engine(control.target.service)
        return None if engine is None else engine.by_name.get(name)

    def load_time(self, control: TargetControl, name: str) -> timedelta:
        """Return the load time of a model on a target, zero if undeclared."""
        spec = self.model(control, name)
        return timedelta() if spec is None else control.load_time(spec)


class LoadRunner:
    """Carries out planned loads; used only by the orderer's loop."""

    def __init__(
        self,
        declared: DeclaredModels,
        sender: OrderSender,
        clock: Clock,
        load_window: timedelta,
    ) -> None:
        self._declared = declared
        self._sender = sender
        self._clock = clock
        self._load_window = load_window
        self._permits = LoadPermits(load_window, clock.elapsed())
        self.deferral_log = DeferralLog()

    def record_takeover(self, now: timedelta) -> None:
        """Reset the permits as if the last orderer had started loads until ``now``."""
        self._permits = LoadPermits(self._load_window, now)

    def start_load(
        self, control: TargetControl, load: ModelLoad, epoch: Epoch, now: timedelta
    ) -> bool:
        """Start ``load`` on its target; return whether it was started.

        A load is delayed while its target or the weight store cannot accept it.
        """
        if not control.is_free_at(now):
            return False
        engine = self._declared.engine(control.target.service)
        spec = self._declared.model(control, load.model)
        if engine is None or spec is None:
            return False
        if control.loads_from_store(load.model) and not self._permits.try_acquire(
            engine.loads_per_second, now
        ):
            self.deferral_log.log_store_limit(load, now)
            return False
        log_change(
            "load_planned",
            target=load.target,
            model=load.model,
            evict=list(load.evictions),
            reason=load.reason,
            value=round(load.value, 2),
            seconds=control.load_time(spec).total_seconds(),
        )
        control.intent = Intent(load.model, load.evictions, load.reason)
        control.needs_publishing = True
        self._send_next_order(control, epoch)
        return True

    def send_next_orders(
        self, controls: Iterable[TargetControl], epoch: Epoch, now: timedelta
    ) -> None:
        """Send the next order of each started load whose target accepts one."""
        for control in controls:
            if control.intent is not None and control.is_free_at(now):
                self._send_next_order(control, epoch)

    def load_adapter(
        self, control: TargetControl, load: AdapterLoad, epoch: Epoch
    ) -> None:
        """Order an adapter, or first the unloading of the one that it replaces."""
        if not control.is_free_at(self._clock.elapsed()):
            return
        if load.eviction is not None:
            self._sender.send(control, OrderKind.UNLOAD, *load.eviction, epoch)
            return
        self._sender.send(control, OrderKind.LOAD, load.model, load.adapter, epoch)

    def _send_next_order(self, control: TargetControl, epoch: Epoch) -> None:
        """Send the next order of the control's intent."""
        intent = control.intent
        engine = self._declared.engine(control.target.service)
        if intent is None or engine is None:
            return
        remaining = [model for model in intent.evictions if model in control.held]
        if remaining:
            self._sender.send(control, OrderKind.UNLOAD, remaining[0], "", epoch)
            return
        spec = self._declared.model(control, intent.model)
        fits = spec is not None and (
            control.used_mb(engine) + spec.memory_mb <= engine.memory_mb
        )
        if intent.model in control.held or not fits:
            control.intent = None
            control.needs_publishing = True
            return
        self._sender.send(control, OrderKind.LOAD, intent.model, "", epoch)
