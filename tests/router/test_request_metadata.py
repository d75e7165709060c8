"""Numbers in clients' headers are bounded; a request with another value is rejected."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from larkweir_quotas.limits import RateLimit
from larkweir_quotas.quota_allocator import QuotaAllocator, QuotaOutcome
from larkweir_quotas.share_leases import TOTAL_SHARE

from larkweir.router.request_metadata import (
    MAX_BLOCK_ID_BYTES,
    MAX_DEADLINE_MS,
    MAX_EVENT_ID_BYTES,
    MAX_PROMPT_BLOCKS,
    MAX_TOKENS,
    InvalidHeaderError,
    PromptBlock,
    RequestMetadata,
    parse_metadata,
)


def test_each_header_is_parsed() -> None:
    headers = [
        (b"x-token-usage", b"1460, 80"),
        (b"x-prompt-prefix", b"5c1e07a2:800, 91bd3f06:410,e4402b7d:250"),
        (b"x-deadline-ms", b"15000"),
        (b"x-deadline-ms", b"oddly repeated"),
        (b"last-event-id", b"7"),
    ]
    metadata = parse_metadata(headers)
    blocks = (PromptBlock("5c1e07a2", 800), PromptBlock("91bd3f06", 410), PromptBlock("e4402b7d", 250))
    assert metadata == RequestMetadata(15_000, 1_460, 80, blocks)
    assert metadata.total_tokens == 1_540


def test_missing_and_empty_headers() -> None:
    assert parse_metadata([(b"host", b"a")]) == RequestMetadata()
    assert RequestMetadata().total_tokens is None
    empty = [(b"x-token-usage", b""), (b"x-prompt-prefix", b""), (b"x-deadline-ms", b"")]
    assert parse_metadata(empty) == RequestMetadata()


def test_the_maximum_itself_is_accepted() -> None:
    metadata = parse_metadata([(b"x-token-usage", b"%d,%d" % (MAX_TOKENS, MAX_TOKENS))])
    assert metadata.total_tokens == 2 * MAX_TOKENS


@pytest.mark.parametrize(
    ("header", "value"),
    [
        ("X-Token-Usage", "1,-900000"),
        ("X-Token-Usage", "-1"),
        ("X-Token-Usage", "many"),
        ("X-Token-Usage", "1.5"),
        ("X-Token-Usage", "1,"),
        ("X-Token-Usage", "1,2,3"),
        ("X-Token-Usage", "9" * 400),
        ("X-Token-Usage", "9" * 5_000),
        ("X-Token-Usage", str(MAX_TOKENS + 1)),
        ("X-Token-Usage", "\u0663"),
        ("X-Prompt-Prefix", "a:-1,b:1"),
        ("X-Prompt-Prefix", "a:b,c:d"),
        ("X-Prompt-Prefix", "a:1,,b:1"),
        ("X-Prompt-Prefix", ":1"),
        ("X-Prompt-Prefix", "a:" + "9" * 400 + ",b:1"),
        ("X-Prompt-Prefix", "a" * (MAX_BLOCK_ID_BYTES + 1) + ":1"),
        ("X-Prompt-Prefix", ",".join(["a:1"] * (MAX_PROMPT_BLOCKS + 1))),
        ("X-Deadline-Ms", "soon"),
        ("X-Deadline-Ms", "-1"),
        ("X-Deadline-Ms", "inf"),
        ("X-Deadline-Ms", "nan"),
        ("X-Deadline-Ms", "1e3"),
        ("X-Deadline-Ms", str(MAX_DEADLINE_MS + 1)),
        ("Last-Event-Id", "7" * (MAX_EVENT_ID_BYTES + 1)),
    ],
)
def test_invalid_values_are_rejected_with_the_name_of_their_header(header: str, value: str) -> None:
    with pytest.raises(InvalidHeaderError, match=header) as rejected:
        parse_metadata([(header.lower().encode(), value.encode())])
    assert rejected.value.header == header


numbers = st.one_of(
    st.integers().map(str),
    st.integers(-(10**400), 10**400).map(str),
    st.floats().map(str),
    st.text(max_size=8),
)


@given(st.lists(st.lists(numbers, max_size=3).map(",".join), min_size=1, max_size=20))
def test_no_accepted_value_lowers_the_usage_of_its_tenant(usages: list[str]) -> None:
    allocator = QuotaAllocator()
    allocator.set_share(TOTAL_SHARE, 1e9, 0.0)
    allocator.set_limits({"t": RateLimit(2_000.0, 8_000.0)}, 0.0, controllers=1, is_restart=False)
    used = 0.0
    for usage in usages:
        try:
            metadata = parse_metadata([(b"x-token-usage", usage.encode(errors="surrogatepass"))])
        except InvalidHeaderError:
            continue
        units = float(metadata.total_tokens or 1)
        decision = allocator.request("t", units, 0.0)
        now_used = allocator.granted_units.get("t", 0.0)
        assert now_used >= used
        if decision.outcome is QuotaOutcome.GRANTED:
            assert now_used == used + units
        used = now_used
