"""Connections to upstreams, and the calls on them: attempts and probes, each ending in exactly one outcome.

The dividing line of an attempt is its last byte: until the system has taken that, the upstream can't have
begun the request; from then on it may have. Nothing is ever sent again from here.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, cast

from larkweir.config import Address
from larkweir.http1 import FramingError, Message, ResponseReader
from larkweir.room import Room
from mulleinhitch.interface import Outcome, ServerState

if TYPE_CHECKING:
    from larkweir.engine import Clock, Timer

LOAD_HEADER = b"endpoint-load-metrics"
NEVER_RAN_HEADER = b"x-never-ran"


@dataclass(slots=True)
class Upstream:
    """One upstream as discovery last told of it."""

    number: int
    address: Address
    state: ServerState
    started_ms: float
    told_ms: float = 0.0  # when it was told to drain or to be gone

    def move(self, address: Address, state: ServerState, started_ms: float, now_ms: float) -> bool:
        """Take over what discovery tells; whether connections from before lead to the same process."""
        same = self.address == address and (self.started_ms == started_ms or state is not ServerState.READY)
        if state is ServerState.READY:
            self.told_ms = 0.0
        elif self.state is ServerState.READY or not self.told_ms:
            self.told_ms = now_ms  # the grace runs from the first word of it
        self.address, self.state, self.started_ms = address, state, started_ms
        return same


def _no_payload() -> bytes:
    raise AssertionError("a call that is over is not written")


def _is_over() -> Outcome | None:
    return Outcome.MOOT


def _no_finish(outcome: Outcome, answer: Message | None) -> None:
    raise AssertionError("a call ends once")


class Call:
    """An attempt or a probe. `finish` is called once, with the outcome and the answer that it came with."""

    __slots__ = (
        "_blocked",
        "_finish",
        "_payload",
        "connection",
        "ended",
        "probe",
        "started_ms",
        "timer",
        "touched",
        "upstream",
        "written",
    )

    def __init__(
        self,
        upstream: Upstream,
        payload: Callable[[], bytes],
        blocked: Callable[[], Outcome | None],
        finish: Callable[[Outcome, Message | None], None],
        started_ms: float,
        probe: bool = False,
    ) -> None:
        self.upstream = upstream
        self.probe = probe
        self._payload = payload  # made when it is written, since it tells the time that is left then
        self._blocked = blocked  # why it may no longer be written, if so
        self._finish = finish
        self.started_ms = started_ms
        self.connection: UpstreamConnection | None = None
        self.timer: Timer | None = None
        self.written = False  # the system has taken the last byte
        self.touched = False  # something has come back for it
        self.ended = False

    def write(self, connection: UpstreamConnection) -> bool:
        """Send it on a connection that is up, unless it is over; whether a byte was written."""
        if self.ended:
            return False
        why = self._blocked()
        if why is not None:
            self.end(why)
            return False
        self.connection = connection
        connection.send(self, self._payload())
        return True

    def time_out(self) -> None:
        """No answer in time; if it has not been written whole, it never will be."""
        self.end(Outcome.TIMEOUT if self.written or self.touched else Outcome.CONNECT_FAILED)

    def broken(self) -> None:
        """It can't be answered any more. An upstream that has sent a byte back may have run it, whatever was
        written by then.
        """
        self.end(Outcome.RESET if self.written or self.touched else Outcome.CONNECT_FAILED)

    def end(self, outcome: Outcome, answer: Message | None = None) -> None:
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.release(self)
        finish = self._finish
        # They hold the request, and the request holds its calls: guards against cycles left to the collector.
        self._payload, self._blocked, self._finish = _no_payload, _is_over, _no_finish
        finish(outcome, answer)


def outcome_of(answer: Message) -> Outcome:
    """The protocol's table, for answers that came whole."""
    if answer.status == 200:
        return Outcome.OK
    if answer.status in (503, 504) and answer.values(NEVER_RAN_HEADER) == [b"1"]:
        return Outcome.FULL
    return Outcome.REJECTED if 400 <= answer.status < 500 else Outcome.ERROR


def parse_report(text: bytes, names: Sequence[str]) -> tuple[float, ...]:
    """The load report's values in the order of `names`; none if it is not whole or not a report."""
    kind, _, rest = text.strip().partition(b" ")
    if kind.upper() != b"TEXT":
        return ()
    values: dict[str, float] = {}
    for item in rest.split(b","):
        name, _, value = item.strip().partition(b"=")
        try:
            values[name.decode("ascii")] = float(value)
        except ValueError:
            return ()
    found = [values.get(name, -1.0) for name in names]
    return tuple(found) if all(0.0 <= value < 1e9 for value in found) else ()


class UpstreamConnection(asyncio.Protocol):
    """One connection; carries one call at a time."""

    def __init__(self, pool: Upstreams, upstream: Upstream) -> None:
        self._pool = pool
        self.upstream = upstream
        self.address = upstream.address
        self._transport: asyncio.Transport | None = None
        self._reader = ResponseReader()
        self._call: Call | None = None
        self._held = 0  # booked of the room that all connections share
        self._report: bytes | None = None  # the body of the answer before, if that was a probe's
        self.resting = False  # the answer before was an attempt's: see REST_MS
        self.idle_since_ms = 0.0
        self._poll = select.poll()

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are no subclass of it.
        self._transport = cast(asyncio.Transport, transport)
        # Any byte not yet taken by the system pauses writing: so `resume_writing` marks the last byte.
        self._transport.set_write_buffer_limits(high=0)
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)

    def resume_writing(self) -> None:
        if self._call is not None:
            self._call.written = True

    def data_received(self, data: bytes) -> None:
        call = self._call
        if call is None:  # nothing was asked
            self.abort()
            return
        call.touched = True
        answers = self._reader.feed(data)
        fits = self._book(self._reader.held)
        if answers:
            self._take(call, answers)
        elif self._reader.fault is not None or not fits:
            self.abort()
            call.broken()

    def _take(self, call: Call, answers: list[Message]) -> None:
        answer = answers[0]
        reader = self._reader
        # A whole answer counts, whatever comes behind it; the connection is of no further use then.
        clean = call.written and len(answers) == 1 and reader.fault is None and not reader.begun
        self._call = None
        report, self._report = self._report, answer.body if call.probe else None
        if not call.probe and report is not None and answer.body == report and report.strip():
            # The probe's answer once more, which came after this call was written: its own is still to come.
            self.abort()
            call.connection = None
            call.broken()
            return
        if clean and answer.keep_alive:
            call.connection = None
            self.resting = not call.probe
            self._pool.put(self)
        else:
            self.abort()
        call.end(outcome_of(answer), answer)

    def _book(self, held: int) -> bool:
        fits = self._pool.room.book(self._held, held)
        self._held = held
        return fits

    def eof_received(self) -> None:
        self.abort()  # half-closed: no further answer comes, and nothing may be written to it
        if self._call is not None:
            self._call.broken()

    def connection_lost(self, exc: Exception | None) -> None:
        self._pool.closed(self)
        self._transport = None
        self._reader.close()
        self._book(0)
        if self._call is not None:
            self._call.broken()

    # Called by the pool and by calls.

    def send(self, call: Call, payload: bytes) -> None:
        assert self._transport is not None
        self._call = call
        self._transport.write(payload)
        if self._transport.get_write_buffer_size() == 0:
            call.written = True

    def release(self, call: Call) -> None:
        """The call has ended without an answer: closing the connection is what gives it up."""
        if self._call is call:
            self._call = None
            self.abort()

    def usable(self) -> bool:
        """Whether it is up, with neither an end nor unread bytes waiting in the system."""
        transport = self._transport
        return transport is not None and not transport.is_closing() and not self._poll.poll(0)

    def abort(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()


class Upstreams:
    """The table of upstreams, the idle connections, and the budget of sockets."""

    SWEEP_MS = 1_000.0
    # After an attempt's answer a connection takes no new call for so long, and what comes in that time closes
    # it: guards against a second copy of the answer, or noise, that comes one read later and would be taken
    # for the answer to the next call. A probe is the first half of a send, so its connection does not rest:
    # there an answer that repeats the probe's is told by its body.
    REST_MS = 25.0
    CONNECT_MARGIN_MS = 100.0  # of the drain's grace, for lists that are read late

    def __init__(
        self,
        clock: Clock,
        room: Room,
        budget: int,
        idle_ms: float,
        connect_timeout_ms: float,
        grace_ms: float,
    ) -> None:
        self._clock = clock
        self.room = room
        self._budget = budget
        # Guards against writing to a connection in the moment the upstream closes it for having stood idle.
        self._keep_ms = idle_ms - min(5_000.0, 0.2 * idle_ms)
        self._connect_timeout_ms = connect_timeout_ms
        self._grace_ms = max(0.0, grace_ms - self.CONNECT_MARGIN_MS)
        self.table: dict[int, Upstream] = {}
        self._idle: dict[int, list[UpstreamConnection]] = {}  # by upstream, the one used last at the end
        self._open: set[UpstreamConnection] = set()
        self._connecting: set[asyncio.Task[None]] = set()
        self._sweeping = False

    @property
    def sockets(self) -> int:
        return len(self._open) + len(self._connecting)

    def update(self, number: int, address: Address, state: ServerState, started_ms: float) -> None:
        now = self._clock.now_ms()
        upstream = self.table.get(number)
        if upstream is None:
            if state is not ServerState.GONE:
                told = 0.0 if state is ServerState.READY else now
                self.table[number] = Upstream(number, address, state, started_ms, told)
            return
        same = upstream.move(address, state, started_ms, now)
        if not same or state is ServerState.GONE:
            self.close_idle(number)
        if state is ServerState.GONE:
            del self.table[number]  # calls on their way to it hold it, and see its state

    def past_grace(self, upstream: Upstream) -> bool:
        """Whether nothing new may go there any more."""
        return bool(upstream.told_ms) and self._clock.now_ms() >= upstream.told_ms + self._grace_ms

    def start(self, call: Call, timeout_ms: float) -> None:
        """Begin a call, on an idle connection or a new one."""
        call.timer = self._clock.after(timeout_ms, call.time_out)
        idle = self._take(call.upstream)
        if idle is not None:
            if not call.write(idle):
                self.put(idle)
            return
        if self.sockets >= self._budget and not self._close_oldest():
            call.end(Outcome.CONNECT_FAILED)
            return
        task = asyncio.get_running_loop().create_task(self._connect(call))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def _connect(self, call: Call) -> None:
        connection = UpstreamConnection(self, call.upstream)
        try:
            async with asyncio.timeout(self._connect_timeout_ms / 1000.0):
                await asyncio.get_running_loop().create_connection(lambda: connection, *connection.address)
        except OSError:  # refused, unreachable, out of descriptors, or not up in time
            call.end(Outcome.CONNECT_FAILED)
            return
        self._open.add(connection)
        if not connection.usable():
            self.closed(connection)
            connection.abort()
            call.end(Outcome.CONNECT_FAILED)
        elif not call.write(connection):
            self.put(connection)

    def _take(self, upstream: Upstream) -> UpstreamConnection | None:
        idle = self._idle.get(upstream.number, [])
        now = self._clock.now_ms()
        for at in range(len(idle) - 1, -1, -1):
            connection = idle[at]
            unused = now - connection.idle_since_ms
            if connection.resting and unused < self.REST_MS:
                continue
            del idle[at]
            if unused < self._keep_ms and connection.usable():
                return connection
            connection.abort()
        return None

    def put(self, connection: UpstreamConnection) -> None:
        """Keep a connection for the next call, if it still leads to an upstream that takes new ones."""
        upstream = connection.upstream
        stays = self.table.get(upstream.number) is upstream and upstream.address == connection.address
        if not stays or connection not in self._open or upstream.state is not ServerState.READY:
            connection.abort()
            return
        connection.idle_since_ms = self._clock.now_ms()
        self._idle.setdefault(upstream.number, []).append(connection)
        if not self._sweeping:
            self._sweeping = True
            self._clock.after(self.SWEEP_MS, self._sweep)

    def _sweep(self) -> None:
        """Close what has stood idle for nearly as long as the upstream lets it."""
        oldest = self._clock.now_ms() - self._keep_ms + self.SWEEP_MS
        for number in list(self._idle):
            kept = []
            for connection in self._idle[number]:
                if connection.idle_since_ms > oldest:
                    kept.append(connection)
                else:
                    connection.abort()
            if kept:
                self._idle[number] = kept
            else:
                del self._idle[number]
        self._sweeping = bool(self._idle)
        if self._sweeping:
            self._clock.after(self.SWEEP_MS, self._sweep)

    def _close_oldest(self) -> bool:
        idle = [connection for group in self._idle.values() for connection in group]
        if not idle:
            return False
        oldest = min(idle, key=lambda connection: connection.idle_since_ms)
        self._idle[oldest.upstream.number].remove(oldest)
        self._open.discard(oldest)
        oldest.abort()
        return True

    def close_idle(self, number: int) -> None:
        for connection in self._idle.pop(number, []):
            connection.abort()

    def closed(self, connection: UpstreamConnection) -> None:
        self._open.discard(connection)
        idle = self._idle.get(connection.upstream.number)
        if idle and connection in idle:
            idle.remove(connection)

    def close(self) -> None:
        """At the end of the process."""
        for task in list(self._connecting):
            task.cancel()
        for connection in list(self._open):
            connection.abort()


def report_of(answer: Message | None, names: Sequence[str], from_body: bool) -> tuple[float, ...]:
    """The load report that an answer carries, in its body or in its header."""
    if answer is None or not names:
        return ()
    try:
        text = answer.body if from_body else answer.value(LOAD_HEADER)
    except FramingError:
        return ()
    return parse_report(text, names) if text else ()
