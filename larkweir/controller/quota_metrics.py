"""Quota metrics: this controller's share of the quotas, and the units that it granted and refused by tenant."""

from __future__ import annotations

from collections.abc import Iterator

from larkweir.controller.metrics import Metric
from larkweir.controller.quota_accounting import QuotaAccounting


def quota_metrics(quotas: QuotaAccounting, now_ms: float) -> Iterator[Metric]:
    """Yields the share and, for each tenant with requests since this process started, its granted and refused units."""
    share = "fraction of all quotas that this controller hands out"
    yield Metric("quota_share", share, quotas.share_fraction(now_ms))
    for tenant, units in quotas.granted_units().items():
        yield Metric("quota_granted_units", "units that were granted", units, {"tenant": tenant})
    for tenant, units in quotas.refused_units().items():
        yield Metric("quota_refused_units", "units that were refused", units, {"tenant": tenant})
