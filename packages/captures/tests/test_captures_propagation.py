"""The fields that travel with requests and answers, for any decision."""

from __future__ import annotations

from captures_rig import RVS, THRESHOLDS
from hypothesis import given
from hypothesis import strategies as st
from larkweir_captures.propagation import SamplingDecision, parse_answer_field, parse_request_field

NAMES = st.lists(st.from_regex(r"[0-9a-z.:-]{1,20}", fullmatch=True), max_size=8).map(tuple)


@given(
    RVS, THRESHOLDS, st.integers(0, 2**32 - 1), st.tuples(st.integers(0, 10**9), st.integers(0, 10**9)), NAMES
)
def test_what_travels_says_what_was_decided(
    rv: int, threshold: int, key: int, number: tuple[int, int], above: tuple[str, ...]
) -> None:
    read = parse_request_field(
        SamplingDecision(rv, threshold, key, number, above).request_field("10.0.0.1:1")
    )
    assert read is not None and not read.is_first_hop
    assert (read.rv, read.threshold, read.key, read.table_version) == (rv, threshold, key, number)
    assert read.previous_hops == (*above, "10.0.0.1:1")[-8:]
    told = parse_answer_field(
        SamplingDecision(rv, threshold, next_hops=list(above)).answer_field("10.0.0.1:1")
    )
    assert told == (threshold, ("10.0.0.1:1", *above)[:8])
