"""The table of upstreams, and their connections, idle or in use. Opens connections and limits the number of sockets."""

from __future__ import annotations

import asyncio
import math
from collections import Counter, deque
from collections.abc import Callable, Mapping
from typing import Protocol, cast

from larkweir_balancing.interface import Outcome, ServerState, Settings

from larkweir.core.clock import Clock
from larkweir.core.memory_budget import MemoryBudget
from larkweir.core.message import Headers, Message
from larkweir.core.ports import Address, CallObserver
from larkweir.upstreams.attempt_call import AttemptCall
from larkweir.upstreams.connection import UpstreamConnection
from larkweir.upstreams.upstream import Upstream


class ConnectRateLimiter(Protocol):
    """Limits the rate at which connections to an upstream are opened. Times are the clock's milliseconds."""

    def is_allowed(self, upstream: int, now_ms: float) -> bool:
        """Whether another connection may be opened now. If so, the connection is counted."""

    def wait_ms(self, upstream: int, now_ms: float) -> float:
        """The approximate time in milliseconds until another connection may be opened."""


class UpstreamPool:
    """The table of upstreams, the idle connections, and the limit on sockets."""

    SWEEP_MS = 1_000.0
    # After an attempt's answer a connection gets no new call for this long, and any input in that time closes it.
    # Guards against a second copy of the answer, or garbage, that arrives one read later and would be taken for the
    # answer to the next call. After a probe's answer there is no delay, since a send usually follows the probe; a
    # repeated answer of a probe is recognized by its body.
    REUSE_DELAY_MS = 25.0
    # The minimum and maximum interval at which calls that wait for the rate limiter are tried again.
    WAITING_POLL_MS = (2.0, 20.0)
    CONNECT_MARGIN_MS = 100.0  # subtracted from a drain's grace period, for lists that are read late

    def __init__(
        self,
        clock: Clock,
        memory: MemoryBudget,
        make_connection: Callable[[UpstreamPool, Upstream], UpstreamConnection],
        settings: Settings,
        budget: int,
        drain_grace_ms: float,
    ) -> None:
        """`make_connection` creates an unconnected connection, an `asyncio.Protocol`. `budget`: the maximum number of
        sockets. `drain_grace_ms`: how long new calls may be sent to an upstream after discovery reported its drain.
        """
        self.clock = clock
        self.memory = memory
        self.make_connection = make_connection
        self.table: dict[int, Upstream] = {}
        self.draining: set[int] = set()  # numbers of the upstreams that drain
        # Whether an upstream that states its capacity has none left, given the calls that wait for a connection to it.
        self.is_full: Callable[[Upstream, int], bool] | None = None
        # By upstream, the number of calls that wait for a new connection; counted only if `is_full` is set.
        self._pending: Counter[int] = Counter()
        # Connections with room for a call, by upstream; the most recently used is last.
        self._idle: dict[int, list[UpstreamConnection]] = {}
        # By upstream, a connection that is being established and can carry several calls, with the calls that wait.
        self._shared_connecting: dict[int, tuple[UpstreamConnection, list[AttemptCall]]] = {}
        # By call, the connection that was created for it and is about to be established.
        self._assigned: dict[AttemptCall, UpstreamConnection] = {}
        # In the order in which they were established, so that runs are reproducible.
        self._open: dict[UpstreamConnection, None] = {}
        self._connecting: set[asyncio.Task[None]] = set()
        self._sweeping = False
        self.rate_limiter: ConnectRateLimiter | None = None
        # By upstream, calls for which the rate limiter does not allow a connection yet.
        self._waiting: dict[int, deque[AttemptCall]] = {}
        self.configure(settings, budget, drain_grace_ms)

    def configure(self, settings: Settings, budget: int, drain_grace_ms: float) -> None:
        """Apply new settings. Open connections stay open; the grace periods of current drains can only decrease."""
        self._budget = budget
        idle_ms = settings.conn_idle_ms
        # Guards against writing to a connection at the moment at which the upstream closes it as idle.
        self._max_idle_ms = idle_ms - min(5_000.0, 0.2 * idle_ms)
        self._connect_timeout_ms = settings.connect_timeout_ms
        self._drain_grace_ms = max(0.0, drain_grace_ms - self.CONNECT_MARGIN_MS)
        for upstream in self.table.values():
            upstream.shorten_drain(self._drain_grace_ms)

    @property
    def targets(self) -> Mapping[int, Upstream]:
        """The upstreams by number."""
        return self.table

    @property
    def sockets(self) -> int:
        """The number of connections that are established or being established."""
        return len(self._open) + len(self._connecting)

    def update(
        self,
        number: int,
        address: Address,
        state: ServerState,
        started_ms: float,
        kind: int = 0,
    ) -> None:
        """Apply what discovery reports of one upstream. `kind` is the number of its machine type in the settings."""
        now = self.clock.now_ms()
        upstream = self.table.get(number)
        if upstream is None:
            if state is not ServerState.GONE:
                upstream = Upstream(number, address, state, started_ms, kind)
                if state is not ServerState.READY:
                    upstream.draining_since_ms, upstream.drain_ends_ms = now, now + self._drain_grace_ms
                    self.draining.add(number)
                self.table[number] = upstream
            return
        upstream.kind = kind
        same = upstream.move(address, state, started_ms, now, self._drain_grace_ms)
        if not same or state is ServerState.GONE:
            self.retire(number)
        if upstream.draining_since_ms and state is not ServerState.GONE:
            self.draining.add(number)
        else:
            self.draining.discard(number)
        if state is ServerState.GONE:
            del self.table[number]  # pending calls still refer to the object, and see its state

    def set_draining_since(self, number: int, draining_since_ms: float) -> None:
        """Another process of this balancer learned of a drain earlier: start the grace period at that time."""
        upstream = self.table.get(number)
        if upstream is not None and upstream.draining_since_ms:
            upstream.draining_since_ms = min(upstream.draining_since_ms, draining_since_ms)
            upstream.shorten_drain(self._drain_grace_ms)

    def call(
        self,
        target: int,
        message: Message,
        until_ms: float,
        observer: CallObserver,
        probe: bool = False,
        extra: Headers | None = None,
        margin_ms: float = 0.0,
        patience_ms: float = 0.0,
        write_by_ms: float = math.inf,
    ) -> AttemptCall | None:
        """Start a call on an idle connection or a new one. See `larkweir.core.ports.Pool.call`."""
        upstream = self.table.get(target)
        if upstream is None:
            return None
        call = AttemptCall(
            self.clock,
            upstream,
            message,
            until_ms,
            observer,
            probe,
            extra,
            margin_ms,
            patience_ms,
            write_by_ms,
        )
        now = self.clock.now_ms()
        if until_ms < math.inf:
            call.timer = self.clock.at(until_ms, call.time_out)
        if write_by_ms < until_ms:
            self.clock.at(write_by_ms, call.end_if_unwritten)
        idle = self._take_idle(upstream, now)
        if idle is not None:
            if not call.write(idle, now) or idle.room:
                self.put(idle)
        elif self.is_full is not None and self.is_full(upstream, self._pending[target]):
            call.end(Outcome.FULL)
        elif self._join_connecting(call):
            pass
        elif self.sockets >= self._budget and not self._close_oldest():
            call.end(Outcome.CONNECT_FAILED)
        elif self.rate_limiter is not None and not self.rate_limiter.is_allowed(target, now):
            queue = self._waiting.setdefault(target, deque())
            queue.append(call)
            if len(queue) == 1:
                self._poll_waiting_later(target, now)
        else:
            self._open_for(call)
        return call

    def _open_for(self, call: AttemptCall) -> None:
        """Open a new connection for this call."""
        upstream = call.upstream
        if self.is_full is not None:
            self._pending[upstream.number] += 1
            # Calls that begin before it is established may wait for the same connection.
            self._assigned[call] = connection = self.make_connection(self, upstream)
            if connection.room > 1:
                self._shared_connecting[upstream.number] = (connection, [call])
        task = asyncio.get_running_loop().create_task(self._connect(call))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    def _poll_waiting_later(self, number: int, now: float) -> None:
        assert self.rate_limiter is not None
        wait = max(
            self.WAITING_POLL_MS[0], min(self.rate_limiter.wait_ms(number, now), self.WAITING_POLL_MS[1])
        )
        self.clock.after(wait, lambda: self._serve_waiting(number))

    def _serve_waiting(self, number: int) -> None:
        """Serve the calls that wait for the rate limiter. An idle connection is preferred to a new one. Calls that have
        timed out are skipped (they ended as never sent), and no connection is opened for calls whose client is gone.
        """
        queue = self._waiting.get(number)
        now = self.clock.now_ms()
        while queue:
            call = queue[0]
            upstream = call.upstream
            if call.observer.no_longer_needed():  # also true if the call has already ended
                call.end(Outcome.MOOT)
            elif not call.ended and self.table.get(number) is upstream and not call.process_changed:
                idle = self._take_idle(upstream, now)
                if idle is not None:
                    if not call.write(idle, now) or idle.room:
                        self.put(idle)
                elif self.rate_limiter is not None and not self.rate_limiter.is_allowed(number, now):
                    self._poll_waiting_later(number, now)
                    return
                elif self.sockets >= self._budget and not self._close_oldest():
                    call.end(Outcome.CONNECT_FAILED)
                else:
                    self._open_for(call)
            elif not call.ended:
                call.end(Outcome.MOOT)  # its upstream is gone or was replaced by another process
            queue.popleft()
        self._waiting.pop(number, None)

    async def _connect(self, call: AttemptCall) -> None:
        upstream = call.upstream
        connection = self._assigned.pop(call, None) or self.make_connection(self, upstream)
        protocol = cast(asyncio.Protocol, connection)
        coming = self._shared_connecting.get(upstream.number)
        calls = coming[1] if coming is not None and coming[0] is connection else [call]
        self.clock.loop_iteration()  # this task runs in a later loop iteration than the one that created it
        begun = self.clock.now_ms()
        try:
            async with asyncio.timeout(self._connect_timeout_ms / 1000.0):
                await asyncio.get_running_loop().create_connection(lambda: protocol, *connection.address)
        except OSError:  # refused, unreachable, out of descriptors, or not established in time
            self._connect_ended(connection, len(calls))
            for item in calls:
                item.end(Outcome.CONNECT_FAILED)
            return
        self._connect_ended(connection, len(calls))
        self._open[connection] = None
        if call.process_changed or not connection.usable():
            self.closed(connection)
            connection.abort()
            for item in calls:
                item.end(Outcome.MOOT if call.process_changed else Outcome.CONNECT_FAILED)
            return
        took = self.clock.loop_iteration().remote_ms(begun)
        now = self.clock.now_ms()
        for item in calls:
            item.connect_ms = took
            if connection.room:
                item.write(connection, now)
            else:  # the connection broke while an earlier call was written
                item.end(Outcome.CONNECT_FAILED)
        if connection.room:
            self.put(connection)

    def _join_connecting(self, call: AttemptCall) -> bool:
        """Let the call wait for a connection that is being established, if one has room. Returns whether one has."""
        coming = self._shared_connecting.get(call.upstream.number)
        if coming is None or len(coming[1]) >= coming[0].room or coming[1][0].process is not call.process:
            return False  # no such connection, no room, or it leads to another process
        coming[1].append(call)
        self._pending[call.upstream.number] += 1
        return True

    def _connect_ended(self, connection: UpstreamConnection, calls: int) -> None:
        if self.is_full is None:
            return
        number = connection.upstream.number
        self._pending[number] -= calls
        if self._pending[number] <= 0:
            del self._pending[number]
        coming = self._shared_connecting.get(connection.upstream.number)
        if coming is not None and coming[0] is connection:
            del self._shared_connecting[connection.upstream.number]

    def _take_idle(self, upstream: Upstream, now: float) -> UpstreamConnection | None:
        idle = self._idle.get(upstream.number)
        if not idle:
            return None
        for at in range(len(idle) - 1, -1, -1):
            connection = idle[at]
            unused = now - connection.idle_since_ms
            if connection.reuse_delayed and unused < self.REUSE_DELAY_MS:
                continue
            del idle[at]
            connection.listed = False
            if connection.room <= 0:  # its capacity has decreased since it was listed
                continue
            if (unused < self._max_idle_ms or connection.calls) and connection.usable():
                return connection
            connection.abort()
        return None

    def put(self, connection: UpstreamConnection) -> None:
        """Keep a connection for the next call if it still leads to an upstream that accepts new calls."""
        upstream = connection.upstream
        stays = self.table.get(upstream.number) is upstream and upstream.address == connection.address
        if connection.listed:
            connection.idle_since_ms = self.clock.now_ms()
            return
        if (
            not stays
            or connection not in self._open
            or upstream.state is not ServerState.READY
            or connection.retired
        ):
            if not connection.calls:
                connection.abort()
            return
        connection.idle_since_ms = self.clock.now_ms()
        connection.listed = True
        self._idle.setdefault(upstream.number, []).append(connection)
        if not self._sweeping:
            self._sweeping = True
            self.clock.after(self.SWEEP_MS, self._sweep)

    def _sweep(self) -> None:
        """Close connections that have been idle for nearly as long as the upstream allows."""
        oldest = self.clock.now_ms() - self._max_idle_ms + self.SWEEP_MS
        for number in list(self._idle):
            kept = []
            for connection in self._idle[number]:
                if connection.idle_since_ms > oldest or connection.calls:
                    kept.append(connection)
                else:
                    connection.abort()
            if kept:
                self._idle[number] = kept
            else:
                del self._idle[number]
        self._sweeping = bool(self._idle)
        if self._sweeping:
            self.clock.after(self.SWEEP_MS, self._sweep)

    def _close_oldest(self) -> bool:
        idle = [item for group in self._idle.values() for item in group if not item.calls]
        if not idle:
            return False
        oldest = min(idle, key=lambda connection: connection.idle_since_ms)
        self._idle[oldest.upstream.number].remove(oldest)
        self._open.pop(oldest, None)
        oldest.abort()
        return True

    def close_idle(self, number: int) -> None:
        """Close an upstream's connections that carry no call."""
        kept = []
        for connection in self._idle.pop(number, ()):
            if connection.calls:
                kept.append(connection)
            else:
                connection.abort()
        if kept:
            self._idle[number] = kept

    def retire(self, number: int) -> None:
        """The process behind an upstream's connections is gone: send no further call on them."""
        for connection in self._open:
            if connection.upstream.number == number:
                connection.retired = True
        for connection in self._idle.pop(number, ()):
            connection.listed = False
            if not connection.calls:
                connection.abort()

    def closed(self, connection: UpstreamConnection) -> None:
        """Remove a connection that was closed."""
        self._open.pop(connection, None)
        idle = self._idle.get(connection.upstream.number)
        if idle and connection in idle:
            idle.remove(connection)

    def close(self) -> None:
        """Close all connections, at the end of the process."""
        for task in list(self._connecting):
            task.cancel()
        for connection in list(self._open):
            connection.abort()
