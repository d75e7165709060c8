"""Limits that many processes enforce together: tenants' quotas and a retry budget."""
