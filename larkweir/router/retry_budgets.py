"""The retry budget of each service, which all routers share."""

from __future__ import annotations

from larkweir_quotas.retry_budget import RetryBudget

from larkweir.cluster.settings import Bounds


class RetryBudgets:
    """Owns the budgets, by service."""

    def __init__(self, bounds: Bounds) -> None:
        """`bounds`: the deployment's figures for every budget."""
        self._bounds = bounds
        self._budgets: dict[str, RetryBudget] = {}
        self._router_count = 1

    def budget(self, service: str) -> RetryBudget:
        """That of a service; made at its first use."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._bounds
            budget = RetryBudget(bounds.retry_budget_ratio, bounds.retry_budget_slack, bounds.budget_window_s)
            budget.process_count = self._router_count
            self._budgets[service] = budget
        return budget

    def set_router_count(self, routers: int) -> None:
        """How many routers share each budget, this one included."""
        self._router_count = routers
        for budget in self._budgets.values():
            budget.process_count = routers
