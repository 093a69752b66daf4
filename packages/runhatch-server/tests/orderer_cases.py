"""Provide an orderer node for tests, with the targets that it orders."""

import threading

from gateway_cases import SERVICES, make_directory, make_target, seconds

from runhatch_coordination import Lease
from runhatch_server.fleet import HeldModels, StoredCopies
from runhatch_server.observability import Metrics
from runhatch_server.residency import DemandKey, DemandShare, Orderer, TargetReport
from runhatch_server.targets import OrderOutcome

TTL = seconds(2)
HANDOVER = seconds(3)
ANSWER_WAIT = 0.5
"""Seconds for which a round waits for a worker's answer, due within some milliseconds;
a round that makes no call waits the full time."""


class RecordingTargets:
    """Targets that hold ``models``, accept every order and record all calls."""

    def __init__(self, *models):
        self.models = models
        self.reports = 0
        self.orders = []

    def fetch_report(self, target):
        self.reports += 1
        held = HeldModels({model: frozenset() for model in self.models})
        return TargetReport(0, held, False, frozenset(), StoredCopies(), 0, 0)

    def send_order(self, target, order):
        self.orders.append(order)
        return OrderOutcome.ACCEPTED


class SlowTargets(RecordingTargets):
    """Targets that delay the first order until ``arrives`` is set.

    Orders are recorded in order of arrival.
    """

    def __init__(self, *models):
        super().__init__(*models)
        self.sent = threading.Semaphore(0)
        self.arrives = threading.Event()
        self._is_first = True

    def send_order(self, target, order):
        is_first, self._is_first = self._is_first, False
        self.sent.release()
        if is_first:
            self.arrives.wait()
        return super().send_order(target, order)


class OrdererCase:
    """One orderer node, its table, and the holdings that it published."""

    def __init__(
        self, clock, table, name="n1", models=("m0",), born=None, targets=None
    ):
        self.clock = clock
        self.targets = targets or RecordingTargets(*models)
        self.published = []
        self.answered = threading.Event()
        self.newest_epoch = 0
        self.on_publish = lambda: None
        directory = make_directory(
            clock, make_target("t1", models=(), started_at_seconds=born)
        )
        self.directory = directory
        self.orderer = Orderer(
            Lease(table, clock, "orders", name, TTL),
            name,
            directory,
            self.targets,
            clock,
            Metrics(),
            self.publish,
            self.answered.set,
            lambda target: False,
            dict,
            dict,
            lambda: self.newest_epoch,
            HANDOVER,
            seconds(5),
        )
        self.orderer.declare(SERVICES)

    def publish(self, epoch, holdings):
        self.on_publish()
        self.newest_epoch = max(epoch, self.newest_epoch)
        self.published += [(epoch, *sorted(h.held.adapters_by_model)) for h in holdings]

    def request_model(self, model):
        wanted = DemandKey("engine", model, "", 0)
        self.orderer.add_demand("n1", [DemandShare(wanted, 3, 3, 300.0)])

    def run_round(self):
        """Run a round, wait for the answer to its call, and run another to apply it."""
        self.answered.clear()
        self.orderer.step()
        self.answered.wait(ANSWER_WAIT)
        self.orderer.step()
