"""Tests of which upstreams serve the requests of a service with a roll-out, through whole exchanges."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from random import Random
from typing import Any
from unittest.mock import Mock

import msgspec
import pytest
from larkweir_balancing.decision_options import OPTIONS
from larkweir_balancing.prompt import Prompt
from larkweir_registry.records import UpstreamState
from larkweir_rollouts.state import Rollout

from larkweir.cluster import log
from larkweir.router.fleet_sync import FleetSync
from larkweir.router.rollout_tracks import ORDER_WAIT_MS, Track, allowed_tracks, draw_track
from tests.router.rollout_model import (
    COMPLETED,
    NEW,
    NEW_IDS,
    OLD,
    OLD_IDS,
    ROLLED_BACK,
    RolloutScenario,
    instance,
    rollout,
)
from tests.router.router_model import KINDS, REPEATABLE, FakeUpstream, SentRequest, answer_of

DRAWS = 10_000
AT_ONCE = 10  # more than there are upstreams, so that all get requests: idle upstreams are selected first
READY, DRAINING, GONE = UpstreamState.READY, UpstreamState.DRAINING, UpstreamState.GONE


@pytest.fixture
def scenario() -> Iterator[RolloutScenario]:
    made = RolloutScenario()
    yield made
    made.model.check()
    made.close()


def served_by(scenario: RolloutScenario, count: int, kind: str = "plain") -> set[str]:
    """Send `count` requests, ten at a time. Returns the upstreams that served them; "" for requests without one."""
    found = set()
    for _ in range(count // AT_ONCE):
        found |= {scenario.request_at(kind)[1] for _ in range(AT_ONCE)}
        for upstream in scenario.waiting():
            scenario.answer(upstream)
    return found


def hold_request_at_version(scenario: RolloutScenario, version: str) -> FakeUpstream:
    """Send requests until one goes to that version, and leave it unanswered. The requests before it are answered."""
    ids = NEW_IDS if version == NEW else OLD_IDS
    for _ in range(DRAWS):
        scenario.request_at("safe")
        (upstream,) = scenario.waiting()
        if instance(upstream) in ids:
            return upstream
        scenario.answer(upstream)
    raise AssertionError(version)


@pytest.mark.parametrize("weight", [0.0, 0.08, 0.5, 0.93, 1.0])
def test_the_share_of_requests_is_the_weight(weight: float) -> None:
    drawn = Counter(draw_track(rollout(weight), rng) for rng in [Random(7)] for _ in range(DRAWS))
    deviation = (weight * (1.0 - weight) / DRAWS) ** 0.5
    assert abs(drawn[Track.TARGET] / DRAWS - weight) <= 3.5 * deviation


@pytest.mark.parametrize("ordered", [None, rollout(0.0), rollout(1.0), rollout(0.3, ROLLED_BACK)])
def test_nothing_is_drawn_where_one_track_is_possible(ordered: object) -> None:
    rng = Random(1)
    before = rng.getstate()
    draw_track(ordered, rng)  # type: ignore[arg-type]
    assert rng.getstate() == before


def test_the_share_of_requests_through_exchanges_is_the_weight(scenario: RolloutScenario) -> None:
    scenario.order(rollout(0.3))
    count = 400
    at = Counter[str]()
    for _ in range(count):
        _, id_ = scenario.request_at("plain")
        at[id_] += 1
        scenario.answer(scenario.waiting()[0])
    share = sum(at[id_] for id_ in NEW_IDS) / count
    assert abs(share - 0.3) <= 3.5 * (0.3 * 0.7 / count) ** 0.5
    assert set(at) <= {*OLD_IDS, *NEW_IDS}


def test_without_a_roll_out_all_upstreams_are_one_track(scenario: RolloutScenario) -> None:
    scenario.order()
    assert served_by(scenario, 200) == {*OLD_IDS, *NEW_IDS}


def test_a_version_without_a_share_gets_no_requests(scenario: RolloutScenario) -> None:
    scenario.order(rollout(0.0))
    assert served_by(scenario, 200) == set(OLD_IDS)


def test_the_canary_has_few_upstreams_and_grows_with_the_weight(scenario: RolloutScenario) -> None:
    scenario.order(rollout(0.4))
    few = served_by(scenario, 200) - set(OLD_IDS)
    assert len(few) == 2
    scenario.order(rollout(0.6))
    assert served_by(scenario, 200) - set(OLD_IDS) == set(NEW_IDS)
    scenario.order(rollout(0.4))
    assert served_by(scenario, 200) - set(OLD_IDS) == few


def test_at_full_weight_everything_goes_to_the_target(scenario: RolloutScenario) -> None:
    scenario.order(rollout(1.0))
    assert served_by(scenario, 200) == set(NEW_IDS)


def test_a_completed_roll_out_sends_nothing_to_the_others(scenario: RolloutScenario) -> None:
    scenario.order(rollout(1.0, COMPLETED))
    assert served_by(scenario, 200) == set(NEW_IDS)


@pytest.mark.parametrize("ordered", [rollout(0.0), rollout(0.3), rollout(0.9), rollout(0.3, ROLLED_BACK)])
def test_only_drawn_requests_go_to_the_target_even_as_a_last_resort(
    ordered: object, scenario: RolloutScenario
) -> None:
    scenario.order(ordered)  # type: ignore[arg-type]
    scenario.list_upstreams(OLD, OLD_IDS, DRAINING)
    outcomes = Counter[tuple[int, bool]]()
    for _ in range(200):
        sent, at = scenario.request_at("safe")
        assert at in ("", *NEW_IDS)
        if at:
            scenario.answer(scenario.waiting()[0])
        outcomes[sent.status, bool(at)] += 1
    assert set(outcomes) <= {(503, False), (200, True)}
    assert outcomes[200, True] <= 200 * (ordered.effective_weight + 0.15)  # type: ignore[attr-defined]
    if not ordered.effective_weight:  # type: ignore[attr-defined]
        assert outcomes == {(503, False): 200}


def test_after_a_roll_back_nothing_goes_to_the_target(scenario: RolloutScenario) -> None:
    scenario.order(rollout(1.0))
    served_by(scenario, 20)
    scenario.order(rollout(0.0, ROLLED_BACK))
    assert served_by(scenario, 200) == set(OLD_IDS)


def test_allowed_tracks_follow_the_current_state_of_the_roll_out(scenario: RolloutScenario) -> None:
    """The state may change after the draw, for example while the router waits for a prefix lookup."""
    for first, second, is_first, expected in (
        (Track.TARGET, rollout(0.0, ROLLED_BACK), True, (Track.OTHERS,)),
        (Track.TARGET, rollout(0.1), True, (Track.TARGET, Track.OTHERS)),
        (Track.TARGET, rollout(0.1), False, (Track.OTHERS,)),
        (Track.OTHERS, rollout(0.99), True, (Track.OTHERS,)),
        (Track.OTHERS, rollout(1.0), True, (Track.TARGET, Track.OTHERS)),
        (Track.OTHERS, rollout(1.0, COMPLETED), False, (Track.TARGET, Track.OTHERS)),
        (Track.TARGET, None, True, (Track.OTHERS,)),
    ):
        assert allowed_tracks(second, first, is_first=is_first) == expected


@pytest.mark.parametrize(
    "ordered", [rollout(0.3), rollout(1.0), rollout(1.0, COMPLETED)], ids=["trial", "whole", "completed"]
)
def test_the_others_take_requests_when_no_upstream_of_the_target_is_ready(
    ordered: object, scenario: RolloutScenario
) -> None:
    scenario.order(ordered)  # type: ignore[arg-type]
    scenario.list_upstreams(NEW, NEW_IDS, DRAINING)
    assert served_by(scenario, 100) == set(OLD_IDS)
    scenario.list_upstreams(NEW, NEW_IDS, GONE)
    assert served_by(scenario, 100) == set(OLD_IDS)


def test_upstreams_that_appear_after_the_order_join_their_track() -> None:
    scenario = RolloutScenario(new_ids=())
    scenario.order(rollout(1.0))
    assert served_by(scenario, 50) == set(OLD_IDS)
    scenario.list_upstreams(NEW, ("t1",))
    assert served_by(scenario, 50) == {"t1"}
    scenario.list_upstreams(OLD, OLD_IDS, GONE)
    assert served_by(scenario, 50) == {"t1"}
    scenario.close()


def test_upstreams_that_were_known_before_the_order_change_their_track(scenario: RolloutScenario) -> None:
    scenario.order()
    held = scenario.request_at("safe")[0]
    assert served_by(scenario, 60) == {*OLD_IDS, *NEW_IDS}
    scenario.order(rollout(0.0))
    assert served_by(scenario, 60) == set(OLD_IDS)
    assert held.complete


def fail_attempt(scenario: RolloutScenario, upstream: FakeUpstream, how: str) -> None:
    run = upstream.run
    assert run is not None
    match how:
        case "reset":
            scenario.do(lambda: upstream.close(in_order=False))
        case "error":
            scenario.answer(upstream, status=500)
        case "refusal":
            upstream.begin(answer_of(run, status=503, **{"X-Not-Executed": "1"}), executed=False)
            scenario.do(lambda: upstream.send(len(upstream.unsent)))


@pytest.mark.parametrize("how", ["reset", "error", "refusal"])
@pytest.mark.parametrize("weight", [0.3, 0.95])
def test_a_retry_goes_to_the_others_while_the_target_is_on_trial(
    how: str, weight: float, scenario: RolloutScenario
) -> None:
    scenario.order(rollout(weight))
    for _ in range(20):
        fail_attempt(scenario, hold_request_at_version(scenario, NEW), how)
        (second,) = scenario.waiting()
        assert instance(second) in OLD_IDS
        fail_attempt(scenario, second, how)
        (third,) = scenario.waiting()
        assert instance(third) in OLD_IDS
        scenario.answer(third)


def test_a_failure_at_the_others_is_not_retried_at_the_target(scenario: RolloutScenario) -> None:
    scenario.order(rollout(0.4))
    for _ in range(20):
        fail_attempt(scenario, hold_request_at_version(scenario, OLD), "reset")
        assert instance(scenario.waiting()[0]) in OLD_IDS
        scenario.answer(scenario.waiting()[0])


def test_after_a_failed_connection_to_the_target_a_request_goes_to_the_others(
    scenario: RolloutScenario,
) -> None:
    scenario.order(rollout(0.4))
    scenario.model.refusing.update(f"127.0.0.1:{number}" for number in (3, 4, 5))
    assert served_by(scenario, 100) == set(OLD_IDS)


@pytest.mark.parametrize("ordered", [rollout(1.0), rollout(1.0, COMPLETED)], ids=["whole", "completed"])
def test_a_retry_goes_to_the_target_at_full_weight(ordered: object, scenario: RolloutScenario) -> None:
    scenario.order(ordered)  # type: ignore[arg-type]
    sent, first = scenario.request_at("safe")
    fail_attempt(scenario, scenario.waiting()[0], "reset")
    second = instance(scenario.waiting()[0])
    assert {first, second} < set(NEW_IDS)
    scenario.answer(scenario.waiting()[0])
    assert sent.complete


def test_a_broken_stream_of_the_target_is_resumed_at_the_others(scenario: RolloutScenario) -> None:
    scenario.order(rollout(0.999))
    sent, at = scenario.request_at("resumable")
    assert at in NEW_IDS
    (upstream,) = scenario.waiting()
    run = upstream.run
    assert run is not None
    answer = answer_of(run)
    upstream.begin(answer)
    scenario.do(lambda: upstream.send(answer.index(run.event(2)) + len(run.event(2))))
    fail_attempt(scenario, upstream, "reset")
    (second,) = scenario.waiting()
    assert instance(second) in OLD_IDS
    assert second.run is not None
    assert second.run.headers["last-event-id"] == "2"
    scenario.answer(second)
    assert sent.complete


@pytest.mark.parametrize("kind", sorted(REPEATABLE))
def test_an_overdue_call_at_the_target_goes_to_the_others(kind: str, scenario: RolloutScenario) -> None:
    scenario.order(rollout(0.999))
    _, at = scenario.request_at(kind)
    assert at in NEW_IDS
    scenario.wait(5.0)
    assert instance(scenario.waiting()[0]) in OLD_IDS
    scenario.answer(scenario.waiting()[0])


def test_an_overdue_call_at_the_target_goes_to_the_last_of_the_others(scenario: RolloutScenario) -> None:
    scenario.order(rollout(0.999))
    scenario.list_upstreams(OLD, ("i0",), GONE)
    scenario.request_at("safe")
    scenario.wait(5.0)
    assert instance(scenario.waiting()[0]) == "i1"
    scenario.answer(scenario.waiting()[0])


def test_an_overdue_call_at_the_target_waits_where_no_other_is_left(scenario: RolloutScenario) -> None:
    scenario.order(rollout(0.999))
    scenario.list_upstreams(OLD, OLD_IDS, GONE)
    sent, at = scenario.request_at("safe")
    assert at in NEW_IDS
    scenario.wait(5.0)
    (upstream,) = scenario.waiting()
    assert instance(upstream) == at
    scenario.answer(upstream)
    assert sent.complete


def test_readiness_and_ejection_cover_all_tracks(scenario: RolloutScenario) -> None:
    scenario.order(rollout(1.0))
    upstreams = scenario.model.plane.upstreams
    upstreams.set_ejected({"t0", "i0"})
    assert served_by(scenario, 50) == {"t1", "t2"}
    scenario.list_upstreams(OLD, OLD_IDS, DRAINING)
    assert upstreams.has_ready
    scenario.list_upstreams(NEW, NEW_IDS, DRAINING)
    assert not upstreams.has_ready


def test_an_upstream_that_changes_its_track_keeps_its_requests_in_flight(scenario: RolloutScenario) -> None:
    scenario.order(rollout(1.0))
    held = {scenario.request_at("plain")[1] for _ in range(3)}
    assert held == set(NEW_IDS), "each upstream holds an idle token until it has a request"
    scenario.order(rollout(0.0))
    scenario.order(rollout(1.0))
    selector = scenario.model.plane.upstreams.selector("s", Track.TARGET)
    for id_ in NEW_IDS:
        server = selector._upstreams.server(id_)
        assert server is not None
        assert server.other_in_flight == 1
    for upstream in scenario.waiting():
        scenario.answer(upstream)
    assert {scenario.request_at("plain")[1] for _ in range(3)} == set(NEW_IDS), "all count as idle again"
    for upstream in scenario.waiting():
        scenario.answer(upstream)


def test_the_target_of_a_completed_roll_out_is_the_other_track_of_the_next(scenario: RolloutScenario) -> None:
    scenario.order(rollout(1.0))
    scenario.order(rollout(1.0, COMPLETED))
    selector = scenario.model.plane.upstreams.selector("s", Track.TARGET)
    scenario.order(rollout(0.0, target_version="v3", ordered_unix_ms=2_000.0))
    assert scenario.model.plane.upstreams.selector("s", Track.OTHERS) is selector
    assert served_by(scenario, 100) == {*OLD_IDS, *NEW_IDS}


def test_a_new_track_begins_with_the_learned_prefill_times(scenario: RolloutScenario) -> None:
    scenario.order()
    upstreams = scenario.model.plane.upstreams
    learned = upstreams.selector("s").prefill_time
    for tokens in range(0, 20_000, 1_000):
        learned.observe(float(tokens), 80.0 + 0.05 * tokens)
    scenario.order(rollout(0.1))
    found = upstreams.selector("s", Track.TARGET).prefill_time
    assert found == learned
    assert found is not learned


def test_the_backlog_of_an_engine_is_the_sum_over_the_tracks(scenario: RolloutScenario) -> None:
    scenario.model.plane.is_engine = lambda service: True  # type: ignore[method-assign]
    upstreams = scenario.model.plane.upstreams
    upstreams._is_engine = lambda service: True
    upstreams._services.clear()
    scenario.order()
    upstreams.selector("s").on_attempt_started("t0", Prompt(tokens=5_000.0), 0.0)
    scenario.order(rollout(1.0))
    upstreams.selector("s", Track.TARGET).on_attempt_started("t0", Prompt(tokens=300.0), 0.0)
    upstreams.selector("s").on_attempt_started("i0", Prompt(tokens=20.0), 0.0)
    assert upstreams.own_prefill_backlog() == {"t0": 5_300, "i0": 20}


def test_requests_for_a_version_on_trial_look_up_no_prefix_owner(scenario: RolloutScenario) -> None:
    assert OPTIONS.controller_prefix_owners
    lookups: list[str] = []

    def lookups_at_weight(weight: float) -> int:
        scenario.order(rollout(weight))
        lookups.clear()
        for _ in range(20):
            client = scenario.client()
            sent = SentRequest(f"r{len(scenario.model.sent)}", "plain")
            scenario.model.sent[sent.id] = sent
            client.queue(sent, b"x", "X-Token-Usage: 6000,10\r\nX-Prompt-Prefix: h:5000,own:1000\r\n")
            scenario.do(lambda client=client: client.send(len(client.unsent)))  # type: ignore[misc]
            scenario.answer(scenario.waiting()[0])
        return len(lookups)

    plane = scenario.model.plane
    plane.is_engine = lambda service: True  # type: ignore[method-assign]

    def record_lookup(lookup: object) -> bool:
        lookups.append("lookup")
        return False

    plane.prefix_affinity.send_lookup = record_lookup
    assert lookups_at_weight(0.9999) == 0
    assert lookups_at_weight(0.0) == 20
    assert lookups_at_weight(1.0) == 20
    scenario.list_upstreams(NEW, NEW_IDS, DRAINING)
    assert lookups_at_weight(0.9999) == 20, "no upstream of the target is ready, so requests go to the others"


def test_each_request_kind_passes_the_checks_of_the_model_with_two_tracks(scenario: RolloutScenario) -> None:
    scenario.order(rollout(0.5))
    for kind in KINDS:
        served_by(scenario, 10, kind)


def test_the_debug_line_of_a_request_names_the_track(
    scenario: RolloutScenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    lines: list[dict[str, Any]] = []
    monkeypatch.setattr(log, "is_debug_enabled", lambda: True)
    monkeypatch.setattr(log, "debug", lambda name, **fields: lines.append({"event": name, **fields}))
    for ordered in (None, rollout(0.0), rollout(1.0)):
        scenario.order(*(() if ordered is None else (ordered,)))
        served_by(scenario, AT_ONCE)
    tracks = [
        [msgspec.to_builtins(attempt).get("track") for attempt in line["attempts"]]
        for line in lines
        if line["event"] == "request"
    ]
    assert tracks == [[None]] * AT_ONCE + [["others"]] * AT_ONCE + [["target"]] * AT_ONCE


def test_a_withdrawn_version_gets_no_requests_while_the_next_one_is_on_trial(
    scenario: RolloutScenario,
) -> None:
    ordered = rollout(0.0, target_version="v3", withdrawn_versions=(NEW,))
    scenario.order(ordered)
    assert not set(served_by(scenario, 50)) & set(NEW_IDS)


def scenario_with_one_version() -> RolloutScenario:
    """Return a model whose upstreams all have the new version, after a configuration without roll-outs."""
    scenario = RolloutScenario(has_old=False)
    scenario.order()
    return scenario


@pytest.mark.parametrize("weight", [0.0, 0.08, 1.0])
def test_an_order_for_the_only_version_rejects_no_request(weight: float) -> None:
    scenario = scenario_with_one_version()
    scenario.order(rollout(weight, withdrawn_versions=("v0",)))
    assert served_by(scenario, 100) == set(NEW_IDS), "all upstreams, not only a canary's share"
    scenario.list_upstreams(NEW, NEW_IDS[:1], DRAINING)
    assert served_by(scenario, 50) == set(NEW_IDS[1:])
    scenario.order(rollout(1.0, COMPLETED))
    assert served_by(scenario, 50) == set(NEW_IDS[1:])
    scenario.close()


def test_a_retry_stays_at_the_only_version() -> None:
    scenario = scenario_with_one_version()
    scenario.order(rollout(0.08))
    sent, first = scenario.request_at("safe")
    fail_attempt(scenario, scenario.waiting()[0], "reset")
    second = instance(scenario.waiting()[0])
    assert {first, second} < set(NEW_IDS)
    scenario.answer(scenario.waiting()[0])
    assert sent.complete
    scenario.close()


def test_a_router_that_has_just_started_does_not_assume_a_single_version() -> None:
    scenario = RolloutScenario(has_old=False)
    scenario.order(rollout(0.0))  # the first configuration of the router
    assert served_by(scenario, 50) == {
        ""
    }, "the first controller that it reaches may know only the upstreams of the target"
    scenario.close()


def test_a_target_that_was_the_only_version_is_on_trial_once_another_appears() -> None:
    scenario = scenario_with_one_version()
    scenario.order(rollout(0.0))
    assert served_by(scenario, 50) == set(NEW_IDS)
    scenario.list_upstreams(OLD, OLD_IDS)
    assert served_by(scenario, 50) == set(OLD_IDS)
    scenario.list_upstreams(OLD, OLD_IDS, GONE)
    assert served_by(scenario, 50) == {""}, "the target is still on trial"
    scenario.close()


@pytest.mark.parametrize(
    ("ended", "used"),
    [
        (rollout(1.0, COMPLETED, other_versions=("v1",)), {"t0", "t1", "t2"}),
        (rollout(1.0, COMPLETED, other_versions=("v1",), withdrawn_versions=("v3",)), {"t0", "t1"}),
        (rollout(1.0, COMPLETED, other_versions=("v1", "v3")), {"t0", "t1"}),
        (rollout(0.0, ROLLED_BACK, other_versions=("v1",)), {*OLD_IDS, "t2"}),
    ],
    ids=["completed", "withdrawn", "replaced", "rolled back"],
)
def test_a_version_without_an_order_is_used_after_the_roll_out_has_ended(
    ended: Rollout, used: set[str], scenario: RolloutScenario
) -> None:
    scenario.order(ended)
    scenario.list_upstreams("v3", ("t2",))
    scenario.wait(ORDER_WAIT_MS / 1000.0)
    scenario.model.plane.upstreams.tick(scenario.now_s * 1000.0)
    assert served_by(scenario, 200) == used
    scenario.order(rollout(0.0, target_version="v4", ordered_unix_ms=9_000.0))
    assert "t2" in served_by(scenario, 200), "it belongs to the others of the next roll-out"


def test_a_version_that_appears_after_a_completion_waits_for_its_order(scenario: RolloutScenario) -> None:
    scenario.order(rollout(1.0, COMPLETED, other_versions=("v1",)))
    assert served_by(scenario, 50) == set(NEW_IDS)
    scenario.list_upstreams("v3", ("t2",))
    scenario.wait(ORDER_WAIT_MS / 1000.0 - 1.0)
    scenario.model.plane.upstreams.tick(scenario.now_s * 1000.0)
    assert served_by(scenario, 100) == {"t0", "t1"}
    scenario.order(rollout(0.0, target_version="v3", withdrawn_versions=("v1",), ordered_unix_ms=9_000.0))
    scenario.wait(2.0)
    scenario.model.plane.upstreams.tick(scenario.now_s * 1000.0)
    assert served_by(scenario, 100) == {"t0", "t1"}, "the version is on trial"


def test_a_version_that_waits_for_an_order_takes_requests_when_no_other_is_ready(
    scenario: RolloutScenario,
) -> None:
    scenario.order(rollout(1.0, COMPLETED, other_versions=("v1",)))
    assert served_by(scenario, 50) == set(NEW_IDS)
    scenario.list_upstreams("v3", ("t2",))
    scenario.list_upstreams(NEW, NEW_IDS[:2], DRAINING)
    scenario.list_upstreams(OLD, OLD_IDS, GONE)
    assert served_by(scenario, 50) == {"t2"}


def test_a_tick_of_the_sync_ticks_the_upstream_directory() -> None:
    """Without this tick, the upstreams of a new version would wait for an order forever."""
    sync = Mock()
    FleetSync.tick(sync)
    sync._plane.upstreams.tick.assert_called_once_with(sync._now_ms.return_value)
