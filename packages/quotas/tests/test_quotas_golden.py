"""Encodings of quota messages. Versions are mixed during an update, so all must read and write the same bytes.

Limits and statuses are in the format of version 0.2.
"""

from __future__ import annotations

import msgspec
import pytest
from larkweir_quotas.limits import QuotaSnapshot, QuotaStatus, RateLimit
from larkweir_quotas.quota_allocator import QuotaAllocator
from larkweir_quotas.share_leases import TOTAL_SHARE, ShareClaim, ShareOffer

STATUSES = [
    (QuotaStatus(1_500.0, 320.0), b"[1500.0,320.0,false]"),
    (QuotaStatus(-40.5, 0.0, True), b"[-40.5,0.0,true]"),
    (QuotaStatus(7, 3, False), b"[7,3,false]"),  # rounded, as controllers write it
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


def test_a_claim_and_an_offer() -> None:
    claim, offer = ShareClaim((7, "10.0.0.1"), 200_000, 195), ShareOffer((8, "10.0.0.2"), 250_000)
    assert msgspec.json.encode(claim) == b'[[7,"10.0.0.1"],200000,195]'
    assert msgspec.json.decode(msgspec.json.encode(claim), type=ShareClaim) == claim
    assert msgspec.json.encode(offer) == b'[[8,"10.0.0.2"],250000]'
    assert msgspec.json.decode(msgspec.json.encode(offer), type=ShareOffer) == offer


@pytest.mark.parametrize("line", [b'[[1,"n"],-1]', b'[[1,"n"],1000001]', b"[1,5]", b'[["x","n"],5]', b"[]"])
def test_an_offer_above_the_total_or_without_a_term_is_invalid(line: bytes) -> None:
    with pytest.raises(msgspec.ValidationError):
        msgspec.json.decode(line, type=ShareOffer)


def test_a_snapshot_of_a_version_with_levels_is_read() -> None:
    line = b'{"levels":{"t":-4.5},"process_count":9}'
    assert msgspec.json.decode(line, type=QuotaSnapshot) == QuotaSnapshot({"t": -4.5}, 9)


def test_statuses_for_a_process_without_share_leases() -> None:
    allocator = QuotaAllocator()
    allocator.set_share(TOTAL_SHARE // 2, 10_000.0, 0.0)
    limits = {"a": RateLimit(1_000.0, 2_000.0), "b": RateLimit(10.0, 3.0)}
    allocator.set_limits(limits, 0.0, controllers=2, is_restart=False)
    allocator.charge("a", allocator.share_of(600.0, 0.0), 0.0)
    allocator.charge("b", allocator.share_of(40.0, 0.0), 0.0)
    line = b'{"a":[1400,600,false],"b":[-37,40,true]}'
    assert msgspec.json.encode(allocator.statuses(["a", "b", "other"], 0.0)) == line
