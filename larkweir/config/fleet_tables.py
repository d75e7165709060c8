"""What an operator file may say of the fleet: its peers, and what they do together. All of it off by default."""

from __future__ import annotations

from dataclasses import dataclass

from larkweir.config.keys import Change, Unit, listen_address, option


@dataclass(frozen=True, eq=False, repr=False)
class Peers:
    """The table `[peers]`: the other balancers of the fleet, and datagrams between them."""

    on: bool = option(False, Change.HANDOVER)
    # Where this process listens, "10.3.0.1:7946". "": as the platform's file says (`peer_listen`).
    listen: str = option("", Change.HANDOVER)
    # The address by which the others list this process, where it is not the one it listens at.
    name: str = option("", Change.HANDOVER)
    # The whole fleet, each "address:port"; this process may be among them. Empty: as the platform's file says.
    peers: tuple[str, ...] = option((), Change.LIVE)
    # A file of one to four lines, each a key: the first signs, all are believed. "": loopback addresses alone.
    key_file: str = option("", Change.HANDOVER)
    # From probe to probe, and until others are asked about one that has not answered.
    probe_ms: float = option(500.0, Change.HANDOVER, low=50.0, high=60_000.0)
    ack_ms: float = option(200.0, Change.HANDOVER, low=10.0, high=30_000.0)
    # Datagrams that this process sends, a second, and as many at once.
    datagrams_per_s: float = option(64.0, Change.HANDOVER, low=10.0, high=100_000.0)
    burst: float = option(128.0, Change.HANDOVER, low=64.0, high=100_000.0)

    def faults(self) -> dict[str, str]:
        """What is wrong beyond types and bounds, by key."""
        found: dict[str, str] = {}
        said = [("listen", self.listen), ("name", self.name), *(("peers", item) for item in self.peers)]
        for key, text in said:
            address = listen_address(text) if text else None
            if text and (address is None or isinstance(address, str) or not address[1]):
                found[key] = f"{text!r:.60} is not an IPv4 address and port, such as 10.3.0.1:7946"
            elif text and not self.key_file and not text.startswith("127."):
                found[key] = f"{text} is beyond loopback: that takes a key_file"
        if len(self.peers) > 4096:
            found["peers"] = f"{len(self.peers)} addresses; 4096 at the most"
        if self.key_file and not self.key_file.startswith("/"):
            found["key_file"] = f"{self.key_file!r:.100} is no file; write a path from the root of the disk"
        if self.ack_ms >= self.probe_ms:
            found["ack_ms"] = f"{self.ack_ms:g} ms is no shorter than probe_ms, {self.probe_ms:g}"
        return found


DUTIES = ("verdicts", "ramps", "probers", "captures", "drill")


@dataclass(frozen=True, eq=False, repr=False)
class Owners:
    """The table `[owners]`: work on behalf of the fleet, by one owner at a time."""

    on: bool = option(False, Change.HANDOVER)
    # The three or five balancers, by the names that `[peers]` has, whose majority says who owns what.
    keepers: tuple[str, ...] = option((), Change.HANDOVER)
    # Where this process keeps what it has promised, if it is a keeper: a folder of its own, on a disk that stays.
    folder: str = option("", Change.HANDOVER)
    # An owner that is not heard for so long is followed by another.
    lease_ms: float = option(3_000.0, Change.HANDOVER, low=200.0, high=600_000.0)
    # What this process takes part in: "verdicts", "ramps", "captures", and "drill", a counter to practise on.
    duties: tuple[str, ...] = option(("verdicts", "ramps", "captures"), Change.HANDOVER)
    # A zone that a reload evacuates empties for so long, an upstream after the other, with "ramps" at all balancers
    # alike; 0: at once.
    evacuate_ms: float = option(0.0, Change.HANDOVER, low=0.0, high=86_400_000.0)

    def faults(self) -> dict[str, str]:
        """What is wrong beyond types and bounds, by key."""
        found: dict[str, str] = {}
        for text in self.keepers:
            address = listen_address(text)
            if address is None or isinstance(address, str) or not address[1]:
                found["keepers"] = f"{text!r:.60} is not an IPv4 address and port, such as 10.3.0.1:7946"
        if (self.on or self.keepers) and (
            len(self.keepers) not in (3, 5) or len(set(self.keepers)) != len(self.keepers)
        ):
            found.setdefault("keepers", f"{len(set(self.keepers))} balancers; write three or five, each once")
        if self.folder and not self.folder.startswith("/"):
            found["folder"] = f"{self.folder!r:.100} is no folder; write a path from the root of the disk"
        unknown = next((name for name in self.duties if name not in DUTIES), None)
        if unknown is not None:
            found["duties"] = f"{unknown!r:.40} is no duty; there are {', '.join(DUTIES)}"
        return found


@dataclass(frozen=True, eq=False, repr=False)
class Edits:
    """The table `[edits]`: routes and pools that are edited at each balancer's file, and merge."""

    on: bool = option(False, Change.HANDOVER)
    # Where this process keeps edits: a folder of its own, on a disk that stays.
    folder: str = option("", Change.HANDOVER)
    # A balancer that is not heard for so long is not waited for: what it alone has edited is a proposal.
    away_ms: float = option(604_800_000.0, Change.HANDOVER, low=10_000.0, high=31_536_000_000.0)
    # Rows, "route.orders", and fields of one, "route.orders.path", on which this file has the last word: said anew with
    # the reload that names them, by staff who have looked at what is told of them.
    settle: tuple[str, ...] = option(())

    def faults(self) -> dict[str, str]:
        """What is wrong beyond types and bounds, by key."""
        found: dict[str, str] = {}
        if (self.on or self.folder) and not self.folder.startswith("/"):
            found["folder"] = f"{self.folder!r:.100} is no folder; write a path from the root of the disk"
        for text in self.settle:
            table, _, name = text.partition(".")
            if table not in ("route", "pool") or not name:
                found["settle"] = (
                    f'{text!r:.60} is no route or pool; write "route.orders" or "pool.main.zones"'
                )
        if len(self.settle) > 1000:
            found["settle"] = f"{len(self.settle)} entries; 1000 at the most"
        return found


@dataclass(frozen=True, eq=False, repr=False)
class Captures:
    """The table `[captures]`: whole records of some requests, the same ones at every hop."""

    on: bool = option(False, Change.HANDOVER)
    # The file that lines go to; full ones become PATH.1, PATH.2, ... Who writes holds PATH.lock.
    path: str = option("", Change.HANDOVER)
    file_bytes: int = option(67_108_864, Change.HANDOVER, low=100_000, high=100_000_000_000)
    files: int = option(4, Change.HANDOVER, low=1, high=1_000)
    # Never passed in any window of a second or longer, times its length.
    records_per_s: float = option(200.0, Change.HANDOVER, low=4.0, high=1_000_000.0)
    bytes_per_s: float = option(400_000.0, Change.HANDOVER, low=8_192.0, high=1_000_000_000.0)
    # The part of both for what is kept after the fact.
    after: float = option(0.25, Change.HANDOVER, low=0.01, high=0.99, unit=Unit.PART)
    # The rate of kinds of requests that nobody has set yet.
    rest: float = option(0.01, Change.HANDOVER, low=0.000_001, high=1.0, unit=Unit.PART)
    # Without word from the coordinator rates hold for so long, and are then this part of what they were.
    hold_ms: float = option(30_000.0, Change.HANDOVER, low=1_000.0, high=86_400_000.0)
    safe: float = option(0.25, Change.HANDOVER, low=0.0, high=1.0, unit=Unit.PART)
    # What is kept of all requests, to be asked for afterwards; the first bound that is met counts.
    ring_ms: float = option(5_000.0, Change.HANDOVER, low=100.0, high=600_000.0)
    ring_records: int = option(20_000, Change.HANDOVER, low=1, high=10_000_000)
    ring_bytes: int = option(16_777_216, Change.HANDOVER, low=10_000, high=10_000_000_000)
    # Traces a second that this process has others keep.
    asks_per_s: float = option(20.0, Change.HANDOVER, low=10.0, high=10_000.0)
    # A request that took as long is kept after the fact; 0: none for its time.
    slow_ms: float = option(0.0, low=0.0, high=3_600_000.0)

    def faults(self) -> dict[str, str]:
        """What is wrong beyond types and bounds, by key."""
        found: dict[str, str] = {}
        if self.on and not self.path.startswith("/"):
            found["path"] = f"{self.path!r:.100} is no file; write a path from the root of the disk"
        part = min(self.after, 1.0 - self.after)
        for key, least in (("records_per_s", 2.0), ("bytes_per_s", 4096.0)):
            per_s = getattr(self, key)
            if per_s * part < least:
                found[key] = (
                    f"{per_s:g} leaves {per_s * part:g} for the smaller part of two; {least:g} is the least"
                )
        return found
