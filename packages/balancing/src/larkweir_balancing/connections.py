"""Tracks the connections to the servers, which the selection of a server depends on. Pure logic."""

from __future__ import annotations

import math

from larkweir_balancing.outcomes import Outcome
from larkweir_balancing.retry_safety import Attempt
from larkweir_balancing.servers import SampleList, Server
from larkweir_balancing.settings import Settings


class ConnectionTracker:
    """Learns for how long an idle connection can be reused, and whether new connections are expensive.

    Idle connections may be dropped without notice. A request sent on such a connection is lost, and an unsafe request
    can't be retried. Therefore a loss on an idle connection halves `max_idle_ms`, and a success after more than half of
    that time increases it. Connections that are idle for longer are closed, so that the next request opens a new one.

    `max_idle_ms` is also reduced, to at most half of the latency target, when many new connections are refused
    immediately. This guards against hundreds of balancers filling the servers' connection tables with unused
    connections.
    """

    SAMPLE_WEIGHT = 1.0 / 8.0
    # Fraction of new connections refused immediately, above which crashed servers alone can't be the cause.
    REFUSED_FRACTION = 0.25
    MIN_LOSS_FRACTION = 0.1  # fraction of requests on idle connections; fewer losses are not significant
    IDLE_GROWTH_FACTOR = 1.25
    EXPENSIVE_FRACTION = 0.15  # extra latency of new connections, as a fraction of the latency target

    def __init__(self, settings: Settings) -> None:
        self.max_idle_ms = math.inf
        self.configure(settings)
        self._new_loss = 0.0  # loss rate on new connections, which is not caused by idleness
        self._idle_loss = 0.0  # loss rate on idle connections
        self._refused = 0.0  # fraction of new connections refused immediately
        self._new_extra = 0.0  # mean extra time on a new connection over the usual, in latency targets
        self._idle_extra = 0.0  # the same on an idle connection
        self._order: dict[int, Server] = {}  # servers with a connection, the longest unused first
        self.connected = SampleList()

    def configure(self, settings: Settings) -> None:
        """Apply new settings."""
        self._settings = settings
        self.max_idle_ms = min(self.max_idle_ms, settings.conn_idle_ms)

    @property
    def connections_expensive(self) -> bool:
        """Whether new connections are so much slower than idle ones that they should be avoided."""
        return self._new_extra - self._idle_extra > self.EXPENSIVE_FRACTION

    def idle_ms(self, server: Server, now_ms: float) -> float | None:
        """How long the connection to the server has been idle; None if a request has to open a new one."""
        if not server.has_connection:
            return None
        return 0.0 if server.in_flight else now_ms - server.connection_used_ms

    def record_use(self, server: Server, now_ms: float) -> None:
        """Record that a connection to the server is used now."""
        server.connection_used_ms = now_ms
        server.has_connection = True
        self._order.pop(server.id, None)
        self._order[server.id] = server
        self.connected.add(server)

    def remove(self, server: Server) -> None:
        """Record that there is no connection to the server any more."""
        server.has_connection = False
        self._order.pop(server.id, None)
        self.connected.discard(server)

    def find_expired(self, now_ms: float) -> Server | None:
        """Return the server with the longest unused connection if that exceeds `max_idle_ms`, else None."""
        if self.connections_expensive and self._refused < self.REFUSED_FRACTION:
            return None  # an old connection may still work, and a new one is slow
        server = next(iter(self._order.values()), None)
        if server is None or now_ms - server.connection_used_ms <= self.max_idle_ms:
            return None
        if not server.in_flight:
            return server
        self.record_use(server, now_ms)  # a request is in flight on it: check again later
        return None

    def record_end(self, attempt: Attempt, spent_ms: float, usual_ms: float, aim_ms: float) -> None:
        """Learn from the end of an attempt, by whether its connection was new or idle."""
        outcome = attempt.outcome
        lost = outcome is Outcome.RESET or outcome is Outcome.TIMEOUT
        # With expensive new connections, a `max_idle_ms` that is too short is costly: try a longer one.
        if self.connections_expensive:
            self.max_idle_ms = min(self._settings.conn_idle_ms, self.IDLE_GROWTH_FACTOR * self.max_idle_ms)
        if attempt.connection_idle_ms is None:
            refused = outcome is Outcome.CONNECT_FAILED and spent_ms < 0.5 * self._settings.connect_timeout_ms
            self._refused += self.SAMPLE_WEIGHT * (refused - self._refused)
            if refused and self._refused > self.REFUSED_FRACTION:
                self.max_idle_ms = max(self._settings.tick_ms, 0.5 * min(self.max_idle_ms, aim_ms))
            self._new_loss += self.SAMPLE_WEIGHT * (lost - self._new_loss)
            if outcome is Outcome.OK or (outcome is Outcome.CONNECT_FAILED and not refused):
                late = (spent_ms - usual_ms if outcome is Outcome.OK else spent_ms) / aim_ms
                self._new_extra += self.SAMPLE_WEIGHT * (late - self._new_extra)
            return
        if attempt.connection_idle_ms > self._settings.tick_ms:
            weight = 0.5 if outcome is Outcome.TIMEOUT else 1.0  # a slow response may be the cause
            self._idle_loss += self.SAMPLE_WEIGHT * (weight * lost - self._idle_loss)
        if outcome is Outcome.OK:
            self._idle_extra += self.SAMPLE_WEIGHT * ((spent_ms - usual_ms) / aim_ms - self._idle_extra)
            if attempt.connection_idle_ms > 0.5 * self.max_idle_ms:
                self.max_idle_ms = min(self._settings.conn_idle_ms, 1.25 * self.max_idle_ms)
        elif lost and self._idle_loss > 2.0 * self._new_loss + self.MIN_LOSS_FRACTION:
            self.max_idle_ms = max(
                self._settings.tick_ms, 0.5 * min(self.max_idle_ms, attempt.connection_idle_ms)
            )
