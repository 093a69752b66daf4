"""One node that orders targets, for tests, and the targets that it orders."""

import threading

from gateway_cases import SERVICES, make_directory, make_target, seconds

from runhatch_coordination import Lease
from runhatch_server.fleet import HeldModels, StoredCopies
from runhatch_server.observability import Metrics
from runhatch_server.residency import DemandShare, Orderer, TargetReport, Wanted
from runhatch_server.targets import OrderOutcome

TTL = seconds(2)
HANDOVER = seconds(3)
ANSWER_WAIT = 0.5
"""Seconds that a round waits for a worker's answer, due within some milliseconds;
rounds that ask nothing wait so long in vain."""


class RecordedTargets:
    """Targets that hold ``models``, take every order and keep what was asked."""

    def __init__(self, *models):
        self.models = models
        self.reports = 0
        self.orders = []

    def report(self, target):
        self.reports += 1
        held = HeldModels({model: frozenset() for model in self.models})
        return TargetReport(0, held, False, frozenset(), StoredCopies(), 0, 0)

    def give(self, target, order):
        self.orders.append(order)
        return OrderOutcome.ACCEPTED


class SlowTargets(RecordedTargets):
    """The first order takes its time on the way; all are kept as they arrive."""

    def __init__(self, *models):
        super().__init__(*models)
        self.sent = threading.Semaphore(0)
        self.arrives = threading.Event()
        self._first = True

    def give(self, target, order):
        first, self._first = self._first, False
        self.sent.release()
        if first:
            self.arrives.wait()
        return super().give(target, order)


class Case:
    """One node, its table, and what it told of its targets."""

    def __init__(
        self, clock, table, name="n1", models=("m0",), born=None, targets=None
    ):
        self.clock = clock
        self.targets = targets or RecordedTargets(*models)
        self.told = []
        self.answered = threading.Event()
        self.newest_epoch = 0
        self.on_tell = lambda: None
        directory = make_directory(clock, make_target("t1", models=(), born=born))
        self.directory = directory
        self.orderer = Orderer(
            Lease(table, clock, "orders", name, TTL),
            name,
            directory,
            self.targets,
            clock,
            Metrics(),
            self.tell,
            self.answered.set,
            lambda target: False,
            dict,
            lambda: self.newest_epoch,
            HANDOVER,
            seconds(5),
        )
        self.orderer.declare(SERVICES)

    def tell(self, epoch, holdings):
        self.on_tell()
        self.newest_epoch = max(epoch, self.newest_epoch)
        self.told += [(epoch, *sorted(h.held.adapters_by_model)) for h in holdings]

    def ask_for(self, model):
        wanted = Wanted("engine", model, "", 0)
        self.orderer.asked("n1", [DemandShare(wanted, 3, 3, 300.0)])

    def round(self):
        """Make one round, wait for what it asked, take the answer in."""
        self.answered.clear()
        self.orderer.step()
        self.answered.wait(ANSWER_WAIT)
        self.orderer.step()
