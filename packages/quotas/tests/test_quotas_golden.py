"""Bytes as version 0.2 of the fleet wrote them: what controllers and routers send each other about quotas.

The fleet is updated one process at a time, so each of these is read and written the same by every later version.
"""

from __future__ import annotations

import msgspec
import pytest
from larkweir_quotas.limits import QuotaStatus, RateLimit
from larkweir_quotas.quota_limiter import QuotaLimiter
from larkweir_quotas.usage_table import UsageTable

STATUSES = [
    (QuotaStatus(1_500.0, 320.0), b"[1500.0,320.0,false]"),
    (QuotaStatus(-40.5, 0.0, True), b"[-40.5,0.0,true]"),
    (QuotaStatus(7, 3, False), b"[7,3,false]"),  # as a usage table writes it: rounded
]


@pytest.mark.parametrize(("status", "line"), STATUSES)
def test_a_status(status: QuotaStatus, line: bytes) -> None:
    assert msgspec.json.encode(status) == line
    assert msgspec.json.decode(line, type=QuotaStatus) == status


def test_a_status_without_the_field_of_oversubscription() -> None:
    assert msgspec.json.decode(b"[7,3]", type=QuotaStatus) == QuotaStatus(7.0, 3.0, False)


def test_a_limit() -> None:
    line = b'{"rate_per_s":1000.0,"burst":2000.0}'
    assert msgspec.json.encode(RateLimit(1_000.0, 2_000.0)) == line
    assert msgspec.json.decode(line, type=RateLimit) == RateLimit(1_000.0, 2_000.0)


def test_what_a_table_answers_to_reports() -> None:
    table = UsageTable()
    table.set_limits({"a": RateLimit(1_000.0, 2_000.0), "b": RateLimit(10.0, 3.0)}, 0.0)
    table.record_report("r/1", {"a": 0.0, "b": 0.0}, 0.0, 0.0)
    table.record_report("r/1", {"a": 600.0, "b": 40.0, "other": 1.0}, 110.0, 120.0)
    line = b'{"a":[400,600,false],"b":[-38,40,true]}'
    assert msgspec.json.encode(table.statuses(["a", "b", "other"], 120.0)) == line


def test_what_a_limiter_reports() -> None:
    limiter = QuotaLimiter()
    limiter.set_limits({"a": RateLimit(1_000.0, 2_000.0)})
    limiter.admit("a", 20.0, 0.0)
    limiter.admit("a", 12.5, 0.0)
    assert msgspec.json.encode(limiter.usage("l", 1.0)) == b'{"a":32.5}'
