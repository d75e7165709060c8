"""Joins and encoding of records."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from larkweir_registry.records import Upstream, UpstreamState, join
from larkweir_registry.registry import Registry
from registry_factories import upstream

upstreams = st.builds(
    upstream, st.just("u"), st.integers(0, 5), st.sampled_from(UpstreamState), st.integers(-1, 5)
)


@given(upstreams, upstreams, upstreams)
def test_a_join_does_not_depend_on_order(one: Upstream, two: Upstream, three: Upstream) -> None:
    assert join(one, two) == join(two, one)
    assert join(one, join(two, three)) == join(join(one, two), three)
    assert join(one, one) == one


versioned_upstreams = st.builds(
    lambda one, version: msgspec.structs.replace(one, reported_version=version),
    upstreams,
    st.sampled_from(("v1", "v2", msgspec.UNSET)),
)


@given(versioned_upstreams, versioned_upstreams, versioned_upstreams)
def test_a_join_of_versions_of_the_software_does_not_depend_on_order(
    one: Upstream, two: Upstream, three: Upstream
) -> None:
    assert join(one, two) == join(two, one)
    assert join(one, join(two, three)) == join(join(one, two), three)


def test_a_record_is_decoded_as_it_was_encoded() -> None:
    registry = Registry("a")
    registry.update(upstream("u", 3, UpstreamState.DRAINING), 0.0)
    (record,) = registry.delta({})
    assert msgspec.json.decode(msgspec.json.encode(record), type=type(record)) == record
