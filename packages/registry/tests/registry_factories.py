"""Factory of upstream records for the tests."""

from __future__ import annotations

from larkweir_registry.records import Upstream, UpstreamState


def upstream(
    id_: str, sequence: int = 0, state: UpstreamState = UpstreamState.READY, timed_out_sequence: int = -1
) -> Upstream:
    return Upstream(id_, "s", "127.0.0.1:80", "z", 4, sequence, state, timed_out_sequence)
