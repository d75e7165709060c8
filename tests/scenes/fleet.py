"""Several real balancers that are peers on loopback, and owners where the scene says so."""

from __future__ import annotations

import asyncio
import json
import re
import signal
from typing import Any

from standins.actors import Server
from standins.peers import PATIENCE_S
from standins.ports import free_port
from standins.relay import Relay
from tests.scenes.stage import Balancer, Scene

# What is seen of peers and owners goes by the clock in the main, so a scene asks STATUS for what it is about.
_THE = {
    "drill": "the drill",
    "verdicts": "the verdicts",
    "ramps": "the ramps",
    "captures": "the thresholds of captures",
}
BY_THE_CLOCK = (
    "discovery: silent",
    "discovery: answers again",
    "reload: discovery is",
    "peers: ",
    "owners: keeper: ",
)
TAKEN = re.compile(r"owners: \w+ (\d+)\.(\d+) taken$")
# Whoever has stood still finds that out by its timer or by a datagram, whichever comes first.
RATES = re.compile(r"(the fleet saw that it fails more: ).*$")  # what had come by then goes by the clock
PROPOSALS = re.compile(r"(edits: .*?) \((.*)\)$")
LATE = re.compile(r"(owners: drill given up: )(?:<n> ms late|\S+ has it)$")


class Member(Balancer):
    """A balancer with peers. What it says of effects is kept apart: how many there are goes by the clock."""

    def __init__(self, scene: Scene, name: str, files: str = "", control: bool = True) -> None:
        super().__init__(scene, name, files, control)
        self.by_the_clock = BY_THE_CLOCK
        self.fleet: Fleet
        self.address = ""
        self._stood = False  # it was stopped in this scene
        self.parts: list[float] = []  # of the canary, as STATUS had them
        self.taken: list[tuple[int, int]] = []  # effects, in the order of its log

    def _comes_by_the_clock(self, line: str) -> bool:
        if found := TAKEN.match(line):
            self.taken.append((int(found[1]), int(found[2])))
            return True
        return super()._comes_by_the_clock(line)

    async def _status(self) -> dict[str, str]:
        async with asyncio.timeout(PATIENCE_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", self._control)
            writer.write(b"STATUS\n")
            line = (await reader.read()).decode()
            writer.close()
        return dict(pair.partition("=")[::2] for pair in line.split() if "=" in pair)

    async def looks(self, **wanted: str) -> None:
        """STATUS again and again, until these keys have these values. A value that ends in `:` or `.` is the
        beginning of one; `drop_CAUSE` is the count of one cause in `peers_dropped`.
        """
        found: dict[str, str] = {}
        try:
            async with asyncio.timeout(PATIENCE_S):
                while not all(
                    _is(found.get(key, "0" if found else ""), value) for key, value in wanted.items()
                ):
                    await asyncio.sleep(0.05 if found else 0.0)
                    try:
                        found = await self._status()
                    except ConnectionError:  # a successor has the address when its predecessor has gone
                        found = {}
                        await asyncio.sleep(0.05)
                        continue
                    causes = (item.partition(":") for item in found.get("peers_dropped", "").split(","))
                    found |= {f"drop_{cause}": number for cause, _, number in causes}
        except TimeoutError:
            raise AssertionError(f"{self.name} never showed {wanted}: {found}") from None
        self.found = found

    async def shows(self, **wanted: str) -> None:
        """As `looks`, and told."""
        await self.looks(**wanted)
        self.script.line("operator", self.name, "STATUS")
        words = []
        for key in wanted:
            value = self.found.get(key, "0")
            if key == "owners":
                value = re.sub(r":(\d+)\.\d+$", lambda found: f":{self.fleet.term(int(found[1]))}.<n>", value)
            if key == "captures_table":
                value = f"{self.fleet.term(int(value.partition('.')[0]))}.<n>"
            if key == "edits_tables":
                value = self.fleet.mark(value)
            words.append(f"{key.replace('drop_', 'peers_dropped=... ')}={value}")
        self.script.line(self.name, "operator", " ".join(words))

    async def says(self, part: str) -> None:
        line = ""
        while part not in line:
            line = await self._log.take()
            if self._stood:
                line = LATE.sub(r"\1it stood still", line)
            line = PROPOSALS.sub(self._proposals, line)
            line = RATES.sub(r"\1<rates>", line)
            line = re.sub(
                r"(owned here, term )(\d+)", lambda found: found[1] + self.fleet.term(int(found[2])), line
            )
            self.script.line(self.name, "log", line)

    async def says_each(self, *parts: str) -> None:
        """One line with each of these words, told in this order: two of its processes write them, as they come."""
        missing, told = list(parts), dict.fromkeys(parts, "")
        while missing:
            line = await self._log.take()
            part = next((part for part in missing if part in line), None)
            if part is None:
                self.script.line(self.name, "log", line)  # an unexpected line shows in the text
                continue
            missing.remove(part)
            told[part] = line
        for line in told.values():
            self.script.line(self.name, "log", line)

    def _proposals(self, found: re.Match[str]) -> str:
        """Who says what, by their names here: the log has them by their addresses. Lives of writers are drawn."""
        said = re.sub(r"#[0-9a-f]{8}", "", found[2]).split("; ")
        return f"{found[1]} ({'; '.join(sorted(map(self.script.named, said)))})"

    def gets(self, number: signal.Signals, pid: int | None = None) -> None:
        self._stood = self._stood or number is signal.SIGSTOP
        super().gets(number, pid)

    def has_said(self, part: str) -> bool:
        """Whether a step could take such a line now."""
        return any(part in line for line in self._log.items)

    def forgets(self) -> None:
        """What its log has said until now is untold."""
        self._log.items.clear()

    async def has_taken(self, terms: int, more_than: int = 0) -> None:
        """The terms of the effects that it took, in the order of its log, once there are so many, and more effects
        than that; and whether each effect was above the one before.
        """
        async with asyncio.timeout(PATIENCE_S):
            while len({term for term, _ in self.taken}) < terms or len(self.taken) <= more_than:
                await asyncio.sleep(0.02)
        found = [self.fleet.term(term) for term in dict.fromkeys(term for term, _ in self.taken)]
        well = self.taken == sorted(set(self.taken))
        order = "each above the one before" if well else "OUT OF ORDER"
        self.script.line(self.name, "log", f"effects of {' and '.join(found)}, {order}")

    async def is_led(self) -> None:
        """Until it has heard of its owner for two beats, and so of what the owner does."""
        async with asyncio.timeout(PATIENCE_S):
            while True:
                await self.looks(owners_majority="1")
                if int(self.found["owners"].rpartition(".")[2]) >= 3:
                    break
                await asyncio.sleep(0.1)

    async def grows(self, least: float) -> None:
        """Until its part of the canary is so large; and whether it ever was smaller than before."""
        async with asyncio.timeout(PATIENCE_S):
            while not self.parts or self.parts[-1] < least:
                await self.looks(routes="1")
                self.parts.append(float(re.findall(r"c:([\d.]+)", self.found["parts"])[0]))
                await asyncio.sleep(0.05)
        order = "no step back" if self.parts == sorted(self.parts) else f"A STEP BACK: {self.parts}"
        self.script.line(self.name, "operator", f"the canary has {least:.0%} or more, {order}")

    async def reloads(self, old: str, new: str, edits: int = 0) -> None:
        """The operator's file with one passage changed, and SIGHUP. `edits`: so many are made of it."""
        text = self.operator_path.read_text()
        assert old in text
        self.operator_path.write_text(text.replace(old, new))
        said = "; ".join((new or old).strip().split("\n"))
        self.script.line("operator", self.name, f"its file says {'' if new else 'no more '}{said}")
        self._seen -= {line for line in self._seen if "of this reload" in line}
        self.gets(signal.SIGHUP)
        await self.tells("RELOADING")
        if edits:
            await self.says(f"edits: {edits} made of this reload")
        await self.tells("READY")

    async def has_some(self) -> None:
        """Until it has taken an effect, of which nothing is told."""
        async with asyncio.timeout(PATIENCE_S):
            while not self.taken:
                await asyncio.sleep(0.02)

    async def takes_more(self, effects: int) -> None:
        """Until it has taken so many more."""
        async with asyncio.timeout(PATIENCE_S):
            wanted = len(self.taken) + effects
            while len(self.taken) < wanted:
                await asyncio.sleep(0.02)
        self.script.line(self.name, "log", f"{effects} more effects")


class Fleet:
    """All members; who has no part yet is called by its place, c0, c1 and so on."""

    def __init__(self, scene: Scene) -> None:
        self._scene = scene
        self.members: list[Member] = []
        self._terms: list[int] = []
        self._marks: list[str] = []
        self._waiting: list[tuple[str, str, str, tuple[Server, ...]]] = []  # not up yet

    async def start(self, *upstreams: Server, **more: Any) -> None:
        """All are up, one after the other. `more`: as for `plan`."""
        await self.plan(*upstreams, **more)
        await self.rest()

    async def plan(
        self,
        *upstreams: Server,
        names: tuple[str, ...] = ("c0", "c1", "c2"),
        more: tuple[str, ...] = (),
        relay: Relay | None = None,
        text: str | dict[str, str] = "",
        lifecycle: str = "",
        **tables: dict[str, Any],
    ) -> None:
        """Nobody is up yet. `tables`: rows of [peers], of [owners], with which all are keepers, of [edits] and
        [captures]. `more`: peers' addresses that others have. `relay`: all datagrams go through it. `text`: further
        tables, by name where they differ; `lifecycle`: further lines of [lifecycle].
        """
        own = [f"127.0.0.1:{free_port()}" for _ in names]
        addresses = own
        if relay is not None:
            addresses = [await _joined(relay, *it) for it in zip(names, own, strict=True)]
            self._scene.relays.append(relay)
        listed = [*addresses, *more]
        for name, listen, address in zip(names, own, addresses, strict=True):
            rows = {"peers": {"on": True, "listen": listen, "name": address, "peers": listed}}
            rows["peers"] |= tables.get("peers", {})
            if "owners" in tables:
                keeps = {"keepers": addresses, "folder": str(self._scene.folder / f"{name}-keeper")}
                rows["owners"] = {"on": True, "duties": ["drill"]} | keeps | tables["owners"]
            if "edits" in tables:
                rows["edits"] = {"on": True, "folder": str(self._scene.folder / f"{name}-edits")}
                rows["edits"] |= tables["edits"]
            if "captures" in tables:
                rows["captures"] = {"on": True, "path": str(self._scene.folder / f"{name}.jsonl")}
                rows["captures"] |= tables["captures"]
            more_text = text if isinstance(text, str) else text[name]
            self._waiting.append((name, address, lifecycle + written(rows) + more_text, upstreams))

    async def rest(self, up: int | None = None) -> None:
        """So many more are up, or all that were not."""
        rows, self._waiting = self._waiting[:up], self._waiting[len(self._waiting[:up]) :]
        for row in rows:
            self.members.append(await self._up(*row))

    async def _up(self, name: str, address: str, operator: str, upstreams: tuple[Server, ...]) -> Member:
        it = await self._scene.balancer_of(Member, *upstreams, name=name, operator=operator)
        it.fleet, it.address = self, address
        return it

    async def owned(self, *upstreams: Server, duty: str = "drill", **more: Any) -> Member:
        """Three are up, all are keepers, and all vote; whoever owns the duty. `more`: as for `plan`."""
        rows = {"lease_ms": 3000.0, "duties": [duty]} | more.pop("owners", {})
        await self.plan(*upstreams, owners=rows, **more)
        told = f"three start, all are keepers; the first owns {_THE[duty]}"
        with self._scene.script.untold("manager", "all", told):
            self.members += await asyncio.gather(*(self._up(*row) for row in self._waiting))
            self._waiting.clear()
            return await self.owner(duty)

    async def again(self, gone: Member, tells: str = "") -> Member:
        """A new life with the files of one that has ended. `tells`: lines that are told of it, beyond the usual."""
        it = Member(self._scene, gone.name)
        it.by_the_clock = tuple(part for part in BY_THE_CLOCK if part != tells)
        it.port, it.fleet, it.address = gone.port, self, gone.address
        await it.begin()
        await self._scene.discovery.takes()
        self.members[self.members.index(gone)] = it
        return it

    async def owner(self, duty: str = "drill") -> Member:
        """Whoever owns the duty, once all members vote and say the same."""
        for it in self.members:
            await it.looks(owners_keeper="voting", owners_majority="1")
        async with asyncio.timeout(PATIENCE_S):
            while True:
                for it in self.members:
                    await it.looks(owners=f"{duty}:")
                said = [it.found["owners"].split(":") for it in self.members]
                owners = {":".join(words[2:-1]) for words in said}
                owner = next((it for it in self.members if {it.address} == owners), None)
                if owner is not None and owner.found["owners"].split(":")[1] == "owner":
                    break
                await asyncio.sleep(0.05)
        for it in self.members:
            it.forgets()
        return owner

    async def next_owner(self, *of: Member) -> Member:
        """Whoever of these says first that it owns the duty."""
        async with asyncio.timeout(PATIENCE_S):
            while True:
                for it in of:
                    if it.has_said("owned here"):
                        return it
                await asyncio.sleep(0.02)

    def called(self, **names: Member) -> None:
        """Names by the parts that they play, and the order in which they end."""
        for name, it in names.items():
            self._scene.script.name(it.name, name)
            self._scene.script.name(it.address, f"<{name}>")
        rest = [it for it in self._scene.processes if it not in names.values()]
        self._scene.processes[:] = [*names.values(), *rest]

    def term(self, term: int) -> str:
        """Terms by the order in which the scene meets them."""
        if term not in self._terms:
            assert term > max(self._terms, default=0), f"term {term} after {self._terms}"
            self._terms.append(term)
        return f"<term {'ABCDEFGH'[self._terms.index(term)]}>"

    def mark(self, mark: str) -> str:
        """Merged tables by the order in which the scene meets them."""
        if mark not in self._marks:
            self._marks.append(mark)
        return f"<tables {'ABCDEFGH'[self._marks.index(mark)]}>"

    async def agree(self, edits: int | None = None) -> None:
        """Until all have the same tables, and so many edits; then each says so."""
        counted = {} if edits is None else {"edits": str(edits)}
        async with asyncio.timeout(PATIENCE_S):
            while True:
                for it in self.members:
                    await it.looks(edits_state="ok", **counted)
                marks = {it.found["edits_tables"] for it in self.members}
                if len(marks) == 1:
                    break
                await asyncio.sleep(0.05)
        for it in self.members:
            await it.shows(**counted, edits_tables=next(iter(marks)))

    def over(self) -> None:
        """What is said of owners while one after the other ends goes by who is left."""
        for it in self.members:
            it.by_the_clock += ("owners: ",)


async def _joined(relay: Relay, name: str, own: str) -> str:
    host, _, port = own.rpartition(":")
    public = await relay.join(name, (host, int(port)))
    return f"{public[0]}:{public[1]}"


def written(rows: dict[str, dict[str, Any]]) -> str:
    return "".join(
        f"[{table}]\n" + "".join(f"{key} = {json.dumps(value)}\n" for key, value in keys.items())
        for table, keys in rows.items()
    )


def _is(value: str, wanted: str) -> bool:
    return value.startswith(wanted) if wanted.endswith((":", ".")) else value == wanted
