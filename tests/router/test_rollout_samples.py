"""Tests of what a router reports about the tracks of a roll-out: through whole exchanges, and the reports alone."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

import pytest
from larkweir_registry.records import UpstreamState
from larkweir_rollouts.samples import (
    MAX_ROUTES,
    OTHER_ROUTES,
    RolloutReport,
    RouteSamples,
    TrackSamples,
    bucket_of,
)
from larkweir_rollouts.state import Rollout

from larkweir.router import configuration
from larkweir.router.answer_verdict import DEADLINE_MARGIN_MS, AnswerVerdict
from larkweir.router.configuration import NON_IDEMPOTENT
from larkweir.router.rollout_samples import RolloutSamples, SampleKey
from tests.router.rollout_model import (
    COMPLETED,
    NEW,
    OLD,
    OLD_IDS,
    ROLLED_BACK,
    TARGET_MS,
    TIMEOUT_MS,
    RolloutScenario,
    rollout,
)
from tests.router.router_model import EVENTS, KINDS, REPEATABLE, STREAMS, FakeUpstream, SentRequest, answer_of

KEY, UNKNOWN = SampleKey("s", OLD, "r", "i0"), SampleKey("unknown", OLD, "r", "i0")
ANSWERED, FAILED = AnswerVerdict.ANSWERED, AnswerVerdict.FAILED


@pytest.fixture
def scenario() -> Iterator[RolloutScenario]:
    made = RolloutScenario(new_ids=("t0",))
    yield made
    made.model.check()
    assert not made.model.plane.rollout_samples._in_flight, "every attempt has ended"
    made.close()


def target(scenario: RolloutScenario) -> TrackSamples:
    report = scenario.report()
    assert report is not None
    return report.target


def begin_at_target(scenario: RolloutScenario, kind: str = "plain") -> tuple[SentRequest, FakeUpstream]:
    """Send a request that goes to the only upstream of the target. Returns it and the upstream's connection."""
    sent, at = scenario.request_at(kind)
    assert at == "t0"
    (upstream,) = scenario.waiting()
    return sent, upstream


def send_all(
    scenario: RolloutScenario, upstream: FakeUpstream, answer: bytes, *, executed: bool = True
) -> None:
    upstream.begin(answer, executed=executed)
    scenario.do(lambda: upstream.send(len(answer)))


@pytest.mark.parametrize("kind", KINDS)
def test_an_answer_is_counted_on_its_route(kind: str, scenario: RolloutScenario) -> None:
    scenario.order(rollout(1.0))
    _, upstream = begin_at_target(scenario, kind)
    assert target(scenario) == TrackSamples(in_flight=1)
    scenario.wait(0.03)
    scenario.answer(upstream)
    samples = target(scenario).routes[kind]
    assert (samples.answered, samples.failed) == (1, 0)
    assert samples.first_byte == {bucket_of(30.0): 1}
    assert samples.pace == {0 if kind in STREAMS else bucket_of(30.0): 1}
    assert target(scenario).in_flight == 0
    report = scenario.report()
    assert report is not None
    assert report.others == TrackSamples()


def test_similar_routes_are_counted_together_when_there_are_many_routes(
    scenario: RolloutScenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(configuration, "MANY_ROUTES", 0)
    scenario.order(rollout(1.0))
    for kind in KINDS:
        _, upstream = begin_at_target(scenario, kind)
        scenario.answer(upstream)
    counted = {name: route.answered for name, route in target(scenario).routes.items()}
    alike = [f"{fields.get('kind', NON_IDEMPOTENT)} within {TARGET_MS:g} ms" for fields in KINDS.values()]
    assert counted == {name: alike.count(name) for name in alike}


def test_the_pace_of_a_stream_is_the_mean_time_between_its_events(scenario: RolloutScenario) -> None:
    scenario.order(rollout(1.0))
    _, upstream = begin_at_target(scenario, "stream")
    run = upstream.run
    assert run is not None
    answer = answer_of(run)
    upstream.begin(answer)
    ends = [answer.index(run.event(number)) + len(run.event(number)) + 2 for number in (1, 2, 3)]
    done = 0
    for pause_s, end in zip((0.2, 0.3, 0.5), ends, strict=True):
        scenario.wait(pause_s)
        scenario.do(lambda count=end - done: upstream.send(count))  # type: ignore[misc]
        done = end
    scenario.do(lambda: upstream.send(len(upstream.unsent)))
    samples = target(scenario).routes["stream"]
    assert samples.first_byte == {bucket_of(200.0): 1}
    assert samples.pace == {bucket_of(400.0): 1}


@pytest.mark.parametrize("kind", KINDS)
def test_the_first_byte_is_counted_before_the_answer_ends(kind: str, scenario: RolloutScenario) -> None:
    scenario.order(rollout(1.0))
    _, upstream = begin_at_target(scenario, kind)
    assert upstream.run is not None
    scenario.wait(0.03)
    answer = answer_of(upstream.run)
    upstream.begin(answer)
    scenario.do(lambda: upstream.send(len(answer) - 1))
    assert target(scenario).routes[kind] == RouteSamples(first_byte={bucket_of(30.0): 1})
    scenario.wait(0.5)
    scenario.do(lambda: upstream.send(1))
    assert target(scenario).routes[kind].first_byte == {bucket_of(30.0): 1}
    assert target(scenario).routes[kind].answered == 1


def test_a_stream_of_two_events_has_no_pace() -> None:
    # Not the fixture: the model's check does not know streams as short as this one.
    scenario = RolloutScenario(new_ids=("t0",))
    scenario.order(rollout(1.0))
    _, upstream = begin_at_target(scenario, "stream")
    assert upstream.run is not None
    upstream.run.resumed_after = EVENTS - 2
    scenario.wait(0.03)
    scenario.answer(upstream)
    samples = target(scenario).routes["stream"]
    assert samples == RouteSamples(answered=1, first_byte={bucket_of(30.0): 1})
    scenario.close()


@pytest.mark.parametrize("milliseconds", [0.5, 40.0, 4_000.0])
def test_slow_answers_are_in_the_right_bucket(milliseconds: float, scenario: RolloutScenario) -> None:
    scenario.order(rollout(1.0))
    _, upstream = begin_at_target(scenario)
    scenario.wait(milliseconds / 1000.0)
    scenario.answer(upstream)
    samples = target(scenario).routes["plain"]
    bucket = bucket_of(milliseconds)
    assert samples.first_byte in (
        {bucket: 1},
        {bucket - 1: 1},
        {bucket + 1: 1},
    ), "up to the rounding of the clock"
    assert samples.pace == samples.first_byte


def test_an_answer_of_another_upstream_is_counted_for_the_others(scenario: RolloutScenario) -> None:
    scenario.order(rollout(0.0))
    scenario.request_at("plain")
    scenario.answer(scenario.waiting()[0])
    report = scenario.report()
    assert report is not None
    assert report.target == TrackSamples()
    assert report.others.routes["plain"].answered == 1


# Failures


def is_counted_as_failed(scenario: RolloutScenario, kind: str = "plain") -> bool:
    """Return whether the only call at the target was counted as failed. Otherwise it must not be counted at all."""
    track = target(scenario)
    if not track.routes:
        assert not track.failures_by_upstream
        return False
    assert set(track.routes) == {kind}
    samples = track.routes[kind]
    assert (samples.answered, samples.pace) == (0, {})
    assert track.failures_by_upstream == ({"t0": 1} if samples.failed else {})
    return samples.failed == 1


def answer_all_waiting(scenario: RolloutScenario) -> None:
    for upstream in scenario.waiting():
        scenario.answer(upstream)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("status", [500, 502])
def test_a_server_error_is_a_failure_whether_relayed_or_retried(
    kind: str, status: int, scenario: RolloutScenario
) -> None:
    scenario.order(rollout(1.0))
    sent, upstream = begin_at_target(scenario, kind)
    scenario.answer(upstream, status=status)
    answer_all_waiting(scenario)
    assert sent.status == (200 if kind in REPEATABLE else status)
    assert is_counted_as_failed(scenario, kind)
    assert (
        not target(scenario).routes[kind].first_byte
    ), "an error's time to first byte is not counted, since errors are fast"


def test_a_503_without_the_guarantee_of_no_execution_is_a_failure(scenario: RolloutScenario) -> None:
    scenario.order(rollout(1.0))
    sent, upstream = begin_at_target(scenario)
    scenario.answer(upstream, status=503)
    assert sent.status == 502
    assert is_counted_as_failed(scenario)


@pytest.mark.parametrize(
    ("status", "more"),
    [
        (503, {"X-Not-Executed": "1"}),
        (429, {"X-Not-Executed": "1"}),
        (408, {"X-Not-Executed": "1"}),
        (421, {}),
    ],
)
@pytest.mark.parametrize("kind", KINDS)
def test_rejections_without_execution_are_no_failures(
    kind: str, status: int, more: dict[str, str], scenario: RolloutScenario
) -> None:
    scenario.order(rollout(1.0))
    _, upstream = begin_at_target(scenario, kind)
    assert upstream.run is not None
    send_all(scenario, upstream, answer_of(upstream.run, status=status, **more), executed=False)
    answer_all_waiting(scenario)
    assert not is_counted_as_failed(scenario, kind)


def test_a_client_error_is_an_answer(scenario: RolloutScenario) -> None:
    scenario.order(rollout(1.0))
    _, upstream = begin_at_target(scenario)
    scenario.answer(upstream, status=404)
    assert target(scenario).routes["plain"].answered == 1


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("bytes_sent", [0, 20, -3])
def test_an_answer_that_breaks_off_is_a_failure(
    kind: str, bytes_sent: int, scenario: RolloutScenario
) -> None:
    scenario.order(rollout(1.0))
    _, upstream = begin_at_target(scenario, kind)
    assert upstream.run is not None
    answer = answer_of(upstream.run)
    upstream.begin(answer)
    scenario.do(lambda: upstream.send(bytes_sent % len(answer)))
    scenario.do(lambda: upstream.close(in_order=False))
    answer_all_waiting(scenario)
    assert is_counted_as_failed(scenario, kind)


@pytest.mark.parametrize("corrupted_part", [b"X-Server-Signature", b"X-Request-Id", b"HTTP/1.1 200"])
def test_a_corrupted_answer_is_a_failure(corrupted_part: bytes, scenario: RolloutScenario) -> None:
    scenario.order(rollout(1.0))
    _, upstream = begin_at_target(scenario)
    assert upstream.run is not None
    send_all(scenario, upstream, answer_of(upstream.run).replace(corrupted_part, b"X-Other"))
    assert is_counted_as_failed(scenario)


@pytest.mark.parametrize("state", [UpstreamState.DRAINING, UpstreamState.GONE])
def test_a_connection_that_ends_with_a_planned_departure_is_no_failure(
    state: UpstreamState, scenario: RolloutScenario
) -> None:
    scenario.order(rollout(1.0))
    _, upstream = begin_at_target(scenario)
    scenario.list_upstreams(NEW, ("t0",), state)
    assert target(scenario).in_flight == 1
    scenario.do(lambda: upstream.close(in_order=False))
    assert not is_counted_as_failed(scenario)
    assert target(scenario).in_flight == 0


def test_a_refused_connection_is_no_failure(scenario: RolloutScenario) -> None:
    scenario.order(rollout(1.0))
    scenario.model.refusing.add("127.0.0.1:3")
    _, at = scenario.request_at("plain")
    assert at in OLD_IDS
    answer_all_waiting(scenario)
    assert not is_counted_as_failed(scenario)


def test_an_attempt_that_is_given_up_without_an_answer_is_a_failure(scenario: RolloutScenario) -> None:
    scenario.order(rollout(1.0))
    _, upstream = begin_at_target(scenario, "safe")
    scenario.wait(2.0 * TARGET_MS / 1000.0)
    assert not upstream.is_open
    assert is_counted_as_failed(scenario, "safe")
    answer_all_waiting(scenario)


def test_a_client_that_disconnects_is_no_failure(scenario: RolloutScenario) -> None:
    scenario.order(rollout(1.0))
    _, upstream = begin_at_target(scenario)
    scenario.wait(0.02)
    scenario.do(scenario.model.clients[-1].close)
    assert not upstream.is_open
    assert not is_counted_as_failed(scenario)


def test_a_request_that_was_never_sent_is_no_failure(scenario: RolloutScenario) -> None:
    scenario.order(rollout(1.0))
    accepted = asyncio.Event()

    async def connect(address: str) -> object:
        await accepted.wait()
        raise AssertionError(address)

    scenario.model.plane.pool.connect = connect  # type: ignore[method-assign,assignment]
    send_with_deadline(scenario, 500)
    assert target(scenario).in_flight == 1
    scenario.wait(0.499)
    scenario.do(scenario.model.clients[-1].close)
    assert not is_counted_as_failed(scenario)


def send_with_deadline(scenario: RolloutScenario, milliseconds: int) -> None:
    client = scenario.client()
    sent = SentRequest(f"r{len(scenario.model.sent)}", "plain")
    scenario.model.sent[sent.id] = sent
    client.queue(sent, b"", f"X-Deadline-Ms: {milliseconds}\r\n")
    scenario.do(lambda: client.send(len(client.unsent)))


@pytest.mark.parametrize(("deadline_ms", "counts"), [(60, False), (500, True)])
@pytest.mark.parametrize("client_ends_it", [False, True])
def test_a_missed_deadline_is_a_failure_if_it_left_enough_time(
    deadline_ms: int, counts: bool, client_ends_it: bool, scenario: RolloutScenario
) -> None:
    scenario.order(rollout(1.0))
    send_with_deadline(scenario, deadline_ms)
    (upstream,) = scenario.waiting()
    if client_ends_it:
        scenario.wait((deadline_ms - 1) / 1000.0)
        scenario.do(scenario.model.clients[-1].close)
    else:
        scenario.wait((deadline_ms + 1) / 1000.0)
    assert not upstream.is_open
    assert is_counted_as_failed(scenario) is counts


def test_a_client_that_disconnects_long_before_its_deadline_is_no_failure(scenario: RolloutScenario) -> None:
    scenario.order(rollout(1.0))
    begin_at_target(scenario)
    scenario.wait((TIMEOUT_MS - 2.0 * DEADLINE_MARGIN_MS) / 1000.0)
    scenario.do(scenario.model.clients[-1].close)
    assert not is_counted_as_failed(scenario)


# In flight


def others_in_flight(scenario: RolloutScenario) -> int:
    report = scenario.report()
    assert report is not None
    return report.others.in_flight


def test_attempts_that_began_before_the_order_are_in_flight(scenario: RolloutScenario) -> None:
    scenario.order(rollout(0.0, ROLLED_BACK))
    sent = [scenario.request_at("plain")[0] for _ in range(3)]
    scenario.order(rollout(1.0, ordered_unix_ms=2_000.0))
    assert others_in_flight(scenario) == 3
    assert target(scenario).in_flight == 0
    for left in (2, 1, 0):
        scenario.answer(scenario.waiting()[0])
        assert others_in_flight(scenario) == left
    assert all(request.complete for request in sent)


def test_every_end_of_an_attempt_at_the_others_is_counted(scenario: RolloutScenario) -> None:
    scenario.order(rollout(0.0))
    for _ in range(5):
        scenario.request_at("plain")
    assert others_in_flight(scenario) == 5
    scenario.order(rollout(1.0))
    cancelled, broken, failing, departed, answered = scenario.waiting()
    scenario.do(scenario.model.clients[0].close)  # by disconnecting its client
    assert others_in_flight(scenario) == 4
    scenario.do(lambda: broken.close(in_order=False))
    assert others_in_flight(scenario) == 3
    scenario.answer(failing, status=500)
    assert others_in_flight(scenario) == 2
    scenario.list_upstreams(OLD, OLD_IDS, UpstreamState.DRAINING)
    assert others_in_flight(scenario) == 2
    scenario.list_upstreams(OLD, OLD_IDS, UpstreamState.GONE)
    assert others_in_flight(scenario) == 2
    scenario.do(lambda: departed.close(in_order=False))
    assert others_in_flight(scenario) == 1
    scenario.answer(answered)
    assert others_in_flight(scenario) == 0
    assert not cancelled.is_open


def test_an_attempt_that_still_connects_is_in_flight(scenario: RolloutScenario) -> None:
    scenario.order(rollout(0.0))
    counted: list[int] = []
    original = scenario.model.plane.pool.connect

    async def connect(address: str) -> object:
        counted.append(others_in_flight(scenario))
        return await original(address)

    scenario.model.plane.pool.connect = connect  # type: ignore[method-assign,assignment]
    scenario.request_at("plain")
    answer_all_waiting(scenario)
    assert counted == [1]


def test_an_upstream_of_the_target_from_before_the_order_is_in_flight_there(
    scenario: RolloutScenario,
) -> None:
    scenario.order()
    at = [scenario.request_at("plain")[1] for _ in range(3)]
    assert sorted(at) == ["i0", "i1", "t0"]
    scenario.order(rollout(0.5))
    report = scenario.report()
    assert report is not None
    assert (report.target.in_flight, report.others.in_flight) == (1, 2)
    answer_all_waiting(scenario)


# Reports


def test_only_running_roll_outs_are_reported_and_each_order_starts_an_empty_report(
    scenario: RolloutScenario,
) -> None:
    assert scenario.report() is None
    scenario.order(rollout(1.0))
    scenario.answer(begin_at_target(scenario)[1])
    report = scenario.report()
    assert report is not None
    assert report.order_id == rollout().order_id
    scenario.order(rollout(0.9))
    assert (
        target(scenario).routes["plain"].answered == 1
    ), "the order is the same; only its weight has changed"
    again = rollout(1.0, ordered_unix_ms=2_000.0)
    scenario.order(again)
    assert scenario.report() == RolloutReport(again.order_id)
    scenario.order(rollout(1.0, COMPLETED, ordered_unix_ms=2_000.0))
    assert scenario.report() is None


def test_unchanged_reports_are_left_out() -> None:
    samples = RolloutSamples()
    orders: dict[str, Rollout] = {"s": rollout(0.5), "other": rollout(0.5, service="other")}
    samples.set_rollouts(orders)
    assert set(samples.changed_since(0)) == {"s", "other"}
    known = samples.revision
    assert samples.changed_since(known) == {}
    samples.set_rollouts(orders)
    samples.on_attempt_started(UNKNOWN)
    assert samples.changed_since(known) == {}
    samples.on_attempt_started(KEY)
    assert set(samples.changed_since(known)) == {"s"}
    known = samples.revision
    for change in (
        lambda: samples.record_first_byte(KEY, 1.0),
        lambda: samples.record_pace(KEY, 1.0),
        lambda: samples.record_verdict(KEY, ANSWERED),
        lambda: samples.record_verdict(KEY, FAILED),
    ):
        change()
        assert set(samples.changed_since(known)) == {"s"}
        known = samples.revision
    samples.record_verdict(KEY, AnswerVerdict.NO_EVIDENCE)
    samples.record_verdict(UNKNOWN, FAILED)
    samples.record_first_byte(UNKNOWN, 1.0)
    assert samples.changed_since(known) == {}
    samples.on_attempt_ended(KEY)
    assert samples.changed_since(known)["s"].others.in_flight == 0
    assert set(samples.changed_since(0)) == {"s", "other"}, "a new connection gets all reports"


def test_routes_in_excess_of_the_maximum_are_counted_together() -> None:
    samples = RolloutSamples()
    samples.set_rollouts({"s": rollout(0.5)})
    for number in range(3 * MAX_ROUTES):
        version = (OLD, NEW)[number % 2]
        samples.record_verdict(SampleKey("s", version, f"r{number}", "i0"), ANSWERED)
    report = samples.changed_since(0)["s"]
    names = report.target.routes.keys() | report.others.routes.keys()
    assert len(names) == MAX_ROUTES
    assert OTHER_ROUTES in names
    answered = [route.answered for track in (report.target, report.others) for route in track.routes.values()]
    assert sum(answered) == 3 * MAX_ROUTES


def test_apply_rollouts_returns_new_roll_outs_and_new_states(scenario: RolloutScenario) -> None:
    assert scenario.order(rollout(0.1)) == [rollout(0.1)]
    assert scenario.order(rollout(0.1)) == []
    assert scenario.order(rollout(0.4)) == []
    assert scenario.order(rollout(0.4, ROLLED_BACK)) == [rollout(0.4, ROLLED_BACK)]
    assert scenario.order() == []
