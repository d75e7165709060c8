"""Many real balancers with every datagram between them through a relay, faults by plan, and a history of it all.

Upstreams, discovery and callers are stand-ins that all share; the processes are `python -m larkweir run`, as a service
manager starts them. Everything that is seen is written into one history, on one clock of milliseconds.
"""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Callable, Iterable, Sequence
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

from standins.checkers import (
    KEYED,
    SAFE,
    UNSAFE,
    Answered,
    Asked,
    Event,
    Hit,
    Owned,
    Ran,
    Taken,
    broken,
)
from standins.copies import Copy
from standins.fleet import DEADLINE_MS, ZONES
from standins.peers import PATIENCE_S, Caller, FakeDiscovery, FakeUpstream, Incoming, Talk, ok, status
from standins.plans import Air, Fault, Kind, Plan
from standins.relay import Ways
from standins.streams import Streams

CLASSES = {"consulta": SAFE, "publicar": KEYED, "traspaso": UNSAFE}


class Relayed(Ways):
    """The relay: each datagram goes on as the plan's faults say."""

    def __init__(self, rng: Random) -> None:
        super().__init__()
        self.air = Air()
        self.passed = self.lost = 0
        self._rng = rng

    def passes(self, source: str, to: str, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        fates = self.air.fates(source, to, loop.time() * 1000.0, self._rng)
        self.passed += len(fates)
        self.lost += not fates
        for late_ms in fates:
            if late_ms > 0.0:
                loop.call_later(late_ms / 1000.0, self.send, source, to, data)
            else:
                self.send(source, to, data)


class Nodo:
    """An upstream: serves in some milliseconds, and now and then errs, resets, or turns away unseen. Those of one zone
    remember keys together."""

    def __init__(self, name: str, zone: str, rig: Together) -> None:
        self.name, self.zone, self._rig = name, zone, rig
        self._rng = Random(f"{rig.seed}/{name}")
        self.server = FakeUpstream(self._serve, keep=False)

    async def _serve(self, request: Incoming, talk: Talk) -> None:
        dice = self._rng.random()
        if dice < 0.02:
            await talk.send(status(503, "X-Never-Ran: 1\r\n"))
            return
        if dice > 0.03:
            self._run(request)
        await asyncio.sleep(self._rng.uniform(0.002, 0.02))
        if dice < 0.04:  # with or without an effect: the balancer can't know
            talk.reset()
        elif dice < 0.06:
            await talk.send(status(500))
        else:
            await talk.send(ok())

    def _run(self, request: Incoming) -> None:
        effect = CLASSES[request.headers["x-qos"]]
        key = request.headers.get("idempotency-key", "")
        if effect == KEYED:
            known = self._rig.keys.setdefault(self.zone, set())
            if key in known:
                return
            known.add(key)
        rig = self._rig
        rig.note(Ran(rig.now_ms(), self.name, request.headers["x-trace-id"], effect, key))


class Together:
    """The rig: `async with` gives it with all processes up. `peers` and `owners` are rows of these tables; without
    `owners` that part is off."""

    def __init__(
        self,
        processes: int,
        seed: int,
        keepers: int = 3,
        peers: dict[str, Any] | None = None,
        owners: dict[str, Any] | None = None,
        pause_s: float = 0.1,
        edits: dict[str, Any] | None = None,
        routes: dict[str, dict[str, Any]] | None = None,
        streams: bool = False,
    ) -> None:
        """`pause_s`: between two requests of one caller, on the mean; each copy has one caller. `edits`: rows of that
        table, off without; `routes`: rows of routes and pools that each file has, as "route.a". `streams`: connections
        to upstreams go through doors, so that faults can be about these."""
        self.seed = seed
        self.history: list[Event] = []
        self.peers, self.owners = peers or {}, owners or {}
        self.edits, self.routes = edits or {}, routes or {}
        self.keys: dict[str, set[str]] = {}
        self._temporary = tempfile.TemporaryDirectory(prefix="larkweir-together-")
        self.folder = Path(self._temporary.name)
        self.copies = {f"c{n}": Copy(f"c{n}", self) for n in range(processes)}
        self.keepers = tuple(self.copies)[:keepers]
        self.relay = Relayed(Random(f"{seed}/relay"))
        self.discovery = FakeDiscovery([])
        self._nodos = [Nodo(f"u{n}", ZONES[n % len(ZONES)], self) for n in range(4)]
        self.streams = Streams() if streams else None
        self._pause_s = pause_s
        self._came = asyncio.Event()
        self._callers: list[asyncio.Task[None]] = []
        self._ending = False
        self._began_s = asyncio.get_running_loop().time()

    def now_ms(self) -> float:
        return (asyncio.get_running_loop().time() - self._began_s) * 1000.0

    def note(self, event: Event) -> None:
        self.history.append(event)
        self._came.set()

    async def until(self, true: Callable[[], Any], what: str) -> None:
        """Looks again with each event of the history."""
        try:
            async with asyncio.timeout(PATIENCE_S):
                while not true():
                    self._came.clear()
                    await self._came.wait()
        except TimeoutError:
            last = {name: copy.log[-3:] for name, copy in self.copies.items()}
            wrong = broken(self.history)  # where one is behind it, that is what to read first
            raise AssertionError(f"never came: {what}; {wrong[:3]}; {last}") from None

    async def __aenter__(self) -> Together:
        try:
            for nodo in self._nodos:
                await nodo.server.start()
            rows = [nodo.server.entry(nodo.name, zone=nodo.zone) for nodo in self._nodos]
            if self.streams is not None:
                for row, nodo in zip(rows, self._nodos, strict=True):
                    host, port = await self.streams.join(nodo.name, ("127.0.0.1", nodo.server.port))
                    row["hostPort"] = f"{host}:{port}"
            self.discovery.entries = {row["instanceId"]: row for row in rows}
            await self.discovery.start()
            for copy in self.copies.values():
                host, port = await self.relay.join(copy.name, copy.own)
                copy.public = f"{host}:{port}"
            names = list(self.copies.values())
            for n in range(0, len(names), 5):  # as many starts at once as a machine bears
                await asyncio.gather(*(copy.start() for copy in names[n : n + 5]))
        except BaseException:
            await self.__aexit__()
            raise
        self._callers = [asyncio.ensure_future(self._calls(copy)) for copy in names]
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._callers:
            task.cancel()
        await asyncio.gather(*self._callers, return_exceptions=True)
        await asyncio.gather(*(copy.end() for copy in self.copies.values()), return_exceptions=True)
        self.relay.stop()
        if self.streams is not None:
            await self.streams.stop()
        self.discovery.stop()
        for nodo in self._nodos:
            with suppress(AttributeError):
                nodo.server.close()
        self._temporary.cleanup()

    # ------------------------------------------------ callers

    async def _calls(self, copy: Copy) -> None:
        rng, count = Random(f"{self.seed}/{copy.name}"), 0
        while True:
            await copy.up.wait()
            if self._ending:
                return
            count += 1
            cls = rng.choices([*CLASSES], (50, 25, 25))[0]
            await self._call(copy, cls, f"{copy.name}-{count}")
            await asyncio.sleep(rng.uniform(0.5, 1.5) * self._pause_s)

    async def _call(self, copy: Copy, cls: str, trace: str) -> None:
        """A connection of its own, so that no request crosses the end of a kept one."""
        caller, life = Caller(copy.listen), copy.life
        try:
            async with asyncio.timeout(PATIENCE_S):
                await caller.__aenter__()
        except (OSError, TimeoutError):
            return  # it goes down, or stands still: nobody has asked it anything
        if not copy.up.is_set() or copy.life != life:
            await caller.__aexit__()  # it was killed, or told to go, before anything was asked
            return
        more = {"Idempotency_Key": f"key-{trace}"} if cls == "publicar" else {}
        body = b"" if cls == "consulta" else b"abc"
        self.note(Asked(self.now_ms(), trace, copy.name, CLASSES[cls], DEADLINE_MS))
        caller.ask(cls, body, X_Trace_Id=trace, X_Expires_In_Ms=str(DEADLINE_MS), X_Customer="acme", **more)
        found = 0
        try:
            found = (await caller.answer()).status
        except (OSError, AssertionError, asyncio.IncompleteReadError, TimeoutError):
            pass
        finally:
            await caller.__aexit__()
        self.note(Answered(self.now_ms(), trace, found))

    async def quiet(self) -> None:
        """No caller asks any more, and each has its answer."""
        self._ending = True
        for copy in self.copies.values():
            copy.up.set()  # whoever waits for one that is down
        async with asyncio.timeout(2 * PATIENCE_S):
            await asyncio.gather(*self._callers)

    # ------------------------------------------------ faults

    async def play(self, plan: Plan) -> None:
        """All of a plan, until what it ends is up again."""
        began_ms = self.now_ms()
        under_way: list[asyncio.Task[None]] = []
        ready: dict[Fault, asyncio.Task[None]] = {}
        for step in plan.steps():
            await asyncio.sleep(max(0.0, (began_ms + step.at_ms - self.now_ms()) / 1000.0))
            if step.saves:
                self.copies[step.fault.who[0]].save()
            elif step.begins:
                ready[step.fault] = asyncio.ensure_future(self.begin(step.fault))
                under_way.append(ready[step.fault])
            else:
                before = ready.pop(step.fault)
                under_way.append(asyncio.ensure_future(self._end(step.fault, before)))
        await asyncio.sleep(max(0.0, (began_ms + plan.length_ms - self.now_ms()) / 1000.0))
        await asyncio.gather(*under_way)

    async def _end(self, fault: Fault, begun: asyncio.Task[None]) -> None:
        await begun
        await self.end(fault)

    async def begin(self, fault: Fault) -> None:
        if fault.kind is Kind.DISCOVERY:
            self.note(Hit(self.now_ms(), "", "discovery gone"))
            self.discovery.stop()
        elif fault.kind is Kind.STOP:
            self.copies[fault.who[0]].stop()
        elif fault.kind is Kind.KILL:
            await self.copies[fault.who[0]].kill()
        elif fault.kind is Kind.DRAIN:
            self.copies[fault.who[0]].drain()
        elif fault.kind is Kind.FULL:
            self.copies[fault.who[0]].fill()
        else:
            self.note(Hit(self.now_ms(), "", f"{fault.kind} begins"))
            self._of(fault).begin(fault)

    async def end(self, fault: Fault) -> None:
        if fault.kind is Kind.DISCOVERY:
            self.note(Hit(self.now_ms(), "", "discovery back"))
            await self.discovery.start()
        elif fault.kind is Kind.STOP:
            self.copies[fault.who[0]].go_on()
        elif fault.kind in (Kind.KILL, Kind.DRAIN, Kind.FULL):
            copy = self.copies[fault.who[0]]
            if fault.kind is Kind.FULL:  # a keeper votes no more before its next start
                copy.drain()
            await copy.ended()
            copy.change_disk(fault.disk)
            await copy.start()
        else:
            self.note(Hit(self.now_ms(), "", f"{fault.kind} ends"))
            self._of(fault).end(fault)

    def _of(self, fault: Fault) -> Air | Streams:
        """Who carries it out: faults of servers are about connections, those of copies about datagrams."""
        if self.streams is not None and set(fault.who) <= set(self.servers):
            return self.streams
        return self.relay.air

    @property
    def servers(self) -> tuple[str, ...]:
        """The upstreams' names, where their connections can have faults."""
        return tuple(nodo.name for nodo in self._nodos) if self.streams is not None else ()

    # ------------------------------------------------ what is seen

    async def all_there(self) -> None:
        """Until each copy counts all others as there."""
        others = len(self.copies) - 1
        await self._show(self.copies, "peers", f"{others}/{others}")

    async def all_vote(self) -> None:
        """Until each keeper votes. One that was started again does so when it has asked more than half of the others:
        before that, a cut may leave no majority."""
        await self._show(self.keepers, "owners_keeper", "voting")

    async def one_fails(self, name: str) -> None:
        """Until this keeper says that it votes no more."""
        await self._show([name], "owners_keeper", "failed")

    async def _show(self, names: Iterable[str], key: str, value: str) -> None:
        seen: dict[str, str] = {}
        try:
            async with asyncio.timeout(2 * PATIENCE_S):
                for name in names:
                    while seen.get(name) != value:
                        seen[name] = (await self.copies[name].status()).get(key, "")
                        await asyncio.sleep(0.05)
        except TimeoutError:
            raise AssertionError(f"never came: {key}={value} at each; {seen}") from None

    def owner(self, duty: str) -> tuple[str, int]:
        """The copy of the highest term that was told, and that term; ("", 0) where there is none."""
        found = [event for event in self.history if isinstance(event, Owned) and event.duty == duty]
        last = max(found, key=lambda event: event.term, default=None)
        return (last.copy, last.term) if last is not None else ("", 0)

    def taken(self, duty: str, after: int = 0, copies: Sequence[str] = ()) -> list[Taken]:
        """Effects of terms above `after`, at these copies or at any."""
        return [
            event
            for event in self.history
            if isinstance(event, Taken)
            and event.duty == duty
            and event.term > after
            and (not copies or event.copy in copies)
        ]
