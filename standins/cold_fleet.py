"""Copies of the real decisions before servers that start cold, in simulated time and without sockets.

It answers one question: how much work does a cold server get from all copies together, beside what it bears? Servers
are queues with one core each; requests come as a Poisson stream, unevenly over the copies. All is drawn from one seed.

    python -m standins.cold_fleet --seeds 0:20 [--scenes NAME,...] [--copies 1,200] [--jobs 4]

prints a row for each scene and number of copies: how near the fullest window of any seed came to the bound (over 1:
the server fell), the median and the ninetieth percentile of the seeds, and what was served.
"""

from __future__ import annotations

import argparse
import math
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from itertools import accumulate, count
from random import Random
from statistics import median, quantiles

from larkweir_balancing import Balancer, Settings
from larkweir_balancing.interface import (
    Action,
    AttemptEnded,
    Effect,
    Event,
    Fail,
    Group,
    ListKind,
    ListUpdate,
    Outcome,
    Probe,
    ProbeEnded,
    Refuse,
    ReportMode,
    RequestArrived,
    RequestClass,
    Send,
    ServerEntry,
    ServerState,
    SetTimer,
    TimerFired,
)

# Figures of the first deployment's site file.
WORK_MS = 50.0  # mean work of a call, on one core
COLD_SHARE, COLD_MS = 0.32, 8_900.0
FALL, FALL_MS = 3.0, 1_000.0
DEADLINE_MS, AIM_MS = 1_000.0, 410.0
KEY_MS = 4_000.0
HOP_MS = 0.4  # one way, with what the balancer takes
PROBE_MS = 1.5
CONNECT_MS = 1.0  # until a connection is refused
TOLD_MS = 200.0  # within which all copies have heard of a change
CLIENT_WAIT_MS = 150.0  # at the most, before a client comes again
QUEUE = 32  # calls that a server holds; it turns away more

LOST_MS, COLD_FROM_MS = 2_000.0, 4_000.0  # servers are lost, and the first are back
END_MS = 8_000.0
STARVED_MS, STARVED = 4_000.0, 15

CLASSES = (
    RequestClass(AIM_MS, DEADLINE_MS, Effect.SAFE, name="read"),
    RequestClass(AIM_MS, DEADLINE_MS, Effect.KEYED, group=Group.ZONE, memory_ms=KEY_MS, name="keyed"),
)


@dataclass(frozen=True)
class Scene:
    """Which servers are away, how they come back, and what the traffic is like meanwhile."""

    zones: int = 1
    lost: float = 1.0  # part of the servers (of zone 0 alone, where there are more), lost at LOST_MS
    back: tuple[tuple[float, float], ...] = (
        (0.0, 1.0),
    )  # when, and which part of the lost has returned by then
    earlier: float = 0.0  # part of the servers of the other zones (else of all) that restart early on
    load: float = 0.6  # of what all servers can do
    burst: float = 1.5  # times the load, from when the first are back
    fresh: float = 0.0  # part of the copies that begin anew just after, knowing nothing
    restart_ms: float = 0.0  # each copy begins anew once in such a time
    keyed: float = 0.25
    breaks: float = 0.01  # of calls, that end in a reset
    client_tries: int = 1
    tier: int = 1  # inner tiers take all requests, the front sheds


STEPS = tuple((7_000.0 * n / 20, n / 20) for n in range(1, 21))
SCENES = {
    "all at once": Scene(),
    "the first of all": Scene(back=((0.0, 0.0), (2_500.0, 0.3))),
    "one in ten of warm ones": Scene(lost=0.1, load=0.8),
    "one of warm ones": Scene(lost=0.0, load=0.8),
    "deploy of six in ten": Scene(lost=0.6, back=STEPS),
    "zone at once": Scene(zones=3, load=0.55),
    "first of a zone": Scene(zones=3, load=0.55, back=((0.0, 0.0), (2_500.0, 0.5))),
    "first of a zone with savings": Scene(zones=3, load=0.55, back=((0.0, 0.0), (2_500.0, 0.5)), earlier=0.5),
    "first of many with savings": Scene(lost=0.7, back=((0.0, 0.0),), earlier=0.3),
    "keyed in a zone": Scene(zones=3, load=0.55, back=((0.0, 0.0),), earlier=0.5, keyed=1.0, breaks=0.1),
    "retries": Scene(lost=0.6, breaks=0.2, client_tries=3),
    "fresh copies": Scene(lost=0.8, fresh=0.7),
    "copies restart": Scene(lost=0.8, back=((0.0, 0.2),), restart_ms=1_000.0),
    "front": Scene(client_tries=3, tier=0),
}
SERVERS = {1: 5, 3: 5, 20: 20, 30: 30, 200: 60}


@dataclass
class Server:
    """One core and a queue. `got`: when it was sent work since its start, and how much, in calls of mean work."""

    zone: int
    started_ms: float = 0.0  # 0: long ago
    up: bool = True
    free_ms: float = 0.0
    ends: list[float] = field(default_factory=list)
    got: list[tuple[float, float]] = field(default_factory=list)

    def share(self, now_ms: float) -> float:
        if not self.started_ms:
            return 1.0
        return COLD_SHARE + (1.0 - COLD_SHARE) * min(1.0, (now_ms - self.started_ms) / COLD_MS)

    def held(self, now_ms: float) -> int:
        while self.ends and self.ends[0] <= now_ms:
            heappop(self.ends)
        return len(self.ends)

    def fullest(self) -> float:
        """Of all windows of FALL_MS, the work of the fullest by what it bears: above 1 the server falls."""
        worst = work = 0.0
        first = 0
        for at, size in self.got:
            work += size
            while self.got[first][0] <= at - FALL_MS:
                work -= self.got[first][1]
                first += 1
            worst = max(worst, work / bound(self.share(self.got[first][0])))
        return worst


def bound(share: float) -> float:
    """N + 2 x root of N + 2, in calls of mean work; N is what the settings allow a server of such a share."""
    allowed = FALL * share * FALL_MS / WORK_MS
    return allowed + 2.0 * math.sqrt(allowed) + 2.0


@dataclass
class Asked:
    """A client's try."""

    copy: int
    class_index: int
    size: float
    came_ms: float
    tries: int = 1
    attempts: int = 0


@dataclass
class Seen:
    """What one play has shown."""

    ratios: list[float]  # of each server that was cold: its fullest window by the bound
    asked: int
    served: int  # in time for its aim
    sent_cold: int
    starved: int  # copies that turned away all that they got for STARVED_MS, STARVED requests or more


class Play:
    """One scene, with one seed."""

    def __init__(self, scene: Scene, copies: int, seed: int) -> None:
        self.scene, self.rng = scene, Random(f"{seed} {copies}")
        self.now = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._serial, self._ids = count(), count(1)
        self.servers: dict[int, Server] = {}
        self._server_ids = count()
        for n in range(SERVERS[copies]):
            self.servers[next(self._server_ids)] = Server(n % scene.zones)
        self.capacity = len(self.servers) / WORK_MS  # calls each millisecond
        self.settings = [self._settings(n, copies) for n in range(copies)]
        self.lists: list[dict[int, ServerEntry]] = [{} for _ in range(copies)]  # what each has been told
        self.copies = [self._begin(n) for n in range(copies)]
        # Some get several times the mean.
        self._shares = list(accumulate(self.rng.lognormvariate(0.0, 0.8) for _ in range(copies)))
        self.open: list[dict[int, Asked]] = [{} for _ in range(copies)]
        self.asked = self.served = 0
        self._tried_ms = [0.0] * copies  # when each last began an attempt
        self._untried = [0] * copies  # requests that it has got since
        self._starved: set[int] = set()

    def _settings(self, copy: int, copies: int) -> Settings:
        scene = self.scene
        return Settings(
            classes=CLASSES,
            balancer_count=copies,
            me=copy,
            zones=scene.zones,
            my_zone=copy % scene.zones,
            tier=scene.tier,
            tiers=2,
            max_attempts=4,
            cold_share=COLD_SHARE,
            cold_ms=COLD_MS,
            fall_multiple=FALL,
            fall_ms=FALL_MS,
            may_probe=True,
            report_mode=ReportMode.ON_PROBE,
            report_fields=("running_and_waiting",),
            price_probe=0.002,
            price_cross_zone=0.005 if scene.zones > 1 else 0.0,
            price_waste=0.02,
        )

    # ------------------------------------------------ the world's clock

    def after(self, delay_ms: float, act: Callable[[], None]) -> None:
        heappush(self._due, (self.now + delay_ms, next(self._serial), act))

    def run(self) -> Seen:
        scene = self.scene
        if scene.earlier:
            self.after(LOST_MS / 2.0, self._restart_earlier)
        self.after(LOST_MS, self._lose)
        if scene.fresh:
            self.after(COLD_FROM_MS + 0.5 * TOLD_MS, self._begin_some)
        if scene.restart_ms:
            for n in range(len(self.copies)):
                self.after(COLD_FROM_MS + self.rng.random() * scene.restart_ms, partial(self._begin_again, n))
        self._arrive()
        while self._due[0][0] < END_MS:
            self.now, _, act = heappop(self._due)
            act()
        cold = [server for server in self.servers.values() if server.started_ms]
        sent = sum(len(server.got) for server in cold)
        ratios = [server.fullest() for server in cold]
        return Seen(ratios, self.asked, self.served, sent, len(self._starved))

    # ------------------------------------------------ servers come and go

    def _lose(self) -> None:
        home = [n for n, server in self.servers.items() if not server.zone]
        gone = self.rng.sample(home, max(1, round(self.scene.lost * len(home))))
        rolling = self.scene.back is STEPS
        if not rolling:
            self._stop(gone)
        back = 0
        for delay, part in self.scene.back:
            upto = max(1, round(part * len(gone)))
            if upto > back:
                old = gone[back:upto]
                act = partial(self._replace, old) if rolling else partial(self._start, old)
                self.after(COLD_FROM_MS - self.now + delay, act)
                back = upto

    def _restart_earlier(self) -> None:
        zones = self.scene.zones
        others = [n for n, server in self.servers.items() if zones == 1 or server.zone]
        self._replace(self.rng.sample(others, round(self.scene.earlier * len(others))))

    def _replace(self, numbers: Sequence[int]) -> None:
        self._stop(numbers)
        self._start(numbers)

    def _stop(self, numbers: Sequence[int]) -> None:
        for n in numbers:
            self.servers[n].up = False
        self._tell([ServerEntry(n, ServerState.GONE, zone=self.servers[n].zone) for n in numbers])

    def _start(self, replaced: Sequence[int]) -> None:
        entries = []
        for old in replaced:
            zone, new = self.servers[old].zone, next(self._server_ids)
            self.servers[new] = Server(zone, self.now)
            entries.append(ServerEntry(new, started_ms=self.now, zone=zone))
        self._tell(entries)

    def _tell(self, entries: Sequence[ServerEntry]) -> None:
        for n in range(len(self.copies)):
            self.after(self.rng.random() * TOLD_MS, partial(self._told, n, entries))

    def _told(self, copy: int, entries: Sequence[ServerEntry]) -> None:
        for entry in entries:
            self.lists[copy][entry.server] = entry
        self._handle(copy, ListUpdate(ListKind.DELTA, 1, entries))

    # ------------------------------------------------ copies

    def _begin(self, copy: int) -> Balancer:
        balancer = Balancer(self.settings[copy], self.rng.getrandbits(32))
        if not self.lists[copy]:
            self.lists[copy] = {n: ServerEntry(n, zone=server.zone) for n, server in self.servers.items()}
        listed = [entry for entry in self.lists[copy].values() if entry.state is ServerState.READY]
        balancer.handle(self.now, ListUpdate(ListKind.FULL, 1, listed))
        return balancer

    def _begin_again(self, copy: int) -> None:
        """What it held is lost; its clients see a connection that ends."""
        self.open[copy] = {}
        self.copies[copy] = self._begin(copy)
        if self.scene.restart_ms:
            self.after(self.scene.restart_ms * (0.5 + self.rng.random()), partial(self._begin_again, copy))

    def _begin_some(self) -> None:
        for n in self.rng.sample(range(len(self.copies)), math.ceil(self.scene.fresh * len(self.copies))):
            self._begin_again(n)

    def _handle(self, copy: int, event: Event) -> None:
        balancer = self.copies[copy]
        for action in balancer.handle(max(self.now, balancer.now_ms), event):
            self._carry_out(copy, balancer, action)

    def _later(self, copy: int, balancer: Balancer, delay_ms: float, event: Event) -> None:
        def act() -> None:
            if self.copies[copy] is balancer:
                self._handle(copy, event)

        self.after(delay_ms, act)

    def _carry_out(self, copy: int, balancer: Balancer, action: Action) -> None:
        if isinstance(action, SetTimer):
            self._later(copy, balancer, action.delay_ms, TimerFired(action.cookie))
        elif isinstance(action, Probe):
            server = self.servers[action.server]
            outcome = Outcome.OK if server.up else Outcome.CONNECT_FAILED
            report = (float(server.held(self.now)),)
            self._later(copy, balancer, PROBE_MS, ProbeEnded(action.server, outcome, PROBE_MS, report))
        elif isinstance(action, Send):
            self._send(copy, balancer, action)
        elif isinstance(action, Refuse | Fail):
            asked = self.open[copy].pop(action.request, None)
            if asked is not None and asked.tries < self.scene.client_tries:
                wait = self.rng.random() * CLIENT_WAIT_MS
                self.after(wait, partial(self._ask, asked.class_index, asked.size, asked.tries + 1))

    def _send(self, copy: int, balancer: Balancer, send: Send) -> None:
        asked = self.open[copy][send.request]
        outcome, spent = self._work(self.servers[send.server], asked.size, send.timeout_ms)
        ended = AttemptEnded(send.request, asked.attempts, send.server, outcome, outcome is Outcome.OK, spent)
        asked.attempts += 1
        self._tried_ms[copy], self._untried[copy] = self.now, 0
        if outcome is Outcome.OK:
            self.open[copy].pop(send.request)
            self.served += self.now + spent - asked.came_ms <= AIM_MS
        self._later(copy, balancer, spent, ended)

    def _work(self, server: Server, size: float, left_ms: float) -> tuple[Outcome, float]:
        """How a call ends, and after how long."""
        if not server.up:
            return Outcome.CONNECT_FAILED, CONNECT_MS
        if server.started_ms:
            server.got.append((self.now, size))
        if server.held(self.now) >= QUEUE:
            return Outcome.FULL, 2.0 * HOP_MS
        begin = max(self.now, server.free_ms)
        server.free_ms = begin + size * WORK_MS / server.share(begin)
        heappush(server.ends, server.free_ms)
        spent = server.free_ms - self.now + 2.0 * HOP_MS
        if spent > left_ms:
            return Outcome.TIMEOUT, max(0.0, left_ms)
        broken = self.rng.random() < self.scene.breaks
        return Outcome.RESET if broken else Outcome.OK, spent

    # ------------------------------------------------ clients

    def _arrive(self) -> None:
        scene = self.scene
        rate = scene.load * self.capacity * (scene.burst if self.now >= COLD_FROM_MS else 1.0)
        self.after(self.rng.expovariate(rate), self._arrive)
        if self.now:
            self.asked += 1
            size = self.rng.lognormvariate(-0.125, 0.5)  # of mean 1
            self._ask(int(self.rng.random() < scene.keyed), size, 1)

    def _ask(self, class_index: int, size: float, tries: int) -> None:
        copy = self.rng.choices(range(len(self.copies)), cum_weights=self._shares)[0]
        number = next(self._ids)
        self._untried[copy] += 1
        if self._untried[copy] >= STARVED and self.now - self._tried_ms[copy] >= STARVED_MS:
            self._starved.add(copy)
        self.open[copy][number] = Asked(copy, class_index, size, self.now, tries)
        self._handle(copy, RequestArrived(number, class_index, DEADLINE_MS, client_retry=tries > 1))


def play(name: str, copies: int, seed: int) -> Seen:
    return Play(SCENES[name], copies, seed).run()


def _row(name: str, copies: int, seeds: range, each: Callable[..., object]) -> str:
    seen: list[Seen] = list(each(partial(play, name, copies), seeds))  # type: ignore[call-overload]
    worst = [max(one.ratios) for one in seen]
    cuts = quantiles(worst, n=10, method="inclusive")
    asked = sum(one.asked for one in seen)
    served, cold = (sum(getattr(one, what) for one in seen) / asked for what in ("served", "sent_cold"))
    starved = sum(one.starved for one in seen) / len(seen) / copies
    cells = [f"{x:.2f}" for x in (max(worst), median(worst), cuts[-1])] + [
        f"{x:.3f}" for x in (served, cold, starved)
    ]
    return f"| {name} | {copies} | {' | '.join(cells)} |"


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--seeds", default="0:10", help="first:end")
    parser.add_argument("--scenes", default=",".join(SCENES), type=lambda text: text)
    parser.add_argument("--copies", default=",".join(map(str, SERVERS)))
    parser.add_argument("--jobs", type=int, default=1)
    options = parser.parse_args()
    seeds = range(*map(int, options.seeds.split(":")))
    print("| scene | copies | worst | median | 90% | served | sent cold | starved |\n" + "| --- " * 8 + "|")
    with ProcessPoolExecutor(options.jobs) as pool:
        for name in options.scenes.split(","):
            for copies in map(int, options.copies.split(",")):
                print(_row(name, copies, seeds, pool.map), flush=True)


if __name__ == "__main__":
    main()
