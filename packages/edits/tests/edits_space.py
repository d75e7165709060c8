"""Copies on a seeded network, with datagrams of 256 bytes and a disk that is slow and may be of yesterday."""

from __future__ import annotations

import struct
from collections.abc import Sequence
from random import Random
from typing import Any

from edits_sample import SCHEMA, check
from larkweir_edits.edit import Dot
from larkweir_edits.replica import Replica
from larkweir_simulated import Network

DATAGRAM = 256
HEAD = 64  # of a datagram's bytes that are not the item's: what names it, its number, its key
_PIECE = struct.Struct("<IHH")


class Node:
    """One process: its copy, its disk, and the datagrams that an item is cut into."""

    def __init__(self, space: Space, name: str) -> None:
        self.space, self.name = space, name
        self.disk: list[bytes] = []
        self.writing: list[bytes] = []
        self.number = 0
        self.posted = self.bytes = 0
        self.parts: dict[tuple[str, int], dict[int, bytes]] = {}
        self.begin()

    def begin(self) -> None:
        """A life, from what is on the disk."""
        space = self.space
        self.writing = []
        self.number = len(self.disk)
        self.life = object()
        space.network.listen(self.name, self.datagram)
        peers = [name for name in space.names if name != self.name]
        rng = Random(space.network.rng.getrandbits(64))
        self.replica = Replica(
            SCHEMA,
            self.name,
            peers,
            {} if self.disk else space.base,
            self,
            self,
            rng,
            space.network.now_ms,
            check=space.check,
            records=self.disk,
            away_ms=space.away_ms,
        )
        self.tick()

    def kill(self) -> None:
        self.space.network.kill(self.name)
        self.life = object()

    # the log: what is given is on the disk a while later

    def append(self, record: bytes) -> int:
        self.writing.append(record)
        self.number += 1
        number, life = self.number, self.life
        self.space.network.after(
            self.space.network.rng.uniform(0.3, 8.0), lambda: self.flushed(number, life), self.name
        )
        return self.number

    def flushed(self, number: int, life: object) -> None:
        if life is self.life and number > len(self.disk):
            new = number - len(self.disk)
            self.disk += self.writing[:new]
            del self.writing[:new]
            self.replica.on_durable(number, self.space.network.now_ms)

    # the mail: fragments, any of which may be lost

    def post(self, to: str, item: bytes) -> bool:
        self.posted += 1
        room = DATAGRAM - HEAD
        pieces = [item[at : at + room] for at in range(0, len(item), room)] or [b""]
        for n, piece in enumerate(pieces):
            self.bytes += HEAD + len(piece)
            self.space.network.send(self.name, to, _PIECE.pack(self.posted, n, len(pieces)) + piece)
        return True

    def alive(self) -> Sequence[str]:
        return self.space.alive(self.name)

    def datagram(self, source: str, data: bytes) -> None:
        number, n, of = _PIECE.unpack_from(data)
        piece = data[_PIECE.size :]
        if of > 1:
            buffered = self.parts.setdefault((source, number), {})
            buffered[n] = piece
            if len(buffered) < of:
                return
            del self.parts[(source, number)]
            piece = b"".join(buffered[at] for at in range(of))
        self.replica.on_item(source, piece, self.space.network.now_ms)

    def tick(self) -> None:
        life = self.life

        def due() -> None:
            if life is self.life:
                self.replica.tick(self.space.network.now_ms)
                self.space.network.at(
                    max(self.replica.next_ms, self.space.network.now_ms + 1.0), due, self.name
                )

        self.space.network.at(self.replica.next_ms, due, self.name)


class Space:
    def __init__(
        self,
        seed: int,
        nodes: int,
        base: Any,
        lost: float = 0.1,
        away_ms: float = 1e12,
        doubled: float = 0.02,
        checks: bool = True,
    ) -> None:
        self.network = Network(seed, loss_rate=lost, duplicate_rate=doubled)
        self.base, self.away_ms = base, away_ms
        self.check = check if checks else None
        self.names = [f"10.3.0.{n}:7946" for n in range(1, nodes + 1)]
        self.groups: list[list[str]] = []
        self.nodes = [Node(self, name) for name in self.names]

    def alive(self, name: str) -> Sequence[str]:
        """Membership knows the cut, and only later that it healed: it is a hint."""
        return next((group for group in self.groups if name in group), self.names)

    def split(self, *groups: list[Node]) -> None:
        self.groups = [[node.name for node in group] for group in groups]
        self.network.split(self.groups)

    def heal(self, hint: bool = True) -> None:
        self.network.heal()
        if hint:
            self.groups = []

    def run(self, ms: float) -> None:
        self.network.run(self.network.now_ms + ms)

    @property
    def equal(self) -> bool:
        first = self.nodes[0].replica.state.vector
        return all(
            node.replica.state.vector == first and not node.replica.state.raw for node in self.nodes[1:]
        )

    def until_equal(self, most_ms: float, step_ms: float = 50.0) -> float:
        """How long it took; more than `most_ms` where it did not come to that."""
        begin = self.network.now_ms
        while not self.equal and self.network.now_ms - begin <= most_ms:
            self.run(step_ms)
        return self.network.now_ms - begin

    @property
    def bytes(self) -> int:
        return sum(node.bytes for node in self.nodes)

    def lacking(self) -> int:
        """Bytes of edits that copies lack, each counted where it is lacking."""
        sizes: dict[Dot, int] = {}
        for node in self.nodes:
            for writer, found in node.replica.state.log.items():
                sizes.update({(writer, n): len(data) for n, data in found.items()})
        return sum(
            size for node in self.nodes for dot, size in sizes.items() if not node.replica.state.has(dot)
        )


def tables(routes: int) -> dict[str, dict[str, dict[str, Any]]]:
    """Routes over a tenth as many pools."""
    pools = {f"pool-{n}": {"zones": ("a", "b"), "attempts": 3} for n in range(max(2, routes // 10))}
    return {
        "pool": pools,
        "route": {
            f"route-{n:04}": {
                "path": f"/api/{n}",
                "pool": f"pool-{n % len(pools)}",
                "split": (f"pool-{(n + 1) % len(pools)} 5%",),
            }
            for n in range(routes)
        },
    }


def edit(node: Node, rng: Random, stated: Any) -> Any:
    """One change of a file, as staff make them; the file after it."""
    stated = {table: dict(rows) for table, rows in stated.items()}
    name = rng.choice(sorted(stated["route"]))
    fields = dict(stated["route"][name])
    act = rng.randrange(8)
    if act == 0:
        fields["alarm"] = rng.choice((0.001, 0.05, 0.2))
    elif act == 1:
        fields["pool"] = rng.choice(sorted(stated["pool"]))
        fields["split"] = ()
    elif act == 2:
        fields["path"] = f"/api/v{rng.randrange(10**6)}"
    elif act == 3:
        fields["ramp_ms"] = float(rng.randrange(1, 10**6))
    elif act == 4 and len(stated["route"]) > 2:
        fields = {}
    elif act == 5:
        pool = rng.choice(sorted(stated["pool"]))
        stated["pool"][pool] = {**stated["pool"][pool], "attempts": rng.randrange(1, 9)}
    elif act == 6:
        pool = rng.choice(sorted(stated["pool"]))
        zones = tuple(sorted(rng.sample("abcd", rng.randrange(1, 4))))
        stated["pool"][pool] = {**stated["pool"][pool], "zones": zones}
    else:
        fields["split"] = tuple(
            f"{pool} {rng.randrange(1, 40)}%"
            for pool in rng.sample(sorted(stated["pool"]), 2)
            if pool != fields.get("pool")
        )
    if fields:
        stated["route"][name] = fields
    else:
        del stated["route"][name]
    node.replica.reload(stated)
    return stated
