"""Orders on their way to targets, and what became of them."""

from collections.abc import Callable
from datetime import timedelta

from runhatch_coordination import Clock, Epoch
from runhatch_server.fleet import Target
from runhatch_server.observability import Metrics, log_change
from runhatch_server.residency._calls import TargetCalls
from runhatch_server.residency._control import TargetControl
from runhatch_server.residency._handover import OrderTimes
from runhatch_server.residency._orders import OrderClient, TargetOrder
from runhatch_server.targets import OrderKind, OrderOutcome


class OrderSender:
    """Sends orders in workers, each only while ``held_epoch`` tells of its lease.

    ``load_time`` returns how long a model takes to be loaded on a target.
    """

    def __init__(
        self,
        client: OrderClient,
        calls: TargetCalls,
        times: OrderTimes,
        clock: Clock,
        metrics: Metrics,
        node: str,
        held_epoch: Callable[[], Epoch | None],
        load_time: Callable[[TargetControl, str], timedelta],
    ) -> None:
        self._client = client
        self._calls = calls
        self._times = times
        self._clock = clock
        self._metrics = metrics
        self._node = node
        self._held_epoch = held_epoch
        self._load_time = load_time

    def send(
        self,
        control: TargetControl,
        kind: OrderKind,
        model: str,
        adapter: str,
        epoch: Epoch,
    ) -> None:
        """Order the target of ``control`` under the lease of ``epoch``."""
        order = TargetOrder(
            kind, model, adapter, control.orders, self._node, epoch.number
        )
        target = control.target
        self._calls.start(
            control,
            lambda: self._give(target, order),
            lambda outcome: self._ordered(control, order, outcome),
        )

    def _give(self, target: Target, order: TargetOrder) -> OrderOutcome | None:
        """Send ``order`` unless the lease has lapsed meanwhile.

        It counts as on its way before the lease is looked at: a resignation between
        the two would not name its target, and a successor would order it at once.
        """
        self._times.begin(target.name, order.fence)
        epoch = self._held_epoch()
        if epoch is None or epoch.number != order.fence:
            self._times.unsent(target.name, order.fence)
            return None
        begun = self._clock.elapsed()
        outcome = self._client.give(target, order)
        ended = self._clock.elapsed()
        self._times.sent(target.name, order.fence, ended)
        seconds = (ended - begun).total_seconds()
        self._metrics.order_seconds.labels(order.kind.value).observe(seconds)
        return outcome

    def _ordered(
        self, control: TargetControl, order: TargetOrder, outcome: object
    ) -> None:
        if not isinstance(outcome, OrderOutcome):
            control.calling = False
            return
        took = self._load_time(control, order.model)
        control.ordered(order, outcome, took, self._clock.elapsed())
        self._metrics.orders.labels(order.kind.value, outcome.value).inc()
        log_change(
            "order",
            target=control.target.incarnation,
            kind=order.kind.value,
            model=order.model,
            adapter=order.adapter,
            after_orders=order.after_orders,
            fence=order.fence,
            outcome=outcome.value,
        )
