"""The retry budgets of the services. All routers share each budget."""

from __future__ import annotations

from larkweir_quotas.retry_budget import RetryBudget

from larkweir.cluster.settings import Bounds


class RetryBudgets:
    """Owns this router's retry budget of each service."""

    def __init__(self, bounds: Bounds) -> None:
        """`bounds`: the deployment's bounds, with the parameters of every budget."""
        self._bounds = bounds
        self._budgets: dict[str, RetryBudget] = {}
        self._router_count = 1

    def budget(self, service: str) -> RetryBudget:
        """The budget of a service; it is created at the first call."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._bounds
            budget = RetryBudget(bounds.retry_budget_ratio, bounds.retry_budget_slack, bounds.budget_window_s)
            budget.process_count = self._router_count
            self._budgets[service] = budget
        return budget

    def set_router_count(self, routers: int) -> None:
        """Set how many routers share each budget, including this one."""
        self._router_count = routers
        for budget in self._budgets.values():
            budget.process_count = routers
