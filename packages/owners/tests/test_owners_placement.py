"""Rendezvous hashing."""

from hypothesis import given
from hypothesis import strategies as st
from larkweir_owners.placement import preference_order


@given(st.sets(st.integers(0, 40), min_size=2, max_size=12), st.integers(0, 11))
def test_removing_a_process_moves_only_its_own_duties(numbers: set[int], which: int) -> None:
    names = {f"10.0.0.{n}:7946" for n in numbers}
    gone = sorted(names)[which % len(names)]
    for key in ("a", "b", "c"):
        before = preference_order(key, names, 3)
        after = preference_order(key, names - {gone}, 3)
        assert [name for name in before if name != gone] == after[: len(before) - (gone in before)]
