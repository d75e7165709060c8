"""Limits that many processes keep together: tenants' quotas and a retry budget."""
