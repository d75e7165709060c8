"""The `Balancer`: takes events and returns actions (`interface`). Pure logic.

The default algorithm is PULL (Stolyar) in its single-token form. A server holds a token while it is ready and none of
this balancer's requests is in flight there. A request goes to a server sampled uniformly from the token holders, or to
a uniformly random ready server if no server holds a token. The token list is in `servers`, the selection and its
exceptions are in `selection`, and `retry_safety` decides what may be sent or sent again. All state is kept in the
objects of the `Balancer`.
"""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING, Any

from larkweir_balancing.actions import Action, CloseIdle, Fail, Probe, Refuse, Send, SetTimer, WatchList
from larkweir_balancing.admission_queue import AdmissionQueue
from larkweir_balancing.client_stats import ClientStats
from larkweir_balancing.concurrency_limiter import ConcurrencyLimiter, Verdict
from larkweir_balancing.connections import ConnectionTracker
from larkweir_balancing.errors import ContractError
from larkweir_balancing.events import (
    AnswerStarted,
    AttemptEnded,
    ClientGone,
    Event,
    ListUpdate,
    PeerHealthReport,
    PeerMessage,
    ProbeEnded,
    Reconfigured,
    RequestArrived,
    RequestBodyReceived,
    TimerFired,
)
from larkweir_balancing.load_probing import LoadProbing
from larkweir_balancing.outcomes import NEVER_RAN, ListKind, Outcome
from larkweir_balancing.outlier_ejection import OutlierDetector
from larkweir_balancing.retry_safety import Attempt, Request
from larkweir_balancing.selection import ServerSelector
from larkweir_balancing.servers import Server, ServerTable
from larkweir_balancing.settings import Settings, fixed_difference
from larkweir_balancing.slow_start import SlowStart

if TYPE_CHECKING:
    from larkweir_balancing.shared_health import SharedHealth  # imported only where the feature is on

LIST_TIMER_COOKIE = 1 << 40  # identifies the timer of the server list; above every request id
# Interval between requests for the server list after a failure, times a random factor of 0.5 to 1.5. A list change must
# be known within 6 s, which has to cover a pause, a call that fails after 2 s, and another pause and call.
LIST_RETRY_INTERVAL_MS = 1_000.0


class Balancer:
    """One instance of the decision logic, in front of one tier."""

    NEVER_RAN_RETRY_PRICE = 0.25  # instead of 1: an attempt that never ran cost the server no work
    # A request is refused if the time left is at most this fraction of the usual latency. Guards against work whose
    # answer comes too late to be used, and against counting time-outs of such requests as failures of the server.
    MIN_USEFUL_FRACTION = 0.25
    # A request with a cost hint is refused if the time left is at most this fraction of its expected latency at low
    # load. Guards against very expensive requests, which would not finish in time and would delay others.
    TOO_HEAVY_FRACTION = 0.75

    def __init__(self, settings: Settings, seed: int, limiter: ConcurrencyLimiter | None = None) -> None:
        """`limiter` replaces the default concurrency limiter."""
        self.settings = settings
        self.rng = Random(seed)
        self.table = ServerTable(settings.zones)
        self.slow_start = SlowStart(settings, self.rng, self.table)
        self.connections = ConnectionTracker(settings)
        self.limiter = ConcurrencyLimiter(settings, self.rng) if limiter is None else limiter
        self.queue = AdmissionQueue(settings)
        self.client_stats = ClientStats(settings)
        self.load_probing = LoadProbing(settings, self.rng)
        self.outliers = OutlierDetector(
            settings, self.rng, self.table, self.limiter, self.client_stats, self.load_probing
        )
        self.selector = ServerSelector(
            settings, self.rng, self.table, self.connections, self.slow_start, self.outliers
        )
        self._latency = self.limiter.mean  # by class: mean time spent at the upstream
        self.requests: dict[int, Request] = {}
        self.now_ms = -1.0
        self.actions: list[Action] = []
        # When the list is to be requested after a failure; 0: the last request succeeded; -1: no list yet.
        self._list_requested_ms = -1.0
        self._retry_budget = settings.tuning.retry_cap / 2.0
        self._awaiting_probe: dict[int, list[Request]] = {}
        self.shared_health: SharedHealth | None = None  # set where replicas share the health of servers
        self._handlers = {
            RequestArrived: self._on_request,
            AttemptEnded: self._on_attempt_end,
            RequestBodyReceived: self._on_body_received,
            TimerFired: self._on_timer,
            ProbeEnded: self._on_probe,
            ListUpdate: self._on_list,
            ClientGone: self._on_client_gone,
            AnswerStarted: self._on_answer_started,
            PeerHealthReport: self._on_peer_report,
            PeerMessage: lambda event: None,
            Reconfigured: self._on_reconfigured,
        }

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Process one event and return the actions to carry out now, in this order."""
        if not now_ms >= self.now_ms:
            raise ContractError(f"time went back from {self.now_ms} to {now_ms}")
        self.now_ms = now_ms
        if (handler := self._handlers.get(type(event))) is None:
            raise ContractError(f"unknown event {event!r}")
        self.actions = []
        self.table.return_tokens(now_ms)
        if (stale := self.connections.find_expired(now_ms)) is not None:
            self._close(stale)
        handler(event)  # type: ignore[operator]
        if self.queue:
            self._admit_waiting()
        return self.actions

    # ------------------------------------------------ requests and attempts

    def _on_request(self, event: RequestArrived) -> None:
        at = event.class_index
        if event.request in self.requests:
            raise ContractError(f"request id {event.request} used twice")
        if not 0 <= at < len(self.settings.classes):
            raise ContractError(f"request {event.request}: class {at} is not in the settings")
        request = Request(event, self.settings, self.now_ms)
        self.requests[request.id] = request
        self.slow_start.earn(self.now_ms, self.outliers.failure_rate)
        tuning = self.settings.tuning
        self._retry_budget = min(tuning.retry_cap, self._retry_budget + tuning.retry_ratio)
        request.size = self.client_stats.record_arrival(event, self.now_ms)
        request.useful_until_ms = min(
            request.deadline_ms, self.client_stats.useful_until_ms(event, request.request_class, self.now_ms)
        )
        over_share = self.client_stats.is_over_share(event)
        left = request.useful_until_ms - self.now_ms
        heavy = (
            self.TOO_HEAVY_FRACTION * self.limiter.latencies.min_latency_ms(at) * request.size
            if event.expected_ms
            else 0.0
        )
        verdict = Verdict.GO  # inner tiers do not shed: a request that an outer tier has admitted is served
        if left <= max(self.MIN_USEFUL_FRACTION * self._latency[at], heavy):
            verdict = Verdict.REFUSE
        elif not self.settings.tier:
            verdict = self.limiter.admit(at, self.table.in_flight, len(self.queue), over_share)
        if verdict is Verdict.GO:
            self._begin_placement(request)
        elif verdict is Verdict.REFUSE or not self._try_enqueue(request, left, over_share):
            self._refuse_or_fail(request)

    def _begin_placement(self, request: Request) -> None:
        self.selector.begin_round(request)
        self._place_next(request)

    def _place_next(self, request: Request) -> None:
        if self.now_ms + self.settings.tick_ms >= request.useful_until_ms:
            self._refuse_or_fail(request)
            return
        server = self.selector.select(request, self.now_ms)
        if server is not None and self.load_probing.should_probe(
            request, self._latency[request.class_index], self.now_ms
        ):
            self._probe(request, server)
        elif server is None or (request.probe_count and self.load_probing.serves_singly):
            self._poll_later(request)  # no server was found, or every probed one was busy
        else:
            self._send(request, server)

    def _send(self, request: Request, server: Server) -> None:
        if not request.can_send_to(server, self.now_ms):
            raise AssertionError("a send that legality forbids")
        request.wake_ms = math.inf
        self.slow_start.spend(server, self.now_ms)
        idle = self.connections.idle_ms(server, self.now_ms)
        if idle is not None and idle > self.connections.max_idle_ms:
            self._close(server)
            idle = None
        in_flight_before, limiter_round = server.in_flight, self.limiter.round_of(self.table.in_flight)
        attempt = Attempt(server, server.cell, self.now_ms, in_flight_before, idle, limiter_round)
        self.actions.append(
            Send(request.id, server.id, request.useful_until_ms - self.now_ms, request.write_by_ms())
        )
        request.attempts.append(attempt)
        if not request.body_incomplete:
            self._start_counting(attempt)
        self.connections.record_use(server, self.now_ms)
        request.in_flight += 1

    def _start_counting(self, attempt: Attempt) -> None:
        """Count the attempt as in flight from now on."""
        attempt.is_counted = True
        attempt.server.in_flight += 1
        self.table.in_flight += 1
        self.table.earn_token(attempt.server, self.now_ms)

    def _stop_counting(self, attempt: Attempt) -> None:
        if attempt.is_counted:
            attempt.is_counted = False
            attempt.server.in_flight -= 1
            self.table.in_flight -= 1

    def _on_body_received(self, event: RequestBodyReceived) -> None:
        """The last byte of the body has arrived: start the request's time and count its attempt as in flight.

        No server works on a request whose body arrives slowly, so it must not count towards the window before that.
        """
        request = self.requests.get(event.request)
        if request is None or not request.body_incomplete:
            return
        request.body_incomplete = False
        delay_ms = self.now_ms - request.arrived_ms  # the time limits start now
        request.arrived_ms += delay_ms
        request.useful_until_ms += delay_ms
        request.deadline_ms += delay_ms
        for attempt in request.attempts:
            if attempt.outcome is None:
                attempt.sent_ms = self.now_ms
                self._start_counting(attempt)

    def _close(self, server: Server) -> None:
        self.connections.remove(server)
        self.actions.append(CloseIdle(server.id))

    def _on_attempt_end(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt, outcome = request.attempts[event.attempt], event.outcome
        if attempt.outcome is not None:
            return
        attempt.outcome = outcome
        request.in_flight -= 1
        # The attempt budget may have changed: returned attempts are available again, those used elsewhere are not.
        if event.attempts_left is not None:
            request.limit_attempts(event.attempts_left)
        self._stop_counting(attempt)
        spent = event.spent_ms if event.upstream_ms is None else event.upstream_ms
        server, at = attempt.server, request.class_index
        usual = self._latency[at]
        if not request.is_answered:
            attempt_count, limiter_round = len(request.attempts), attempt.limiter_round
            self.limiter.record_end(
                at, outcome, spent, self.table.in_flight, limiter_round, attempt_count, request.size
            )
        self.selector.record_zone_cost(request, attempt, spent)
        self.connections.record_end(attempt, spent, usual, request.request_class.aim_ms)
        self._update_connection(server, outcome)
        self.outliers.record_end(request, attempt, spent, usual, self.now_ms)
        if self.shared_health is not None:
            self.shared_health.on_attempt_end(server, outcome, self.now_ms)
        self.table.earn_token(server, self.now_ms)
        if request.is_answered or event.is_final or outcome is Outcome.OK:
            request.is_answered = True
            self._finish(request)
        elif outcome is Outcome.REJECTED:
            # Guards the servers against invalid requests, which each of them would reject in turn.
            self.actions.append(Fail(request.id))
            self._finish(request)
        elif not request.in_flight:
            self._retry_or_answer(request, outcome)

    def _update_connection(self, server: Server, outcome: Outcome) -> None:
        """Update what is known of the server's connection from the outcome of an attempt."""
        if outcome in (Outcome.RESET, Outcome.TIMEOUT, Outcome.CONNECT_FAILED):
            server.unresponsive = True
            if not server.in_flight and server.has_connection:
                self.connections.remove(server)
                if outcome is Outcome.TIMEOUT:  # the connection may be broken without a reset
                    self.actions.append(CloseIdle(server.id))
        elif server.has_connection:
            self.connections.record_use(server, self.now_ms)

    def _retry_or_answer(self, request: Request, outcome: Outcome) -> None:
        """No attempt is in flight and none succeeded: start another attempt or give the final answer."""
        useful = request.useful_until_ms - self.now_ms > 0.75 * self._latency[request.class_index]
        price = self.NEVER_RAN_RETRY_PRICE if outcome in NEVER_RAN else 1.0
        if useful and self._retry_budget >= price and request.can_attempt(self.now_ms):
            self._retry_budget -= price
            self._begin_placement(request)
        else:
            self._refuse_or_fail(request)

    def _finish(self, request: Request) -> None:
        """The request is finished; it stays in `requests` until its last attempt in flight has ended."""
        if not request.is_answered and self.now_ms - request.arrived_ms > 0.5 * request.request_class.aim_ms:
            self.client_stats.record_unserved()
        request.is_answered = True
        self.queue.remove(request.id)
        if not request.in_flight:
            self.requests.pop(request.id, None)

    def _refuse_or_fail(self, request: Request) -> None:
        """Give the final answer to a request that will not be served.

        A refusal states a delay before the retry: an immediate retry would find the same servers busy, and would take
        the slot of a request that can still be answered in time.
        """
        wait = self.settings.max_retry_after_ms
        self.actions.append(Refuse(request.id, wait) if request.can_refuse() else Fail(request.id))
        self._finish(request)

    # ------------------------------------------------ waiting for a slot, a load report, or a server

    def _try_enqueue(self, request: Request, left_ms: float, over_share: bool) -> bool:
        """Queue the request for a slot in the concurrency window; returns False if it would not get one in time.

        A request whose wait ends without a slot is answered at once, not at its deadline.
        """
        at = request.class_index
        pace = self.limiter.slot_interval_ms(at)
        patience = self.queue.max_wait_ms(
            self.now_ms, request.request_class.aim_ms, left_ms, pace, over_share
        )
        most = min(patience, left_ms - self._latency[at] - self.settings.tick_ms)
        if not self.queue.try_enter(self.now_ms, request.id, at, over_share, most, pace):
            return False
        self._set_wake_timer(request, most)
        return True

    def _admit_waiting(self) -> None:
        """Place the next queued requests, up to the number of free slots."""
        for _ in range(self.limiter.free_slots(self.table.in_flight)):
            if (turn := self.queue.pop_next()) is None:
                return
            self._begin_placement(self.requests[turn])

    def _probe(self, request: Request, server: Server) -> None:
        """Ask the sampled server for its load."""
        request.probe_count += 1
        request.probed_server = server
        # Reserved: two requests of this balancer must not both rely on one load report.
        self.table.spend_token(server)
        self._awaiting_probe.setdefault(server.id, []).append(request)
        self.actions.append(Probe(server.id))
        self._set_wake_timer(request, 2.0 * self.settings.tick_ms + 3.0 * self.load_probing.mean_probe_ms)

    def _on_probe(self, event: ProbeEnded) -> None:
        waiting = self._awaiting_probe.get(event.server)
        if (
            self.shared_health is not None
            and self.shared_health.on_probe_end(event, self.now_ms)
            and not waiting
        ):
            return
        request = waiting.pop(0) if waiting else None
        if not waiting:
            self._awaiting_probe.pop(event.server, None)
        server = self.table.servers.get(event.server)
        level = self.load_probing.on_probe_end(event)
        if server is None:
            return
        if level >= 0.5:
            pause = 0.25 * sum(self._latency) / len(self._latency) * (0.5 + self.rng.random())
            self.table.withhold_token(server, self.now_ms + pause)
        else:
            self.table.earn_token(server, self.now_ms)
        if request is None or request.is_answered or request.probed_server is not server:
            return
        request.probed_server = None
        if level < 0.5 and request.can_send_to(server, self.now_ms):
            self._send(request, server)
        else:
            self._place_next(request)

    def _poll_later(self, request: Request) -> None:
        """No server is ready, permitted and believed idle: try again shortly, while an answer can still be in time."""
        latency = self._latency[request.class_index]
        last = request.useful_until_ms - 0.75 * latency
        unservable = self.table.restored_count and not self.table.may_admit_restored(request.request_class)
        if unservable or self.now_ms >= last or not request.can_attempt(self.now_ms):
            self._refuse_or_fail(request)
            return
        # Guards against a thundering herd: while almost no server is idle, several balancers see the same server become
        # idle before the first request sent there shows in its load. The fraction of probes that find an idle server
        # indicates how often all balancers together probe.
        probe_age_ms = 4.0 * (self.load_probing.mean_probe_ms + self.settings.tick_ms)
        crowd = probe_age_ms / (latency * max(self.load_probing.idle_share, 0.001))
        pause = latency / 32.0 * max(1.0, min(crowd, 16.0)) * (0.5 + self.rng.random())
        self._set_wake_timer(request, max(self.settings.tick_ms, min(pause, last - self.now_ms)))

    def _set_wake_timer(self, request: Request, delay_ms: float) -> None:
        # Guards against losing a request while it waits for a load report: its time left may be shorter than that wait.
        delay_ms = max(0.0, min(delay_ms, request.useful_until_ms - self.settings.tick_ms - self.now_ms))
        request.wake_ms = self.now_ms + delay_ms
        self.actions.append(SetTimer(request.id, delay_ms))

    def _on_timer(self, event: TimerFired) -> None:
        if event.cookie == LIST_TIMER_COOKIE:
            self.actions.append(WatchList(True))
            return
        request = self.requests.get(event.cookie)
        # Half a tick of tolerance, since the caller's clock may round the delay down.
        if (
            request is None
            or request.is_answered
            or self.now_ms + self.settings.tick_ms / 2.0 < request.wake_ms
        ):
            return
        if self.queue and self.queue.remove(request.id):  # its time in the queue is over
            self._refuse_or_fail(request)
        elif request.probed_server is not None:  # no load report in time: counts as busy
            request.probed_server = None
            self._place_next(request)
        else:  # it has waited for a server
            request.has_waited = True
            self._begin_placement(request)

    # ------------------------------------------------ other events

    def _on_list(self, event: ListUpdate) -> None:
        if event.kind is not ListKind.FAILED:
            fresh, gone = self.table.update(event)
            for server in gone:  # the connections ended with the process
                self.connections.remove(server)
            self.slow_start.refresh(self.now_ms)
            self.limiter.open(self.table.ready_count, self.settings.balancer_count)
            for server in fresh:
                self.table.earn_token(server, self.now_ms)
        if self.settings.on_request_discovery and event.kind is not ListKind.PROOF:
            self._poll_list(event.kind)

    def _poll_list(self, kind: ListKind) -> None:
        """Where discovery is on request: subscribe once, after a random delay, and again after each failure."""
        if kind is ListKind.FAILED:
            # Guards against a thundering herd on a discovery service of fixed capacity. The time that the failed call
            # took counts towards the pause.
            pace = min(self.settings.list_request_interval_ms, LIST_RETRY_INTERVAL_MS) * (
                0.5 + self.rng.random()
            )
            pause = max(pace / 4.0, (self._list_requested_ms or self.now_ms) + pace - self.now_ms)
            self._list_requested_ms = self.now_ms + pause
            self.actions.append(SetTimer(LIST_TIMER_COOKIE, pause))
            return
        if self._list_requested_ms < 0.0:
            # The cached list is used at first. A quarter of the permitted interval leaves time for calls that fail.
            self.actions.append(
                SetTimer(LIST_TIMER_COOKIE, self.rng.random() * self.settings.list_request_interval_ms / 4.0)
            )
        self._list_requested_ms = 0.0

    def _on_peer_report(self, event: PeerHealthReport) -> None:
        if self.shared_health is not None:
            self.shared_health.on_peer_report(event, self.now_ms, self.actions)

    def _on_client_gone(self, event: ClientGone) -> None:
        if (request := self.requests.get(event.request)) is not None:
            self._finish(request)

    def _on_answer_started(self, event: AnswerStarted) -> None:
        if (request := self.requests.get(event.request)) is not None:
            request.is_answered = True
            if not request.request_class.streaming and 0 <= event.attempt < len(request.attempts):
                # A long response: the server's work is done, and the client determines how long the transfer takes.
                self._stop_counting(request.attempts[event.attempt])
                self.table.earn_token(request.attempts[event.attempt].server, self.now_ms)

    def set_other_in_flight(self, number: int, count: int, now_ms: float) -> None:
        """Set the requests in flight at a server from other balancers of this process; they count like own ones."""
        server = self.table.servers.get(number)
        if server is not None and server.other_in_flight != count:
            self.now_ms = max(self.now_ms, now_ms)
            server.in_flight += count - server.other_in_flight
            server.other_in_flight = count
            self.table.earn_token(server, self.now_ms)

    def on_connections_closed(self, number: int) -> None:
        """Another balancer of this process has closed the idle connections to a server."""
        if (server := self.table.servers.get(number)) is not None:
            self.connections.remove(server)

    def _learned_by_class(self) -> dict[str, list[float]]:
        return {"latency": self._latency, "base": self.limiter.base, "work": self.client_stats.mean_cost}

    def learned(self) -> dict[str, Any]:
        """Return the state that a successor process may continue from, as plain values; means are by class name.

        The slow start credit is handed over, so that both processes together spend it only once.
        """
        names = [cls.name for cls in self.settings.classes]
        credit, self.slow_start.credit = self.slow_start.credit, min(0.0, self.slow_start.credit)
        return {
            "credit": credit,
            "window": self.limiter.window,
            "retries": self._retry_budget,
            "idle_share": self.load_probing.idle_share,
            "most_running": self.load_probing.max_running,
        } | {key: dict(zip(names, values, strict=True)) for key, values in self._learned_by_class().items()}

    def adopt(self, learned: dict[str, Any]) -> None:
        """Continue from the `learned` state of a predecessor process; invalid values are ignored."""

        def number(value: Any, old: float, high: float = math.inf) -> float:
            good = isinstance(value, int | float) and not isinstance(value, bool) and 0.0 <= value < math.inf
            return min(float(value), high) if good else old

        limiter, probes = self.limiter, self.load_probing
        self.slow_start.credit = number(learned.get("credit"), 0.0, SlowStart.CREDIT_CAP)
        # Guards against a process that crashes repeatedly and starts each time with a full retry budget.
        self._retry_budget = number(
            learned.get("retries"), self._retry_budget, self.settings.tuning.retry_cap / 2.0
        )
        window = number(learned.get("window"), limiter.window, limiter.MAX_WINDOW)
        limiter.window = max(limiter.MIN_WINDOW, window)
        limiter.opened = limiter.opened or "window" in learned
        probes.idle_share = number(learned.get("idle_share"), probes.idle_share, 1.0)
        probes.max_running = number(learned.get("most_running"), probes.max_running)
        for key, values in self._learned_by_class().items():
            means = learned.get(key)
            if isinstance(means, dict):
                for at, cls in enumerate(self.settings.classes):
                    # The latency target may have been longer before.
                    most = math.inf if key == "work" else cls.aim_ms
                    values[at] = number(means.get(cls.name), values[at], most)

    def _on_reconfigured(self, event: Reconfigured) -> None:
        """Apply settings that change at run time.

        The state of servers and attempts is kept: counts, slow start credit, draining. Requests that have already
        arrived keep the settings that they arrived with.
        """
        old, new = self.settings, event.settings
        if problem := fixed_difference(old, new):
            raise ContractError(f"{problem} can't change in service")
        self.settings = self.outliers.settings = self.selector.settings = self.load_probing.settings = new
        for part in (self.connections, self.limiter, self.queue, self.client_stats):
            part.configure(new)
        self.slow_start.configure(new, self.now_ms)
        for at, (before, after) in enumerate(zip(old.classes, new.classes, strict=False)):
            if before.name != after.name:  # another class has replaced a removed one
                for server in self.table.servers.values():
                    server.ejected_for_class.pop(at, None)
