"""The concurrency limiter and the admission queue, in simulated time."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from larkweir_balancing import Balancer
from larkweir_balancing.admission_queue import AdmissionQueue
from larkweir_balancing.concurrency_limiter import ConcurrencyLimiter
from larkweir_balancing.interface import (
    AttemptEnded,
    Effect,
    ListKind,
    ListUpdate,
    Outcome,
    RequestArrived,
    RequestClass,
    Send,
    ServerEntry,
    Settings,
)
from larkweir_balancing.latency_estimates import LatencyEstimates

from standins.tier import AIM_MS, DEADLINE_MS, World, jain, quantile

UNLIMITED = 100_000  # slots: upstreams that are never full


def window(world: World) -> float:
    return float(world.copies[0].balancer.limiter.window)


def test_steps_of_concurrency_from_30_to_300_and_back_are_not_refused() -> None:
    world = World(1, 3, UNLIMITED, 3.0)
    ends = [world.closed(30)]
    for until, more in ((300.0, 70), (600.0, 200)):
        world.run(until)
        ends.append(world.closed(more))
    world.run(900.0)
    for end in ends[1:]:
        end()
    world.run(1200.0)
    whole = world.total(0.0, 1200.0)
    assert whole.served > 20_000 and not whole.refused and not whole.failed
    assert quantile(whole.spent, 0.99) < 0.1 * AIM_MS


def test_a_burst_after_a_quiet_hour_is_not_refused() -> None:
    world = World(2, 3, UNLIMITED, 20.0)
    world.closed(2)()
    end = world.closed(2, think_ms=50.0)
    world.run(1_000.0)
    end()
    world.run(3_600_000.0)
    before = window(world)
    assert before < 10.0  # it does not grow unused
    world.closed(100)
    world.run(3_602_000.0)
    whole = world.total(0.0, 3_602_000.0)
    assert whole.served > 8_000 and not whole.refused


def test_a_burst_long_after_an_overload_doubles_the_window_again() -> None:
    world = World(15, 3, 4, 60.0)
    end = world.closed(200)
    world.run(4_000.0)
    assert window(world) < 60.0
    end()
    world.run(5_000.0)
    for up in world.upstreams:
        up.slots = UNLIMITED  # meanwhile the tier has grown many times larger
    end = world.closed(2, think_ms=50.0)
    world.run(9_000.0)
    end()
    world.run(3_600_000.0)
    world.closed(300)
    world.run(3_602_000.0)
    whole = world.total(3_600_000.0, 3_602_000.0)
    # Five doublings of 60 ms take three times as long as any request may wait, so some are refused; if the window grew
    # by rounds, more than half would be.
    assert whole.refused < 0.1 * whole.asked


def test_a_tier_that_becomes_slower_at_low_load_does_not_keep_the_window_small() -> None:
    world = World(16, 3, UNLIMITED, 2.0)
    world.closed(100, think_ms=5.0)()
    end = world.closed(100, think_ms=5.0)
    world.run(500.0)
    end()
    world.run(600.0)
    for up in world.upstreams:
        up.slower = 100.0  # each call takes 200 ms; the target is 410 ms
    end = world.closed(2, think_ms=50.0)
    world.run(30_000.0)
    end()
    world.run(31_000.0)
    assert window(world) >= 3.0  # the initial window
    world.closed(30, think_ms=100.0)
    world.run(40_000.0)
    late = world.total(35_000.0, 40_000.0)
    assert late.refused <= 0.001 * late.served and late.in_aim == late.served


def test_an_unused_large_window_shrinks_when_there_is_queueing() -> None:
    world = World(18, 3, UNLIMITED, 5.0)
    end = world.closed(300)
    world.run(1_000.0)
    end()
    assert window(world) > 300.0
    world.run(1_500.0)
    for up in world.upstreams:
        up.slots, world.service_ms[up.number] = 4, 50.0
    world.closed(170)  # half of the window, and three times what can be served within the target
    world.run(10_000.0)
    whole = world.total(4_000.0, 10_000.0)
    assert whole.in_aim > 0.95 * world.capacity_per_s * 6.0


def test_the_base_latency_follows_a_tier_that_becomes_slower() -> None:
    world = World(17, 3, 8, 20.0)
    world.poisson(700.0, 40_000.0)  # first below the capacity of 1,200 per second, then five times above it
    world.run(3_000.0)
    for up in world.upstreams:
        up.slower = 8.0  # 160 ms each: more than 20 ms plus its tolerance
    world.run(40_000.0)
    late = world.total(25_000.0, 40_000.0)
    assert late.in_aim > 0.9 * world.capacity_per_s * 15.0


def test_when_half_of_the_servers_refuse_in_a_burst_the_rest_work_at_capacity() -> None:
    world = World(3, 4, 8, 20.0)
    world.closed(200)
    world.run(2_000.0)
    for up in world.upstreams[:2]:
        up.refusing = True
    world.run(6_000.0)
    whole = world.total(3_000.0, 6_000.0)
    assert whole.in_aim > 0.9 * world.capacity_per_s * 3.0


def test_one_slow_upstream_of_ten_does_not_shrink_the_window() -> None:
    world = World(4, 10, UNLIMITED, 5.0)
    world.closed(60, think_ms=5.0)
    world.run(500.0)
    world.upstreams[0].slower = 100.0
    world.run(2_500.0)
    whole = world.total(1_000.0, 2_500.0)
    assert whole.refused <= 0.001 * whole.served
    assert quantile(whole.spent, 0.5) < 10.0


def test_the_window_recovers_after_all_upstreams_were_slow_for_a_second() -> None:
    world = World(5, 3, 4, 20.0)
    world.closed(24, think_ms=20.0)
    world.run(2_000.0)
    for up in world.upstreams:
        up.slower = 10.0
    world.run(3_000.0)
    for up in world.upstreams:
        up.slower = 1.0
    world.run(6_000.0)
    after = world.total(3_000.0 + 2.0 * AIM_MS, 6_000.0)
    assert after.refused <= 0.01 * after.served
    assert quantile(after.spent, 0.9) < 0.25 * AIM_MS


def test_upstreams_of_half_a_millisecond_and_of_300_in_one_pool() -> None:
    world = World(6, 10, UNLIMITED, 0.5)
    for n in range(5):
        world.service_ms[n] = 300.0
    world.closed(30, think_ms=10.0)
    world.run(2_000.0)
    whole = world.total(500.0, 2_000.0)
    assert not whole.refused and whole.in_aim == whole.served


def test_the_class_with_the_smallest_target_bounds_the_queues_of_all() -> None:
    classes = (
        RequestClass(100.0, 300.0, Effect.SAFE, name="tight"),
        RequestClass(10_000.0, 20_000.0, Effect.SAFE, name="loose"),
    )
    world = World(7, 3, 4, 10.0, classes=classes)
    world.poisson(100.0, 6_000.0, cls=0)
    world.poisson(3_000.0, 6_000.0, cls=1)  # two and a half times the capacity
    world.run(6_000.0)
    copy = world.copies[0]
    assert copy.balancer.limiter.tolerance_ms() < 30.0  # not a fraction of the ten seconds of the other class
    assert max(len(up.waiting) for up in world.upstreams) < 30


def test_upstreams_that_refuse_at_once_do_not_look_healthy() -> None:
    world = World(8, 3, 4, 20.0)
    world.closed(100)
    world.run(1_000.0)
    for up in world.upstreams:
        up.refusing = True
    before = window(world)
    world.run(3_000.0)
    assert window(world) <= before
    for up in world.upstreams:
        up.refusing = False
    world.run(8_000.0)
    assert world.total(6_000.0, 8_000.0).in_aim > 0.8 * world.capacity_per_s * 2.0


def test_the_window_follows_halved_capacity_within_four_targets() -> None:
    world = World(9, 3, 32, 50.0)
    world.poisson(2_500.0, 8_000.0)  # 1.3 times the capacity
    world.run(3_000.0)
    for up in world.upstreams:
        up.slots = 16
    world.run(3_000.0 + 4.0 * AIM_MS)
    world.run(8_000.0)
    late = world.total(3_000.0 + 4.0 * AIM_MS, 8_000.0)
    assert late.in_aim > 0.9 * world.capacity_per_s * (8.0 - 3.0 - 4.0 * AIM_MS / 1000.0)


def test_264_replicas_with_low_traffic_build_no_standing_queue_at_a_shared_tier() -> None:
    world = World(10, 20, 1, 100.0, copies=264, queue=200)
    world.poisson(0.35 * 264, 30_000.0)
    queues = []
    for at in range(20):
        world.run(10_000.0 + at * 1_000.0)
        queues.append(sum(len(up.waiting) for up in world.upstreams))
    whole = world.total(10_000.0, 29_000.0)
    assert quantile(queues, 0.5) < 20  # less than one per server
    assert whole.in_aim > 0.8 * whole.asked


def test_replicas_that_started_early_and_late_approach_equal_shares() -> None:
    world = World(11, 4, 16, 20.0, copies=2)
    for n, copy in enumerate(world.copies):
        copy.balancer.limiter.window = (100.0, 4.0)[n]
    world.closed(400)
    world.run(5_000.0)
    for copy in world.copies:
        copy.served = 0
    world.run(8_000.0)
    # Windows of 100 and 4, as at the beginning, give 0.54.
    assert jain([float(copy.served) for copy in world.copies]) > 0.8


@pytest.mark.parametrize("slots", [1, 4, 32])
@pytest.mark.parametrize("times", [1.2, 4.0])
def test_an_overloaded_tier_works_at_its_capacity(slots: int, times: float) -> None:
    world = World(12, 3, slots, 50.0)
    world.poisson(world.capacity_per_s * times, 6_000.0)
    world.run(6_000.0)
    whole = world.total(2_000.0, 6_000.0)
    assert whole.in_aim >= 0.95 * world.capacity_per_s * 4.0
    # A request that is given up is answered at once if it has no chance, otherwise at the end of its maximum wait.
    assert quantile(whole.waits, 0.99) <= 0.25 * AIM_MS + 1.0


def test_time_spent_in_this_process_does_not_shrink_the_window() -> None:
    closed, open_ = World(13, 3, UNLIMITED, 1.0), World(13, 3, UNLIMITED, 1.0)
    for world, lag in ((closed, 0.0), (open_, 200.0)):
        world.service_ms = [201.0] * 3  # 200 of which are spent in this process
        world.lag_ms = lag
        world.closed(300)
        world.run(3_000.0)
    assert window(open_) > 250.0
    assert not open_.total(0.0, 3_000.0).failed


def test_more_than_a_tenth_of_a_round_full_shrinks_the_window() -> None:
    def new_limiter() -> ConcurrencyLimiter:
        limiter = World(1, 3).copies[0].balancer.limiter
        limiter.window = 20.0
        return limiter

    few, many = new_limiter(), new_limiter()
    for limiter, every in ((few, 20), (many, 4)):
        for n in range(40):
            outcome = Outcome.FULL if n % every == 0 else Outcome.OK
            limiter.admit(0, 19, 0, False)
            limiter.record_end(0, outcome, 5.0, 19, limiter.round_of(19), 2)
    assert many.window < 20.0 <= few.window


LOW_WORTH = RequestClass(AIM_MS, DEADLINE_MS, Effect.SAFE, worth=1.0)
CLASSES = (LOW_WORTH, replace(LOW_WORTH, worth=8.0))


class AdmissionQueueMachine(RuleBasedStateMachine):
    """In any order of operations, no request is queued or popped twice, and each class is first in, first out."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = AdmissionQueue(Settings(classes=CLASSES))
        self.waiting: list[tuple[int, int, bool]] = []
        self.next_request = 0
        self.now = 0.0

    @rule(
        cls=st.integers(0, 1), over=st.booleans(), patience=st.floats(0.0, 500.0), pace=st.floats(0.0, 50.0)
    )
    def enter(self, cls: int, over: bool, patience: float, pace: float) -> None:
        self.now += 1.0
        self.next_request += 1
        if self.queue.try_enter(self.now, self.next_request, cls, over, patience, pace):
            assert patience > 0.0
            self.waiting.append((self.next_request, cls, over))

    @precondition(lambda self: self.waiting)
    @rule()
    def pop(self) -> None:
        turn = self.queue.pop_next()
        found = next(item for item in self.waiting if item[0] == turn)
        same = [item for item in self.waiting if item[1:] == found[1:]]
        assert same[0] == found
        self.waiting.remove(found)

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def remove(self, data: st.DataObject) -> None:
        removed = data.draw(st.sampled_from(self.waiting))
        assert self.queue.remove(removed[0]) and not self.queue.remove(removed[0])
        self.waiting.remove(removed)

    @invariant()
    def counted(self) -> None:
        assert len(self.queue) == len(self.waiting)
        assert bool(self.queue) == bool(self.waiting)
        if not self.waiting:
            assert self.queue.pop_next() is None


TestAdmissionQueue = AdmissionQueueMachine.TestCase
TestAdmissionQueue.settings = hypothesis_settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)


def test_classes_are_served_in_proportion_to_their_worth() -> None:
    queue = AdmissionQueue(Settings(classes=CLASSES))
    for n in range(200):
        assert queue.try_enter(0.0, n, n % 2, False, 1_000.0, 0.0)
    turns = [queue.pop_next() for _ in range(90)]
    assert sum(turn is not None and turn % 2 == 1 for turn in turns) == 80  # eight of nine


def test_traffic_over_its_share_is_served_last_but_does_not_starve() -> None:
    queue = AdmissionQueue(Settings(classes=CLASSES))
    for n in range(100):
        assert queue.try_enter(0.0, n, 0, n < 50, 1_000.0, 0.0)
    turns = [queue.pop_next() for _ in range(48)]
    over = sum(turn is not None and turn < 50 for turn in turns)
    assert over == 3


def test_a_burst_may_wait_and_a_standing_queue_may_not() -> None:
    queue = AdmissionQueue(Settings(classes=CLASSES))
    queue.try_enter(0.0, 1, 0, False, 1_000.0, 0.0)
    assert queue.max_wait_ms(1.0, AIM_MS, AIM_MS, 1.0, False) == pytest.approx(0.25 * AIM_MS)
    assert queue.max_wait_ms(AIM_MS, AIM_MS, AIM_MS, 1.0, False) == pytest.approx(0.1 * AIM_MS)
    queue.pop_next()
    assert queue.max_wait_ms(AIM_MS, AIM_MS, AIM_MS, 1.0, False) == pytest.approx(0.25 * AIM_MS)


def test_a_request_that_cannot_be_served_in_time_is_refused_at_once() -> None:
    queue = AdmissionQueue(Settings(classes=CLASSES))
    for n in range(10):
        queue.try_enter(0.0, n, 0, False, 100.0, 9.5)
    assert not queue.try_enter(0.0, 99, 0, False, 100.0, 9.5)
    assert queue.try_enter(0.0, 99, 1, False, 100.0, 9.5)  # higher worth: few of the others go before it


@pytest.mark.parametrize(("spread", "shrinks"), [(175.0, False), (0.0, True)])
def test_latency_that_varies_by_chance_is_not_taken_for_queueing(spread: float, shrinks: bool) -> None:
    # With few calls, a higher mean latency shows queueing if the latencies agree, but may be chance if they vary.
    limiter = ConcurrencyLimiter(Settings(classes=(RequestClass(410.0, 1000.0, Effect.SAFE),)), Random(1))
    limiter.open(8, 1)
    for _ in range(40):
        limiter.admit(0, 7, 0, False)
        limiter.record_end(0, Outcome.OK, 100.0, 7, limiter.round_of(7))
    limiter.is_doubling = False
    windows = []
    for n in range(40):
        out = int(limiter.window) - 1
        limiter.admit(0, out, 0, False)
        limiter.record_end(0, Outcome.OK, 185.0 + spread * (-1) ** n, out, limiter.round_of(out))
        windows.append(limiter.window)
    assert (windows[-1] < windows[20]) is shrinks  # the first round still contains earlier calls


@pytest.mark.parametrize(("size", "shrinks"), [(4.0, False), (1.0, True)])
def test_heavy_requests_are_not_taken_for_queueing(size: float, shrinks: bool) -> None:
    # A run of requests of four times the usual work does not shrink the window if their sizes are known.
    limiter = ConcurrencyLimiter(Settings(classes=(RequestClass(410.0, 1000.0, Effect.SAFE),)), Random(1))
    limiter.open(8, 1)
    for _ in range(200):
        limiter.admit(0, 7, 0, False)
        limiter.record_end(0, Outcome.OK, 50.0, 7, limiter.round_of(7))
    before = least = limiter.window
    for _ in range(64):
        out = int(limiter.window) - 1
        limiter.admit(0, out, 0, False)
        limiter.record_end(0, Outcome.OK, 200.0, out, limiter.round_of(out), size=size)
        least = min(least, limiter.window)
    assert (least < before) is shrinks


@pytest.mark.parametrize("seed", range(5))
def test_the_base_latency_is_not_raised_by_small_requests(seed: int) -> None:
    """Half of the latency does not depend on size, so the mean of latency divided by size would be far too high."""
    rng = Random(seed)
    limiter = ConcurrencyLimiter(Settings(classes=(RequestClass(1500.0, 4000.0, Effect.SAFE),)), Random(1))
    limiter.open(10, 1)
    sizes = [rng.expovariate(1.0) for _ in range(ConcurrencyLimiter.MIN_ROUND_CALLS)]
    for size in sizes:
        limiter.admit(0, 7, 0, False)
        limiter.record_end(0, Outcome.OK, 200.0 + 200.0 * size, 7, limiter.round_of(7), size=size)
    mean = sum(sizes) / len(sizes)
    assert limiter.base[0] <= (200.0 + 200.0 * mean) / mean + 1.0
    assert limiter.base[0] * mean >= 0.6 * (
        200.0 + 200.0 * mean
    )  # the queueing that seemed to be there is subtracted


def limiter_after(
    tiers: int, fixed_ms: float, by_size_ms: float, count: int = 8, seed: int = 4
) -> ConcurrencyLimiter:
    """A limiter that has recorded calls at low load, with a fixed latency plus one proportional to size."""
    rng = Random(seed)
    settings = Settings(classes=(RequestClass(1500.0, 4000.0, Effect.SAFE),), tiers=tiers)
    limiter = ConcurrencyLimiter(settings, Random(1))
    limiter.open(10, 1)
    for _ in range(count):
        size = rng.expovariate(1.0)
        limiter.admit(0, 7, 0, False)
        limiter.record_end(0, Outcome.OK, fixed_ms + by_size_ms * size, 7, limiter.round_of(7), size=size)
    return limiter


@pytest.mark.parametrize("tiers", [1, 2, 3])
def test_the_first_size_scale_depends_on_the_number_of_tiers(tiers: int) -> None:
    own = 400.0 / tiers
    limiter = limiter_after(tiers, 400.0 - own, own)
    assert limiter.base[0] == pytest.approx(400.0, rel=0.08)
    assert limiter.base[0] * limiter.latencies.size_scale(4.0) == pytest.approx(400.0 + 3.0 * own, rel=0.08)


@pytest.mark.parametrize(
    ("fixed", "by_size", "part"), [(400.0, 0.0, 0.0), (0.0, 400.0, 1.0), (200.0, 200.0, 0.5)]
)
def test_the_size_dependent_fraction_of_the_latency_is_learned(
    fixed: float, by_size: float, part: float
) -> None:
    limiter = limiter_after(2, fixed, by_size, 1_500)
    assert limiter.latencies.size_scale(2.0) == pytest.approx(1.0 + part, abs=0.1)
    assert limiter.latencies.size_scale(0.0) >= LatencyEstimates.MIN_SIZE_SCALE


@pytest.mark.parametrize(("outcome", "first"), [(Outcome.RESET, 4.0 / 5.0), (Outcome.ERROR, 1.0)])
def test_an_unresponsive_server_shrinks_the_window_by_its_share_once(outcome: Outcome, first: float) -> None:
    """A server that answers with errors does not shrink it: the errors may come from the tier behind it."""
    settings = Settings(classes=(RequestClass(1500.0, 4000.0, Effect.SAFE),), max_attempts=1)
    balancer = Balancer(settings, 1)
    balancer.handle(0.0, ListUpdate(ListKind.FULL, 1, [ServerEntry(n) for n in range(5)]))
    limiter, lost = balancer.limiter, balancer.table.servers[3]
    limiter.window, limiter.is_doubling = 40.0, False
    now, parts = 0.0, {}
    for request in range(1_000):
        now += 10.0
        for action in balancer.handle(now, RequestArrived(request, 0, 4000.0)):
            if isinstance(action, Send):
                how = outcome if action.server == 3 else Outcome.OK
                before, ejections = limiter.window, lost.ejections
                balancer.handle(now, AttemptEnded(request, 0, action.server, how, False, 5.0))
                if lost.ejections > ejections:
                    parts[lost.ejections] = limiter.window / before
    assert parts[1] == pytest.approx(first)
    assert parts[2] == parts[3] == 1.0
