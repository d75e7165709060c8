"""Hands: discovery: the whole list and the watch, into what the balancer is told of its upstreams."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from random import Random
from typing import Any, cast

from larkweir.config.platform import Config, ConfigError, parse_address
from larkweir.core.message import Message
from larkweir.core.ports import Address, Listing
from larkweir.protocols.http1.codec import ResponseReader, encode_request
from mulleinhitch.interface import ListKind, ServerEntry, ServerState

MAX_LIST = 4 * 1024 * 1024
STATES = {"active": ServerState.READY, "leaving": ServerState.DRAINING, "left": ServerState.GONE}


class DiscoveryError(Exception):
    """A call to discovery failed, or its answer is none."""


class Names:
    """Numbers for the ids and words that discovery uses. An id keeps its number for good."""

    MOST = 100_000  # ids; past that the oldest are forgotten, and their numbers never used again

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self._ids: dict[str, int] = {}
        self._next = 1
        self.reverse: dict[int, str] | None = None  # ids by number, where somebody asks for them
        self._zones = {name: n for n, name in enumerate(zones)}
        self._kinds = {name: n for n, name in enumerate(kinds)}

    def server(self, instance_id: str) -> int:
        number = self._ids.pop(instance_id, None)
        if number is None:
            number = self._next
            self._next += 1
            if len(self._ids) >= self.MOST:
                oldest = self._ids.pop(next(iter(self._ids)))
                if self.reverse is not None:
                    self.reverse.pop(oldest, None)
            if self.reverse is not None:
                self.reverse[number] = instance_id
        self._ids[instance_id] = number  # at the end: heard of last
        return number

    def zone(self, name: str) -> int:
        return self._zones.get(name, max(1, len(self._zones)))

    def kind(self, name: str) -> int:
        return self._kinds.get(name, len(self._kinds))


def _field(item: dict[str, Any], key: str, types: type | tuple[type, ...], default: Any = None) -> Any:
    value = item.get(key, default)
    if isinstance(value, bool) or not isinstance(value, types):
        raise DiscoveryError(f"{key}: {value!r:.100} makes no sense")
    return value


def parse_listing(data: Any, names: Names) -> Listing:
    """Check an answer as a whole before any of it counts."""
    if not isinstance(data, dict):
        raise DiscoveryError("the answer is not an object")
    version = _field(data, "generation", int)
    whole = data.get("reset")
    if not isinstance(whole, bool):
        raise DiscoveryError(f"reset: {whole!r:.100} is neither true nor false")
    rows = _field(data, "instances", list)
    checked: list[tuple[str, dict[str, Any], Address, ServerState]] = []
    for row in rows:
        if not isinstance(row, dict):
            raise DiscoveryError(f"instances: {row!r:.100} is not an object")
        state = STATES.get(_field(row, "lifecycle", str))
        if state is None:
            raise DiscoveryError(f"lifecycle: {row['lifecycle']!r:.100} is unknown")
        try:
            address = parse_address(row.get("hostPort"), "hostPort")
        except ConfigError as problem:
            if state is not ServerState.GONE:
                raise DiscoveryError(str(problem)) from None
            address = ("0.0.0.0", 0)
        _field(row, "zone", str, "")
        _field(row, "machineType", str, "")
        for key, default in (("cell", 0), ("weight", 1.0), ("startedAtMs", 0)):
            number = _field(row, key, (int, float), default)
            if not 0 <= number < 1e15:
                raise DiscoveryError(f"{key}: {number!r} makes no sense")
        checked.append((_field(row, "instanceId", str), row, address, state))
    entries = tuple(
        ServerEntry(
            server=names.server(instance_id),
            state=state,
            started_ms=float(row.get("startedAtMs", 0)),
            weight=float(row.get("weight", 1.0)),
            zone=names.zone(row.get("zone", "")),
            cell=int(row.get("cell", 0)),
            kind=names.kind(row.get("machineType", "")),
        )
        for instance_id, row, _, state in checked
    )
    kind = ListKind.FULL if whole else ListKind.DELTA
    return Listing(kind, version, entries, tuple(address for _, _, address, _ in checked))


class _Connection(asyncio.Protocol):
    """The connection to discovery; one call at a time."""

    def __init__(self) -> None:
        self._reader = ResponseReader(MAX_LIST)
        self._transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[Message] | None = None
        self.open = False
        self._closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are no subclass of it.
        self._transport = cast(asyncio.Transport, transport)
        self.open = not self._closed
        if self._closed:  # given up while it was coming up
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        answers = self._reader.feed(data)
        broken = self._reader.fault is not None or self._reader.begun
        waiting = self._answer
        if answers and waiting is not None and not waiting.done():
            waiting.set_result(answers[0])
            if broken or len(answers) > 1 or not answers[0].keep_alive:
                self.close()
        elif answers or self._reader.fault is not None:
            self.close()

    def eof_received(self) -> None:
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.close()

    def close(self) -> None:
        self.open = False
        self._closed = True
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(DiscoveryError("the connection ended"))

    async def get(self, target: bytes, host: bytes) -> Message:
        assert self._transport is not None
        self._answer = asyncio.get_running_loop().create_future()
        self._transport.write(encode_request(b"GET", target, ((b"Host", host),), b""))
        return await self._answer


class Discovery:
    """Keeps the list fresh. Where lists are pushed it watches from the start; where discovery must be asked
    it does what the decisions ask for, and tells them when that fails.
    """

    WAIT_S = 20.0
    PUSHED_WAIT_S = 4.0  # asking costs nothing there, and a connection that has died shows sooner
    GRACE_S = 1.5  # past the wait, for the answer to come
    CALL_S = 2.0  # for a call that need not wait
    PACE_S = 0.025  # at least from call to call; well under what ends a watch
    FIRST_PAUSE_S = 0.05
    LONGEST_PAUSE_S = 1.0

    def __init__(self, config: Config, tell: Callable[[Listing], None], log: Callable[[str], None]) -> None:
        self._address = config.discovery
        self._host = f"{config.discovery[0]}:{config.discovery[1]}".encode()
        self._names = Names(config.zones, config.kinds)
        self._asked = config.settings.on_request_discovery
        self._known = config.known
        self.trust_known = True  # whether the configuration's list is believed as it stands
        self.tell = tell
        self._log = log
        self._rng = Random(config.seed)
        self._version: int | None = None
        self._rows: dict[str, dict[str, Any]] = {}  # what is held, in discovery's form
        # Ids whose rows may have changed since somebody has looked, where anybody does.
        self.touched: set[str] | None = None
        self.on_heard: Callable[[], None] | None = None  # called at each good answer, before it is told
        self._connection: _Connection | None = None
        self._watch: asyncio.Task[None] | None = None
        self._fetch: asyncio.Task[None] | None = None
        self._stopped = False

    def start(self) -> None:
        """Tell what is known from before, and begin to watch."""
        listing = Listing(ListKind.CACHED, 0, (), ())
        if self._known and self.trust_known:
            try:
                known = parse_listing(self._known, self._names)
                listing = Listing(ListKind.CACHED, known.version, known.entries, known.addresses)
                self._version = known.version
                self._hold(self._known, whole=True)
            except DiscoveryError as problem:
                self._log(f"known: {problem}")
        self.tell(listing)
        if not self._asked:
            self._watch = asyncio.get_running_loop().create_task(self._follow())

    def watch(self, active: bool) -> None:
        """The decisions subscribe, or give that up."""
        if not self._asked:
            return  # pushed: the watch is always on
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
        if active:
            self._watch = asyncio.get_running_loop().create_task(self._follow())

    def fetch(self) -> None:
        """The decisions ask for the whole list once; a call that is out already serves."""
        if self._fetch is None or self._fetch.done():
            self._fetch = asyncio.get_running_loop().create_task(self._fetch_once())

    def move(self, address: Address) -> None:
        """Go on at another address, with its whole list first. What is held serves until that has come; the
        calls out to the old address end here, so that no late answer of it can count.
        """
        if self._stopped or address == self._address:
            return
        self._address = address
        self._host = f"{address[0]}:{address[1]}".encode()
        self._version = None  # the old agent's; what the new one calls newer is not measured against it
        watching = self._watch is not None and not self._watch.done()
        for task in (self._watch, self._fetch):
            if task is not None:
                task.cancel()
        self._watch = self._fetch = None
        self._drop()
        if watching or not self._asked:
            self._watch = asyncio.get_running_loop().create_task(self._follow())
        else:
            self.fetch()

    def stop(self) -> None:
        self._stopped = True
        for task in (self._watch, self._fetch):
            if task is not None:
                task.cancel()
        if self._connection is not None:
            self._connection.close()

    async def _follow(self) -> None:
        pause = self.FIRST_PAUSE_S
        while True:
            try:
                await self._round()
                pause = self.FIRST_PAUSE_S
                # Guards the core against answers that come at once, again and again.
                await asyncio.sleep(self.PACE_S)
            except (DiscoveryError, OSError) as problem:  # a time-out is an OSError
                self._drop()
                self._log(f"discovery: {str(problem) or type(problem).__name__}")
                if self._asked:  # when to ask again is theirs to decide
                    self.tell(Listing(ListKind.FAILED, self._version or 0, (), ()))
                    return
                await asyncio.sleep(pause * (0.5 + self._rng.random()))
                pause = min(self.LONGEST_PAUSE_S, 2.0 * pause)

    async def _round(self) -> None:
        """One call: of the watch, or for the whole list where the watch can't go on from what is held."""
        if self._version is None:
            listing = await self._call(b"/v1/endpoints", self.CALL_S)
            if listing.kind is not ListKind.FULL:
                raise DiscoveryError("the whole list was asked for and changes came")
        else:
            after = self._version
            wait = self.WAIT_S if self._asked else self.PUSHED_WAIT_S
            target = b"/v1/endpoints?after=%d&wait_ms=%d" % (after, wait * 1000)
            listing = await self._call(target, wait + self.GRACE_S)
            if listing.kind is ListKind.DELTA and listing.version < after:
                self._version = None  # these are changes to another list than the one held
                return
        self._version = listing.version
        self.tell(listing)

    async def _fetch_once(self) -> None:
        connection = _Connection()
        try:
            async with asyncio.timeout(self.CALL_S):
                await asyncio.get_running_loop().create_connection(lambda: connection, *self._address)
                listing = self._read(await connection.get(b"/v1/endpoints", self._host))
            if listing.kind is not ListKind.FULL:
                raise DiscoveryError("the whole list was asked for and changes came")
            self._version = listing.version
            self.tell(listing)
        except (DiscoveryError, OSError) as problem:
            self._log(f"discovery: {str(problem) or type(problem).__name__}")
            self.tell(Listing(ListKind.FAILED, self._version or 0, (), ()))
        finally:
            connection.close()

    async def _call(self, target: bytes, timeout_s: float) -> Listing:
        async with asyncio.timeout(timeout_s):
            if self._connection is None or not self._connection.open:
                connection = self._connection = _Connection()
                await asyncio.get_running_loop().create_connection(lambda: connection, *self._address)
            return self._read(await self._connection.get(target, self._host))

    def _read(self, answer: Message) -> Listing:
        if answer.status != 200:
            raise DiscoveryError(f"answered {answer.status}")
        try:
            data = json.loads(answer.body)
        except (ValueError, RecursionError) as problem:
            raise DiscoveryError(f"not JSON: {problem}") from None
        listing = parse_listing(data, self._names)
        if self.on_heard is not None:
            self.on_heard()
        if listing.kind is ListKind.FULL or self._version is None or listing.version >= self._version:
            self._hold(data, listing.kind is ListKind.FULL)
        return listing

    def _hold(self, data: dict[str, Any], whole: bool) -> None:
        """Keep a checked answer's rows; `_names` bounds neither: gone ones are dropped here."""
        before = self._rows
        if whole:
            self._rows = {}
        for row in data["instances"]:
            if row["lifecycle"] == "left":
                self._rows.pop(row["instanceId"], None)
            else:
                self._rows[row["instanceId"]] = row
        if self.touched is not None:
            rows = self._rows
            if whole:
                self.touched.update(name for name in before if name not in rows)
                self.touched.update(name for name, row in rows.items() if before.get(name) != row)
            else:
                self.touched.update(row["instanceId"] for row in data["instances"])

    def held(self) -> dict[str, Any]:
        """What is held, as a whole list in discovery's form."""
        return {"generation": self._version or 0, "reset": True, "instances": list(self._rows.values())}

    @property
    def names(self) -> Names:
        return self._names

    @property
    def generation(self) -> int:
        return self._version or 0

    def row(self, instance_id: str) -> dict[str, Any] | None:
        return self._rows.get(instance_id)

    def reroute(self, tell: Callable[[Listing], None]) -> None:
        """Who is told from now on."""
        self.tell = tell

    def number(self, instance_id: str) -> int | None:
        """The number of an upstream that is held."""
        return self._names.server(instance_id) if instance_id in self._rows else None

    def catch_up(self, address: str, held: dict[str, Any]) -> None:
        """Take over what another life of this balancer holds, if it is newer: it may have been told of a
        drain that has not been heard of here.
        """
        if address != self.address or held["generation"] <= (self._version or 0):
            return
        listing = parse_listing(held, self._names)
        self._version = listing.version
        self._hold(held, whole=True)
        self.tell(Listing(ListKind.CACHED, listing.version, listing.entries, listing.addresses))

    @property
    def address(self) -> str:
        return f"{self._address[0]}:{self._address[1]}"

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
