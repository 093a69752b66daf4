"""Send orders to targets and record their outcomes."""

from collections.abc import Callable
from datetime import timedelta

from runhatch_coordination import Clock, Epoch
from runhatch_server.fleet import Target
from runhatch_server.observability import Metrics, log_change
from runhatch_server.residency._calls import TargetCalls
from runhatch_server.residency._control import TargetControl
from runhatch_server.residency._handover import MAX_ORDER_DELAY, OrderTimes
from runhatch_server.residency._orders import OrderClient, TargetOrder
from runhatch_server.targets import OrderKind, OrderOutcome


class OrderSender:
    """Sends orders in workers, each only while ``held_epoch`` returns its epoch.

    ``load_time`` returns how long a target takes to load a model.
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
        self._order_times = times
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
        """Send an order to the target of ``control`` under the lease of ``epoch``."""
        order = TargetOrder(
            kind, model, adapter, control.accepted_orders, self._node, epoch.number
        )
        target = control.target
        self._calls.start(
            control,
            lambda: self._send_if_held(target, order),
            lambda outcome: self._record_outcome(control, order, outcome),
        )

    def _send_if_held(self, target: Target, order: TargetOrder) -> OrderOutcome | None:
        """Send ``order`` unless the lease has lapsed meanwhile.

        The order counts as in flight before the lease is checked: a resignation between
        the two would otherwise not name the target, and a successor would send it an
        order at once.
        """
        self._order_times.record_sending(target.name, order.fence)
        epoch = self._held_epoch()
        if epoch is None or epoch.number != order.fence:
            self._order_times.record_unsent(target.name, order.fence)
            return None
        started_at = self._clock.elapsed()
        outcome = self._client.send_order(target, order)
        ended_at = self._clock.elapsed()
        max_delay = MAX_ORDER_DELAY if outcome is OrderOutcome.UNKNOWN else timedelta()
        self._order_times.record_sent(target.name, order.fence, ended_at + max_delay)
        seconds = (ended_at - started_at).total_seconds()
        self._metrics.order_seconds.labels(order.kind.value).observe(seconds)
        return outcome

    def _record_outcome(
        self, control: TargetControl, order: TargetOrder, outcome: object
    ) -> None:
        if not isinstance(outcome, OrderOutcome):
            control.is_calling = False
            return
        load_time = self._load_time(control, order.model)
        control.record_outcome(order, outcome, load_time, self._clock.elapsed())
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
