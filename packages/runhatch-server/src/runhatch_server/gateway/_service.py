"""Serve the requests of callers, each by a run with its service's retry budget."""

from collections.abc import Callable

from runhatch_server.decisions import GatewayRequest
from runhatch_server.gateway._answers import GatewayAnswer
from runhatch_server.gateway._budget import WindowedRetryBudget
from runhatch_server.gateway._run import RequestRun
from runhatch_server.gateway._run_parts import RunParts
from runhatch_server.gateway._settings import RetryBounds
from runhatch_server.refusals import Refusal


class GatewayService:
    """Serves requests; thread-safe."""

    def __init__(self, parts: RunParts, bounds: RetryBounds) -> None:
        self._parts = parts
        self._bounds = bounds
        self._budgets: dict[str, WindowedRetryBudget] = {}

    def serve(
        self, request: GatewayRequest, is_caller_gone: Callable[[], bool]
    ) -> GatewayAnswer | Refusal:
        """Return the answer to ``request``, whose body may still be arriving."""
        budget = self._budgets.get(request.service)
        if budget is None:
            new_budget = WindowedRetryBudget(self._bounds, self._parts.clock)
            budget = self._budgets.setdefault(request.service, new_budget)
        if not request.is_forwarded:
            budget.record_request()
        return RequestRun(self._parts, request, budget, is_caller_gone).answer()
