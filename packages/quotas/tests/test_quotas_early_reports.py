"""Controllers that return answer routers before they know the configuration, and with it the limits."""

from __future__ import annotations

from larkweir_quotas.limits import QuotaSnapshot, RateLimit
from larkweir_quotas.usage_table import UsageTable

LIMIT = RateLimit(rate_per_s=1_000.0, burst=10_000.0)
ROUTERS = 10


def test_a_table_that_learns_the_limits_late_takes_over_earlier_snapshots() -> None:
    table = UsageTable()
    for router in range(ROUTERS):
        snapshot = QuotaSnapshot({"t": 0.0}, ROUTERS)
        table.record_report(f"r{router}/1", {}, sent_ms=0.0, now_ms=0.0, snapshot=snapshot)
    assert not table.has_limits
    table.set_limits({"t": LIMIT}, now_ms=700.0)
    assert table.has_limits
    assert (
        table.statuses(["t"], now_ms=700.0)["t"].level == 0
    ), "half a burst would come on top of what was used"


def test_use_between_the_snapshot_and_the_limits_is_charged() -> None:
    table = UsageTable()
    snapshot = QuotaSnapshot({"t": 5_000.0}, 1)
    table.record_report("r/1", {"t": 100.0}, sent_ms=0.0, now_ms=0.0, snapshot=snapshot)
    table.record_report("r/1", {"t": 900.0}, sent_ms=300.0, now_ms=300.0)
    table.set_limits({"t": LIMIT}, now_ms=700.0)
    table.record_report("r/1", {"t": 1_100.0}, sent_ms=700.0, now_ms=700.0)
    assert table.statuses(["t"], now_ms=700.0)["t"].level == 4_000
