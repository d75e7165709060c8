"""Three tiers of real balancers that capture, with uneven load, peers, owners, and what became of their traces.

Services are those of the chain: they hand on what comes with a request, and give back what comes with its answer. Each
datagram between balancers goes by a relay that can be cut.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable
from random import Random
from typing import Any, NamedTuple

from standins.chain import Chain
from standins.peers import PATIENCE_S
from standins.plans import Fault, Kind
from standins.ports import free_port
from standins.together import Relayed

KINDS = (("consulta", 90), ("publicar", 8), ("traspaso", 2))  # and of how many in a hundred requests


class Line(NamedTuple):
    """One line of one hop's files."""

    at_ms: float
    size: int
    client: str
    why: str
    weight: float
    record: dict[str, Any]


class Hops(Chain):
    """The rig. `captures`, `peers` and `owners` are rows of these tables; without `peers` that part is off, and without
    `owners` there is no coordinator."""

    def __init__(
        self,
        each: int,
        seed: int,
        captures: dict[str, Any],
        peers: dict[str, Any] | None = None,
        owners: dict[str, Any] | None = None,
        by_tier: dict[int, dict[str, Any]] | None = None,
        gives_back: bool = True,
        **more: Any,
    ) -> None:
        """`by_tier`: rows of `[captures]` that differ there. `gives_back`: services give back what comes with an
        answer.
        """
        super().__init__(each=each, seed=seed, aim_ms=1000.0, deadline_ms=2000.0, **more)
        self.rng = Random(f"{seed}/hops")
        self.weights = [20.0 ** (-n / max(1, each - 1)) for n in range(each)]  # 20 to 1
        self.captures, self.peers, self.owners = captures, peers, owners
        self._by_tier = by_tier or {}
        if not gives_back:
            self.back = tuple(name for name in self.back if name != "x-capture")
        self.hops: dict[str, set[str]] = defaultdict(set)  # by client's request: who has answered for it
        self.asked: dict[str, tuple[float, str]] = {}  # when it was, and its class
        self.codes: dict[str, int] = {}
        self.down: set[str] = set()
        self.relay = Relayed(Random(f"{seed}/relay"))
        self._own: dict[str, tuple[str, int]] = {}
        self.public: dict[str, str] = {}
        self._controls: dict[str, int] = {}

    @property
    def names(self) -> list[str]:
        return [self.name(tier, n) for tier in range(self.tiers) for n in range(self.each)]

    async def __aenter__(self) -> Hops:
        for name in self.names:
            self._own[name] = ("127.0.0.1", free_port())
            self._controls[name] = free_port()
            host, port = await self.relay.join(name, self._own[name])
            self.public[name] = f"{host}:{port}"
        await super().__aenter__()
        return self

    async def __aexit__(self, *error: object) -> None:
        await super().__aexit__(*error)
        self.relay.stop()

    def more(self, tier: int, n: int) -> dict[str, Any]:
        return {"control": f"127.0.0.1:{self._controls[self.name(tier, n)]}"}

    def tables(self, tier: int, n: int) -> str:
        name = self.name(tier, n)
        rows: dict[str, dict[str, Any]] = {
            "captures": {"on": True, "path": str(self.folder / f"{name}.jsonl")}
            | self.captures
            | self._by_tier.get(tier, {})
        }
        if self.peers is not None:
            host, port = self._own[name]
            listed = {"listen": f"{host}:{port}", "name": self.public[name], "peers": [*self.public.values()]}
            rows["peers"] = {"on": True} | listed | self.peers
        if self.owners is not None:
            keepers = [self.public[name] for name in self.names[:: self.each]]
            folder = str(self.folder / f"{name}.keeper")
            rows["owners"] = {
                "on": True,
                "keepers": keepers,
                "folder": folder,
                "duties": ["captures"],
            } | self.owners
        return "".join(
            f"[{table}]\n" + "".join(f"{key} = {json.dumps(value)}\n" for key, value in row.items())
            for table, row in rows.items()
        )

    def place(self, tier: int) -> int:
        there = [n for n in range(self.each) if self.name(tier, n) not in self.down]
        return self.rng.choices(there, [self.weights[n] for n in there])[0]

    def answered(self, tier: int, n: int, headers: dict[str, str]) -> None:
        self.hops[headers["x-trace-id"].partition(".")[0]].add(self.name(tier, n))

    # ------------------------------------------------ load and faults

    async def load(self, seconds: float, per_s: float) -> None:
        """Requests at random; all have their answers when it returns."""
        loop = asyncio.get_running_loop()
        begun, due = loop.time(), 0.0
        tasks = []
        while (due := due + self.rng.expovariate(per_s)) < seconds:
            await asyncio.sleep(max(0.0, begun + due - loop.time()))
            cls = self.rng.choices([name for name, _ in KINDS], [part for _, part in KINDS])[0]
            number = self.seed * 1_000_000 + len(self.asked)  # of each seed others: verdicts go by the id
            tasks.append(asyncio.ensure_future(self._one(number, cls)))
            self.asked[f"c{number}"] = (loop.time(), cls)
        await asyncio.gather(*tasks)

    async def _one(self, number: int, cls: str) -> None:
        try:
            async with asyncio.timeout(PATIENCE_S):
                self.codes[f"c{number}"] = (await self.client(number, cls)).status
        except (OSError, AssertionError, TimeoutError, asyncio.IncompleteReadError):
            self.codes[f"c{number}"] = 0  # its balancer was killed

    async def kill(self, name: str) -> None:
        self.down.add(name)
        process = self.processes[self.names.index(name)]
        os.kill(process.pid, signal.SIGKILL)
        await process.wait()

    def cut(self, name: str) -> Fault:
        """Nothing passes between it and all others, until `heal`."""
        others = tuple(other for other in self.names if other != name)
        fault = Fault(Kind.CUT, 0.0, 0.0, (name,), others)
        self.relay.air.begin(fault)
        return fault

    def heal(self, fault: Fault) -> None:
        self.relay.air.end(fault)

    async def status(self, name: str) -> dict[str, str]:
        try:
            async with asyncio.timeout(5.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self._controls[name])
                writer.write(b"STATUS\n")
                line = (await reader.read()).decode()
                writer.close()
        except (OSError, TimeoutError):
            return {}
        return dict(pair.partition("=")[::2] for pair in line.split() if "=" in pair)

    async def shows(self, names: Iterable[str], key: str, true: Any, what: str) -> dict[str, str]:
        """Until STATUS of each says so; the values."""
        seen: dict[str, str] = {}
        try:
            async with asyncio.timeout(2 * PATIENCE_S):
                for name in names:
                    while not true(seen.get(name, "")):
                        seen[name] = (await self.status(name)).get(key, "")
                        await asyncio.sleep(0.05)
        except TimeoutError:
            raise AssertionError(f"never came: {what}: {seen}; {self.log()[-2000:]}") from None
        return seen

    async def coordinator(self, but: str = "") -> str:
        """Who owns the rates, as the first that lives tells; none that is `but`."""
        by = {public: name for name, public in self.public.items()}

        def owner(value: str) -> str:
            row = value.split(":")  # captures:PHASE:HOST:PORT:TERM.NUMBER
            return by.get(":".join(row[2:4]), "") if len(row) == 5 else ""

        asked = next(name for name in self.names if name not in self.down and name != but)
        found = await self.shows([asked], "owners", lambda value: owner(value) not in ("", but), "an owner")
        return owner(found[asked])

    # ------------------------------------------------ what was captured

    def lines(self, name: str) -> list[Line]:
        """All lines of a hop, the oldest first. The last of a killed one may be torn."""
        paths = sorted(self.folder.glob(f"{name}.jsonl*"), key=lambda path: path.suffix, reverse=True)
        found = []
        for path in (path for path in paths if path.suffix != ".lock"):
            for line in path.read_bytes().splitlines(keepends=True):
                if line.endswith(b"\n"):
                    read = json.loads(line)
                    client = read["trace"].partition(".")[0]
                    row = Line(
                        read["mono_ms"], len(line), client, read["why"], read["weight"], read["record"]
                    )
                    found.append(row)
        return found

    def whole(self, since_s: float = 0.0, until_s: float = float("inf")) -> tuple[int, int]:
        """Of traces that were drawn, asked between these times of the loop: how many have a drawn line of each hop that
        answered for them and lives, and how many there are."""
        drawn: dict[str, set[str]] = defaultdict(set)
        for name in self.names:
            for line in self.lines(name):
                if line.weight and line.client in self.asked:
                    drawn[line.client].add(name)
        counted = [client for client in drawn if since_s <= self.asked[client][0] < until_s]
        return sum(drawn[client] >= self.hops[client] - self.down for client in counted), len(counted)

    def passed(self, records_per_s: float, bytes_per_s: float) -> int:
        """Windows of a second, each ending with a line, that hold more than so much."""
        over = 0
        for name in self.names:
            rows = sorted((line.at_ms, line.size) for line in self.lines(name))
            sums = [0]
            for _, size in rows:
                sums.append(sums[-1] + size)
            times = [at for at, _ in rows]
            for end, at in enumerate(times):
                begin = bisect_left(times, at - 999.9)  # times are written in tenths
                over += end + 1 - begin > records_per_s or sums[end + 1] - sums[begin] > bytes_per_s
        return over
