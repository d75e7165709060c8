"""Tests of the buckets of durations, the encoding of reports, and the weight in each state of a roll-out."""

from __future__ import annotations

import msgspec
import pytest
from larkweir_rollouts.samples import (
    BUCKET_FACTOR,
    MAX_BUCKET,
    RolloutReport,
    RouteSamples,
    TrackSamples,
    bucket_of,
)
from larkweir_rollouts.state import Rollout, RolloutState


@pytest.mark.parametrize("duration_ms", [1.5, 3.0, 20.0, 1_000.0, 60_000.0])
def test_a_duration_falls_between_the_bounds_of_its_bucket(duration_ms: float) -> None:
    bucket = bucket_of(duration_ms)
    assert BUCKET_FACTOR ** (bucket - 1) < duration_ms <= BUCKET_FACTOR**bucket


def test_the_smallest_and_the_largest_bucket() -> None:
    assert bucket_of(0.0) == 0
    assert bucket_of(1e300) == MAX_BUCKET


def test_a_report_is_the_same_after_encoding_and_decoding() -> None:
    track = TrackSamples(2, {"r": RouteSamples(3, 1, {7: 2}, {9: 1})}, {"u-1": 1})
    report = RolloutReport("v2/17", track, TrackSamples())
    assert msgspec.json.decode(msgspec.json.encode(report), type=RolloutReport) == report


@pytest.mark.parametrize(
    ("state", "share"),
    [(RolloutState.RUNNING, 0.08), (RolloutState.COMPLETED, 1.0), (RolloutState.ROLLED_BACK, 0.0)],
)
def test_the_share_of_the_target_version_by_state(state: RolloutState, share: float) -> None:
    rollout = Rollout("chat", "v2", 15.0, 1_000.0, state, target_weight=0.08)
    assert rollout.effective_weight == share
    assert rollout.is_running == (state is RolloutState.RUNNING)
