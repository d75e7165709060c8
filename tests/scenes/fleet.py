"""Hands: several real balancers that are peers on loopback, and owners where the scene says so."""

from __future__ import annotations

import asyncio
import json
import re
from typing import Any

from standins.actors import Server
from standins.peers import PATIENCE_S
from standins.ports import free_port
from tests.scenes.stage import Balancer, Scene

# What is seen of peers and owners goes by the clock in the main, so a scene asks STATUS for what it is about.
BY_THE_CLOCK = ("discovery: silent", "discovery: answers again", "peers: ", "owners: keeper: ")
TAKEN = re.compile(r"owners: drill (\d+)\.(\d+) taken$")
# Whoever has stood still finds that out by its timer or by a datagram, whichever comes first.
LATE = re.compile(r"(owners: drill given up: )(?:<n> ms late|\S+ has it)$")


class Member(Balancer):
    """A balancer with peers. What it says of effects is kept apart: how many there are goes by the clock."""

    def __init__(self, scene: Scene, name: str, files: str = "", control: bool = True) -> None:
        super().__init__(scene, name, files, control)
        self.by_the_clock = BY_THE_CLOCK
        self.fleet: Fleet
        self.address = ""
        self.taken: list[tuple[int, int]] = []  # the drill's effects, in the order of its log

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
        """STATUS again and again, until these keys have these values. A value that ends in `:` is the beginning of
        one; `drop_CAUSE` is the count of one cause in `peers_dropped`.
        """
        found: dict[str, str] = {}
        try:
            async with asyncio.timeout(PATIENCE_S):
                while not all(
                    _is(found.get(key, "0" if found else ""), value) for key, value in wanted.items()
                ):
                    await asyncio.sleep(0.05 if found else 0.0)
                    found = await self._status()
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
            words.append(f"{key.replace('drop_', 'peers_dropped=... ')}={value}")
        self.script.line(self.name, "operator", " ".join(words))

    async def says(self, part: str) -> None:
        line = ""
        while part not in line:
            line = await self._log.take()
            line = LATE.sub(r"\1it stood still", line)
            line = re.sub(
                r"(owned here, term )(\d+)", lambda found: found[1] + self.fleet.term(int(found[2])), line
            )
            self.script.line(self.name, "log", line)

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


class Fleet:
    """All members; who has no part yet is called by its place, c0, c1 and so on."""

    def __init__(self, scene: Scene) -> None:
        self._scene = scene
        self.members: list[Member] = []
        self._terms: list[int] = []

    async def start(
        self,
        upstream: Server,
        names: tuple[str, ...] = ("c0", "c1", "c2"),
        more: tuple[str, ...] = (),
        **tables: dict[str, Any],
    ) -> None:
        """All are up, one after the other. `tables`: rows of [peers], and of [owners]: with these all are keepers.
        `more`: peers' addresses that others have.
        """
        addresses = [f"127.0.0.1:{free_port()}" for _ in names]
        listed = [*addresses, *more]
        for name, address in zip(names, addresses, strict=True):
            rows = {"peers": {"on": True, "listen": address, "peers": listed} | tables.get("peers", {})}
            if "owners" in tables:
                keeps = {"keepers": addresses, "folder": str(self._scene.folder / f"{name}-keeper")}
                rows["owners"] = {"on": True, "duties": ["drill"]} | keeps | tables["owners"]
            it = await self._scene.balancer_of(Member, upstream, name=name, operator=written(rows))
            it.fleet, it.address = self, address
            self.members.append(it)

    async def again(self, gone: Member, tells: str = "") -> Member:
        """A new life with the files of one that has ended. `tells`: lines that are told of it, beyond the usual."""
        it = Member(self._scene, gone.name)
        it.by_the_clock = tuple(part for part in BY_THE_CLOCK if part != tells)
        it.port, it.fleet, it.address = gone.port, self, gone.address
        await it.begin()
        await self._scene.discovery.takes()
        self.members[self.members.index(gone)] = it
        return it

    async def owner(self) -> Member:
        """Whoever owns the drill, once all members vote and say the same."""
        for it in self.members:
            await it.looks(owners_keeper="voting", owners_majority="1")
        async with asyncio.timeout(PATIENCE_S):
            while True:
                for it in self.members:
                    await it.looks(owners="drill:")
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
        """Whoever of these says first that it owns the drill."""
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

    def over(self) -> None:
        """What is said of owners while one after the other ends goes by who is left."""
        for it in self.members:
            it.by_the_clock += ("owners: ",)


def written(rows: dict[str, dict[str, Any]]) -> str:
    return "".join(
        f"[{table}]\n" + "".join(f"{key} = {json.dumps(value)}\n" for key, value in keys.items())
        for table, keys in rows.items()
    )


def _is(value: str, wanted: str) -> bool:
    return value.startswith(wanted) if wanted.endswith(":") else value == wanted
