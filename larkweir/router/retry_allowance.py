"""How often one request may be sent: the route's limit, and the retry budget that all requests of a service share."""

from __future__ import annotations

from larkweir_quotas.retry_budget import RetryBudget

MAX_FAILED_CONNECTS = 3  # upstreams without a connection that are tried for one request


class RetryAllowance:
    """The attempts of one request. A failed connection costs no retry, as nothing was sent."""

    def __init__(self, max_attempts: int, budget: RetryBudget) -> None:
        """`max_attempts`: that may be sent, the first included. `budget`: the service's."""
        self._max_attempts = max_attempts
        self._budget = budget
        self._failed_connects = 0
        self.sent = 0  # attempts whose request was written to an upstream
        self.executions = 0  # attempts that may have been executed
        self._charged_executions = 1  # to the tenant's quota; the first with the admission

    @property
    def is_exhausted(self) -> bool:
        """Whether the route allows no further attempt."""
        return self.sent >= self._max_attempts

    def record_sent(self) -> bool:
        """An attempt's request is written to an upstream; whether that may be an execution more than was charged."""
        self.sent += 1
        self.executions += 1
        if self.executions <= self._charged_executions:
            return False
        self._charged_executions = self.executions
        return True

    def record_not_executed(self) -> None:
        """The upstream has said that it did not execute the last attempt."""
        self.executions -= 1

    def record_failed_connect(self) -> bool:
        """No connection was made; whether another upstream may be tried."""
        self._failed_connects += 1
        return self._failed_connects < MAX_FAILED_CONNECTS

    def take_retry(self, now_ms: float) -> bool:
        """Whether one more attempt may be sent; if so, it is taken from the budget."""
        return not self.is_exhausted and self._budget.try_consume(now_ms)
