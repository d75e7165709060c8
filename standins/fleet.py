"""Many real balancers on loopback, cycled by a seeded script under steady callers, with every effect in a ledger.

Each instance is a process of its own with a discovery of its own. The upstreams are shared, serve all three
effects, err, reset and turn away now and then, and write every effect down. What the callers were answered is
then held against the ledger.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from standins.manager import Manager, launch
from standins.peers import FakeDiscovery, FakeUpstream, Incoming, Talk, ok, read_answer, status
from standins.ports import free_port

GRACE_S = 1.5
SLACK_S = 0.5  # for a machine that is slow to read what it was told
DEADLINE_MS = 8_000
MEMORY_S = 4.0
ZONES = ("north", "south")

SETTINGS: dict[str, Any] = {
    "Categories": [
        {"Name": "consulta", "Effect": "read_like", "AimMs": 4000, "HardLimitMs": DEADLINE_MS, "Worth": 1},
        {
            "Name": "publicar",
            "Effect": "idempotency_key",
            "AimMs": 4000,
            "HardLimitMs": DEADLINE_MS,
            "Worth": 8,
            "Group": "zone",
            "MemorySpanMs": MEMORY_S * 1000,
        },
        {
            "Name": "traspaso",
            "Effect": "non_idempotent",
            "AimMs": 4000,
            "HardLimitMs": DEADLINE_MS,
            "Worth": 8,
        },
    ],
    "Tenants": [{"Name": "acme", "QuotaPerS": 1000, "Fraction": 1.0}],
    "Zones": list(ZONES),
    "MachineTypes": ["box"],
    "Tiers": ["front"],
    "Discovery": "pushed",
    "Guarantees": {
        "ColdShare": 0.3,
        "ColdMs": 3000,
        "DrainGraceMs": GRACE_S * 1000,
        "FallMultiple": 3,
        "FallMs": 1000,
    },
    "PolicyLimits": {
        "SendCap": 4,
        "MayCancel": True,
        "SecondCopies": True,
        "ConnIdleMs": 60000,
        "ConnectTimeoutMs": 2000,
        "RetryAfter": True,
        "MaxRetryAfterMs": 2000,
    },
    "Stats": {"How": "off", "Fields": []},
}


@dataclass
class Ledger:
    """What the upstreams did, and what they were sent that they should not have been."""

    unsafe: Counter[str] = field(default_factory=Counter)  # effects by request id
    keyed: Counter[str] = field(default_factory=Counter)  # effects by key
    faults: list[str] = field(default_factory=list)
    attempts: int = 0


class Nodo:
    """One upstream: serves in some milliseconds, and now and then errs, resets, or turns away unseen."""

    def __init__(self, name: str, zone: str, fleet: Fleet) -> None:
        self.name = name
        self.zone = zone
        self._fleet = fleet
        self._rng = Random(f"{fleet.seed}/{name}")
        self.started_ms = 0.0
        self.lifecycle = "active"
        self.server = FakeUpstream(self._serve, keep=False)

    def entry(self) -> dict[str, Any]:
        return self.server.entry(
            self.name, zone=self.zone, lifecycle=self.lifecycle, startedAtMs=self.started_ms
        )

    async def _serve(self, request: Incoming, talk: Talk) -> None:
        ledger = self._fleet.ledger
        ledger.attempts += 1
        trace = request.headers["x-trace-id"]
        instance = self._fleet.instances[int(trace.partition("-")[0])]
        told = instance.drained.get(self.name)
        if told is not None and time.monotonic() > told + GRACE_S + SLACK_S:
            ledger.faults.append(
                f"{trace}: sent to {self.name} {time.monotonic() - told:.2f} s after its drain"
            )
        dice = self._rng.random()
        if dice < 0.02:
            await talk.send(status(503, "X-Never-Ran: 1\r\n"))
            return
        if dice > 0.03:
            self._effect(request, trace)
        await asyncio.sleep(self._rng.uniform(0.002, 0.02))
        if dice < 0.04:  # with or without an effect: the balancer can't know
            talk.reset()
        elif dice < 0.06:
            await talk.send(status(500))
        else:
            await talk.send(ok(trace.encode()))

    def _effect(self, request: Incoming, trace: str) -> None:
        ledger = self._fleet.ledger
        cls = request.headers["x-qos"]
        if cls == "traspaso":
            ledger.unsafe[trace] += 1
        elif cls == "publicar":
            key = request.headers["idempotency-key"]
            now = time.monotonic()
            seen = self._fleet.remembered[self.zone]
            if now - seen.get(key, -MEMORY_S) >= MEMORY_S:
                seen[key] = now
                ledger.keyed[key] += 1
            while seen and now - next(iter(seen.values())) > 2 * MEMORY_S:
                del seen[next(iter(seen))]


class Instance:
    """One service: its files, its present process and its callers' view of it."""

    def __init__(self, number: int, fleet: Fleet) -> None:
        self.number = number
        self.fleet = fleet
        self.folder = Path(tempfile.mkdtemp(prefix=f"larkweir-{number}-", dir=fleet.folder))
        self.down = True  # not to be connected to: it is being restarted
        self.up = asyncio.Event()
        self.cycling = False
        self.killed = 0  # how often; what it held then may be lost
        self.pid = 0
        self.processes: list[asyncio.subprocess.Process] = []
        self.drained: dict[str, float] = {}  # when it was told, by upstream
        self.usage: list[
            tuple[int, int]
        ] = []  # descriptors and KiB resident, of each life that was looked at
        self.port = free_port()
        self._figure = 0

    async def start(self) -> None:
        self.manager = await Manager().start()
        self.discovery = FakeDiscovery([nodo.entry() for nodo in self.fleet.nodos])
        self.discovery.told = self._told
        await self.discovery.start()
        await self.launch()

    def _told(self, rows: list[dict[str, Any]]) -> None:
        for row in rows:
            if row["lifecycle"] == "active":
                self.drained.pop(row["instanceId"], None)
            else:
                self.drained.setdefault(row["instanceId"], time.monotonic())

    def write(self) -> None:
        """A file that differs from the last in a figure that may change live."""
        self._figure += 1
        data = {
            "name": f"n{self.number}",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": f"{self.number + 1:x}",
            "limits": {"cores": 1.0, "memory_mb": 64 + self._figure % 2, "sockets": 256},
            "settings": SETTINGS | {"OverShareWorth": 0.2 + 0.01 * (self._figure % 5)},
        }
        fresh = self.folder / "config.new"
        fresh.write_text(json.dumps(data))
        fresh.rename(self.folder / "config.json")
        (self.folder / "operator.toml").write_text(
            '[lifecycle]\nnotify = true\nreload = "whole"\nhandover = "signal"\nhandover_ready_ms = 60000.0\n'
        )

    async def launch(self) -> None:
        self.write()
        told = len(self.manager.words.all)
        env = {"GW_CONFIG": str(self.folder / "config.json"), "NOTIFY_SOCKET": self.manager.path}
        with (self.folder / "log").open("ab") as log:
            process = await launch(
                "run", "--operator", str(self.folder / "operator.toml"), env=env, log=log.fileno()
            )
        self.processes.append(process)
        self.pid = process.pid
        await self.manager.words.until("READY", "1", after=told)
        self.down = False
        self.up.set()

    def look(self) -> None:
        """Note what the present process holds."""
        with suppress(OSError, ValueError, IndexError):
            text = Path(f"/proc/{self.pid}/status").read_text()
            resident = int(text.partition("VmRSS:")[2].split()[0])
            self.usage.append((len(os.listdir(f"/proc/{self.pid}/fd")), resident))

    def send(self, number: signal.Signals, pid: int = 0) -> None:
        with suppress(ProcessLookupError):
            os.kill(pid or self.pid, number)

    async def gone(self, pid: int) -> None:
        for process in self.processes:
            if process.pid == pid:
                await process.wait()
                return
        while running(pid):
            await asyncio.sleep(0.01)

    # ------------------------------------------------ cycles

    async def reload(self) -> None:
        self.write()
        told = len(self.manager.words.all)
        self.send(signal.SIGHUP)
        at = await self.manager.words.until("RELOADING", after=told)
        await self.manager.words.until("READY", after=at)

    async def reload_often(self) -> None:
        told = len(self.manager.words.all)
        for _ in range(10):
            self.write()
            self.send(signal.SIGHUP)
            await asyncio.sleep(0.02)
        at = await self.manager.words.until("RELOADING", after=told)
        await self.manager.words.until("READY", after=at)
        await asyncio.sleep(0.2)

    async def hand_over(self, reload: bool = False) -> None:
        told = len(self.manager.words.all)
        before = self.pid
        self.send(signal.SIGUSR2)
        if reload:
            self.send(signal.SIGHUP)
        at = await self.manager.words.until("MAINPID", after=told)
        self.pid = int(self.manager.words.all[at]["MAINPID"])
        await self.gone(before)

    async def hand_over_and_reload(self) -> None:
        await self.hand_over(reload=True)

    async def restart(self, number: signal.Signals = signal.SIGTERM) -> None:
        self.down = True
        self.up.clear()
        if number == signal.SIGKILL:
            self.killed += 1
        before = self.pid
        self.send(number)
        await self.gone(before)
        await self.launch()

    async def kill(self) -> None:
        await self.restart(signal.SIGKILL)

    async def stop_in_handover(self) -> None:
        """SIGTERM just after SIGUSR2, to the life that hands over: it must end, and so must its successor."""
        self.down = True
        self.up.clear()
        before = self.pid
        self.send(signal.SIGUSR2)
        await asyncio.sleep(self.fleet.rng.uniform(0.0, 0.3))
        self.send(signal.SIGTERM)
        # Whoever has taken over by then was not told: the manager tells it too.
        await asyncio.sleep(0.3)
        for word in self.manager.words.all[-20:]:
            if "MAINPID" in word and int(word["MAINPID"]) != before:
                self.send(signal.SIGTERM, int(word["MAINPID"]))
                await self.gone(int(word["MAINPID"]))
        await self.gone(before)
        await self.launch()

    async def stop(self) -> None:
        self.down = True
        self.up.clear()
        self.send(signal.SIGTERM)
        await self.gone(self.pid)
        self.discovery.stop()
        self.manager.stop()


def running(pid: int) -> bool:
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


class SteadyCaller:
    """Asks one instance, one request after another, on a kept connection, as the platform's clients do."""

    def __init__(self, instance: Instance, number: int) -> None:
        self._instance = instance
        self._fleet = instance.fleet
        self._rng = Random(f"{self._fleet.seed}/{instance.number}/{number}")
        self._prefix = f"{instance.number}-{number}-"
        self._count = 0
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._fresh = False
        self._killed = instance.killed  # when the connection was made

    async def run(self) -> None:
        while not self._fleet.ending:
            await self._one()
            await asyncio.sleep(self._rng.uniform(0.5, 1.5) * self._fleet.pause_s)
        self._drop()

    def _drop(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        while True:
            await self._instance.up.wait()
            try:
                streams = await asyncio.open_connection("127.0.0.1", self._instance.port)
            except OSError as problem:
                if not self._instance.down:
                    self._fleet.refused.append(f"{self._prefix}: {problem}")
                await asyncio.sleep(0.02)
                continue
            self._fresh = True
            self._killed = self._instance.killed
            return streams

    async def _one(self) -> None:
        self._count += 1
        trace = f"{self._prefix}{self._count}"
        cls = self._rng.choices(("consulta", "publicar", "traspaso"), (60, 25, 15))[0]
        lines = [
            f"{'GET' if cls == 'consulta' else 'POST'} /api HTTP/1.1",
            "Host: api.internal",
            f"X-Trace-Id: {trace}",
            f"X-Qos: {cls}",
            "X-Customer: acme",
            f"X-Expires-In-Ms: {DEADLINE_MS}",
        ]
        if cls == "publicar":
            lines.append(f"Idempotency-Key: {trace}")
        if cls != "consulta":
            lines.append("Content-Length: 3")
        data = ("\r\n".join(lines) + "\r\n\r\n" + ("" if cls == "consulta" else "abc")).encode()
        report = self._fleet
        report.requests += 1
        begun = 0.0
        in_cycle = self._instance.cycling
        for resend in (False, True):
            if self._streams is None:
                self._streams = await self._connect()
            reader, writer = self._streams
            reused = not self._fresh
            begun = (
                begun or time.monotonic()
            )  # a connection that had to wait for a restart is no answer's time
            try:
                writer.write(data)
                answer = await read_answer(reader)
            except (OSError, AssertionError, asyncio.IncompleteReadError, TimeoutError) as problem:
                self._drop()
                if self._killed != self._instance.killed:
                    report.lost_to_kill += 1
                    return
                if reused and not resend and not isinstance(problem, TimeoutError):
                    # The connection was closed between requests, as the protocol allows: once more, with the
                    # same id, on a new one. Had the balancer taken it, the ledger would show it twice.
                    report.resent += 1
                    continue
                report.lost.append(f"{trace} ({cls}): {problem!r}")
                return
            self._fresh = False
            if answer.headers.get("connection", "").lower() == "close":
                self._drop()
            spent = (time.monotonic() - begun) * 1000.0
            (report.in_cycle_ms if in_cycle or self._instance.cycling else report.calm_ms).append(spent)
            report.judge(trace, cls, answer.status, answer.body, spent)
            return


class Fleet:
    """The rig. `run` plays the script; `faults` then lists every broken promise."""

    KINDS: tuple[tuple[str, int], ...] = (
        ("reload", 6),
        ("reload_often", 2),
        ("hand_over", 6),
        ("hand_over_and_reload", 2),
        ("restart", 4),
        ("stop_in_handover", 2),
        ("kill", 2),
    )

    def __init__(self, instances: int, nodos: int, callers: int, pause_s: float, seed: int) -> None:
        self.seed = seed
        self.rng = Random(seed)
        self.pause_s = pause_s
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = self._temporary.name
        self.ledger = Ledger()
        self.remembered: dict[str, dict[str, float]] = {zone: {} for zone in ZONES}
        self.nodos = [Nodo(f"s{n}", ZONES[n % len(ZONES)], self) for n in range(nodos)]
        self.instances = [Instance(n, self) for n in range(instances)]
        self._callers = callers
        self.ending = False
        self.requests = 0
        self.resent = 0
        self.lost_to_kill = 0
        self.lost: list[str] = []
        self.refused: list[str] = []
        self.answers: Counter[int] = Counter()
        self.cycles: Counter[str] = Counter()
        self.in_cycle_ms: list[float] = []
        self.calm_ms: list[float] = []
        self.wrong: list[str] = []
        self._refused_ids: list[tuple[str, str]] = []

    def judge(self, trace: str, cls: str, code: int, body: bytes, spent_ms: float) -> None:
        """One final answer."""
        self.answers[code] += 1
        if code == 200 and body != trace.encode():
            self.wrong.append(f"{trace}: answered with {body[:60]!r}")
        if code in (429, 503) and cls != "consulta":
            self._refused_ids.append((trace, cls))
        if code not in (200, 429, 500, 502, 503, 504):
            self.wrong.append(f"{trace}: answered {code}")
        if spent_ms > DEADLINE_MS + 1000.0:
            self.wrong.append(f"{trace}: answered after {spent_ms:.0f} ms")

    def faults(self) -> list[str]:
        """Every broken promise, in words; none if all were kept."""
        found = [f"lost without an answer: {item}" for item in self.lost]
        found += [f"refused a connection while in service: {item}" for item in self.refused]
        found += [f"twice: {trace} took effect {n} times" for trace, n in self.ledger.unsafe.items() if n > 1]
        found += [f"twice: key {key} took effect {n} times" for key, n in self.ledger.keyed.items() if n > 1]
        for trace, cls in self._refused_ids:
            ran = self.ledger.unsafe if cls == "traspaso" else self.ledger.keyed
            if ran[trace]:
                found.append(f"refused what ran: {trace} ({cls})")
        found += [f"drain: {item}" for item in self.ledger.faults]
        found += [f"wrong answer: {item}" for item in self.wrong]
        for instance in self.instances:
            for line in (instance.folder / "log").read_text(errors="replace").splitlines():
                if "Traceback" in line or ("Error" in line and "discovery" not in line):
                    found.append(f"log: {line[:300]}")
        return found

    async def start(self) -> None:
        for nodo in self.nodos:
            await nodo.server.start()
        # A few at a time: thirty at once would only wait for the processors.
        gate = asyncio.Semaphore(4)

        async def one(instance: Instance) -> None:
            async with gate:
                await instance.start()

        await asyncio.gather(*(one(instance) for instance in self.instances))

    async def run(
        self, cycles: int, at_once: int = 4, say: Callable[[str], None] = lambda text: None
    ) -> None:
        """Play so many cycles, `at_once` side by side, each on another instance, and let all settle."""
        callers = [SteadyCaller(it, n) for it in self.instances for n in range(self._callers)]
        tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
        await asyncio.sleep(1.0)
        for instance in self.instances:
            instance.look()
        names, weights = zip(*self.KINDS, strict=True)
        plan = [self.rng.choices(names, weights)[0] for _ in range(cycles)]
        free = list(self.instances)
        self.rng.shuffle(free)

        async def worker() -> None:
            while plan:
                kind = plan.pop()
                instance = free.pop(0)
                instance.cycling = True
                act: Callable[[], Awaitable[None]] = getattr(instance, kind)
                try:
                    async with asyncio.timeout(60.0):
                        await act()
                    self.cycles[kind] += 1
                except TimeoutError:
                    self.wrong.append(f"{kind} of instance {instance.number} never ended")
                instance.cycling = False
                free.append(instance)
                done = sum(self.cycles.values())
                if done % 100 == 0:
                    say(f"{done} cycles, {self.requests} requests, {len(self.lost)} lost")

        drains = asyncio.ensure_future(self._drains())
        await asyncio.gather(*(worker() for _ in range(at_once)))
        drains.cancel()
        await asyncio.sleep(1.0)
        self.ending = True
        await asyncio.gather(*tasks)
        for instance in self.instances:
            instance.look()

    async def _drains(self) -> None:
        """Upstreams leave and come back, one at a time, the second time cold."""
        while True:
            nodo = self.rng.choice(self.nodos)
            nodo.lifecycle = "leaving"
            self._change(nodo)
            await asyncio.sleep(GRACE_S + SLACK_S + 1.0)
            nodo.lifecycle, nodo.started_ms = "active", time.time() * 1000.0
            self._change(nodo)
            await asyncio.sleep(1.0)

    def _change(self, nodo: Nodo) -> None:
        for instance in self.instances:
            instance.discovery.change(nodo.entry())
            del instance.discovery.changes[:-64]

    async def stop(self) -> None:
        async def one(instance: Instance) -> None:
            with suppress(Exception):
                async with asyncio.timeout(30.0):
                    await instance.stop()

        await asyncio.gather(*(one(instance) for instance in self.instances))
        for instance in self.instances:
            for process in instance.processes:
                if process.returncode is None:
                    process.kill()
            if running(instance.pid):
                instance.send(signal.SIGKILL)
        for nodo in self.nodos:
            nodo.server.close()

    def close(self) -> None:
        self._temporary.cleanup()

    def usage(self) -> dict[str, tuple[float, float]]:
        """Means of descriptors and MiB resident, before the first cycle and after the last."""
        columns: dict[str, list[tuple[int, int]]] = defaultdict(list)
        for instance in self.instances:
            if len(instance.usage) >= 2:
                columns["before"].append(instance.usage[0])
                columns["after"].append(instance.usage[-1])
        return {
            name: (sum(d for d, _ in rows) / len(rows), sum(k for _, k in rows) / len(rows) / 1024.0)
            for name, rows in columns.items()
        }
