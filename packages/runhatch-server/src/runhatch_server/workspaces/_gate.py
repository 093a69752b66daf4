"""Admits the requests of workspaces up to their usage caps."""

import threading
from dataclasses import dataclass

from runhatch_coordination import Clock
from runhatch_server.decisions import GatewayRequest
from runhatch_server.observability import Metrics
from runhatch_server.refusals import Executed, Reason, Refusal
from runhatch_server.routing import UsageCap
from runhatch_server.workspaces._exchange import (
    UsageDecision,
    UsageExchange,
    UsageOutcome,
)

MAX_WAIT_SHARE = 0.1
"""Share of its goal that a request waits for usage. A caller that is refused comes back
much later."""
MAX_LABELS = 200
"""Maximum number of workspaces with metrics of their own on one node."""
OTHER_LABEL = "other"
"""Label of all further workspaces."""


@dataclass(frozen=True, slots=True)
class UsageGrant:
    """Usage that was counted for a request, by the node at address ``counter``."""

    workspace: str
    amount: float
    counter: str


class UsageGate:
    """Admits requests by the caps of their workspaces; thread-safe."""

    def __init__(self, exchange: UsageExchange, clock: Clock, metrics: Metrics) -> None:
        self._exchange = exchange
        self._clock = clock
        self._metrics = metrics
        self._labels = _Labels()

    def admit(self, request: GatewayRequest) -> UsageGrant | Refusal | None:
        """Count the usage of ``request``; return a refusal if the cap is used up.

        Return ``None`` if the request does not count. Blocks for a short time.
        """
        workspace = request.workspace
        if workspace is None or workspace.cap is None or request.is_forwarded:
            return None
        decision = self._exchange.request(workspace.name, request.usage)
        longest = request.route.goal * MAX_WAIT_SHARE
        if decision.outcome is UsageOutcome.DENIED and decision.wait <= longest:
            self._clock.sleep(decision.wait)
            decision = self._exchange.request(workspace.name, request.usage)
        label = self._labels.find(workspace.name)
        outcome = decision.outcome
        self._metrics.workspace_requests.labels(label, outcome.value).inc()
        if outcome is UsageOutcome.GRANTED:
            self._metrics.workspace_usage.labels(label, "granted").inc(request.usage)
            return UsageGrant(workspace.name, request.usage, decision.counter)
        return _build_refusal(decision, workspace.cap, request.usage)

    def give_back(self, grant: UsageGrant) -> None:
        """Return the usage of a request that was not run."""
        label = self._labels.find(grant.workspace)
        self._metrics.workspace_usage.labels(label, "returned").inc(grant.amount)
        self._exchange.give_back(grant.workspace, grant.amount, grant.counter)


def _build_refusal(decision: UsageDecision, cap: UsageCap, amount: float) -> Refusal:
    if decision.outcome is UsageOutcome.UNKNOWN:
        return Refusal(Reason.USAGE_UNKNOWN, Executed.NO, retry_after=decision.wait)
    detail = (
        f"the request counts {amount:.10g} {cap.unit.value}; its workspace may use "
        f"{cap.rate:.10g} a second and {cap.burst:.10g} at once"
    )
    return Refusal(Reason.USAGE_CAP, Executed.NO, detail, retry_after=decision.wait)


class _Labels:
    """Names of workspaces as labels of metrics, a bounded number; thread-safe."""

    def __init__(self) -> None:
        self._names: set[str] = set()
        self._lock = threading.Lock()

    def find(self, workspace: str) -> str:
        """Return the label of ``workspace``."""
        with self._lock:
            if len(self._names) < MAX_LABELS:
                self._names.add(workspace)
            return workspace if workspace in self._names else OTHER_LABEL
