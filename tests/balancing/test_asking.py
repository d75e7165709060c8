"""Discovery on request: the delay until a list change is known after failed calls, and the load on the list service."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import count

import pytest
from larkweir_balancing import Balancer
from larkweir_balancing.interface import ListKind, ListUpdate, ServerEntry, SetTimer, TimerFired, WatchList
from larkweir_balancing.policy import LIST_TIMER_COOKIE

from tests.balancing.test_second_deployment import make_settings

# A change must be known this long after it happened and discovery became reachable.
NEWS_DEADLINE_MS = 6_000.0
MARGIN_MS = 100.0  # of that time, for this process and the network
CALL_TIMEOUT_MS = 2_000.0  # time-out of a call: `AgentClient.CALL_S`, also while the service queues it
CONNECT_TIMEOUT_MS = 1_250.0  # time-out of a connection attempt: `AgentClient.CONNECT_S`


def pause_ms(balancer: Balancer, now_ms: float) -> float:
    """The pause after a call that fails at `now_ms`."""
    actions = balancer.handle(now_ms, ListUpdate(ListKind.FAILED))
    (timer,) = [
        action for action in actions if isinstance(action, SetTimer) and action.cookie == LIST_TIMER_COOKIE
    ]
    return timer.delay_ms


def make_balancer(seed: int, now_ms: float) -> Balancer:
    """A balancer whose watch was answered at `now_ms`."""
    balancer = Balancer(make_settings(), seed)
    balancer.handle(0.0, ListUpdate(ListKind.CACHED, 0, [ServerEntry(0)]))
    balancer.handle(now_ms, ListUpdate(ListKind.FULL, 1, [ServerEntry(0)]))
    return balancer


@pytest.mark.parametrize("failures", [0, 1, 2, 7])
@pytest.mark.parametrize(
    "call_ms", [1.0, CONNECT_TIMEOUT_MS, CALL_TIMEOUT_MS], ids=["refused", "no connection", "silent"]
)
def test_a_change_is_known_in_time_after_two_failed_calls(failures: int, call_ms: float) -> None:
    """Any number of calls of any duration fail first.

    In the worst case, discovery becomes reachable just after a failing call was sent; the next call is queued and
    rejected, and the one after that is answered.
    """
    worst = 0.0
    for seed in range(400):
        now = 50_000.0
        balancer = make_balancer(seed, now)
        for _ in range(failures):
            now += pause_ms(balancer, now) + call_ms
        if not failures:
            call_ms = 1.0  # the end of a watch
        reachable = now  # the current call was sent a moment before
        now += call_ms
        now += pause_ms(balancer, now) + CALL_TIMEOUT_MS
        now += pause_ms(balancer, now)
        worst = max(worst, now - reachable)
    # Time allowed for the last answer; less if the call in flight took long, since then two calls fail, not one.
    answer_ms = CALL_TIMEOUT_MS if call_ms < CONNECT_TIMEOUT_MS else 1_000.0
    assert worst + answer_ms <= NEWS_DEADLINE_MS - MARGIN_MS


def test_balancers_whose_calls_failed_slowly_do_not_retry_at_the_same_time() -> None:
    """An unresponsive service fails the calls of all balancers alike, each after longer than the retry interval."""
    pauses = []
    for seed in range(200):
        balancer = make_balancer(seed, 50_000.0)
        at = 50_000.0 + pause_ms(balancer, 50_000.0) + CALL_TIMEOUT_MS
        pauses.append(pause_ms(balancer, at))
    assert min(pauses) >= 100.0 and max(pauses) - min(pauses) > 200.0


def test_a_list_request_interval_below_the_retry_interval_is_kept() -> None:
    balancer = Balancer(replace(make_settings(), list_request_interval_ms=400.0), 1)
    balancer.handle(0.0, ListUpdate(ListKind.CACHED, 0, [ServerEntry(0)]))
    assert max(pause_ms(balancer, now) for now in (1_000.0, 2_000.0, 3_000.0)) <= 1.5 * 400.0


@dataclass
class ListService:
    """A list service that processes `slots` calls at a time, and all balancers that call it.

    A balancer's call requests the full list after a failure, and then the watch.
    """

    balancer_count: int
    slots: int
    work_ms: float
    now: float = 0.0
    failure_mode: str = ""  # "": it works; "refuses": calls fail at once; "queues": calls fail after a wait
    call_times: list[float] = field(default_factory=list)
    # By balancer: the time of its first answer after the outage.
    news_times: dict[int, float] = field(default_factory=dict)
    rejected: int = 0

    def __post_init__(self) -> None:
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = count()
        self._waiting: list[tuple[float, int]] = []
        self._busy = 0
        self._balancers = [make_balancer(n, 0.0) for n in range(self.balancer_count)]

    def schedule(self, delay_ms: float, call: Callable[[], None]) -> None:
        heappush(self._heap, (self.now + delay_ms, next(self._serial), call))

    def run(self, until_ms: float) -> None:
        while self._heap and self._heap[0][0] <= until_ms:
            self.now, _, call = heappop(self._heap)
            call()
        self.now = until_ms

    def fail(self, how: str) -> None:
        """Start an outage: all watches end."""
        self.failure_mode = how
        for n in range(self.balancer_count):
            self.deliver(n, ListUpdate(ListKind.FAILED))

    def deliver(self, n: int, event: ListUpdate | TimerFired) -> None:
        for action in self._balancers[n].handle(self.now, event):
            if isinstance(action, SetTimer):
                self.schedule(
                    action.delay_ms,
                    lambda cookie=action.cookie: self.deliver(n, TimerFired(cookie)),  # type: ignore[misc]
                )
            elif isinstance(action, WatchList):
                self.call(n)

    def call(self, n: int) -> None:
        self.call_times.append(self.now)
        if self.failure_mode == "refuses":
            self.schedule(1.0, lambda: self.deliver(n, ListUpdate(ListKind.FAILED)))
            return
        item = (self.now, n)
        self._waiting.append(item)
        self.schedule(CALL_TIMEOUT_MS, lambda: self.time_out(item))
        self.serve()

    def time_out(self, item: tuple[float, int]) -> None:
        if item in self._waiting:
            self._waiting.remove(item)
            self.rejected += not self.failure_mode
            self.deliver(item[1], ListUpdate(ListKind.FAILED))

    def serve(self) -> None:
        while self._waiting and self._busy < self.slots and not self.failure_mode:
            _, n = self._waiting.pop(0)
            self._busy += 1
            self.schedule(self.work_ms, lambda n=n: self.done(n))  # type: ignore[misc]

    def done(self, n: int) -> None:
        self._busy -= 1
        if n not in self.news_times:
            self.news_times[n] = self.now
            self.deliver(n, ListUpdate(ListKind.FULL, 1, [ServerEntry(0)]))
            self.schedule(25.0, lambda: self.call(n))  # the watch, which stays open
        self.serve()

    def rate(self, begin_ms: float, end_ms: float) -> float:
        """Calls per second."""
        return 1_000.0 * sum(begin_ms <= at < end_ms for at in self.call_times) / (end_ms - begin_ms)

    def peak(self, begin_ms: float, end_ms: float) -> int:
        """The most calls within one second."""
        times = sorted(at for at in self.call_times if begin_ms <= at < end_ms)
        return max((sum(at <= other < at + 1_000.0 for other in times) for at in times), default=0)


LOAD_LIMITS = {  # balancers, failure mode: most calls per second during the outage, most within a second after it
    (30, "refuses"): (40, 60),
    (30, "queues"): (20, 60),
    (200, "refuses"): (240, 380),
    (200, "queues"): (110, 380),
}


@pytest.mark.parametrize(("balancer_count", "how"), LOAD_LIMITS)
def test_the_load_of_an_outage_and_of_its_end(balancer_count: int, how: str) -> None:
    """The service can process two calls per balancer in about two seconds.

    No call is rejected, and all balancers know the change in time. The counts include the watches that follow the full
    lists.
    """
    service = ListService(balancer_count, slots=max(2, balancer_count // 20), work_ms=50.0)
    service.schedule(1_000.0, lambda: service.fail(how))
    service.run(21_000.0)
    service.failure_mode = ""
    service.serve()
    service.run(30_000.0)
    mean = service.rate(3_000.0, 21_000.0)
    peak = service.peak(21_000.0, 30_000.0)
    late = max(service.news_times.values()) - 21_000.0
    print(
        f"{balancer_count} balancers, {how}: {mean:.0f} calls/s, {peak} in a second at the end, {late:.0f} ms"
    )
    most, most_at_end = LOAD_LIMITS[balancer_count, how]
    assert len(service.news_times) == balancer_count and late <= NEWS_DEADLINE_MS - MARGIN_MS
    assert mean <= most and peak <= most_at_end and not service.rejected


@pytest.mark.parametrize("balancer_count", [30, 200])
def test_a_service_too_slow_for_all_balancers_still_serves_them_all(balancer_count: int) -> None:
    """It needs twice the time allowed: only rejected calls are repeated, and no balancer is left without the list."""
    service = ListService(balancer_count, slots=1, work_ms=6_000.0 / balancer_count)
    service.schedule(1_000.0, lambda: service.fail("refuses"))
    service.run(10_000.0)
    service.failure_mode = ""
    service.run(40_000.0)
    late = max(service.news_times.values()) - 10_000.0
    print(f"{balancer_count} balancers: all updated in {late:.0f} ms, {service.rejected} calls rejected")
    assert len(service.news_times) == balancer_count and late <= 1.6 * 2.0 * 6_000.0
