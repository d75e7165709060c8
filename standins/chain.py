"""A chain of tiers: real balancers, each tier's nodos calling the next tier through it, as `frente` calls `indice`.

A nodo relays what its request carries (time, budget, worth, path) and gives back what came; the last tier's write every
attempt and effect to a ledger, under the client's request. Faults come by a seed.
"""

from __future__ import annotations

import asyncio
import json
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from random import Random
from typing import Any

from standins.manager import launch
from standins.peers import (
    PATIENCE_S,
    Answer,
    FakeDiscovery,
    FakeUpstream,
    Incoming,
    Talk,
    ok,
    read_answer,
    status,
)
from standins.ports import free_port

PASSED = (
    "x-qos",
    "x-customer",
    "x-budget",
    "x-budget-worth",
    "x-budget-path",
    "x-capture",
    "idempotency-key",
    "x-second-try",
)
BACK = ("x-budget-spent", "x-budget-loop", "x-never-ran", "x-capture")
WORTH = {"consulta": 1, "publicar": 8, "traspaso": 8}


def settings(tier: int, tiers: int, aim_ms: float, deadline_ms: float) -> dict[str, Any]:
    base = {"AimMs": aim_ms, "HardLimitMs": deadline_ms}
    keyed = {"Effect": "idempotency_key", "Group": "all", "MemorySpanMs": 4000}
    return {
        "Categories": [
            base | {"Name": "consulta", "Effect": "read_like", "Worth": 1},
            base | {"Name": "publicar", "Worth": 8} | keyed,
            base | {"Name": "traspaso", "Effect": "non_idempotent", "Worth": 8},
        ],
        "Tenants": [{"Name": "acme", "QuotaPerS": 100_000, "Fraction": 1.0}],
        "Zones": ["north"],
        "MachineTypes": ["box"],
        "Tiers": [f"t{n}" for n in range(tiers)],
        "Tier": tier,
        "Discovery": "pushed",
        "Guarantees": {
            "ColdShare": 0.3,
            "ColdMs": 100,
            "DrainGraceMs": 500,
            "FallMultiple": 3,
            "FallMs": 1000,
        },
        "PolicyLimits": {
            "SendCap": 4,
            "MayCancel": True,
            "SecondCopies": True,
            "ConnIdleMs": 60000,
            "ConnectTimeoutMs": 500,
            "RetryAfter": True,
            "MaxRetryAfterMs": 2000,
        },
        "Stats": {"How": "off", "Fields": []},
    }


class Ledger:
    """What the last tier saw, by the client's request."""

    def __init__(self) -> None:
        self.attempts: Counter[str] = Counter()
        self.effects: Counter[str] = Counter()
        self.passes: Counter[tuple[str, int]] = Counter()  # attempts at each tier
        self.expires: list[int] = []  # time left as the last tier was told


class Nodo:
    """One upstream of a tier."""

    def __init__(self, rig: Chain, tier: int, name: str) -> None:
        self._rig = rig
        self._tier = tier
        self.name = name
        self._rng = Random(f"{rig.seed}/{name}")
        self._calls = 0
        self._queue = 0
        self._free_at = 0.0
        self.server = FakeUpstream(self._serve, keep=False)

    async def _serve(self, request: Incoming, talk: Talk) -> None:
        rig = self._rig
        client = request.headers["x-trace-id"].partition(".")[0]
        rig.ledger.passes[client, self._tier] += 1
        if self._tier < rig.tiers - 1 or rig.ring:
            await self._relay(request, talk)
            return
        rig.ledger.attempts[client] += 1
        rig.ledger.expires.append(int(request.headers["x-expires-in-ms"]))
        dice = self._rng.random()
        now = time.monotonic()
        if rig.work_s:  # one at a time, with a short queue
            self._free_at = max(self._free_at, now)
            if self._free_at - now > 8 * rig.work_s:
                await talk.send(status(503, "X-Never-Ran: 1\r\n"))
                return
            self._free_at += rig.work_s
            await asyncio.sleep(self._free_at - now)
        if dice < rig.errors:
            kind = self._rng.random()
            if kind < 0.5:
                await talk.send(status(500))
            elif kind < 0.7:
                await talk.send(status(503, "X-Never-Ran: 1\r\n"))
            elif kind < 0.85:
                rig.ledger.effects[client] += 1
                talk.reset()
            else:
                await asyncio.sleep(rig.stall_s)
                talk.reset()
            return
        rig.ledger.effects[client] += 1
        await talk.send(ok(client.encode()))

    async def _relay(self, request: Incoming, talk: Talk) -> None:
        rig = self._rig
        self._calls += 1
        headers = {name: value for name, value in request.headers.items() if name in PASSED}
        if rig.strips:
            headers = {k: v for k, v in headers.items() if not k.startswith("x-budget")}
        headers["x-trace-id"] = f"{request.headers['x-trace-id']}.{self.name}-{self._calls}"
        headers["x-expires-in-ms"] = request.headers["x-expires-in-ms"]
        target = (self._tier + 1) % rig.tiers
        try:
            for n in range(rig.copies):
                headers["x-trace-id"] = f"{request.headers['x-trace-id']}.{self.name}-{self._calls}-{n}"
                answer = await rig.ask(target, request.method, headers, request.body)
                if answer.status != 200:
                    break
            if self._tier == 0:
                await asyncio.sleep(rig.late_s)
        except (OSError, AssertionError, TimeoutError, asyncio.IncompleteReadError):
            await talk.send(status(500))
            return
        back = "".join(f"{name}: {answer.headers[name]}\r\n" for name in rig.back if name in answer.headers)
        if answer.status == 200:
            await talk.send(ok(answer.body, back))
        elif answer.status in (503, 504) and "x-never-ran" in answer.headers:
            await talk.send(status(503, back))
        else:
            await talk.send(status(500, back))


class Chain:
    """The rig: `tiers` balancers with `nodos` upstreams each. In a `ring` the last tier calls the first."""

    def __init__(
        self,
        tiers: int = 3,
        nodos: int = 3,
        seed: int = 1,
        budget: bool = True,
        errors: float = 0.0,
        stall_s: float = 0.2,
        work_s: float = 0.0,
        ring: bool = False,
        strips: bool = False,
        copies: int = 1,
        late_s: float = 0.0,
        trust: Sequence[str] = ("127.0.0.0/8",),
        aim_ms: float = 3000.0,
        deadline_ms: float = 4000.0,
        options: str = "",
        each: int = 1,
    ) -> None:
        """`each`: balancers in each tier."""
        self.each = each
        self.tiers, self.seed, self.budget = tiers, seed, budget
        self.errors, self.stall_s, self.work_s = errors, stall_s, work_s
        self.ring, self.strips = ring, strips
        self.back = BACK  # what a nodo gives back
        self.copies = copies  # calls that a nodo makes for a request, each with the whole of what came
        self.late_s = late_s  # for which the first tier's nodos keep an answer back
        self._trust, self._options = trust, options
        self._aim_ms, self._deadline_ms = aim_ms, deadline_ms
        self.ledger = Ledger()
        self.nodos = [[Nodo(self, tier, f"t{tier}n{n}") for n in range(nodos)] for tier in range(tiers)]
        self.ports: dict[tuple[int, int], int] = {}  # by tier and place there
        self.processes: list[asyncio.subprocess.Process] = []
        self._discoveries: list[FakeDiscovery] = []
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self._idle: dict[tuple[int, int], list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}

    async def __aenter__(self) -> Chain:
        try:
            await self._begin()
        except BaseException:
            await self.__aexit__()  # nothing that was started stays
            raise
        return self

    async def _begin(self) -> None:
        for row in self.nodos:
            for nodo in row:
                await nodo.server.start()
        for tier in range(self.tiers):
            discovery = await FakeDiscovery(
                [nodo.server.entry(nodo.name) for nodo in self.nodos[tier]]
            ).start()
            self._discoveries.append(discovery)
            for n in range(self.each):
                self.ports[tier, n], self._idle[tier, n] = free_port(), []
                self.processes.append(await self._start(tier, n))
        for tier, n in self.ports:
            async with asyncio.timeout(PATIENCE_S):
                while True:
                    try:
                        if (await self._ask_at((tier, n), "GET", {}, b"", "/ready")).status == 200:
                            break
                    except OSError:
                        pass
                    await asyncio.sleep(0.01)

    async def _start(self, tier: int, n: int) -> asyncio.subprocess.Process:
        data = {
            "name": self.name(tier, n),
            "listen": f"127.0.0.1:{self.ports[tier, n]}",
            "discovery": f"127.0.0.1:{self._discoveries[tier].port}",
            "seed": f"{self.seed * 10 + tier + 1000 * n:x}",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
            "settings": settings(tier, self.tiers, self._aim_ms, self._deadline_ms),
        }
        config = self.folder / f"{self.name(tier, n)}.json"
        config.write_text(json.dumps(data | self.more(tier, n)))
        operator = self.folder / f"{self.name(tier, n)}.toml"
        operator.write_text(
            f"[budget]\non = {json.dumps(self.budget)}\ntrust = {json.dumps(list(self._trust))}\n{self._options}\n"
            + self.tables(tier, n)
        )
        with (self.folder / f"{self.name(tier, n)}.log").open("ab") as log:
            return await launch(
                "run", "--operator", str(operator), env={"GW_CONFIG": str(config)}, log=log.fileno()
            )

    def name(self, tier: int, n: int) -> str:
        return f"b{tier}" if self.each == 1 else f"b{tier}.{n}"

    def more(self, tier: int, n: int) -> dict[str, Any]:
        """Rows of a balancer's platform file beside those of every chain."""
        return {}

    def tables(self, tier: int, n: int) -> str:
        """Tables of its operator file, likewise."""
        return ""

    def place(self, tier: int) -> int:
        """Which of a tier's balancers the next request goes to."""
        return 0

    def answered(self, tier: int, n: int, headers: dict[str, str]) -> None:
        """A request that a balancer has answered, and the headers that it came with."""

    async def __aexit__(self, *_: object) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        for row in self._idle.values():
            for _, writer in row:
                writer.close()
        for discovery in self._discoveries:
            discovery.stop()
        for nodos in self.nodos:
            for nodo in nodos:
                nodo.server.close()
        self._temporary.cleanup()

    def log(self) -> str:
        return "".join(path.read_text() for path in sorted(Path(self._temporary.name).glob("*.log")))

    async def ask(
        self, tier: int, method: str, headers: dict[str, str], body: bytes, target: str = "/api"
    ) -> Answer:
        """One request to a tier's balancer, on a kept connection; a new one if that was closed meanwhile."""
        at = tier, self.place(tier)
        answer = await self._ask_at(at, method, headers, body, target)
        self.answered(*at, headers)
        return answer

    async def _ask_at(
        self, at: tuple[int, int], method: str, headers: dict[str, str], body: bytes, target: str = "/api"
    ) -> Answer:
        for second in (False, True):
            kept = self._idle[at]
            fresh = second or not kept
            if fresh:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[at])
            else:
                reader, writer = kept.pop()
            lines = [f"{method} {target} HTTP/1.1", "Host: api.internal"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            try:
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                answer = await read_answer(reader)
            except (OSError, AssertionError, asyncio.IncompleteReadError):
                writer.close()
                if fresh:
                    raise
                continue
            except BaseException:
                writer.close()
                raise
            if answer.headers.get("connection", "").lower() == "close":
                writer.close()
            else:
                kept.append((reader, writer))
            return answer
        raise AssertionError("unreachable")

    async def client(
        self, number: int, cls: str = "consulta", budget: int | None = None, tier: int = 0, **more: str
    ) -> Answer:
        """One client's request, under an id of its own."""
        headers = {
            "x-trace-id": f"c{number}",
            "x-qos": cls,
            "x-customer": "acme",
            "x-expires-in-ms": str(int(self._deadline_ms)),
        }
        if budget is not None:
            headers["x-budget"] = str(budget)
        if cls == "publicar":
            headers["idempotency-key"] = f"k{number}"
        headers |= {name.replace("_", "-"): value for name, value in more.items()}
        method = "GET" if cls == "consulta" else "POST"
        return await self.ask(tier, method, headers, b"" if method == "GET" else b"abc")
