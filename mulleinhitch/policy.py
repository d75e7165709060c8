"""Every decision of mulleinhitch. The types it takes and gives are in `mulleinhitch/interface.py`.

The ordinary path is PULL (Stolyar), single-token form: a call goes to a server drawn uniformly from the token
holders, that is, the ready servers with none of this copy's calls outstanding; if no server holds a token, to
a uniformly random ready server. Read top to bottom: the token list, the servers, legality, slow start, and
then the `Balancer`, whose ordinary path comes first and whose exceptions follow, each with its condition.

Nothing here does input or output, reads a clock or keeps state outside its objects.
"""

from __future__ import annotations

import math
from heapq import heappop, heappush
from random import Random
from typing import Any

from mulleinhitch.admission import UNTELLING, Limiter, Verdict, WaitingRoom
from mulleinhitch.interface import (
    NEVER_RAN,
    Action,
    AnswerStarted,
    AttemptEnded,
    BodyCame,
    ClientGone,
    CloseIdle,
    ContractError,
    Effect,
    Event,
    Fail,
    Group,
    ListKind,
    ListUpdate,
    Outcome,
    PeerMessage,
    Probe,
    ProbeEnded,
    Reconfigured,
    Refuse,
    ReportMode,
    RequestArrived,
    RequestClass,
    Send,
    ServerEntry,
    ServerState,
    SetTimer,
    Settings,
    TimerFired,
    WatchList,
)
from mulleinhitch.proof import admits, hopeful

# ---------------------------------------------------------------- token list


class DrawList:
    """Servers to draw from: an array and an index into it, so adding, removing and drawing are O(1)."""

    __slots__ = ("_at", "items")

    def __init__(self) -> None:
        self.items: list[Server] = []
        self._at: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self.items)

    def __contains__(self, server: Server) -> bool:
        return server.id in self._at

    def add(self, server: Server) -> None:
        if server.id not in self._at:
            self._at[server.id] = len(self.items)
            self.items.append(server)

    def discard(self, server: Server) -> None:
        at = self._at.pop(server.id, None)
        if at is None:
            return
        last = self.items.pop()
        if last is not server:
            self.items[at] = last
            self._at[last.id] = at


# ---------------------------------------------------------------- servers


class Server:
    """What this copy knows of one server."""

    __slots__ = (
        "answered_ms cell ejected ejections id kind level linked others outstanding proof shunned silent "
        "slowness started_ms state strikes until_ms used_ms zone"
    ).split()

    def __init__(self, entry: ServerEntry) -> None:
        self.id = entry.server
        self.zone = entry.zone
        self.cell = entry.cell
        self.state = entry.state
        self.proof = entry.proof
        self.started_ms = entry.started_ms
        self.outstanding = self.others = 0  # own calls, with those of other decisions of this process
        self.answered_ms = -1.0  # when it last served one
        self.level = -1  # the list it is drawn from; -1: none, its token is spent or withheld
        self.until_ms = 0.0  # its token is withheld until then, on evidence of being busy or unwell
        self.strikes = 0  # failed attempts in a row
        self.silent = False  # the last that it was sent has no answer, in time or at all
        self.ejections = 0  # since its last success
        self.ejected = False
        self.kind = entry.kind
        # By class: its failures in a row, and until when its token does not count for that class.
        self.shunned: dict[int, tuple[int, float]] = {}
        # Running mean of its answers' times, by the usual of their class and size.
        self.slowness: float | None = None
        self.linked = False  # this copy holds a connection to it, as far as it knows
        self.used_ms = 0.0  # when that connection last carried anything


class Fleet:
    """The list as discovery told it, with the ready servers and the token holders of each zone."""

    MAX_LEVEL = 64  # servers with more own calls than this are not told apart

    def __init__(self, settings: Settings) -> None:
        self.servers: dict[int, Server] = {}
        self.ready = [DrawList() for _ in range(settings.zones)]
        # By own calls outstanding; the first entry is the token list, the others serve the raised level.
        self.levels = [[DrawList() for _ in range(settings.zones)]]
        self.ready_count = self.remembered = 0
        self.ejected = 0
        self._withheld: list[tuple[float, int, Server]] = []  # heap of tokens to give back
        self._serial = 0

    def update(self, update: ListUpdate) -> tuple[list[Server], list[Server]]:
        """Apply discovery's word; returns the servers whose process is new to this copy, and those gone."""
        fresh: list[Server] = []
        gone: list[Server] = []
        if update.kind in (ListKind.FULL, ListKind.CACHED):
            named = {entry.server for entry in update.entries}
            for missing in [s for s in self.servers.values() if s.id not in named]:
                self._remove(missing)
                gone.append(missing)
        for entry in update.entries:
            server = self.servers.get(entry.server)
            if entry.state is ServerState.GONE:
                if server is not None:
                    self._remove(server)
                    gone.append(server)
                continue
            if server is None or server.started_ms != entry.started_ms or server.zone != entry.zone:
                # Guards against trusting a restarted process with what its predecessor earned.
                if server is not None:
                    self._remove(server)
                    gone.append(server)
                server = Server(entry)
                self.servers[server.id] = server
                fresh.append(server)
            server.state = entry.state
            server.proof = entry.proof
            server.cell = entry.cell
            if entry.state is ServerState.READY:
                self._zone(self.ready, server).add(server)
            else:  # draining: from the moment we are told, neither list may yield it
                self._zone(self.ready, server).discard(server)
                self.spend_token(server)
        self.ready_count = sum(map(len, self.ready))
        if update.kind in (ListKind.CACHED, ListKind.PROOF) or self.remembered:
            self.remembered = sum(server.proof is not None for server in self.servers.values())
        return fresh, gone

    def hope(self, cls: RequestClass) -> bool:
        """Whether there is a server that may take this class now or in a moment, where some are only remembered."""
        found = (server for server in self.servers.values() if server.state is ServerState.READY)
        return any(server.proof is None or hopeful(cls, server.proof) for server in found)

    def _remove(self, server: Server) -> None:
        server.state = ServerState.GONE
        self._readmit(server)
        self._zone(self.ready, server).discard(server)
        self.spend_token(server)
        del self.servers[server.id]

    def _zone(self, lists: list[DrawList], server: Server) -> DrawList:
        while server.zone >= len(lists):  # a zone that the settings did not name
            lists.append(DrawList())
        return lists[server.zone]

    def earn_token(self, server: Server, now_ms: float) -> None:
        """List the server by its own calls outstanding, at none as a token holder, unless withheld."""
        self.spend_token(server)
        if server.until_ms <= now_ms and server.state is ServerState.READY:
            level = min(server.outstanding, self.MAX_LEVEL)
            while level >= len(self.levels):
                self.levels.append([DrawList() for _ in self.ready])
            server.level = level
            self._zone(self.levels[level], server).add(server)

    def withhold(self, server: Server, until_ms: float) -> None:
        """Keep the token back until a time; `give_back` returns it."""
        self.spend_token(server)
        if until_ms > server.until_ms:
            server.until_ms = until_ms
            self._serial += 1
            heappush(self._withheld, (until_ms, self._serial, server))

    def eject(self, server: Server, until_ms: float) -> None:
        """Withhold, and count it until the token is back."""
        self.ejected += not server.ejected
        server.ejected = True
        self.withhold(server, until_ms)

    def _readmit(self, server: Server) -> None:
        self.ejected -= server.ejected
        server.ejected = False

    def give_back(self, now_ms: float) -> None:
        while self._withheld and self._withheld[0][0] <= now_ms:
            server = heappop(self._withheld)[2]
            if server.until_ms <= now_ms:
                self._readmit(server)
            self.earn_token(server, now_ms)

    def spend_token(self, server: Server) -> None:
        if server.level >= 0:
            self._zone(self.levels[server.level], server).discard(server)
            server.level = -1


def draw(lists: list[DrawList], rng: Random) -> Server | None:
    """Uniform over the union of the lists."""
    total = 0
    for part in lists:
        total += len(part.items)
    if not total:
        return None
    at = int(rng.random() * total)
    for part in lists:
        if at < len(part.items):
            return part.items[at]
        at -= len(part.items)
    return None


# ---------------------------------------------------------------- requests and legality


class Attempt:
    __slots__ = ("ahead", "cell", "counts", "idle_ms", "mark", "outcome", "sent_ms", "server", "zone")

    def __init__(self, server: Server, now_ms: float, idle_ms: float | None = None) -> None:
        self.server = server
        self.zone = server.zone
        self.cell = server.cell
        self.sent_ms = now_ms
        self.ahead = server.outstanding  # own calls that were out there already
        self.mark = 0  # the limiter's
        self.idle_ms = idle_ms  # how long its connection had lain unused; None: it opens a new one
        self.outcome: Outcome | None = None  # None: outstanding
        self.counts = False  # among the calls out: it may be at work, or wait, at its server


class Request:
    __slots__ = (
        "aim_ms asked attempts came_ms class_index cls coming deadline_ms id legality most out "
        "polled polling probes roams size started wake_ms"
    ).split()

    def __init__(self, event: RequestArrived, cls: RequestClass, legality: Legality, now_ms: float) -> None:
        self.id = event.request
        self.cls = cls  # as the settings had it when the request came, like what is legal
        self.legality = legality
        # Attempts, by its own budget and its class's bound.
        self.most = min(MANY if event.attempts is None else event.attempts, cls.attempts or MANY)
        self.came_ms = now_ms
        self.deadline_ms = now_ms + event.time_left_ms
        self.aim_ms = self.deadline_ms  # after this an answer is worth nothing; set by the balancer
        self.attempts: list[Attempt] = []
        self.out = 0  # attempts outstanding
        self.class_index = event.class_index
        self.wake_ms = -1.0  # when its timer counts; an older timer is ignored
        self.started = False  # a streamed answer has begun, or the request is over
        self.asked: Server | None = None  # whose load report is awaited
        self.polled = False  # has been held and looks again
        self.polling = False  # is sent only to a server that says it is idle
        self.probes = 0  # in this round of draws
        self.size = 1.0  # its cost hint, by the mean of its class
        self.coming = event.coming  # its last byte is still to come
        self.roams = False  # draws over all zones, although crossing costs


class Legality:
    """The one place that says whether a request may be sent to a server, or refused, now."""

    def __init__(self, settings: Settings) -> None:
        self._max_attempts = settings.max_attempts
        self._second_copies = settings.second_copies
        self._margin_ms = settings.tick_ms

    @staticmethod
    def may_have_run(request: Request) -> list[Attempt]:
        """Attempts not proven never to have run; outstanding and cancelled ones count."""
        return [a for a in request.attempts if a.outcome is None or a.outcome not in NEVER_RAN]

    def may_send(self, request: Request, server: Server, now_ms: float) -> bool:
        if server.state is not ServerState.READY:
            return False  # draining, gone or delisted: kept from the moment this copy is told
        if server.proof is not None and not admits(request.cls, server.proof, server.outstanding):
            return False
        return self.may_send_somewhere(request, now_ms) and self._in_group(request, server, now_ms)

    def may_send_somewhere(self, request: Request, now_ms: float) -> bool:
        """Whether any further attempt is open at all, to a server still to be chosen."""
        if request.started or now_ms >= request.deadline_ms or len(request.attempts) >= self._max_attempts:
            return False
        if len(request.attempts) >= request.most:
            return False
        if request.out and not self._second_copies:
            return False
        if not request.attempts or request.cls.effect is Effect.SAFE:
            return True
        ran = self.may_have_run(request)
        if not ran:
            return True
        if request.cls.effect is Effect.UNSAFE:
            return False
        return now_ms + self._margin_ms < ran[0].sent_ms + request.cls.memory_ms

    def _in_group(self, request: Request, server: Server, now_ms: float) -> bool:
        if request.cls.effect is not Effect.KEYED or request.cls.group is Group.ALL:
            return True
        for attempt in self.may_have_run(request):
            if attempt.zone != server.zone:
                return False
            if request.cls.group is Group.CELL and attempt.cell != server.cell:
                return False
        return True

    def may_refuse(self, request: Request) -> bool:
        """A refusal tells the client that trying again is harmless."""
        if request.started:
            return False
        if request.cls.effect is Effect.SAFE or not self.may_have_run(request):
            return True
        return request.cls.effect is Effect.KEYED and request.cls.group is Group.ALL


# ---------------------------------------------------------------- slow start


class SlowStart:
    """A cold server's budget, kept by one copy alone.

    Each placement of this copy earns credit for the cold servers: their present capacity share, from the
    settings' even growth, over the number of servers that share this copy's traffic when all are there, which
    is their fair part of it cut to what they can do. Guards the first that are back of many, for whom all call.
    A send to a cold server spends a whole credit. All copies together then send a cold server at most `pace`
    times the load of a warm one, scaled by its capacity, whatever the number of copies or of cold servers.
    """

    WHOLE, FORGET = (
        0.75,
        0.999,
    )  # of the most ready of late: all are there (a deploy moves as many); still known
    CREDIT_CAP = 2.0  # no long saving up: a burst right after a start can spend a server's window

    def __init__(self, settings: Settings, rng: Random) -> None:
        self._rng = rng
        self._cold: list[Server] = []
        # Random: low-rate copies must not all start with a free send, nor all without.
        self.credit = rng.random()
        self._sum = self._sum_until = 0.0
        self.most_ready = 0.0  # servers at a time, of late
        self.part = 1.0  # of a request, that earns: less where others know that far more come than usual
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Take the figures; the credit is carried on."""
        self._share, self._ms = settings.cold_share, settings.cold_ms
        self._pace = min(1.0, settings.fall_multiple * settings.tuning.cold_pace)

    def watch(self, servers: list[Server], now_ms: float) -> None:
        cold = [s for s in servers if self.is_cold(s, now_ms)]
        if cold:
            self._cold.extend(cold)
            self._sum_until = now_ms

    def rewatch(self, servers: list[Server], now_ms: float) -> None:
        """All servers afresh, after a change of how long they are cold."""
        self._cold = []
        self._sum = self._sum_until = 0.0
        self.watch(servers, now_ms)

    def is_cold(self, server: Server, now_ms: float) -> bool:
        return server.started_ms > 0.0 and now_ms - server.started_ms < self._ms

    def share(self, server: Server, now_ms: float) -> float:
        age = max(0.0, now_ms - server.started_ms)
        return self._share + (1.0 - self._share) * min(1.0, age / self._ms) if self._ms else 1.0

    def earn(self, ready: int, now_ms: float) -> None:
        """Called once a request, before its placement."""
        if not self._cold or not ready:
            return
        if now_ms >= self._sum_until:  # refreshed a hundred times in a start, never per request
            self._cold = [s for s in self._cold if s.state is ServerState.READY and self.is_cold(s, now_ms)]
            self._sum = sum(self.share(s, now_ms) for s in self._cold)
            self._sum_until = now_ms + self._ms / 100.0
            self.most_ready *= self.FORGET
        whole = max(ready, self.WHOLE * self.most_ready)
        self.credit = min(self.CREDIT_CAP, self.credit + self.part * self._pace * self._sum / whole)

    def admits(self, server: Server, now_ms: float) -> bool:
        """Whether a drawn server may be sent to; the colder of two cold ones is let through less often."""
        if not self.is_cold(server, now_ms):
            return True
        return self.credit >= 1.0 and self._rng.random() < self.share(server, now_ms)

    def spend(self, server: Server, now_ms: float) -> None:
        if self.is_cold(server, now_ms):
            self.credit -= 1.0


# ---------------------------------------------------------------- connections


class Links:
    """How long an idle connection is trusted, and whether a new one is dear.

    Guards against connections that are dropped unseen while they lie idle: what is sent on one is lost, and
    an unsafe call can't be repeated. A loss on an idle connection halves the trusted time; a call that goes
    well after nearly that time lengthens it. Connections idle for longer are closed, so that the next call
    opens a fresh one. New connections refused at once by many servers shorten it too: guards against
    hundreds of copies filling the servers' connection tables with connections that nobody uses.
    """

    MEMORY = 1.0 / 8.0
    CROWDED = 0.25  # of the new connections refused at once: more than servers that died would explain
    ODD_LOSS = 0.1  # of calls on idle connections: less than that says nothing
    PROBE_RISE = 1.25
    DEAR = 0.15  # of the aim, by which calls on new connections take longer

    def __init__(self, settings: Settings) -> None:
        self.keep_ms = math.inf
        self.configure(settings)
        self._fresh_loss = 0.0  # of calls on new connections, lost: what has nothing to do with lying idle
        self._kept_loss = 0.0  # the same of calls on connections that had lain idle
        self._turned_away = 0.0  # of new connections, refused at once
        self._fresh_extra = 0.0  # time that a call on a new connection takes beyond the usual, in aims
        self._kept_extra = 0.0
        self._order: dict[int, Server] = {}  # with a connection, the longest unused first
        self.items = DrawList()

    def configure(self, settings: Settings) -> None:
        self._most_ms = settings.conn_idle_ms
        self._connect_ms = settings.connect_timeout_ms
        self._least_ms = settings.tick_ms
        self.keep_ms = min(self.keep_ms, self._most_ms)

    @property
    def dear(self) -> bool:
        return self._fresh_extra - self._kept_extra > self.DEAR

    def idle_ms(self, server: Server, now_ms: float) -> float | None:
        """How long its connection has lain unused; None if a call has to open a new one."""
        if not server.linked:
            return None
        return 0.0 if server.outstanding else now_ms - server.used_ms

    def use(self, server: Server, now_ms: float) -> None:
        server.used_ms = now_ms
        server.linked = True
        self._order.pop(server.id, None)
        self._order[server.id] = server
        self.items.add(server)

    def drop(self, server: Server) -> None:
        server.linked = False
        self._order.pop(server.id, None)
        self.items.discard(server)

    def stale(self, now_ms: float) -> Server | None:
        """The connection unused for longest, if it is past its trusted time."""
        if self.dear and self._turned_away < self.CROWDED:
            return None  # it may yet be tried
        for server in self._order.values():
            if now_ms - server.used_ms <= self.keep_ms:
                return None
            if not server.outstanding:
                return server
            self.use(server, now_ms)  # a call is out on it: looked at again later
            return None
        return None

    def learn(
        self, attempt: Attempt, outcome: Outcome, spent_ms: float, usual_ms: float, aim_ms: float
    ) -> None:
        lost = outcome is Outcome.RESET or outcome is Outcome.TIMEOUT
        if self.dear:  # a trusted time that is too short costs much: look whether it may be longer
            self.keep_ms = min(self._most_ms, self.PROBE_RISE * self.keep_ms)
        if attempt.idle_ms is None:
            refused = outcome is Outcome.CONNECT_FAILED and spent_ms < 0.5 * self._connect_ms
            self._turned_away += self.MEMORY * (refused - self._turned_away)
            if refused and self._turned_away > self.CROWDED:
                self.keep_ms = max(self._least_ms, 0.5 * min(self.keep_ms, aim_ms))
            self._fresh_loss += self.MEMORY * (lost - self._fresh_loss)
            if outcome is Outcome.OK or (outcome is Outcome.CONNECT_FAILED and not refused):
                late = (spent_ms - usual_ms if outcome is Outcome.OK else spent_ms) / aim_ms
                self._fresh_extra += self.MEMORY * (late - self._fresh_extra)
            return
        if attempt.idle_ms > self._least_ms:
            weight = 0.5 if outcome is Outcome.TIMEOUT else 1.0  # a long answer may be to blame
            self._kept_loss += self.MEMORY * (weight * lost - self._kept_loss)
        if outcome is Outcome.OK:
            self._kept_extra += self.MEMORY * ((spent_ms - usual_ms) / aim_ms - self._kept_extra)
            if attempt.idle_ms > 0.5 * self.keep_ms:
                self.keep_ms = min(self._most_ms, 1.25 * self.keep_ms)
        elif lost and self._kept_loss > 2.0 * self._fresh_loss + self.ODD_LOSS:
            self.keep_ms = max(self._least_ms, 0.5 * min(self.keep_ms, attempt.idle_ms))


# ---------------------------------------------------------------- the balancer


class Usual:
    """The value most samples share, by majority vote; without a clear majority every sample is usual."""

    __slots__ = ("value", "votes")
    SURE = 8  # votes ahead, before a sample may be called unusual
    MOST = 64

    def __init__(self) -> None:
        self.value, self.votes = 0.0, 0

    def vote(self, sample: float, tolerance: float) -> bool:
        """Count a sample; whether it is a usual one."""
        if abs(sample - self.value) <= tolerance + 0.005 * self.value:
            self.votes = min(self.MOST, self.votes + 1)
            return True
        self.votes -= 1
        if self.votes < 0:
            self.value, self.votes = sample, 1
        return self.votes < self.SURE


class Balancer:
    """One copy of the decision logic, in front of one tier."""

    DRAWS = 8  # tries to draw a server that legality and slow start let through
    MEMORY = 1.0 / 16.0  # weight of a new sample in the running means
    POLLS = 2  # draws of a call that looks again, which comes soon and often
    EXPLORE = 0.03  # of calls that probe although it seems not to pay, so that a change is noticed
    MOST_IN_VAIN = 64.0  # requests that ended unserved, as far as they are remembered
    UNSEEN_PRICE = 0.25  # a call that a server never looked at cost no work
    # Of the usual latency, that must be left for a call to be tried. Guards against work that nobody can use,
    # and against time-outs held against servers that were given no time.
    HOPE = 0.25
    # Of the time at low load of a request so heavy, by its hint. Guards against work of many times the usual, which
    # is never done in time and keeps others from it.
    TOO_HEAVY = 0.75
    UNSEEN_COST = 0.5  # of the aim: what a call that never ran has cost
    WORSE = 1.5  # times the cost elsewhere, from which home does worse
    ROAM = 0.02  # of calls that draw over all zones although home does well, to learn of the others
    STAY = 2  # own calls at a home server, behind fewer of which another may queue rather than cross
    SPILL = 0.1  # step of the part that does so while home does worse than crossing costs
    SLOWNESS_MEMORY = 0.25
    SLOWEST = 8.0  # times the usual, as far as a single answer counts
    ORDINARY = 1.0  # times the usual, up to which a server is not slow
    PACE = 2.0  # visits for which a server of twice the ordinary time keeps no token
    TENANT_MEMORY = 1.0 / 32.0
    OVER = 1.5  # times its part, from which a tenant is over its share
    REPEATS = 0.5  # of a tenant's requests

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = Random(seed)
        self.fleet = Fleet(settings)
        self.legality = Legality(settings)
        self.slow_start = SlowStart(settings, self.rng)
        self.links = Links(settings)
        self.requests: dict[int, Request] = {}
        self.held: dict[int, Request] = {}
        self.now = -1.0
        self.out: list[Action] = []
        self._booted = False
        self._list_backoff_ms = 0.0
        self._retries = settings.tuning.retry_cap / 2.0
        # Requests that ended unserved after long, and may come again with what time is left.
        self._in_vain = 0.0
        self._usual = [Usual() for _ in settings.classes]
        self.limiter = Limiter(settings, self.rng)
        self.waiting = WaitingRoom(settings)
        self._latency = self.limiter.mean  # of the upstreams' time alone
        # Probing
        self._level_at = self._queue_at = -1
        self._most_running = 0.0  # calls that any server was seen to run at once
        if settings.may_probe and settings.report_mode is not ReportMode.OFF:
            fields = list(settings.report_fields)
            self._level_at = fields.index(IDLE_FIELD) if IDLE_FIELD in fields else -1
            self._queue_at = fields.index("waiting") if "waiting" in fields else -1
        self._fail_share = 0.1
        self._spill = 0.0
        self._kinds: dict[int, float] = {}  # how much slower than the usual a kind of server answers
        self._last_ms = -1.0
        self._served_ms = -1.0  # when the call was sent that is the newest of those served
        self._pause_ms = 0.0  # between two requests that come to this copy
        self._work = [0.0 for _ in settings.classes]  # mean cost hint
        # Times of the usual that calls take: with no own call at the server before them, and with one or more.
        self._behind = [1.0, 2.0]
        # Of a call at home and elsewhere, in parts of the aim; a failure is a whole one.
        self._cost = [0.0, 0.0]
        self._out = 0
        self._fair = self._shares(settings)
        self._part = list(self._fair)  # of the requests that come here
        self._repeats = [0.0] * len(self._part)  # of a tenant's requests, those marked as repeats
        self._idle_share = 0.5  # of the reports, those that say idle
        self._echo_ms = 2.0 * settings.tick_ms
        self._asked: dict[int, list[Request]] = {}
        self._handlers = {
            RequestArrived: self._on_request,
            AttemptEnded: self._on_attempt_end,
            BodyCame: self._on_body_came,
            TimerFired: self._on_timer,
            ProbeEnded: self._on_probe,
            ListUpdate: self._on_list,
            ClientGone: self._on_client_gone,
            AnswerStarted: self._on_answer_started,
            PeerMessage: lambda event: None,
            Reconfigured: self._on_reconfigured,
        }

    @staticmethod
    def _shares(settings: Settings) -> list[float]:
        total = sum(tenant.quota_per_s for tenant in settings.tenants) or 1.0
        return [tenant.quota_per_s / total for tenant in settings.tenants]

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Take one event; returns the actions to carry out, in order, at the same time."""
        if not now_ms >= self.now:
            raise ContractError(f"time went back from {self.now} to {now_ms}")
        self.now = now_ms
        handler = self._handlers.get(type(event))
        if handler is None:
            raise ContractError(f"unknown event {event!r}")
        self.out = []
        self.fleet.give_back(now_ms)
        stale = self.links.stale(now_ms)
        if stale is not None:
            self._close(stale)
        handler(event)  # type: ignore[operator]
        if self.waiting:
            self._let_in()
        return self.out

    # ------------------------------------------------ the ordinary path

    def _on_request(self, event: RequestArrived) -> None:
        if event.request in self.requests:
            raise ContractError(f"request id {event.request} used twice")
        if not 0 <= event.class_index < len(self.settings.classes):
            raise ContractError(f"request {event.request}: class {event.class_index} is not in the settings")
        request = Request(event, self.settings.classes[event.class_index], self.legality, self.now)
        self.requests[request.id] = request
        self.slow_start.earn(self.fleet.ready_count, self.now)
        if self._last_ms >= 0.0:
            self._pause_ms += self.MEMORY * (self.now - self._last_ms - self._pause_ms)
        self._last_ms = self.now
        if event.expected_ms:
            at = event.class_index
            usual = self._work[at] or event.expected_ms
            self._work[at] = usual + self.MEMORY * (event.expected_ms - usual)
            request.size = event.expected_ms / usual
        tuning = self.settings.tuning
        self._retries = min(tuning.retry_cap, self._retries + tuning.retry_ratio)
        self._set_aim(request, event)
        over_share = self._over_share(event)
        left = request.aim_ms - self.now
        at = event.class_index
        heavy = self.TOO_HEAVY * self.limiter.least_ms(at) * request.size if event.expected_ms else 0.0
        if left <= max(self.HOPE * self._latency[at], heavy):
            self._answer(request)
            return
        # Inner tiers do not shed: who has been let in above is served.
        verdict = Verdict.GO
        if not self.settings.tier:
            verdict = self.limiter.arrive(request.class_index, self._out, len(self.waiting), over_share)
        if verdict is Verdict.GO:
            self._place(request)
        elif verdict is Verdict.REFUSE or not self._wait(request, left, over_share):
            self._answer(request)

    def _place(self, request: Request) -> None:
        """Begin a round of draws."""
        request.probes = 0
        request.roams = self.rng.random() < max(self.ROAM, self._spill)
        self._next(request)

    def _next(self, request: Request) -> None:
        if self.now + self.settings.tick_ms >= request.aim_ms:
            self._answer(request)
            return
        server = self._draw(request)
        if server is not None and self._probe_pays(request):
            self._ask(request, server)
        elif request.probes and self._most_running < 1.5:  # every drawn server was busy
            self._hold(request)
        elif server is not None:
            self._send(request, server)
        else:
            self._hold(request)

    def _draw(self, request: Request) -> Server | None:
        """A token holder drawn uniformly, else a uniformly random ready server."""
        if self.links.dear:
            # Exception, while new connections are seen to take long: token holders with an open one first.
            for _ in range(self.DRAWS):
                kept = draw([self.links.items], self.rng)
                if kept is None:
                    break
                if (
                    kept.level == 0
                    and request.legality.may_send(request, kept, self.now)
                    and self.slow_start.admits(kept, self.now)
                ):
                    return kept
        # Exception, while this copy's own calls outnumber the servers, so that own counts tell of the load:
        # those with the fewest.
        crowded = self._out > self.fleet.ready_count
        for lists in self.fleet.levels if crowded else self.fleet.levels[:1]:
            server = self._draw_near(lists, request, crowded)
            if server is not None:
                return server
        return self._draw_near(self.fleet.ready, request, True)

    def _draw_near(self, lists: list[DrawList], request: Request, crowded: bool) -> Server | None:
        home = self.settings.my_zone
        if self.settings.price_cross_zone > 0.0 and request.probes < 2 and not request.roams:
            server = self._draw_from([lists[home]], request)
            for ahead in range(1, 1 if crowded or server else min(self.STAY, len(self.fleet.levels))):
                if server is None and self._stays(request, ahead):
                    server = self._draw_from([self.fleet.levels[ahead][home]], request)
            if server is not None:
                return server
        return self._draw_from(lists, request)

    def _stays(self, request: Request, ahead: int) -> bool:
        """Whether to queue behind own calls at home rather than cross: home does no worse than elsewhere, and the time
        that those calls add loses less of the aim than crossing costs.
        """
        price = self.settings.price_cross_zone
        if self._cost[0] > self._cost[1] + price:
            return False
        adds = ahead * max(0.0, self._behind[1] - self._behind[0]) * self._latency[request.class_index]
        part = min(1.0, adds / max(1.0, request.aim_ms - self.now))
        return part * min(1.0, 2.0 * part) <= price  # the odds that it misses the aim, as in `_probe_pays`

    def _draw_from(self, lists: list[DrawList], request: Request) -> Server | None:
        shunned = doubtful = None
        for _ in range(self.DRAWS):
            server = draw(lists, self.rng)
            if server is None:
                break
            if request.legality.may_send(request, server, self.now) and self.slow_start.admits(
                server, self.now
            ):
                bad = server.shunned.get(request.class_index)
                if bad is not None and bad[1] > self.now:
                    shunned = server
                elif server.ejected or (server.silent and request.cls.effect is not Effect.SAFE):
                    # Guards against drawing, where nobody holds a token, what was ejected; and against trying with
                    # a request that can't be repeated whether a server has found its voice again.
                    doubtful = server
                else:
                    return server
        return shunned or doubtful

    def _send(self, request: Request, server: Server) -> None:
        if not request.legality.may_send(request, server, self.now):
            raise AssertionError("a send that legality forbids")
        self.held.pop(request.id, None)
        request.wake_ms = -1.0
        self.slow_start.spend(server, self.now)
        idle = self.links.idle_ms(server, self.now)
        if idle is not None and idle > self.links.keep_ms:
            self._close(server)
            idle = None
        attempt = Attempt(server, self.now, idle)
        attempt.mark = self.limiter.mark(self._out)
        request.attempts.append(attempt)
        if not request.coming:
            self._count(attempt)
        self.links.use(server, self.now)
        request.out += 1
        self.out.append(Send(request.id, server.id, request.aim_ms - self.now))

    def _count(self, attempt: Attempt) -> None:
        """It is among the calls out from here on."""
        attempt.counts = True
        attempt.server.outstanding += 1
        self._out += 1
        self.fleet.earn_token(attempt.server, self.now)

    def _uncount(self, attempt: Attempt) -> None:
        if attempt.counts:
            attempt.counts = False
            attempt.server.outstanding -= 1
            self._out -= 1

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
        attempt = request.attempts[event.attempt]
        if attempt.outcome is not None:
            return
        attempt.outcome = event.outcome
        request.out -= 1
        if event.left is not None:  # what was given back counts again, what is out elsewhere does not
            request.most = min(len(request.attempts) + event.left, request.cls.attempts or MANY)
        self._uncount(attempt)
        spent = event.spent_ms if event.upstream_ms is None else event.upstream_ms
        server = attempt.server
        usual = self._latency[request.class_index]
        if not request.started:
            self.limiter.ended(
                request.class_index,
                event.outcome,
                spent,
                self._out,
                attempt.mark,
                len(request.attempts),
                request.size,
            )
        self._compare_zones(event.outcome, spent, request, attempt)
        self.links.learn(attempt, event.outcome, spent, usual, request.cls.aim_ms)
        if event.outcome in (Outcome.RESET, Outcome.TIMEOUT, Outcome.CONNECT_FAILED):
            server.silent = True
            if not server.outstanding and server.linked:
                self.links.drop(server)
                if event.outcome is Outcome.TIMEOUT:  # the connection may be dead without a word
                    self.out.append(CloseIdle(server.id))
        elif server.linked:
            self.links.use(server, self.now)
        if event.outcome is Outcome.OK:
            server.silent = False
            server.answered_ms = self.now
            self._served_ms = max(self._served_ms, attempt.sent_ms)
            slow = spent > self.settings.tuning.slow * usual * max(1.0, request.size)
            self._judge(server, request, event.outcome, slow, spent)
            ratio = min(self.SLOWEST, spent / (usual * max(0.25, request.size)))
            self._behind[attempt.ahead > 0] += self.MEMORY * (ratio - self._behind[attempt.ahead > 0])
            self._pace(server, ratio)
        elif event.outcome is Outcome.TIMEOUT and spent < usual:
            pass  # it was given less than the usual time
        elif event.outcome not in UNTELLING and not self._own_queue(event.outcome, attempt):
            self._judge(server, request, event.outcome, True, spent)
        self.fleet.earn_token(server, self.now)
        if event.final or event.outcome is Outcome.OK:
            request.started = True
        if request.started:
            self._forget(request)
        elif event.outcome is Outcome.REJECTED:
            # Guards the servers against a caller's bad requests, which each of them would turn away in turn.
            self.out.append(Fail(request.id))
            self._forget(request)
        elif not request.out:
            self._again(request, event.outcome)

    def _forget(self, request: Request) -> None:
        """The request is over; its attempts still out keep it known until their ends have come."""
        if not request.started and self.now - request.came_ms > 0.5 * request.cls.aim_ms:
            self._in_vain = min(self.MOST_IN_VAIN, self._in_vain + 1.0)
        request.started = True
        self.held.pop(request.id, None)
        if self.waiting:
            self.waiting.drop(request.id)
        if not request.out:
            self.requests.pop(request.id, None)

    def _answer(self, request: Request) -> None:
        """The final answer of a request that will not be served.

        A refusal tells when to come again: what could not be placed now finds the same servers busy a moment
        later, and a repeat at once would take a place from a request that can still be in time.
        """
        if request.legality.may_refuse(request):
            self.out.append(Refuse(request.id, self.settings.max_retry_after_ms))
        else:
            self.out.append(Fail(request.id))
        self._forget(request)

    # ------------------------------------------------ attempts: the aim, time-outs, retries

    def _set_aim(self, request: Request, event: RequestArrived) -> None:
        """When an answer stops being worth anything, as far as this copy can tell.

        The time left is this try's, not the aim. A fresh try comes with the usual time left of its class; one
        that comes with another has the rest of the class's deadline, and has spent what is missing in earlier
        tries. An inner tier's calls come with what our own copies above left them, so their aim is in their
        deadline already.
        """
        cls, left = request.cls, event.time_left_ms
        if cls.late_worth > 0.0:
            return
        spent = 0.0
        usual = self.settings.tier or self._usual[event.class_index].vote(left, 2.0 * self.settings.tick_ms)
        if not usual and self._comes_again(event):
            # A first try that comes with little time is that of a client in haste, not of a late one.
            spent = max(0.0, cls.deadline_ms - left)
        aim = self.now + cls.aim_ms - spent - 2.0 * self.settings.tick_ms
        request.aim_ms = min(request.deadline_ms, aim)

    def _comes_again(self, event: RequestArrived) -> bool:
        """Whether this is the last try of a client that has waited long for others in vain. Where repeats are not
        marked, there can be no more of those than requests that ended so here.
        """
        if self.settings.marks_retry:
            return event.client_retry
        if self._in_vain < 1.0:
            return False
        self._in_vain -= 1.0
        return True

    def _again(self, request: Request, outcome: Outcome) -> None:
        """Nothing is out any more and nothing was served: another attempt, or the final answer."""
        useful = request.aim_ms - self.now > 0.75 * self._latency[request.class_index]
        price = self.UNSEEN_PRICE if outcome in NEVER_RAN else 1.0
        if useful and self._retries >= price and request.legality.may_send_somewhere(request, self.now):
            self._retries -= price
            self._place(request)
        else:
            self._answer(request)

    def _own_queue(self, outcome: Outcome, attempt: Attempt) -> bool:
        """Whether a call that came to nothing in time did so behind our own calls: its server has served others since,
        or no server any call that was sent later. Guards against ejecting a tier that we have overfilled, server by
        server, which would fill the rest the more.
        """
        if outcome is not Outcome.TIMEOUT or not attempt.ahead:
            return False
        return attempt.server.answered_ms >= attempt.sent_ms or attempt.sent_ms >= self._served_ms

    def _judge(
        self, server: Server, request: Request, outcome: Outcome, failed: bool, spent_ms: float = 0.0
    ) -> None:
        """Outlier ejection: a run of failures withholds the token for a growing, bounded, jittered time.

        One bad server is told from a bad tier by chance: the run must be one that the failure rate of all
        servers together would give this one in fewer than `eject_odds` of cases, and at most `eject_most` of the ready
        servers are ejected at once: guards against emptying a fleet that is slow as a whole.
        """
        self._fail_share += self.MEMORY / 2.0 * (failed - self._fail_share)
        at = request.class_index
        if not failed:
            server.strikes = server.ejections = 0
            server.shunned.pop(at, None)
            return
        if outcome not in NEVER_RAN and outcome is not Outcome.OK:
            # Guards against a server that fails one class and serves the others, whose successes would clear
            # it. One failure is enough: others are drawn meanwhile; if all of them fail it changes nothing.
            times = server.shunned.get(at, (0, 0.0))[0]
            span = self._pause_ms * self.fleet.ready_count * 2.0 ** min(times + 1, 16)
            span = min(self.settings.longest_ms, span) * (0.5 + self.rng.random())
            server.shunned[at] = (times + 1, self.now + span)
        server.strikes += 1
        # Guards against the fast failure, whose token would be back first; one that took its time attracts nobody.
        pause = self._latency[request.class_index] * (0.25 + 0.5 * self.rng.random()) - spent_ms
        self.fleet.withhold(server, self.now + pause)
        ready = self.fleet.ready_count
        # Of so many calls out, as many runs are looked at, and one is odd by chance: guards against ejecting servers
        # that are well, in turn, which crowds the rest. One that gives no sign of life is not waited for so long.
        runs = self._out if outcome is Outcome.ERROR or outcome is Outcome.RESET else 1
        odds = self._fail_share**server.strikes * max(1, runs)
        tuning = self.settings.tuning
        if odds < tuning.eject_odds and self.fleet.ejected < tuning.eject_most * ready:
            # Doubles with each ejection, not with each failure, which a bad tier gives to all.
            if server.silent and not server.ejections:
                self.limiter.lost_one(ready - self.fleet.ejected)
            server.ejections += 1
            # A copy of low rate comes by seldom: less than the time between two visits would be no ejection.
            span = max(self._latency[request.class_index], self._pause_ms * ready)
            span *= 2.0 ** min(server.ejections, 16)
            span = min(self.settings.longest_ms, span) * (0.5 + self.rng.random())
            self.fleet.eject(server, self.now + span)

    def _pace(self, server: Server, ratio: float) -> None:
        """Keep a slower server's token back after its call, by how much slower than the usual it is.

        Guards against slow kinds and servers that stay slow once crowded: a copy that comes by seldom always
        finds its own calls there ended, so that even draws fill the slow ones. Only where no report tells
        which server is idle. A tier that is slow as a whole is its own usual, so nothing is withheld then.
        """
        kind = self._kinds.get(server.kind, 1.0)
        self._kinds[server.kind] = kind + self.MEMORY / 2.0 * (ratio - kind)
        # Its kind speaks for a server that this copy has hardly met.
        known = kind if server.slowness is None else server.slowness
        server.slowness = known + self.SLOWNESS_MEMORY * (ratio - known)
        if self._level_at >= 0 and self._most_running < 1.5:
            return
        if self._out >= self.fleet.ready_count * (0.5 if self.settings.copies < 2 else 1.0):
            # Own counts tell which server is free, a lone copy's sooner. Guards against leaving one empty, for the
            # time that its answer took behind our own calls, while the others get twice as many.
            return
        beyond = server.slowness - self.ORDINARY
        if beyond > 0.0:
            visit = self._pause_ms * self.fleet.ready_count
            self.fleet.withhold(server, self.now + min(self.settings.longest_ms, self.PACE * beyond * visit))

    # ------------------------------------------------ shedding: the first tier, over-share traffic first

    def _over_share(self, event: RequestArrived) -> bool:
        """Whether the request is of the traffic that is refused first when calls must be refused.

        A tenant is over its share where it sends clearly more than its part of what comes to this copy; that
        holds at any rate and in zones of any size. Repeats count as over it where most of what the tenant
        sends is repeats: guards against clients that repeat at once, whatever they are told.
        """
        at = event.tenant
        if not 0 <= at < len(self._part):
            return False
        for n in range(len(self._part)):
            self._part[n] += self.TENANT_MEMORY * ((n == at) - self._part[n])
        self._repeats[at] += self.MEMORY * (event.client_retry - self._repeats[at])
        if event.client_retry and self._repeats[at] > self.REPEATS:
            return True
        fair = self._fair[at]
        noise = math.sqrt(fair * self.TENANT_MEMORY / 2.0)  # of the running mean
        return self._part[at] > self.OVER * fair + 2.0 * noise

    def _wait(self, request: Request, left_ms: float, over_share: bool) -> bool:
        """Let it wait for a place in the window; False where its turn would not come in time.

        Who has waited in vain is answered at once; nothing is held back until its deadline.
        """
        usual = self._latency[request.class_index]
        pace = self.limiter.pace_ms(request.class_index)
        most = min(
            self.waiting.patience_ms(self.now, request.cls.aim_ms, left_ms, pace, over_share),
            left_ms - usual - self.settings.tick_ms,
        )
        if not self.waiting.enter(self.now, request.id, request.class_index, over_share, most, pace):
            return False
        self._wake(request, most)
        return True

    def _let_in(self) -> None:
        """Those whose turn has come, as far as there are places."""
        for _ in range(self.limiter.places(self._out)):
            turn = self.waiting.take()
            if turn is None:
                return
            request = self.requests[turn]
            request.wake_ms = -1.0
            self._place(request)

    def _compare_zones(self, outcome: Outcome, spent_ms: float, request: Request, attempt: Attempt) -> None:
        """Draw over all zones as far as home does worse than crossing costs.

        Guards against a zone with more traffic than its own servers carry: a copy of low rate always finds a
        token at home, so running out of tokens does not tell it.
        """
        if self.settings.price_cross_zone <= 0.0 or request.started:
            return
        if outcome in UNTELLING:
            return
        if outcome is Outcome.OK:
            cost = min(1.0, spent_ms / request.cls.aim_ms)
        else:
            cost = self.UNSEEN_COST if outcome in NEVER_RAN else 1.0
        away = attempt.zone != self.settings.my_zone
        self._cost[away] += self.MEMORY * (cost - self._cost[away])
        # Few calls tell of either: home must do clearly worse, else chance alone would make half cross.
        if self._cost[0] > self.WORSE * self._cost[1] + self.settings.price_cross_zone:
            self._spill += self.SPILL * (1.0 - self._spill)
        else:
            self._spill -= self.SPILL * self._spill

    # ------------------------------------------------ probing: is the drawn server idle?

    def _probe_pays(self, request: Request) -> bool:
        if self._level_at < 0 or request.probes >= (self.POLLS if request.polled else self.DRAWS):
            return False
        if request.polling:
            return True  # once begun: to send blindly what finds only busy servers would queue it there
        if self._most_running >= 1.5:
            return not request.probes and self.rng.random() < self.EXPLORE
        # Behind one call more, the answer comes one mean latency later; the odds that this misses the aim
        # grow with that part of the time left, and faster than it while it is small.
        part = min(1.0, self._latency[request.class_index] / (request.aim_ms - self.now))
        gain = self._idle_share * part * min(1.0, 2.0 * part)
        if not request.probes:
            gain *= 1.0 - self._idle_share
        if gain > self.settings.price_probe:
            # Only where servers run one call at a time is a busy one sure to let the call wait.
            request.polling = self._most_running < 1.5
            return True
        return not request.probes and self.rng.random() < self.EXPLORE

    def _ask(self, request: Request, server: Server) -> None:
        request.probes += 1
        request.asked = server
        self.fleet.spend_token(server)  # reserved: two requests of this copy must not settle on one report
        self._asked.setdefault(server.id, []).append(request)
        self.out.append(Probe(server.id))
        self._wake(request, 2.0 * self.settings.tick_ms + 3.0 * self._echo_ms)

    def _on_probe(self, event: ProbeEnded) -> None:
        waiting = self._asked.get(event.server)
        request = None
        if waiting:
            request = waiting.pop(0)
            if not waiting:
                del self._asked[event.server]
        server = self.fleet.servers.get(event.server)
        at = self._level_at
        if event.outcome is Outcome.OK:
            self._echo_ms += self.MEMORY * (event.spent_ms - self._echo_ms)
        level = event.report[at] if event.outcome is Outcome.OK and 0 <= at < len(event.report) else None
        if level is not None:
            self._idle_share += self.MEMORY * ((level < 0.5) - self._idle_share)
            waiting_there = event.report[self._queue_at] if 0 <= self._queue_at < len(event.report) else 0.0
            self._most_running = max(self._most_running, level - waiting_there)
        if server is not None:
            if level is None or level >= 0.5:
                spread = 0.5 + self.rng.random()
                self.fleet.withhold(server, self.now + 0.25 * self._mean_latency() * spread)
            else:
                self.fleet.earn_token(server, self.now)
        if request is None or request.started or request.asked is not server or server is None:
            return
        request.asked = None
        if level is not None and level < 0.5 and request.legality.may_send(request, server, self.now):
            self._send(request, server)
        else:
            self._next(request)

    def _mean_latency(self) -> float:
        return sum(self._latency) / len(self._latency)

    def _wake(self, request: Request, delay_ms: float) -> None:
        # Guards against a request lost while a report is awaited: a call may arrive with less time left than
        # that.
        delay_ms = max(0.0, min(delay_ms, request.aim_ms - self.settings.tick_ms - self.now))
        request.wake_ms = self.now + delay_ms
        self.out.append(SetTimer(request.id, delay_ms))

    # ------------------------------------------------ holding: no server may be sent to

    def _hold(self, request: Request) -> None:
        """Nothing ready, legal and believed idle now: look again shortly, while an answer can still count."""
        last = request.aim_ms - 0.75 * self._latency[request.class_index]
        vain = self.fleet.remembered and not self.fleet.hope(request.cls)
        if vain or self.now >= last or not request.legality.may_send_somewhere(request, self.now):
            self._answer(request)
            return
        self.held[request.id] = request
        latency = self._latency[request.class_index]
        # Guards against a herd: while polls find nearly nothing idle, several copies see the same server fall
        # idle before the first send shows. How often polls find one tells how often all copies together ask.
        crowd = 4.0 * (self._echo_ms + self.settings.tick_ms) / (latency * max(self._idle_share, 0.001))
        pause = latency / 32.0 * max(1.0, min(crowd, 16.0)) * (0.5 + self.rng.random())
        self._wake(request, max(self.settings.tick_ms, min(pause, last - self.now)))

    def _on_timer(self, event: TimerFired) -> None:
        if event.cookie == LIST_COOKIE:
            self.out.append(WatchList(True))
            return
        request = self.requests.get(event.cookie)
        if request is None or request.started or request.wake_ms < 0.0:
            return
        if self.now + self.settings.tick_ms / 2.0 < request.wake_ms:
            return  # an older timer; half a tick, since a caller's clock may round below what was asked for
        if self.waiting and self.waiting.drop(request.id):  # it has waited in vain
            self._answer(request)
        elif request.asked is not None:  # no report in time: the silence counts as busy
            request.asked = None
            self._next(request)
        elif request.id in self.held:
            del self.held[request.id]
            request.polled = True
            self._place(request)

    # ------------------------------------------------ what else is told

    def _on_list(self, event: ListUpdate) -> None:
        if event.kind is not ListKind.FAILED:
            fresh, gone = self.fleet.update(event)
            for server in gone:  # its connections died with it
                self.links.drop(server)
            self.slow_start.watch(fresh, self.now)
            self.limiter.open(self.fleet.ready_count, self.settings.copies)
            self.slow_start.most_ready = max(self.slow_start.most_ready, self.fleet.ready_count)
            for server in fresh:
                self.fleet.earn_token(server, self.now)
        if self.settings.on_request_discovery and event.kind is not ListKind.PROOF:
            self._follow_list(event.kind)

    def _follow_list(self, kind: ListKind) -> None:
        """Where the list must be asked for: subscribe once, spread out, and ask again after a failure."""
        if kind is ListKind.FAILED:
            # Guards against a herd on a discovery service of fixed capacity: back off, with jitter.
            self._list_backoff_ms = min(
                self.settings.ask_within_ms, max(2_000.0, 2.0 * self._list_backoff_ms)
            )
            self._later(LIST_COOKIE, self._list_backoff_ms * (0.5 + self.rng.random()))
        elif not self._booted:
            # The cached list serves at first; a quarter of the duty's interval leaves time for calls that
            # fail.
            self._later(LIST_COOKIE, self.rng.random() * self.settings.ask_within_ms / 4.0)
        elif kind is not ListKind.CACHED:
            self._list_backoff_ms = 0.0
        self._booted = True

    def _later(self, cookie: int, delay_ms: float) -> None:
        self.out.append(SetTimer(cookie, delay_ms))

    def _on_client_gone(self, event: ClientGone) -> None:
        request = self.requests.get(event.request)
        if request is not None:
            self._forget(request)

    def _on_answer_started(self, event: AnswerStarted) -> None:
        request = self.requests.get(event.request)
        if request is not None:
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
        server = self.fleet.servers.get(number)
        if server is not None:
            self.links.drop(server)

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
            "idle_share": self._idle_share,
            "most_running": self._most_running,
            "latency": dict(zip(names, self._latency, strict=True)),
            "base": dict(zip(names, self.limiter.base, strict=True)),
            "work": dict(zip(names, self._work, strict=True)),
        }

    def adopt(self, learned: dict[str, Any]) -> None:
        """Go on from what another life has learned; values that are none are passed over."""

        def number(value: Any, old: float, high: float = math.inf) -> float:
            good = isinstance(value, int | float) and not isinstance(value, bool) and 0.0 <= value < math.inf
            return min(float(value), high) if good else old

        self.slow_start.credit = number(learned.get("credit"), 0.0, SlowStart.CREDIT_CAP)
        # Guards against a life that crashes again and again, each time with attempts to spare.
        self._retries = number(learned.get("retries"), self._retries, self.settings.tuning.retry_cap / 2.0)
        limiter = self.limiter
        most = limiter.MOST_WINDOW
        limiter.window = max(limiter.LEAST_WINDOW, number(learned.get("window"), limiter.window, most))
        limiter.opened = limiter.opened or "window" in learned
        self._idle_share = number(learned.get("idle_share"), self._idle_share, 1.0)
        self._most_running = number(learned.get("most_running"), self._most_running)
        for key, values in (("latency", self._latency), ("base", limiter.base), ("work", self._work)):
            told = learned.get(key)
            if isinstance(told, dict):
                for at, cls in enumerate(self.settings.classes):
                    values[at] = number(told.get(cls.name), values[at])

    def _on_reconfigured(self, event: Reconfigured) -> None:
        """Figures that change in service. What is known of servers and calls is kept: counts, the cold
        servers' credit, drains. Requests that are here already end under the rules that they came with.
        """
        old, new = self.settings, event.settings
        problem = fixed_difference(old, new)
        if problem:
            raise ContractError(f"{problem} can't change in service")
        self.settings = new
        self.legality = Legality(new)
        self.links.configure(new)
        self.slow_start.configure(new)
        self.slow_start.rewatch(list(self.fleet.servers.values()), self.now)
        self.limiter.configure(new)
        self.waiting.configure(new)
        for at, cls in enumerate(new.classes):
            if at >= len(old.classes):
                self._usual.append(Usual())
                self._work.append(0.0)
            elif cls.name != old.classes[at].name:  # another has taken the place of one that is no more
                self._usual[at], self._work[at] = Usual(), 0.0
                for server in self.fleet.servers.values():
                    server.shunned.pop(at, None)
        known = {tenant.name: n for n, tenant in enumerate(old.tenants)}
        places = [known.get(tenant.name) for tenant in new.tenants]
        self._fair = self._shares(new)
        part, repeats = self._part, self._repeats
        self._part = [self._fair[n] if at is None else part[at] for n, at in enumerate(places)]
        self._repeats = [0.0 if at is None else repeats[at] for at in places]


def fixed_difference(old: Settings, new: Settings) -> str:
    """What two settings differ in that no balancer can change while it runs; empty if nothing."""
    for name in FIXED:
        if getattr(old, name) != getattr(new, name):
            return name
    return "" if len(new.classes) >= len(old.classes) else "fewer classes"


# Numbers of zones and report values are places in these; the rest says who this copy is. Classes keep their places, to
# which more may be added.
FIXED = "zones my_zone me tier tiers tick_ms on_request_discovery may_probe report_mode report_fields".split()


IDLE_FIELD = (
    "running_and_waiting"  # the one report value that tells an idle server; others say nothing of that
)
MANY = 1 << 30  # attempts: no bound
LIST_COOKIE = 1 << 40  # above every request id
