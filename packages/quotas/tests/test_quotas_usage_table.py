"""Reports to one usage table."""

from __future__ import annotations

from larkweir_quotas.limits import RateLimit
from larkweir_quotas.usage_table import INITIAL_FILL_FRACTION, UsageTable

LIMITS = {"t": RateLimit(1_000.0, 2_000.0)}


def test_the_first_report_of_an_incarnation_only_sets_the_base() -> None:
    table = UsageTable()
    table.set_limits(LIMITS, 0.0)
    assert table.statuses(["t"], 0.0)["t"].level == 2_000.0 * INITIAL_FILL_FRACTION
    table.record_report("r", {"t": 1_900.0}, 1_000.0, 1_000.0)
    assert table.statuses(["t"], 1_000.0)["t"].level == 2_000.0
    assert table.record_report("r", {"t": 3_500.0}, 1_000.0, 1_000.0) == ["t"]
    assert table.statuses(["t"], 1_000.0)["t"].level == 400.0
