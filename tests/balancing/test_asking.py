"""Asking a service for the list: how late news can come after calls in vain, and what load that makes."""

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

NEWS_DEADLINE_MS = 6_000.0  # after discovery had a change and could be reached it counts as told
MARGIN_MS = 100.0  # of that, for this process and the way
CALL_TIMEOUT_MS = (
    2_000.0  # after which a short call has failed: `AgentClient.CALL_S`, and a service that queues
)
CONNECT_TIMEOUT_MS = 1_250.0  # after which a connection that does not come up has: `AgentClient.CONNECT_S`


def pause_ms(balancer: Balancer, now_ms: float) -> float:
    """After a call that has failed just now."""
    actions = balancer.handle(now_ms, ListUpdate(ListKind.FAILED))
    (timer,) = [
        action for action in actions if isinstance(action, SetTimer) and action.cookie == LIST_TIMER_COOKIE
    ]
    return timer.delay_ms


def make_balancer(seed: int, now_ms: float) -> Balancer:
    """One whose watch has had an answer just now."""
    balancer = Balancer(make_settings(), seed)
    balancer.handle(0.0, ListUpdate(ListKind.CACHED, 0, [ServerEntry(0)]))
    balancer.handle(now_ms, ListUpdate(ListKind.FULL, 1, [ServerEntry(0)]))
    return balancer


@pytest.mark.parametrize("failures", [0, 1, 2, 7])
@pytest.mark.parametrize(
    "call_ms", [1.0, CONNECT_TIMEOUT_MS, CALL_TIMEOUT_MS], ids=["refused", "no connection", "silent"]
)
def test_news_is_here_in_time_after_a_call_in_vain_and_one_more(failures: int, call_ms: float) -> None:
    """However many calls of whichever length were in vain before: discovery can be reached at the worst moment, just
    after a call went out in vain; the next one is queued and turned away, and the one after that is answered.
    """
    worst = 0.0
    for seed in range(400):
        now = 50_000.0
        balancer = make_balancer(seed, now)
        for _ in range(failures):
            now += pause_ms(balancer, now) + call_ms
        if not failures:
            call_ms = 1.0  # a watch that ends
        reachable = now  # the call that is out now was sent a moment before
        now += call_ms
        now += pause_ms(balancer, now) + CALL_TIMEOUT_MS
        now += pause_ms(balancer, now)
        worst = max(worst, now - reachable)
    # What the last answer may take; less where the call that was out lasted, since then two more are in vain, not one.
    answer_ms = CALL_TIMEOUT_MS if call_ms < CONNECT_TIMEOUT_MS else 1_000.0
    assert worst + answer_ms <= NEWS_DEADLINE_MS - MARGIN_MS


def test_copies_whose_calls_were_long_in_vain_do_not_ask_again_together() -> None:
    """A service that was silent fails the calls of all copies alike, and each has lasted longer than the pace."""
    pauses = []
    for seed in range(200):
        balancer = make_balancer(seed, 50_000.0)
        at = 50_000.0 + pause_ms(balancer, 50_000.0) + CALL_TIMEOUT_MS
        pauses.append(pause_ms(balancer, at))
    assert min(pauses) >= 100.0 and max(pauses) - min(pauses) > 200.0


def test_asking_within_less_than_the_pace_is_kept() -> None:
    balancer = Balancer(replace(make_settings(), list_request_interval_ms=400.0), 1)
    balancer.handle(0.0, ListUpdate(ListKind.CACHED, 0, [ServerEntry(0)]))
    assert max(pause_ms(balancer, now) for now in (1_000.0, 2_000.0, 3_000.0)) <= 1.5 * 400.0


@dataclass
class ListService:
    """A list service that does so many calls at a time, and all copies that ask it. A copy's call is for the whole list
    after a failure, and then the watch.
    """

    copies: int
    slots: int
    work_ms: float
    now: float = 0.0
    failure_mode: str = (
        ""  # or how its calls fail: "refuses", or "queues", which fails them when they have waited
    )
    call_times: list[float] = field(default_factory=list)
    news_times: dict[int, float] = field(
        default_factory=dict
    )  # when each has had its first answer since the return
    turned_away: int = 0

    def __post_init__(self) -> None:
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = count()
        self._waiting: list[tuple[float, int]] = []
        self._busy = 0
        self._balancers = [make_balancer(n, 0.0) for n in range(self.copies)]

    def schedule(self, delay_ms: float, call: Callable[[], None]) -> None:
        heappush(self._heap, (self.now + delay_ms, next(self._serial), call))

    def run(self, until_ms: float) -> None:
        while self._heap and self._heap[0][0] <= until_ms:
            self.now, _, call = heappop(self._heap)
            call()
        self.now = until_ms

    def fail(self, how: str) -> None:
        """All watches end."""
        self.failure_mode = how
        for n in range(self.copies):
            self.deliver(n, ListUpdate(ListKind.FAILED))

    def deliver(self, n: int, event: ListUpdate | TimerFired) -> None:
        for action in self._balancers[n].handle(self.now, event):
            if isinstance(action, SetTimer):
                self.schedule(
                    action.delay_ms, lambda cookie=action.cookie: self.deliver(n, TimerFired(cookie))
                )  # type: ignore[misc]
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
            self.turned_away += not self.failure_mode
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
            self.schedule(25.0, lambda: self.call(n))  # the watch, which stays out
        self.serve()

    def rate(self, begin_ms: float, end_ms: float) -> float:
        """Calls a second."""
        return 1_000.0 * sum(begin_ms <= at < end_ms for at in self.call_times) / (end_ms - begin_ms)

    def peak(self, begin_ms: float, end_ms: float) -> int:
        """The most calls that came within a second."""
        times = sorted(at for at in self.call_times if begin_ms <= at < end_ms)
        return max((sum(at <= other < at + 1_000.0 for other in times) for at in times), default=0)


LOAD_LIMITS = {  # copies, how it fails: most calls a second in the outage, and within a second at its end
    (30, "refuses"): (40, 60),
    (30, "queues"): (20, 60),
    (200, "refuses"): (240, 380),
    (200, "queues"): (110, 380),
}


@pytest.mark.parametrize(("copies", "how"), LOAD_LIMITS)
def test_the_load_of_an_outage_and_of_its_end(copies: int, how: str) -> None:
    """Each service can do two calls for each copy in some two seconds; nobody is turned away, and all have the news in
    time. The figures hold the watches that follow the whole lists.
    """
    service = ListService(copies, slots=max(2, copies // 20), work_ms=50.0)
    service.schedule(1_000.0, lambda: service.fail(how))
    service.run(21_000.0)
    service.failure_mode = ""
    service.serve()
    service.run(30_000.0)
    mean = service.rate(3_000.0, 21_000.0)
    peak = service.peak(21_000.0, 30_000.0)
    late = max(service.news_times.values()) - 21_000.0
    print(
        f"{copies} copies, {how}: {mean:.0f} calls/s out, {peak} in a second at the end, news after {late:.0f} ms"
    )
    most, most_at_end = LOAD_LIMITS[copies, how]
    assert len(service.news_times) == copies and late <= NEWS_DEADLINE_MS - MARGIN_MS
    assert mean <= most and peak <= most_at_end and not service.turned_away


@pytest.mark.parametrize("copies", [30, 200])
def test_a_service_too_slow_for_all_is_kept_busy_and_serves_all_the_same(copies: int) -> None:
    """It needs twice the time that counts: no call but turned away ones is made again, and none is lost for good."""
    service = ListService(copies, slots=1, work_ms=6_000.0 / copies)
    service.schedule(1_000.0, lambda: service.fail("refuses"))
    service.run(10_000.0)
    service.failure_mode = ""
    service.run(40_000.0)
    late = max(service.news_times.values()) - 10_000.0
    print(f"{copies} copies: all have the news after {late:.0f} ms, {service.turned_away} calls turned away")
    assert len(service.news_times) == copies and late <= 1.6 * 2.0 * 6_000.0
