"""Rules: what an operator file may say, one class for each table. All defaults are off, and cost nothing."""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from enum import Enum
from ipaddress import ip_network
from typing import Any, Literal


class Change(Enum):
    """How a key that was changed comes to count."""

    LIVE = "live"  # with the next reload
    HANDOVER = "handover"  # in a successor that takes the sockets over; else at the next start
    START = "start"  # at the next start only


def option(
    default: Any, change: Change = Change.LIVE, low: float | None = None, high: float | None = None
) -> Any:
    """A key with its default, how a change of it counts, and its bounds, both of which are allowed."""
    return field(default=default, metadata={"change": change, "low": low, "high": high})


@dataclass(frozen=True, eq=False, repr=False)
class Lifecycle:
    """The table `[lifecycle]`. Times are milliseconds."""

    # Tell a service manager by NOTIFY_SOCKET, and feed its watchdog by WATCHDOG_USEC.
    notify: bool = option(False, Change.START)
    # Take listening sockets from a service manager by LISTEN_FDS, in place of the platform file's address.
    inherit: bool = option(False, Change.START)
    # What SIGHUP reads again: the discovery address alone, or all that can change in service.
    reload: Literal["discovery", "whole"] = option("discovery")
    # Whether a successor may be started: never, on SIGUSR2, or also where a reload finds a key that needs one.
    handover: Literal["off", "signal", "reload"] = option("off")
    # Whether `run` may be started once more beside this life, under the same address, and takes over: never, or with
    # the listening socket shared by SO_REUSEPORT or fetched over a Unix socket in $TMPDIR.
    upgrade: Literal["off", "beside"] = option("off", Change.START)
    # A successor that has not come up by then is given up.
    handover_ready_ms: float = option(10_000.0, low=100.0, high=600_000.0)
    # New connections are taken for so long after SIGTERM, since a front goes on sending for a while.
    accept_ms: float = option(550.0, low=0.0, high=60_000.0)
    # The supervisor's promise: SIGKILL comes no sooner after SIGTERM than the longest deadline, counted as
    # `stop_deadline_ms` where it is longer, and `stop_grace_ms` more. Connections that are open are served on for as
    # much of that as leaves time for the last answers. 0: not known, and each answer after SIGTERM is the last of its
    # connection.
    stop_grace_ms: float = option(0.0, low=0.0, high=600_000.0)
    stop_deadline_ms: float = option(3_000.0, low=0.0, high=600_000.0)
    # A stop of the whole process for longer than this (SIGSTOP, a frozen machine) is taken off the time of
    # the requests that are read right after it. 0: not looked for.
    stall_ms: float = option(0.0, Change.START, low=0.0, high=60_000.0)


@dataclass(frozen=True, eq=False, repr=False)
class Fastcgi:
    """The table `[fastcgi]`."""

    # Where callers may speak FastCGI: "address:port" and "unix:/path".
    listen: tuple[str, ...] = option((), Change.HANDOVER)
    # Which upstreams speak it: none, the whole tier, or those of `kinds`.
    upstreams: Literal["off", "tier", "kind"] = option("off", Change.HANDOVER)
    # Names of discovery's `machineType`.
    kinds: tuple[str, ...] = option((), Change.HANDOVER)
    # Whether a connection to an upstream carries many requests: as it says of itself, always, or never.
    multiplex: Literal["learn", "on", "off"] = option("learn", Change.HANDOVER)
    # So many at a time on one connection, where it does.
    requests: int = option(64, Change.HANDOVER, low=1, high=10_000)
    # Ask upstreams to keep connections open. Without, each request has one of its own.
    keep: bool = option(True, Change.HANDOVER)

    def faults(self) -> dict[str, str]:
        """What is wrong beyond types and bounds, by key."""
        found: dict[str, str] = {}
        for item in self.listen:
            if not listen_address(item):
                found["listen"] = (
                    f"{item!r:.100} is no place to listen; write 127.0.0.1:9000 or unix:/run/x.sock"
                )
        if self.upstreams == "kind" and not self.kinds:
            found["kinds"] = 'is empty, and upstreams = "kind"; write the machineTypes that speak FastCGI'
        return found


def listen_address(text: str) -> str | tuple[str, int] | None:
    """A Unix socket's path, or an address and port; None if it is neither."""
    if text.startswith("unix:"):
        path = text[5:]
        return path if path.startswith("/") and len(path.encode()) < 108 and "\0" not in path else None
    host, _, port = text.rpartition(":")
    parts = host.split(".")
    if len(parts) != 4 or not all(part.isdecimal() and part.isascii() and int(part) < 256 for part in parts):
        return None
    if not port.isascii() or not port.isdecimal() or int(port) > 65535:
        return None
    return host, int(port)


@dataclass(frozen=True, eq=False, repr=False)
class Door:
    """The table `[door]`."""

    on: bool = option(False, Change.HANDOVER)
    # Of the tightest aim: the mean turn of the event loop from which requests are turned away before they are read.
    high: float = option(0.25, Change.HANDOVER, low=0.01, high=1.0)
    # The same, at which that ends; between the two it steers.
    low: float = option(0.15, Change.HANDOVER, low=0.01, high=1.0)

    def faults(self) -> dict[str, str]:
        """What is wrong beyond types and bounds, by key."""
        if self.low >= self.high:
            return {"low": f"{self.low:g} is not below high, {self.high:g}"}
        return {}


@dataclass(frozen=True, eq=False, repr=False)
class Budget:
    """The table `[budget]`."""

    on: bool = option(False, Change.HANDOVER)
    # Whose headers are believed: networks such as "10.0.0.0/8", and "unix" for callers on Unix sockets.
    trust: tuple[str, ...] = option((), Change.HANDOVER)
    # At the last tier, for a request that comes without a budget that is believed.
    attempts: int = option(4, Change.HANDOVER, low=1, high=1000)
    # How an attempt's part is taken of what is left.
    divide: Literal["even", "half", "front", "most", "all"] = option("most", Change.HANDOVER)
    # This tier's name in the path, the same at all its balancers; "" is `tier-N`.
    hop: str = option("", Change.HANDOVER)
    # Tiers that a request may have passed; more is a loop.
    hops: int = option(8, Change.HANDOVER, low=1, high=32)
    # Taken off the time that goes down with an attempt.
    way_back_ms: float = option(2.0, Change.HANDOVER, low=0.0, high=10_000.0)
    # Further attempts that each request earns this tier, and each second at the least.
    retry_ratio: float = option(0.5, Change.HANDOVER, low=0.0, high=10.0)
    retry_floor_per_s: float = option(1.0, Change.HANDOVER, low=0.0, high=1000.0)
    # A caller that is trusted may state up to so many times the class's worth.
    worth_most: float = option(1.0, Change.HANDOVER, low=0.0, high=1000.0)

    def faults(self) -> dict[str, str]:
        """What is wrong beyond types and bounds, by key."""
        found: dict[str, str] = {}
        for item in self.trust:
            try:
                if item != "unix":
                    ip_network(item, strict=False)
            except ValueError:
                found["trust"] = f'{item!r:.60} is no network; write "10.0.0.0/8" or "unix"'
        plain = self.hop
        for mark in "-_./":
            plain = plain.replace(mark, "")
        if self.hop and (not plain.isascii() or not plain.isalnum() or len(self.hop) > 64):
            found["hop"] = f"{self.hop!r:.80} is no name; write up to 64 letters, digits, and - _ . /"
        return found


@dataclass(frozen=True, eq=False, repr=False)
class Storms:
    """The table `[storms]`."""

    on: bool = option(False, Change.HANDOVER)
    # New connections to one warm upstream, a second, while there is no calm or it is cold, then by its share; 0: no
    # bound.
    connects_per_s: float = option(20.0, Change.HANDOVER, low=0.0, high=100_000.0)
    # Clients, and what they ask, that are remembered as told when to come back.
    clients: int = option(4096, Change.HANDOVER, low=64, high=1_000_000)
    # Retry-After in whole seconds (RFC 9110 section 10.2.3), for tools that read nothing else; else with decimals.
    whole_seconds: bool = option(False, Change.HANDOVER)
    # RateLimit and RateLimit-Policy beside it (draft-ietf-httpapi-ratelimit-headers).
    fields: bool = option(False, Change.HANDOVER)


@dataclass(frozen=True, eq=False, repr=False)
class Operator:
    """The whole operator file."""

    lifecycle: Lifecycle = field(default_factory=Lifecycle)
    fastcgi: Fastcgi = field(default_factory=Fastcgi)
    budget: Budget = field(default_factory=Budget)
    door: Door = field(default_factory=Door)
    storms: Storms = field(default_factory=Storms)


TABLES: dict[str, type[Any]] = {
    "lifecycle": Lifecycle,
    "fastcgi": Fastcgi,
    "budget": Budget,
    "door": Door,
    "storms": Storms,
}


def changed(old: Operator, new: Operator) -> dict[str, tuple[Any, Any, Change]]:
    """The keys that differ, as `table.key`, with both values and how each comes to count."""
    found: dict[str, tuple[Any, Any, Change]] = {}
    for table, kind in TABLES.items():
        before, after = getattr(old, table), getattr(new, table)
        for item in fields(kind):
            one, other = getattr(before, item.name), getattr(after, item.name)
            if one != other:
                found[f"{table}.{item.name}"] = (one, other, item.metadata["change"])
    return found


def keep_fixed(old: Operator, new: Operator) -> Operator:
    """The new file as far as it can change live; the rest stays as it was."""
    tables = {}
    for table, kind in TABLES.items():
        before, after = getattr(old, table), getattr(new, table)
        values = {
            item.name: getattr(after if item.metadata["change"] is Change.LIVE else before, item.name)
            for item in fields(kind)
        }
        tables[table] = kind(**values)
    return Operator(**tables)
