"""Limits that many processes enforce together: tenant quotas and retry budgets."""
