"""Limits the attempts of one request by its route's maximum and by the retry budget that a service's requests share."""

from __future__ import annotations

from larkweir_quotas.retry_budget import RetryBudget

MAX_FAILED_CONNECTS = 3  # failed connects after which a request is not tried at another upstream


class RetryAllowance:
    """Counts and limits the attempts of one request. A failed connect is no retry, as nothing was sent."""

    def __init__(self, max_attempts: int, budget: RetryBudget) -> None:
        """`max_attempts`: the route's maximum, including the first attempt. `budget`: the service's retry budget."""
        self._max_attempts = max_attempts
        self._budget = budget
        self._failed_connects = 0
        self._has_retry = False  # taken from the budget, and not sent yet
        self.sent = 0  # attempts whose request was written to an upstream
        self.executions = 0  # attempts that may have been executed
        self._charged_executions = 1  # executions charged to the tenant's quota; admission charges the first

    @property
    def is_exhausted(self) -> bool:
        """Whether the route allows no further attempt."""
        return self.sent >= self._max_attempts

    def record_sent(self) -> bool:
        """Count an attempt whose request is sent; returns whether a further execution has to be charged."""
        self._has_retry = False
        self.sent += 1
        self.executions += 1
        if self.executions <= self._charged_executions:
            return False
        self._charged_executions = self.executions
        return True

    def record_not_executed(self) -> None:
        """Record that the upstream guarantees that it did not execute the last attempt."""
        self.executions -= 1

    def record_failed_connect(self) -> bool:
        """Count a failed connect; returns whether another upstream may be tried."""
        self._failed_connects += 1
        return self._failed_connects < MAX_FAILED_CONNECTS

    def take_retry(self, now_ms: float) -> bool:
        """Take a retry from the budget, if the route and the budget allow one; returns whether they do.

        A retry that was taken before, and not sent yet, is returned again.
        """
        if not self._has_retry:
            self._has_retry = not self.is_exhausted and self._budget.try_consume(now_ms)
        return self._has_retry
