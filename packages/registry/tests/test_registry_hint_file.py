"""Hint files, intact and damaged."""

from __future__ import annotations

from random import Random

import pytest
from larkweir_registry import hint_file
from larkweir_registry.records import UpstreamState
from larkweir_registry.registry import Registry
from registry_factories import upstream


def test_a_hint_file_is_restored() -> None:
    registry, later = Registry("a/1"), Registry("a/2")
    registry.update(upstream("u", 7, UpstreamState.DRAINING), 0.0)
    assert hint_file.restore(later, hint_file.encode(registry), 0.0)
    assert later.upstreams == registry.upstreams


@pytest.mark.parametrize("seed", range(50))
def test_a_damaged_hint_file_is_rejected(seed: int) -> None:
    registry, later = Registry("a/1"), Registry("a/2")
    registry.update(upstream("u", 7), 0.0)
    data = bytearray(hint_file.encode(registry))
    rng = Random(seed)
    if rng.random() < 0.5:
        data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
    else:
        del data[rng.randrange(len(data)) :]
    assert not hint_file.restore(later, bytes(data), 0.0)
    assert later.upstreams == {}
