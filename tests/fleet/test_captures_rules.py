"""Rules that join captures to a balancer, without sockets: what is written of each end, and the coordinator's duty."""

from __future__ import annotations

import json
from typing import Any

import pytest
from larkweir_balancing import Balancer
from larkweir_balancing.interface import (
    AttemptEnded,
    ClientGone,
    Effect,
    ListKind,
    ListUpdate,
    Outcome,
    RequestArrived,
    RequestClass,
    Send,
    ServerEntry,
    Settings,
    Tenant,
)
from larkweir_captures.messages import Report as Seen
from larkweir_captures.messages import ThresholdTable, decode, encode
from larkweir_captures.node import Node
from larkweir_captures.options import Options

from larkweir.coordination.captures.recorder import OWNER, CaptureBaggage, CaptureRecorder
from larkweir.coordination.captures.transport import CaptureTransport
from larkweir.coordination.duties.messages import CaptureReport
from larkweir.coordination.duties.messages import decode_report as unpack_report
from larkweir.coordination.duties.messages import encode_report as pack_report
from larkweir.coordination.duties.thresholds import CaptureThresholds


class Nowhere:
    def __init__(self) -> None:
        self.posted: list[tuple[str, bytes]] = []

    def post(self, to: str, item: bytes) -> bool:
        self.posted.append((to, item))
        return True

    def alive(self) -> tuple[str, ...]:
        return ("10.0.0.2:1",)


class One:
    """One balancer's scribe; all is drawn but where `rest` says otherwise."""

    def __init__(self, rest: float = 1.0, slow_ms: float = 0.0) -> None:
        self.now = 0.0
        self.transport = Nowhere()
        self.node = Node("10.0.0.1:1", Options(default_rate=rest), self.transport, gossip=False)
        cls = RequestClass(400.0, 1000.0, Effect.SAFE, name="look")
        self.settings = Settings((cls,), tenants=(Tenant(1.0, name="acme"),), max_attempts=3)
        self.recorder = CaptureRecorder(
            Balancer(self.settings, 1),
            self.settings,
            self.node,
            slow_ms,
            lambda: self.now,
            lambda number: b"id-%d" % number,
            lambda number: f"10.0.0.{number}:80",
            lambda event: "r",
        )
        self.sent: list[Send] = []
        self.tell(0.0, ListUpdate(ListKind.FULL, 1, [ServerEntry(1), ServerEntry(2)]))

    def tell(self, now: float, event: Any) -> None:
        self.now = now
        self.sent += [item for item in self.recorder.handle(now, event) if isinstance(item, Send)]

    def arrive(self, now: float, number: int, came: bytes | None = None) -> CaptureBaggage:
        """With budgets on: the chain asks for the ride first."""
        self.now = now
        event = RequestArrived(number, 0, 900.0)
        baggage = self.recorder.baggage_for(came, b"id-%d" % number, event, now)
        self.tell(now, event)
        return baggage

    def lines(self, now: float) -> list[dict[str, Any]]:
        return [json.loads(line) for line in self.node.tick(now)]


def test_a_record_has_attempts_route_and_the_way_of_the_request() -> None:
    one = One()
    baggage = one.arrive(10.0, 1, b"th:0;rv:80000000000000;k:00000001;n:0.0;by:10.0.0.9:1")
    assert baggage.down().endswith(b"by:10.0.0.9:1,10.0.0.1:1")
    baggage.on_answer(b"th:0;by:10.0.0.5:1", True)
    assert baggage.up() == b"th:0;by:10.0.0.1:1,10.0.0.5:1"
    one.tell(40.0, AttemptEnded(1, 0, one.sent[0].server, Outcome.OK, True, 30.0))
    (line,) = one.lines(100.0)
    assert (line["trace"], line["rv"], line["weight"]) == ("id-1", "80000000000000", 1.0)
    record = line["record"]
    assert (record["route"], record["status"], record["took_ms"]) == ("r", 200, 30.0)
    assert (record["above"], record["below"]) == (["10.0.0.9:1"], ["10.0.0.5:1"])
    assert [row[3] for row in record["attempts"]] == ["ok"]


def test_a_verdict_that_is_raised_below_is_told_upwards_and_is_the_record_s() -> None:
    one = One()
    baggage = one.arrive(10.0, 1, b"th:0;rv:80000000000000;k:00000001;n:0.0;by:a")
    first = baggage.down()
    baggage.on_answer(b"th:4;by:b", True)
    assert (
        first.startswith(b"th:0;")
        and baggage.down().startswith(b"th:4;")
        and baggage.up().startswith(b"th:4;")
    )
    one.tell(40.0, AttemptEnded(1, 0, one.sent[0].server, Outcome.OK, True, 30.0))
    (line,) = one.lines(100.0)
    assert (line["th"], line["weight"]) == ("4", 4 / 3)


def test_what_can_t_be_read_is_counted_and_the_verdict_is_made_here() -> None:
    one = One()
    baggage = one.arrive(10.0, 1, b"th:\xff")
    assert baggage.decision.is_first_hop and one.node.unreadable == 1
    baggage.on_answer(b"nonsense", True)
    assert one.node.unreadable == 2 and not baggage.is_answer_lost


def test_every_end_has_one_record_also_those_of_which_decisions_hear_nothing() -> None:
    one = One()
    for number in range(1, 5):
        one.arrive(1.0, number)
    rides = {number: one.arrive(1.0, number) for number in (5, 6)}
    one.tell(2.0, ClientGone(1))
    one.tell(3.0, AttemptEnded(2, 0, one.sent[1].server, Outcome.REJECTED, False, 2.0))
    one.tell(4.0, AttemptEnded(3, 0, one.sent[2].server, Outcome.OK, True, 2.0))
    one.now = 500.0
    rides[5].closed(500)  # a fault in this process
    rides[6].closed(200)  # whose attempt's end comes just behind
    one.tell(500.0, AttemptEnded(6, 0, one.sent[5].server, Outcome.OK, True, 499.0))
    refused = one.recorder.baggage_for(None, b"id-7", RequestArrived(7, 0, 1.0), 500.0)
    refused.closed(503)  # by its budget, before the decisions heard of it
    refused.closed(503)
    one.recorder.follow.overdue(940.0)
    assert not one.recorder.follow._open[4].due_ms > 940.0
    one.recorder.follow.overdue(1000.0)  # 4: whom the deadline has ended, without budgets
    found = {line["trace"]: line["record"]["status"] for line in one.lines(1000.0)}
    assert found == dict(
        zip([f"id-{n}" for n in range(1, 8)], (499, 502, 200, 504, 500, 200, 503), strict=True)
    )
    assert not one.recorder._baggage and not len(one.recorder.follow)


@pytest.mark.parametrize(
    ("outcomes", "slow_ms", "why"),
    [
        ((Outcome.OK,), 0.0, ""),
        ((Outcome.OK,), 20.0, "slow"),
        ((Outcome.CONNECT_FAILED, Outcome.OK), 0.0, "again"),
        ((Outcome.REJECTED,), 20.0, "failed"),
    ],
)
def test_what_is_worth_keeping_is_asked_of_other_hops_and_kept_here(
    outcomes: tuple[Outcome, ...], slow_ms: float, why: str
) -> None:
    one = One(rest=0.000001, slow_ms=slow_ms)
    one.arrive(10.0, 1, b"th:none;rv:80000000000000;k:00000001;n:0.0;by:10.0.0.9:1")
    for n, outcome in enumerate(outcomes):
        one.tell(40.0 + n, AttemptEnded(1, n, one.sent[n].server, outcome, outcome is Outcome.OK, 30.0))
    assert [line["why"] for line in one.lines(100.0)] == ([why] if why else [])
    assert [to for to, _ in one.transport.posted] == (["10.0.0.9:1"] if why else [])


def test_a_refusal_that_no_server_saw_is_no_trouble() -> None:
    one = One(rest=0.000001)
    one.tell(1.0, ListUpdate(ListKind.FULL, 2, []))
    one.arrive(10.0, 1, b"th:none;rv:80000000000000;k:00000001;n:0.0;by:10.0.0.9:1")
    one.now = 900.0
    one.recorder.follow.over(900.0, 1, 503)
    assert one.lines(1000.0) == [] and one.transport.posted == [] and len(one.node.recent) == 1


def test_an_answer_is_lost_where_the_attempt_may_have_reached_a_balancer() -> None:
    one = One()
    baggage = one.arrive(10.0, 1)
    baggage.on_answer(None, False)
    assert not baggage.is_answer_lost
    baggage.on_answer(None, True)
    assert baggage.is_answer_lost


def test_one_more_than_can_be_followed_leaves_nothing_behind() -> None:
    one = One()
    one.recorder.follow.MOST = 3
    for number in range(1, 9):
        one.arrive(1.0, number)
    assert len(one.recorder.follow) == 3 and not one.recorder._baggage


def test_a_peer_s_table_is_not_read_and_a_new_life_has_no_volume_to_spare() -> None:
    node = One().node
    assert node.on_message("10.0.0.2:1", encode(ThresholdTable(9, 9, "x", 1000, 0, {})), 0.0) is None
    assert node.thresholds.version == (0, 0) and node.unreadable == 1
    assert node.follow(ThresholdTable(1, 1, OWNER, 1000, 0, {}), 0.0) and not node.follow(
        ThresholdTable(1, 0, "", 1000, 0, {}), 0.0
    )
    assert node.sampled.limit.wait_ms(1, 0.0) == 0.0
    node.begin_writing(0.0)
    assert node.sampled.limit.wait_ms(1, 0.0) > 0.0 and node.triggered.limit.wait_ms(1, 0.0) > 0.0


# ------------------------------------------------ the duty


class Copy:
    """One copy of the duty, with the register as an owner would see it."""

    def __init__(self, rest: float = 0.5) -> None:
        self.node = One(rest).node
        self.on_answer: list[bytes] = []
        self.duty = CaptureThresholds(
            7, self.node, lambda: self.on_answer.pop() if self.on_answer else b"", 3000.0, rest
        )


def seen(firsts: dict[int, int], room: int) -> CaptureReport:
    item = encode(Seen(1, 1, room, False, firsts, firsts))
    found = unpack_report(pack_report(CaptureReport(7, item)))
    assert isinstance(found, CaptureReport)
    return found


def test_the_register_s_table_is_followed_under_its_version_and_never_back() -> None:
    copy = Copy()
    state = copy.duty.step(b"", 0.0)
    assert state is not None and copy.duty.step(state, 10.0) is None  # no sooner than a second later
    copy.duty.on_committed(state, (3, 4))
    assert copy.duty.is_notable()
    assert copy.duty.tick(50.0) == [] and copy.node.thresholds.version == (3, 4)
    copy.duty.on_committed(state, (3, 3))
    assert not copy.duty.is_notable()
    copy.duty.tick(60.0)
    assert copy.node.thresholds.version == (3, 4) and copy.node._coordinator == OWNER


def test_rates_come_from_reports_and_the_next_owner_begins_with_them() -> None:
    copy, state = Copy(rest=1.0), b""
    for second in range(8):
        now = second * 1000.0
        for name in ("a:1", "b:1"):
            copy.duty.on_report(name, seen({5: 100_000, 6: 1_000}, 11_000), now)
        found = copy.duty.step(state, now)
        if found is not None:
            state = found
            copy.duty.on_committed(state, (1, second + 1))
            copy.duty.tick(now)
    rates = {key: (2**56 - th) / 2**56 for key, th in copy.node.thresholds.table.thresholds.items()}
    assert (
        rates[6] > 0.99 and 0.03 < rates[5] < 0.1
    )  # the rare one whole; ten records a second and a node of the other
    other = Copy(rest=1.0)
    began = other.duty.step(state, 9000.0)
    assert began is not None
    table = decode(began)
    assert isinstance(table, ThresholdTable) and table.thresholds == copy.node.thresholds.table.thresholds


def test_an_owner_of_a_new_term_forgets_what_was_reported_under_the_old_one() -> None:
    copy = Copy()
    state = copy.duty.step(b"", 0.0)
    assert state is not None
    copy.duty.on_committed(state, (1, 1))
    copy.duty.on_report("a:1", seen({5: 100_000}, 11_000), 5.0)
    copy.duty.on_committed(state, (2, 1))
    copy.duty.on_report("a:1", seen({5: 100_000}, 11_000), 6.0)  # nobody's, until it owns the duty again
    assert copy.duty.step(state, 10.0) is not None  # as one that has just begun
    assert copy.duty._coordinator is not None and copy.duty._coordinator.nodes == 0


def test_a_node_s_report_goes_to_whoever_owns_the_duty_and_wakes_it() -> None:
    post, woken = CaptureTransport(), list[str]()
    post.on_report = lambda: woken.append("told")
    assert post.post(OWNER, b"report") and woken == ["told"]
    assert (post.take_report(), post.take_report()) == (b"report", b"")
    assert not post.post("10.0.0.2:1", b"ask") and post.alive() == ()  # where peers are off


def test_a_copy_s_report_goes_out_once_and_what_is_none_is_refused() -> None:
    copy = Copy()
    copy.on_answer = [b"item"]
    assert copy.duty.tick(0.0) == [CaptureReport(7, b"item")] and copy.duty.tick(100.0) == []
    copy.duty.on_report("a:1", CaptureReport(7, b"nonsense"), 0.0)
    assert copy.duty.rejected == 0  # it owns nothing
    copy.duty.step(b"no table", 0.0)
    copy.duty.on_report("a:1", CaptureReport(7, b"nonsense"), 0.0)
    assert copy.duty.rejected == 1
    copy.duty.on_committed(b"no table", (1, 1))
    copy.duty.tick(200.0)
    assert copy.node.thresholds.version == (0, 0)
