"""Decoding of arbitrary bytes, and batching of small messages."""

from hypothesis import given
from hypothesis import strategies as st
from larkweir_owners.messages import MAX_BATCH_BYTES, Batch, batched, decode, encode


@given(st.binary(max_size=200))
def test_arbitrary_bytes_decode_to_none_or_a_message_that_round_trips(data: bytes) -> None:
    item = decode(data)
    assert item is None or decode(encode(item)) == item


@given(st.lists(st.binary(min_size=1, max_size=400), max_size=20))
def test_small_messages_are_batched_in_order_and_large_ones_are_sent_alone(items: list[bytes]) -> None:
    found: list[bytes] = []
    for item in batched(items):
        read = decode(item)
        parts = read.items if isinstance(read, Batch) and item not in items else (item,)
        assert len(parts) == 1 or len(item) <= MAX_BATCH_BYTES + 8
        found += parts
    assert found == items
