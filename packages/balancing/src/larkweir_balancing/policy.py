"""Rules: every decision of larkweir_balancing. The types it takes and gives are in `larkweir_balancing/interface.py`.

The ordinary path is PULL (Stolyar), single-token form: a call goes to a server drawn uniformly from the token
holders, that is, the ready servers with none of this copy's calls outstanding; if no server holds a token, to
a uniformly random ready server. The token list is in `servers`, the draw with its exceptions in `drawing`, what is
legal in `legality`; here is the `Balancer`, whose ordinary path comes first. No state is kept outside its objects.
"""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING, Any

from larkweir_balancing.admission_queue import AdmissionQueue
from larkweir_balancing.callers import Callers
from larkweir_balancing.concurrency_limiter import ConcurrencyLimiter, Verdict
from larkweir_balancing.drawing import Drawing
from larkweir_balancing.interface import (
    NEVER_RAN,
    Action,
    AnswerStarted,
    AttemptEnded,
    BodyCame,
    ClientGone,
    CloseIdle,
    ContractError,
    Event,
    Fail,
    Heard,
    ListKind,
    ListUpdate,
    Outcome,
    PeerMessage,
    Probe,
    ProbeEnded,
    Reconfigured,
    Refuse,
    RequestArrived,
    Send,
    SetTimer,
    Settings,
    TimerFired,
    WatchList,
    fixed_difference,
)
from larkweir_balancing.judging import Judge
from larkweir_balancing.legality import Attempt, Request
from larkweir_balancing.links import Links
from larkweir_balancing.probing import Probes
from larkweir_balancing.servers import Fleet, Server
from larkweir_balancing.slow_start import SlowStart

if TYPE_CHECKING:
    from larkweir_balancing.hearsay import Hearsay  # imported only where the feature is on

LIST_COOKIE = 1 << 40  # a timer's, above every request id
# From call to call for the list, by 0.5 to 1.5: in 6 s have to fit a pause, a call that fails after 2 s, and one more.
LIST_PACE_MS = 1_000.0


class Balancer:
    """One copy of the decision logic, in front of one tier."""

    UNSEEN_PRICE = 0.25  # a call that a server never looked at cost no work
    # Of the usual latency, that must be left for a call to be tried. Guards against work that nobody can use,
    # and against time-outs held against servers that were given no time.
    HOPE = 0.25
    # Of the time at low load of a request so heavy, by its hint. Guards against work of many times the usual, which
    # is never done in time and keeps others from it.
    TOO_HEAVY = 0.75

    def __init__(self, settings: Settings, seed: int, limiter: ConcurrencyLimiter | None = None) -> None:
        """`limiter`: another way to steer the window than its own."""
        self.settings = settings
        self.rng = Random(seed)
        self.fleet = Fleet(settings.zones)
        self.slow_start = SlowStart(settings, self.rng, self.fleet)
        self.links = Links(settings)
        self.limiter = ConcurrencyLimiter(settings, self.rng) if limiter is None else limiter
        self.waiting = AdmissionQueue(settings)
        self.callers = Callers(settings)
        self.probes = Probes(settings, self.rng)
        self.judge = Judge(settings, self.rng, self.fleet, self.limiter, self.callers, self.probes)
        self.drawing = Drawing(settings, self.rng, self.fleet, self.links, self.slow_start, self.judge)
        self._latency = self.limiter.mean  # of the upstreams' time alone
        self.requests: dict[int, Request] = {}
        self.now = -1.0
        self.out: list[Action] = []
        self._list_asked_ms = -1.0  # when last, after a failure; 0: the last call was good; -1: no list yet
        self._retries = settings.tuning.retry_cap / 2.0
        self._asked: dict[int, list[Request]] = {}
        self.hearsay: Hearsay | None = None  # where replicas share what they find of servers
        self._handlers = {
            RequestArrived: self._on_request,
            AttemptEnded: self._on_attempt_end,
            BodyCame: self._on_body_came,
            TimerFired: self._on_timer,
            ProbeEnded: self._on_probe,
            ListUpdate: self._on_list,
            ClientGone: self._on_client_gone,
            AnswerStarted: self._on_answer_started,
            Heard: lambda event: self.hearsay and self.hearsay.heard(event, self.now, self.out),
            PeerMessage: lambda event: None,
            Reconfigured: self._on_reconfigured,
        }

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Take one event; returns the actions to carry out, in order, at the same time."""
        if not now_ms >= self.now:
            raise ContractError(f"time went back from {self.now} to {now_ms}")
        self.now = now_ms
        if (handler := self._handlers.get(type(event))) is None:
            raise ContractError(f"unknown event {event!r}")
        self.out = []
        self.fleet.give_back(now_ms)
        if (stale := self.links.stale(now_ms)) is not None:
            self._close(stale)
        handler(event)  # type: ignore[operator]
        if self.waiting:
            self._let_in()
        return self.out

    # ------------------------------------------------ the ordinary path

    def _on_request(self, event: RequestArrived) -> None:
        at = event.class_index
        if event.request in self.requests:
            raise ContractError(f"request id {event.request} used twice")
        if not 0 <= at < len(self.settings.classes):
            raise ContractError(f"request {event.request}: class {at} is not in the settings")
        request = Request(event, self.settings, self.now)
        self.requests[request.id] = request
        self.slow_start.earn(self.now, self.judge.fail_share)
        tuning = self.settings.tuning
        self._retries = min(tuning.retry_cap, self._retries + tuning.retry_ratio)
        request.size = self.callers.came(event, self.now)
        request.aim_ms = min(request.deadline_ms, self.callers.aim_ms(event, request.cls, self.now))
        over_share = self.callers.over_share(event)
        left = request.aim_ms - self.now
        heavy = self.TOO_HEAVY * self.limiter.least_ms(at) * request.size if event.expected_ms else 0.0
        verdict = Verdict.GO  # inner tiers do not shed: who has been let in above is served
        if left <= max(self.HOPE * self._latency[at], heavy):
            verdict = Verdict.REFUSE
        elif not self.settings.tier:
            verdict = self.limiter.arrive(at, self.fleet.out, len(self.waiting), over_share)
        if verdict is Verdict.GO:
            self._place(request)
        elif verdict is Verdict.REFUSE or not self._wait(request, left, over_share):
            self._answer(request)

    def _place(self, request: Request) -> None:
        self.drawing.begin(request)
        self._next(request)

    def _next(self, request: Request) -> None:
        if self.now + self.settings.tick_ms >= request.aim_ms:
            self._answer(request)
            return
        server = self.drawing.draw(request, self.now)
        if server is not None and self.probes.pay(request, self._latency[request.class_index], self.now):
            self._ask(request, server)
        elif server is None or (request.probes and self.probes.singly):  # every drawn server was busy
            self._hold(request)
        else:
            self._send(request, server)

    def _send(self, request: Request, server: Server) -> None:
        if not request.may_go_to(server, self.now):
            raise AssertionError("a send that legality forbids")
        request.wake_ms = math.inf
        self.slow_start.spend(server, self.now)
        idle = self.links.idle_ms(server, self.now)
        if idle is not None and idle > self.links.keep_ms:
            self._close(server)
            idle = None
        ahead, mark = server.outstanding, self.limiter.mark(self.fleet.out)
        attempt = Attempt(server, server.cell, self.now, ahead, idle, mark)
        self.out.append(Send(request.id, server.id, request.aim_ms - self.now, request.write_by_ms()))
        request.attempts.append(attempt)
        if not request.coming:
            self._count(attempt)
        self.links.use(server, self.now)
        request.out += 1

    def _count(self, attempt: Attempt) -> None:
        """It is among the calls out from here on."""
        attempt.counts = True
        attempt.server.outstanding += 1
        self.fleet.out += 1
        self.fleet.earn_token(attempt.server, self.now)

    def _uncount(self, attempt: Attempt) -> None:
        if attempt.counts:
            attempt.counts = False
            attempt.server.outstanding -= 1
            self.fleet.out -= 1

    def _on_body_came(self, event: BodyCame) -> None:
        """Guards against calls whose body comes slowly: no server works on them, so they fill no window until now."""
        request = self.requests.get(event.request)
        if request is None or not request.coming:
            return
        request.coming = False
        late = self.now - request.came_ms  # its time runs from here on
        request.came_ms += late
        request.aim_ms += late
        request.deadline_ms += late
        for attempt in request.attempts:
            if attempt.outcome is None:
                attempt.sent_ms = self.now
                self._count(attempt)

    def _close(self, server: Server) -> None:
        self.links.drop(server)
        self.out.append(CloseIdle(server.id))

    def _on_attempt_end(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt, outcome = request.attempts[event.attempt], event.outcome
        if attempt.outcome is not None:
            return
        attempt.outcome = outcome
        request.out -= 1
        if event.left is not None:  # what was given back counts again, what is out elsewhere does not
            request.limit(event.left)
        self._uncount(attempt)
        spent = event.spent_ms if event.upstream_ms is None else event.upstream_ms
        server, at = attempt.server, request.class_index
        usual = self._latency[at]
        if not request.started:
            tries, mark = len(request.attempts), attempt.mark
            self.limiter.ended(at, outcome, spent, self.fleet.out, mark, tries, request.size)
        self.drawing.compare_zones(request, attempt, spent)
        self.links.learn(attempt, spent, usual, request.cls.aim_ms)
        if outcome in (Outcome.RESET, Outcome.TIMEOUT, Outcome.CONNECT_FAILED):
            server.silent = True
            if not server.outstanding and server.linked:
                self.links.drop(server)
                if outcome is Outcome.TIMEOUT:  # the connection may be dead without a word
                    self.out.append(CloseIdle(server.id))
        elif server.linked:
            self.links.use(server, self.now)
        self.judge.ended(request, attempt, spent, usual, self.now)
        if self.hearsay is not None:
            self.hearsay.ended(server, outcome, self.now)
        self.fleet.earn_token(server, self.now)
        if request.started or event.final or outcome is Outcome.OK:
            request.started = True
            self._forget(request)
        elif outcome is Outcome.REJECTED:
            # Guards the servers against a caller's bad requests, which each of them would turn away in turn.
            self.out.append(Fail(request.id))
            self._forget(request)
        elif not request.out:
            self._again(request, outcome)

    def _again(self, request: Request, outcome: Outcome) -> None:
        """Nothing is out any more and nothing was served: another attempt, or the final answer."""
        useful = request.aim_ms - self.now > 0.75 * self._latency[request.class_index]
        price = self.UNSEEN_PRICE if outcome in NEVER_RAN else 1.0
        if useful and self._retries >= price and request.may_go_somewhere(self.now):
            self._retries -= price
            self._place(request)
        else:
            self._answer(request)

    def _forget(self, request: Request) -> None:
        """The request is over; its attempts still out keep it known until their ends have come."""
        if not request.started and self.now - request.came_ms > 0.5 * request.cls.aim_ms:
            self.callers.unserved()
        request.started = True
        self.waiting.drop(request.id)
        if not request.out:
            self.requests.pop(request.id, None)

    def _answer(self, request: Request) -> None:
        """The final answer of a request that will not be served.

        A refusal tells when to come again: what could not be placed now finds the same servers busy a moment
        later, and a repeat at once would take a place from a request that can still be in time.
        """
        wait = self.settings.max_retry_after_ms
        self.out.append(Refuse(request.id, wait) if request.may_be_refused() else Fail(request.id))
        self._forget(request)

    # ------------------------------------------------ waiting for a place, a report, or a server

    def _wait(self, request: Request, left_ms: float, over_share: bool) -> bool:
        """Let it wait for a place in the window; False where its turn would not come in time.

        Who has waited in vain is answered at once; nothing is held back until its deadline.
        """
        at = request.class_index
        pace = self.limiter.pace_ms(at)
        patience = self.waiting.patience_ms(self.now, request.cls.aim_ms, left_ms, pace, over_share)
        most = min(patience, left_ms - self._latency[at] - self.settings.tick_ms)
        if not self.waiting.enter(self.now, request.id, at, over_share, most, pace):
            return False
        self._wake(request, most)
        return True

    def _let_in(self) -> None:
        """Those whose turn has come, as far as there are places."""
        for _ in range(self.limiter.places(self.fleet.out)):
            if (turn := self.waiting.take()) is None:
                return
            self._place(self.requests[turn])

    def _ask(self, request: Request, server: Server) -> None:
        """Is the drawn server idle?"""
        request.probes += 1
        request.asked = server
        self.fleet.spend_token(server)  # reserved: two requests of this copy must not settle on one report
        self._asked.setdefault(server.id, []).append(request)
        self.out.append(Probe(server.id))
        self._wake(request, 2.0 * self.settings.tick_ms + 3.0 * self.probes.echo_ms)

    def _on_probe(self, event: ProbeEnded) -> None:
        waiting = self._asked.get(event.server)
        if self.hearsay is not None and self.hearsay.probed(event, self.now) and not waiting:
            return
        request = waiting.pop(0) if waiting else None
        if not waiting:
            self._asked.pop(event.server, None)
        server = self.fleet.servers.get(event.server)
        level = self.probes.heard(event)
        if server is None:
            return
        if level >= 0.5:
            pause = 0.25 * sum(self._latency) / len(self._latency) * (0.5 + self.rng.random())
            self.fleet.withhold(server, self.now + pause)
        else:
            self.fleet.earn_token(server, self.now)
        if request is None or request.started or request.asked is not server:
            return
        request.asked = None
        if level < 0.5 and request.may_go_to(server, self.now):
            self._send(request, server)
        else:
            self._next(request)

    def _hold(self, request: Request) -> None:
        """Nothing ready, legal and believed idle now: look again shortly, while an answer can still count."""
        latency = self._latency[request.class_index]
        last = request.aim_ms - 0.75 * latency
        vain = self.fleet.remembered and not self.fleet.hope(request.cls)
        if vain or self.now >= last or not request.may_go_somewhere(self.now):
            self._answer(request)
            return
        # Guards against a herd: while polls find nearly nothing idle, several copies see the same server fall
        # idle before the first send shows. How often polls find one tells how often all copies together ask.
        asks = 4.0 * (self.probes.echo_ms + self.settings.tick_ms)
        crowd = asks / (latency * max(self.probes.idle_share, 0.001))
        pause = latency / 32.0 * max(1.0, min(crowd, 16.0)) * (0.5 + self.rng.random())
        self._wake(request, max(self.settings.tick_ms, min(pause, last - self.now)))

    def _wake(self, request: Request, delay_ms: float) -> None:
        # Guards against a request lost while a report is awaited: a call may arrive with less time left than that.
        delay_ms = max(0.0, min(delay_ms, request.aim_ms - self.settings.tick_ms - self.now))
        request.wake_ms = self.now + delay_ms
        self.out.append(SetTimer(request.id, delay_ms))

    def _on_timer(self, event: TimerFired) -> None:
        if event.cookie == LIST_COOKIE:
            self.out.append(WatchList(True))
            return
        request = self.requests.get(event.cookie)
        # Half a tick, since a caller's clock may round below what was asked for.
        if request is None or request.started or self.now + self.settings.tick_ms / 2.0 < request.wake_ms:
            return
        if self.waiting and self.waiting.drop(request.id):  # it has waited in vain
            self._answer(request)
        elif request.asked is not None:  # no report in time: the silence counts as busy
            request.asked = None
            self._next(request)
        else:  # it was held
            request.polled = True
            self._place(request)

    # ------------------------------------------------ what else is told

    def _on_list(self, event: ListUpdate) -> None:
        if event.kind is not ListKind.FAILED:
            fresh, gone = self.fleet.update(event)
            for server in gone:  # its connections died with it
                self.links.drop(server)
            self.slow_start.look(self.now)
            self.limiter.open(self.fleet.ready_count, self.settings.copies)
            for server in fresh:
                self.fleet.earn_token(server, self.now)
        if self.settings.on_request_discovery and event.kind is not ListKind.PROOF:
            self._follow_list(event.kind)

    def _follow_list(self, kind: ListKind) -> None:
        """Where the list must be asked for: subscribe once, spread out, and ask again after a failure."""
        if kind is ListKind.FAILED:
            # Guards against a herd on a discovery service of fixed capacity. A call that was long in vain has paused.
            pace = min(self.settings.ask_within_ms, LIST_PACE_MS) * (0.5 + self.rng.random())
            pause = max(pace / 4.0, (self._list_asked_ms or self.now) + pace - self.now)
            self._list_asked_ms = self.now + pause
            self.out.append(SetTimer(LIST_COOKIE, pause))
            return
        if self._list_asked_ms < 0.0:
            # The cached list serves at first; a quarter of the duty's interval leaves time for calls that fail.
            self.out.append(SetTimer(LIST_COOKIE, self.rng.random() * self.settings.ask_within_ms / 4.0))
        self._list_asked_ms = 0.0

    def _on_client_gone(self, event: ClientGone) -> None:
        if (request := self.requests.get(event.request)) is not None:
            self._forget(request)

    def _on_answer_started(self, event: AnswerStarted) -> None:
        if (request := self.requests.get(event.request)) is not None:
            request.started = True
            if not request.cls.streaming and 0 <= event.attempt < len(request.attempts):
                # A long answer: the work is done, and how long its bytes take is the client's pace.
                self._uncount(request.attempts[event.attempt])
                self.fleet.earn_token(request.attempts[event.attempt].server, self.now)

    def elsewhere(self, number: int, count: int, now_ms: float) -> None:
        """So many calls of other decisions of this process are at a server: it is as little idle as with our own."""
        server = self.fleet.servers.get(number)
        if server is not None and server.others != count:
            self.now = max(self.now, now_ms)
            server.outstanding += count - server.others
            server.others = count
            self.fleet.earn_token(server, self.now)

    def unlink(self, number: int) -> None:
        """Other decisions of this process have closed the connections to a server that lay idle."""
        if (server := self.fleet.servers.get(number)) is not None:
            self.links.drop(server)

    def _by_class(self) -> dict[str, list[float]]:
        return {"latency": self._latency, "base": self.limiter.base, "work": self.callers.work}

    def learned(self) -> dict[str, Any]:
        """What another life of this copy may go on from, as plain values: the means by class name, and the
        cold servers' credit, which is given away, so that both lives together spend it once.
        """
        names = [cls.name for cls in self.settings.classes]
        credit, self.slow_start.credit = self.slow_start.credit, min(0.0, self.slow_start.credit)
        return {
            "credit": credit,
            "window": self.limiter.window,
            "retries": self._retries,
            "idle_share": self.probes.idle_share,
            "most_running": self.probes.most_running,
        } | {key: dict(zip(names, values, strict=True)) for key, values in self._by_class().items()}

    def adopt(self, learned: dict[str, Any]) -> None:
        """Go on from what another life has learned; values that are none are passed over."""

        def number(value: Any, old: float, high: float = math.inf) -> float:
            good = isinstance(value, int | float) and not isinstance(value, bool) and 0.0 <= value < math.inf
            return min(float(value), high) if good else old

        limiter, probes = self.limiter, self.probes
        self.slow_start.credit = number(learned.get("credit"), 0.0, SlowStart.CREDIT_CAP)
        # Guards against a life that crashes again and again, each time with attempts to spare.
        self._retries = number(learned.get("retries"), self._retries, self.settings.tuning.retry_cap / 2.0)
        window = number(learned.get("window"), limiter.window, limiter.MOST_WINDOW)
        limiter.window = max(limiter.LEAST_WINDOW, window)
        limiter.opened = limiter.opened or "window" in learned
        probes.idle_share = number(learned.get("idle_share"), probes.idle_share, 1.0)
        probes.most_running = number(learned.get("most_running"), probes.most_running)
        for key, values in self._by_class().items():
            told = learned.get(key)
            if isinstance(told, dict):
                for at, cls in enumerate(self.settings.classes):
                    most = math.inf if key == "work" else cls.aim_ms  # the aim was longer before, maybe
                    values[at] = number(told.get(cls.name), values[at], most)

    def _on_reconfigured(self, event: Reconfigured) -> None:
        """Figures that change in service. What is known of servers and calls is kept: counts, the cold
        servers' credit, drains. Requests that are here already end under the rules that they came with.
        """
        old, new = self.settings, event.settings
        if problem := fixed_difference(old, new):
            raise ContractError(f"{problem} can't change in service")
        self.settings = self.judge.settings = self.drawing.settings = self.probes.settings = new
        for part in (self.links, self.limiter, self.waiting, self.callers):
            part.configure(new)
        self.slow_start.configure(new, self.now)
        for at, (before, after) in enumerate(zip(old.classes, new.classes, strict=False)):
            if before.name != after.name:  # another has taken the place of one that is no more
                for server in self.fleet.servers.values():
                    server.shunned.pop(at, None)
