"""How long a follower considers the primary's lease valid."""

from __future__ import annotations

from larkweir_replication.primary_contact import PrimaryContact
from larkweir_replication.timing import Timing


def test_a_start_and_each_contact_count_for_a_lease() -> None:
    contact = PrimaryContact(Timing(lease_duration_ms=300.0), 100.0)
    assert contact.is_lease_valid(399.0)
    assert not contact.is_lease_valid(400.0)
    contact.renew(400.0)
    assert contact.is_lease_valid(699.0)


def test_a_primary_that_resigns_is_forgotten_with_its_lease() -> None:
    contact = PrimaryContact(Timing(lease_duration_ms=300.0), 0.0)
    contact.primary = "b"
    contact.expire(10.0)
    assert contact.primary is None
    assert not contact.is_lease_valid(10.0)


def test_unreachable_members_are_known_from_a_present_primary_only() -> None:
    contact = PrimaryContact(Timing(lease_duration_ms=300.0), 0.0)
    contact.reported_unreachable = ("c",)
    assert contact.unreachable_members(10.0) is None
    contact.primary = "b"
    assert contact.unreachable_members(10.0) == ("c",)
    assert contact.unreachable_members(300.0) is None
