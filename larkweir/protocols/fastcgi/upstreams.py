"""FastCGI connections to upstreams, one call on each or many, and what each upstream says of itself. Does its I/O by
asyncio.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Literal, cast

from larkweir_balancing.interface import Outcome

from larkweir.core import net
from larkweir.core.message import FramingError, Message
from larkweir.core.ports import Address
from larkweir.protocols.fastcgi.capabilities import (
    UNKNOWN,
    Capabilities,
    capabilities_query,
    parse_capabilities,
)
from larkweir.protocols.fastcgi.upstream_machine import (
    Answered,
    ProtocolViolation,
    TurnedAway,
    UpstreamMachine,
)
from larkweir.upstreams.attempt_call import AttemptCall, outcome_of
from larkweir.upstreams.pool import UpstreamPool
from larkweir.upstreams.upstream import Upstream

EXPIRES = b"x-expires-in-ms"  # the time until the deadline, in milliseconds
ALL = UNKNOWN._replace(multiplexes=True)  # where operators say so
_REFUSED = Message()
_REFUSED.status = 400


class UpstreamCapabilities:
    """What operators say of the upstreams that speak FastCGI, and what these say of themselves."""

    QUERY_TIMEOUT_MS = 1_000.0  # for an upstream to say what it can do
    MAX_KNOWN = 10_000  # upstreams, of whom answers are remembered

    def __init__(
        self,
        multiplex: Literal["learn", "on", "off"],
        requests: int,
        keep: bool,
        log: Callable[[str], None],
    ) -> None:
        """`requests` bounds what one connection carries where it carries many; `keep` asks upstreams to keep
        connections open.
        """
        self.multiplex = multiplex
        self.requests = requests
        self.keep = keep
        self.log = log
        # What an upstream answered, by its address and start: one that has restarted is asked again.
        self._known: dict[tuple[Address, float], Capabilities] = {}
        self._queries: set[asyncio.Task[None]] = set()
        self._in_flight: dict[int, int] = {}  # calls, by upstream
        self._connections: dict[int, int] = {}  # connections, by upstream

    def of(self, upstream: Upstream) -> Capabilities:
        """What is known of it by now; until it has answered, that it does not multiplex."""
        if self.multiplex == "off" or not self.keep:
            return UNKNOWN
        key = (upstream.address, upstream.started_ms)
        if self.multiplex == "on":  # unless it has refused since
            return self._known.get(key, ALL)
        found = self._known.get(key)
        if found is None:
            if len(self._known) >= self.MAX_KNOWN:
                del self._known[next(iter(self._known))]
            found = self._known[key] = UNKNOWN
            task = asyncio.get_running_loop().create_task(self._query(key))
            self._queries.add(task)
            task.add_done_callback(self._queries.discard)
        return found

    async def _query(self, key: tuple[Address, float]) -> None:
        """Ask on a connection of its own: an upstream that does not know the question may close it."""
        found = UNKNOWN
        writer = None
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(self.QUERY_TIMEOUT_MS / 1000.0):
                reader, writer = await asyncio.open_connection(*key[0], limit=4096)
                writer.write(capabilities_query())
                data = b""
                while len(data) < 4096 and (part := await reader.read(4096)):
                    data += part
                    answer = parse_capabilities(data)
                    if answer is not None:
                        found = answer
                        break
        if writer is not None:
            writer.close()
        if key in self._known:
            self._known[key] = found

    def refuses_to_multiplex(self, upstream: Upstream) -> None:
        """It has answered so to a request, whatever it said before."""
        key = (upstream.address, upstream.started_ms)
        before = self._known.get(key, ALL)
        if before.multiplexes:
            self.log(f"fastcgi: {upstream.address[0]}:{upstream.address[1]} multiplexes no more")
        if len(self._known) >= self.MAX_KNOWN:
            del self._known[next(iter(self._known))]
        self._known[key] = before._replace(multiplexes=False)

    def full(self, upstream: Upstream, waiting: int) -> bool:
        """Whether as much is in flight to it, or waits for a connection, as it says that it takes."""
        found = self.of(upstream)
        return (
            self._in_flight.get(upstream.number, 0) + waiting >= found.requests
            or self._connections.get(upstream.number, 0) >= found.connections
        )

    def count(self, upstream: Upstream, calls: int, connections: int) -> None:
        """So many more, or fewer, calls and connections are in flight to it."""
        for table, change in ((self._in_flight, calls), (self._connections, connections)):
            if change:
                now = table.get(upstream.number, 0) + change
                if now:
                    table[upstream.number] = now
                else:
                    table.pop(upstream.number, None)

    def connection(self, pool: UpstreamPool, upstream: Upstream) -> FastcgiUpstream:
        """The protocol of a new connection to it."""
        found = self.of(upstream)
        return FastcgiUpstream(pool, upstream, self, self.requests if found.multiplexes else 1)

    def close(self) -> None:
        """End the queries in flight."""
        for task in list(self._queries):
            task.cancel()


class FastcgiUpstream(asyncio.Protocol):
    """One connection. A call given up on a shared one is aborted alone, and its id stays in use until the upstream
    has ended it; where none is shared the connection is closed, which gives the call up at once.
    """

    ABORT_MS = 2_000.0  # for an upstream to end what it was told to abort, before it gets no more calls here

    def __init__(
        self, pool: UpstreamPool, upstream: Upstream, capabilities: UpstreamCapabilities, max_in_flight: int
    ) -> None:
        self._pool = pool
        self.upstream = upstream
        self.address = upstream.address
        self._capabilities = capabilities
        self._max_in_flight = max_in_flight
        self._machine = UpstreamMachine(upstream.address[1], capabilities.keep)
        self._calls: dict[int, AttemptCall] = {}
        self._ids: dict[AttemptCall, int] = {}
        self._transport: asyncio.Transport | None = None
        self._lost = False
        self._write_paused = False  # the system takes no more for now
        self._line_bytes = 0  # bytes that lie before the line of a call that has not crossed it, of `_sent`
        self._sent_bytes = 0
        self._charged_bytes = 0  # to the memory budget that all connections share
        self.idle_since_ms = 0.0
        self.reuse_delayed = False  # ids are not used again, so nothing old can be taken for something new
        self.listed = False
        self.retired = False
        self._socket_watch: net.Watch  # from its coming up on
        capabilities.count(upstream, 0, 1)
        self._counted = True

    # ------------------------------------------------ called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        # uvloop's transports are no subclass of it.
        self._transport = cast(asyncio.Transport, transport)
        # Any byte not yet taken by the system pauses writing, so that no call is begun behind it.
        self._transport.set_write_buffer_limits(high=0)
        self._socket_watch = net.watch(transport.get_extra_info("socket").fileno())

    def pause_writing(self) -> None:
        """The system does not take all that is written."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """The system has taken all that is written."""
        self._write_paused = False
        for call in self._calls.values():
            call.written = True
        if self.room:
            self._pool.put(self)

    def data_received(self, data: bytes) -> None:
        """Parse what the upstream answers."""
        machine = self._machine
        events = machine.feed(data)
        if machine.fault is not None:
            self._fail(f"fastcgi: {self.address[0]}:{self.address[1]}: {machine.fault.text}")
        for event in events:
            self._on_event(event)
        if machine.stray_records and not self.retired:
            self.retired = True  # what may still be received for its calls is told apart by their ids
        if not self._charge_memory() and self._calls:
            self._give_up_largest()
        self._settle()

    def eof_received(self) -> None:
        """The upstream has closed its sending side: nothing more can be answered."""
        self._fail("")

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone, whoever has closed it."""
        self._transport = None
        self._uncount()
        self._pool.closed(self)
        self._fail("")
        self._pool.memory.charge(self._charged_bytes, 0)
        self._charged_bytes = 0

    # ------------------------------------------------

    def _uncount(self) -> None:
        if self._counted:
            self._counted = False
            self._capabilities.count(self.upstream, 0, -1)

    def _on_event(self, event: Answered | TurnedAway | ProtocolViolation) -> None:
        call = self._forget(event.id)
        if call is None:
            return
        if isinstance(event, Answered):
            call.end(outcome_of(event.message), event.message)
        elif isinstance(event, TurnedAway):
            if event.multiplexing:
                self._max_in_flight = 1
                self._capabilities.refuses_to_multiplex(self.upstream)
            call.end(Outcome.FULL)
        else:
            call.written = True
            if not event.ended:
                self._abort(event.id)
            call.on_connection_lost()

    def _forget(self, number: int) -> AttemptCall | None:
        call = self._calls.pop(number, None)
        if call is not None:
            del self._ids[call]
            call.connection = None
            self._capabilities.count(self.upstream, -1, 0)
        return call

    def _fail(self, line: str) -> None:
        """Nothing more is to be had here: every call ends, and may have run."""
        if line and not self._lost:
            self._capabilities.log(line)
        self._lost = True
        self.abort()
        for number in list(self._calls):
            call = self._forget(number)
            if call is not None:
                call.written = True
                call.on_connection_lost()

    def _charge_memory(self) -> bool:
        before, self._charged_bytes = self._charged_bytes, self._machine.buffered_bytes
        return self._pool.memory.charge(before, self._charged_bytes)

    def _give_up_largest(self) -> None:
        """No room for more: the call whose answer holds most gives way, its neighbours go on."""
        number = self._machine.largest_of(self._calls)
        call = self._forget(number)
        if call is not None:
            call.written = True
            self._abort(number)
            self._charge_memory()
            call.on_connection_lost()

    def _settle(self) -> None:
        """Whether to go on: free to carry more, or of no further use."""
        if self._lost:
            return
        if self._machine.stderr_bytes:
            text, size = self._machine.stderr, self._machine.stderr_bytes
            self._machine.stderr, self._machine.stderr_bytes = b"", 0
            self._capabilities.log(
                f"fastcgi: {self.address[0]}:{self.address[1]} stderr, {size} bytes: {text!r}"
            )
        if (self.retired or not self._capabilities.keep) and not self._calls:
            self.abort()
        elif self.room:
            self._pool.put(self)

    # ------------------------------------------------ called by the pool and by calls

    @property
    def calls(self) -> int:
        """Calls in flight on it."""
        return len(self._calls)

    @property
    def room(self) -> int:
        """How many more calls it can carry now."""
        if self._lost or self._write_paused or self.retired:
            return 0
        if not self._capabilities.keep:
            return int(self._sent_bytes == 0)
        return self._max_in_flight - self._machine.in_flight

    def usable(self) -> bool:
        """Whether it is up; bytes that wait unread are right only while something was asked."""
        transport = self._transport
        if transport is None or transport.is_closing() or self._lost:
            return False
        waiting = self._socket_watch.poll(0)
        return not waiting or (waiting[0][1] == net.UNREAD and self._machine.in_flight > 0)

    def send(self, call: AttemptCall) -> None:
        """Write a call's request."""
        assert self._transport is not None
        message = call.message
        extra = []
        headers = message.headers
        if not call.probe:
            headers = message.end_to_end_headers(EXPIRES)
            extra.append((b"X-Expires-In-Ms", b"%d" % call.left_ms(call.written_ms)))
            if call.extra:
                extra += call.extra
        try:
            number, data, line = self._machine.begin(message, headers, extra)
        except FramingError:
            call.connection = None
            call.end(Outcome.REJECTED, _REFUSED)  # nothing was written: the request itself is no good
            return
        alone = not self._calls
        self._calls[number] = call
        self._ids[call] = number
        self._capabilities.count(self.upstream, 1, 0)
        self._line_bytes, self._sent_bytes = line, len(data)
        self._transport.write(data)
        # Beside other calls the connection can't be closed to keep the rest of it back, so it may run yet.
        call.written = not alone or self._taken_bytes() > line

    def _taken_bytes(self) -> int:
        """How much of the call written last the system has taken."""
        return self._sent_bytes - (
            self._transport.get_write_buffer_size() if self._transport is not None else 0
        )

    def update_written(self, call: AttemptCall) -> None:
        """Update whether the call may have crossed its dividing line; see `upstream_machine`."""
        if not call.written:
            call.written = len(self._calls) > 1 or self._taken_bytes() > self._line_bytes

    def release(self, call: AttemptCall) -> None:
        """The call has ended without an answer: give it up here."""
        number = self._ids.get(call)
        if number is None:
            return
        self._forget(number)
        if self._max_in_flight == 1 or not call.written:
            self._lost = True
            self._discard_and_abort()
            return
        self._abort(number)
        self._settle()

    def _abort(self, number: int) -> None:
        """Tell the upstream to give one request up, and see to it that it does."""
        if self._transport is None or self._transport.is_closing() or not self._machine.is_in_flight(number):
            return
        if self._max_in_flight == 1:
            self.retired = True
            self._discard_and_abort()
            return
        self._transport.write(self._machine.abort(number))
        self._pool.clock.after(self.ABORT_MS, lambda: self._aborted(number))

    def _aborted(self, number: int) -> None:
        if not self._lost and self._machine.is_in_flight(number) and number not in self._calls:
            self.retired = True  # its id may stay taken for ever
            self._settle()

    def _discard_and_abort(self) -> None:
        """Close it so that a request that its upstream does not have yet never gets there."""
        if self._transport is not None and not self._transport.is_closing():
            net.discard_unacknowledged(self._transport.get_extra_info("socket"))
        self.abort()

    def abort(self) -> None:
        """Close it now, with whatever is not sent or received."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()
