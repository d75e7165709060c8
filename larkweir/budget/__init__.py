"""Retry budgets across tiers: limits on time, attempts and worth for a chain of tiers, and loop detection. Optional."""
