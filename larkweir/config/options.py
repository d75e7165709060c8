"""What an operator file may say, one class for each table. All defaults are off, and cost nothing."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, fields
from ipaddress import ip_network
from typing import Any, Literal

from larkweir.config.fleet_tables import Captures, Edits, Owners, Peers
from larkweir.config.keys import Change, Merge, Unit, listen_address, option


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


@dataclass(frozen=True, eq=False, repr=False)
class Door:
    """The table `[door]`."""

    on: bool = option(False, Change.HANDOVER)
    # Of the tightest aim: the mean turn of the event loop from which requests are turned away before they are read.
    high: float = option(0.25, Change.HANDOVER, low=0.01, high=1.0, unit=Unit.PART)
    # The same, at which that ends; between the two it steers.
    low: float = option(0.15, Change.HANDOVER, low=0.01, high=1.0, unit=Unit.PART)

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
    retry_ratio: float = option(0.5, Change.HANDOVER, low=0.0, high=10.0, unit=Unit.PART)
    retry_floor_per_s: float = option(1.0, Change.HANDOVER, low=0.0, high=1000.0)
    # A caller that is trusted may state up to so many times the class's worth.
    worth_most: float = option(1.0, Change.HANDOVER, low=0.0, high=1000.0, unit=Unit.TIMES)

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
class Log:
    """The table `[log]`."""

    # Lines of words, or of JSON with stable fields.
    format: Literal["text", "json"] = option("text", Change.HANDOVER)
    # Of the requests, drawn by their ids, that are told when they end. Only as JSON.
    requests: float = option(0.0, Change.HANDOVER, low=0.0, high=1.0, unit=Unit.PART)
    # So many of them a second at the most.
    requests_per_s: float = option(100.0, Change.HANDOVER, low=1.0, high=10_000.0)


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
class Store:
    """The table `[store]`: state that survives a crash."""

    on: bool = option(False, Change.START)
    # A folder of this balancer's own, on a disk that outlives it.
    path: str = option("", Change.START)
    # Whether a request that may not run twice is kept before it is sent ("unsafe"), or soon after ("soon").
    durable: Literal["unsafe", "soon"] = option("unsafe", Change.START)
    # A drain or a changed list is kept within so many milliseconds, and the time of one flush.
    every_ms: float = option(200.0, Change.START, low=10.0, high=60_000.0)
    # A log of so many megabytes is replaced by a snapshot.
    most_mb: float = option(4.0, Change.START, low=0.001, high=200.0)

    def faults(self) -> dict[str, str]:
        """What is wrong beyond types and bounds, by key."""
        if self.on and not self.path.startswith("/"):
            return {"path": f"{self.path!r:.100} is no folder; write a path from the root of the disk"}
        return {}


@dataclass(frozen=True, eq=False, repr=False)
class Remembered:
    """The table `[remembered]`: how a list that is held over from before is used, until discovery speaks."""

    # The header by which upstreams' answers say which instance they are: an item with parameters (RFC 9651), as
    # "s-5be2a07c";zone="a";cell=3. "": they don't, and only safe requests go to upstreams that are only remembered.
    identity: str = option("", Change.START)
    # For so long upstreams that answer are used on, where discovery's first list lacks more than half of those.
    panic_ms: float = option(30_000.0, Change.START, low=0.0, high=600_000.0)
    # Whether the list that the platform's file gives (`known`) is held to the same rules; else it is believed.
    known: bool = option(False, Change.START)

    def faults(self) -> dict[str, str]:
        """What is wrong beyond types and bounds, by key."""
        plain = self.identity.replace("-", "").replace("_", "")
        if self.identity and not (plain.isascii() and plain.isalnum() and len(self.identity) <= 100):
            return {"identity": f"{self.identity!r:.100} is no name of a header"}
        return {}


@dataclass(frozen=True, eq=False, repr=False)
class ClassPolicy:
    """The table `[class.NAME]`: staff's word on one class of requests, `*` for all that have none of their own. What is
    not said stays as the platform's settings say.
    """

    # Attempts at the most.
    attempts: int | None = option(None, low=1, high=100)
    # What it is worth beside others, where not all can be served.
    worth: float | None = option(None, low=0.001, high=1_000_000.0)
    # When an answer is worth nothing any more, and when it is given up. Never later than the platform's.
    aim_ms: float | None = option(None, low=1.0, high=3_600_000.0)
    deadline_ms: float | None = option(None, low=1.0, high=3_600_000.0)
    # Whether it may run again: never more freely than the platform says.
    repeats: Literal["freely", "by_key", "never"] | None = option(None)

    def faults(self) -> dict[str, str]:
        """What is wrong beyond types and bounds, by key."""
        if self.aim_ms and self.deadline_ms and self.aim_ms > self.deadline_ms:
            return {"aim_ms": f"{self.aim_ms:g} ms is later than deadline, {self.deadline_ms:g} ms"}
        return {}


@dataclass(frozen=True, eq=False, repr=False)
class TenantPolicy:
    """The table `[tenant.NAME]`."""

    # Of the whole, that counts as within its share.
    share: float | None = option(None, low=0.0, high=1.0, unit=Unit.PART)


@dataclass(frozen=True, eq=False, repr=False)
class Pool:
    """The table `[pool.NAME]`: upstreams with decisions of their own. What is not said is as `parent` says, or as for
    all. `default` is the pool of all that discovery lists, and need not be written.
    """

    # A pool whose keys count where this one says nothing.
    parent: str = option("", merge=Merge.ONE)
    # Of discovery's list: those in these zones, of these machine types, in these cells. Empty: any.
    zones: tuple[str, ...] | None = option(None, merge=Merge.SET)
    kinds: tuple[str, ...] | None = option(None, merge=Merge.SET)
    cells: tuple[str, ...] | None = option(None, merge=Merge.SET)
    # In place of discovery's list: "10.0.0.1:8080", each with a zone behind it where it is not the first one's.
    fixed: tuple[str, ...] | None = option(None, merge=Merge.SET)
    # Zones that get nothing new, as if each of their upstreams drained.
    evacuated: tuple[str, ...] | None = option(None, merge=Merge.LIFTED)
    # Upstreams that this balancer connects to, of all in the pool; 0: all.
    subset: int | None = option(None, low=0, high=100_000, merge=Merge.LARGER_OR_ALL)
    # Whether requests leave their zone by what it can carry, a little at a time, instead of as the platform's prices
    # say.
    spill: bool | None = option(None, merge=Merge.ONE)
    # What upstreams speak.
    protocol: Literal["http1", "fastcgi"] | None = option(None, merge=Merge.ONE)
    # As in [class.*], [retries], [queue] and [cold].
    attempts: int | None = option(None, low=1, high=100, merge=Merge.SMALLER)
    ratio: float | None = option(None, low=0.0, high=1.0, unit=Unit.PART, merge=Merge.SMALLER)
    saved: float | None = option(None, low=0.0, high=1_000.0, unit=Unit.TIMES, merge=Merge.SMALLER)
    pace: float | None = option(None, low=0.01, high=0.33, unit=Unit.PART, merge=Merge.SMALLER)


@dataclass(frozen=True, eq=False, repr=False)
class Route:
    """The table `[route.NAME]`: requests that belong to a pool. Which one wins does not go by their order in the
    file."""

    # Where they go.
    pool: str = option("default", merge=Merge.ONE)
    # What they are: a host ("registry.example" or "*.example"); a path ("/a/{b}", or "/a/*" with all below it);
    # methods; headers ("Name" or "Name: value"); classes; tenants. Empty: any.
    host: str = option("", merge=Merge.MATCH)
    path: str = option("", merge=Merge.MATCH)
    methods: tuple[str, ...] = option((), merge=Merge.MATCH)
    headers: tuple[str, ...] = option((), merge=Merge.MATCH)
    classes: tuple[str, ...] = option((), merge=Merge.MATCH)
    tenants: tuple[str, ...] = option((), merge=Merge.MATCH)
    # Other pools with their part of the requests, "canary 5%"; the rest goes to `pool`.
    split: tuple[str, ...] = option((), merge=Merge.SPLIT)
    # By what a request keeps to its part: "tenant", "object", "request" or "header NAME".
    sticky: str = option("tenant", merge=Merge.ONE)
    # The parts grow for so long, from when the file counts.
    ramp_ms: float = option(0.0, low=0.0, high=2_592_000_000.0, merge=Merge.LONGER)
    # How often a part that does no worse than `pool` may be ended by mistake; 0: none is ever ended.
    alarm: float = option(0.01, low=0.0, high=0.5, unit=Unit.PART, merge=Merge.STRICTER)
    # Pools that get, in turn, what was refused before and never ran.
    fallback: tuple[str, ...] = option((), merge=Merge.ONE)
    # A pool that gets copies of safe requests, and the part of them that it gets. Nobody waits for their answers.
    mirror: str = option("", merge=Merge.OFF)
    mirror_part: float = option(1.0, low=0.0, high=1.0, unit=Unit.PART, merge=Merge.SMALLER)

    def faults(self) -> dict[str, str]:
        """What is wrong beyond types and bounds, by key."""
        from larkweir.config.routing import route_faults  # not imported where there is no route

        return route_faults(self)


@dataclass(frozen=True, eq=False, repr=False)
class Retries:
    """The table `[retries]`: further attempts, over all classes."""

    # Further attempts that each request earns, and as many as may be saved up.
    ratio: float = option(0.25, low=0.0, high=1.0, unit=Unit.PART)
    burst: float = option(8.0, low=0.0, high=10_000.0)


@dataclass(frozen=True, eq=False, repr=False)
class Ejection:
    """The table `[ejection]`: upstreams that are left out for a while."""

    # The odds under which a run of failures is put down to the upstream.
    odds: float = option(0.05, low=0.0, high=0.5, unit=Unit.PART)
    # Of the ready ones, that may be left out at once; past that all are used (the panic threshold).
    most: float = option(0.5, low=0.0, high=0.9, unit=Unit.PART)
    # Times the usual time of its class, from which an answer counts against its upstream.
    slow: float = option(4.0, low=1.5, high=1000.0, unit=Unit.TIMES)


@dataclass(frozen=True, eq=False, repr=False)
class Queue:
    """The table `[queue]`: how long a request may wait for a place, as a part of its aim."""

    patience: float = option(0.25, low=0.0, high=0.5, unit=Unit.PART)
    # The same, while requests have been waiting without a break.
    standing: float = option(0.1, low=0.0, high=0.5, unit=Unit.PART)

    def faults(self) -> dict[str, str]:
        """What is wrong beyond types and bounds, by key."""
        if self.standing > self.patience:
            return {"standing": f"{self.standing:g} is more than patience, {self.patience:g}"}
        return {}


@dataclass(frozen=True, eq=False, repr=False)
class Cold:
    """The table `[cold]`: upstreams that have just started."""

    # Of the work that would push one over, that all balancers together plan for.
    pace: float = option(0.25, low=0.01, high=0.33, unit=Unit.PART)


@dataclass(frozen=True, eq=False, repr=False)
class Drain:
    """The table `[drain]`."""

    # Something new may go to an upstream for so long after the word of its drain. Never longer than the platform's.
    grace_ms: float | None = option(None, low=0.0, high=600_000.0)


@dataclass(frozen=True, eq=False, repr=False)
class Advice:
    """The table `[advice]`."""

    # Who is refused is told to come back after so long at the most. Never later than the platform's.
    most_ms: float | None = option(None, low=1.0, high=600_000.0)


@dataclass(frozen=True, eq=False, repr=False)
class Operator:
    """The whole operator file."""

    lifecycle: Lifecycle = field(default_factory=Lifecycle)
    fastcgi: Fastcgi = field(default_factory=Fastcgi)
    budget: Budget = field(default_factory=Budget)
    door: Door = field(default_factory=Door)
    storms: Storms = field(default_factory=Storms)
    log: Log = field(default_factory=Log)
    store: Store = field(default_factory=Store)
    remembered: Remembered = field(default_factory=Remembered)
    peers: Peers = field(default_factory=Peers)
    owners: Owners = field(default_factory=Owners)
    edits: Edits = field(default_factory=Edits)
    captures: Captures = field(default_factory=Captures)
    retries: Retries = field(default_factory=Retries)
    ejection: Ejection = field(default_factory=Ejection)
    queue: Queue = field(default_factory=Queue)
    cold: Cold = field(default_factory=Cold)
    drain: Drain = field(default_factory=Drain)
    advice: Advice = field(default_factory=Advice)
    classes: dict[str, ClassPolicy] = field(default_factory=dict)  # by name, `*` for the others
    tenants: dict[str, TenantPolicy] = field(default_factory=dict)  # by name
    pools: dict[str, Pool] = field(default_factory=dict)  # by name
    routes: dict[str, Route] = field(default_factory=dict)  # by name
    fingerprint: str = ""  # of all this, where it came from files of the configuration language

    @property
    def governs(self) -> bool:
        """Whether it says anything of how requests are weighed, so that the platform's settings are not all."""
        return bool(self.classes or self.tenants) or any(
            getattr(getattr(self, table), item.name) != item.default
            for table in POLICIES
            for item in fields(TABLES[table])
        )


TABLES: dict[str, type[Any]] = {
    "lifecycle": Lifecycle,
    "fastcgi": Fastcgi,
    "budget": Budget,
    "door": Door,
    "storms": Storms,
    "log": Log,
    "store": Store,
    "remembered": Remembered,
    "peers": Peers,
    "owners": Owners,
    "edits": Edits,
    "captures": Captures,
    "retries": Retries,
    "ejection": Ejection,
    "queue": Queue,
    "cold": Cold,
    "drain": Drain,
    "advice": Advice,
}
POLICIES = ("retries", "ejection", "queue", "cold", "drain", "advice")  # stand over the platform's settings
# Those of which there are several, each with a name of its own, and the field of `Operator` that holds them.
NAMED: dict[str, tuple[type[Any], str]] = {
    "class": (ClassPolicy, "classes"),
    "tenant": (TenantPolicy, "tenants"),
    "pool": (Pool, "pools"),
    "route": (Route, "routes"),
}


def rows(options: Operator) -> Iterator[tuple[str, Any]]:
    """Every table with its name, `class.publicar` where it has one of its own."""
    for table in TABLES:
        yield table, getattr(options, table)
    for table, (_, held) in NAMED.items():
        for name, row in getattr(options, held).items():
            yield f"{table}.{name}", row


def changed(old: Operator, new: Operator) -> dict[str, tuple[Any, Any, Change]]:
    """The keys that differ, as `table.key`, with both values and how each comes to count."""
    found: dict[str, tuple[Any, Any, Change]] = {}
    before, after = dict(rows(old)), dict(rows(new))
    for table in [*before, *(table for table in after if table not in before)]:
        kind = type(before.get(table) or after[table])
        one, other = before.get(table) or kind(), after.get(table) or kind()
        for item in fields(kind):
            left, right = getattr(one, item.name), getattr(other, item.name)
            if left != right:
                found[f"{table}.{item.name}"] = (left, right, item.metadata["change"])
    return found


def keep_fixed(old: Operator, new: Operator) -> Operator:
    """The new file as far as it can change live; the rest stays as it was. All that is named can."""
    tables = {}
    for table, kind in TABLES.items():
        before, after = getattr(old, table), getattr(new, table)
        values = {
            item.name: getattr(after if item.metadata["change"] is Change.LIVE else before, item.name)
            for item in fields(kind)
        }
        tables[table] = kind(**values)
    return Operator(**tables, **{held: getattr(new, held) for _, held in NAMED.values()})
