"""Serve the requests of callers, each by a run with its service's retry budget."""

from collections.abc import Callable

from runhatch_server.decisions import GatewayRequest
from runhatch_server.gateway._answers import GatewayAnswer
from runhatch_server.gateway._budget import WindowedRetryBudget
from runhatch_server.gateway._records import RequestRecord
from runhatch_server.gateway._run import RequestRun
from runhatch_server.gateway._run_parts import RunParts
from runhatch_server.gateway._settings import RetryBounds
from runhatch_server.refusals import Executed, Refusal
from runhatch_server.workspaces import UsageGate


class GatewayService:
    """Serves requests; thread-safe."""

    def __init__(
        self,
        parts: RunParts,
        bounds: RetryBounds,
        usage: UsageGate,
        count_demand: Callable[[GatewayRequest], None],
    ) -> None:
        """``count_demand`` is called with each admitted request of a caller.

        What a workspace asks for beyond its cap must not evict models of others.
        """
        self._count_demand = count_demand
        self._parts = parts
        self._bounds = bounds
        self._usage = usage
        self._budgets: dict[str, WindowedRetryBudget] = {}

    def serve(
        self, request: GatewayRequest, is_caller_gone: Callable[[], bool]
    ) -> GatewayAnswer | Refusal:
        """Return the answer to ``request``, whose body may still be arriving."""
        budget = self._budgets.get(request.service)
        if budget is None:
            new_budget = WindowedRetryBudget(self._bounds, self._parts.clock)
            budget = self._budgets.setdefault(request.service, new_budget)
        grant = self._usage.admit(request)
        if isinstance(grant, Refusal):
            return self._record_refusal(request, grant)
        if not request.is_forwarded:
            self._count_demand(request)
            budget.record_request()
        answer = RequestRun(self._parts, request, budget, is_caller_gone).answer()
        is_unrun = isinstance(answer, Refusal) and answer.executed is Executed.NO
        if grant is not None and is_unrun:
            self._usage.give_back(grant)
        return answer

    def _record_refusal(self, request: GatewayRequest, refusal: Refusal) -> Refusal:
        record = RequestRecord(request)
        record.record_refusal(refusal)
        self._parts.recorder.record(record)
        return refusal
