"""Heartbeats, reports and time-outs."""

from __future__ import annotations

from larkweir_registry.failure_detector import FailureDetector


def test_a_time_out_needs_silence_at_all_registries_and_uninterrupted_observation() -> None:
    detector = FailureDetector(1_000.0, 0.0)
    detector.record_heartbeat("u", 1, 0.0)
    assert detector.timed_out(["u"], detector.timeout_ms - 1.0) == []
    assert detector.timed_out(["u"], detector.timeout_ms) == ["u"]
    detector.record_peer_heartbeats({"u": 2}, 3_000.0)
    assert detector.timed_out(["u"], detector.timeout_ms) == []
    detector.reset_observation(10_000.0)
    assert detector.timed_out(["u"], 10_001.0) == []
    assert detector.timed_out(["u"], 10_000.0 + detector.timeout_ms) == ["u"]


def test_heartbeats_are_reported_once() -> None:
    detector = FailureDetector(1_000.0, 0.0)
    detector.record_heartbeat("u", 1, 0.0)
    detector.record_heartbeat("u", 1, 5.0)
    assert detector.take_report() == {"u": 1}
    assert detector.take_report() == {}
