"""The connections to the servers, as far as the selection of a server depends on them. Pure logic."""

from __future__ import annotations

import math

from larkweir_balancing.outcomes import Outcome
from larkweir_balancing.retry_safety import Attempt
from larkweir_balancing.servers import SampleList, Server
from larkweir_balancing.settings import Settings


class ConnectionTracker:
    """How long an idle connection is trusted, and whether a new one is expensive.

    Guards against connections that are dropped unseen while they lie idle: what is sent on one is lost, and
    an unsafe call can't be repeated. A loss on an idle connection halves the trusted time; a call that goes
    well after nearly that time lengthens it. Connections idle for longer are closed, so that the next call
    opens a fresh one. New connections refused at once by many servers shorten it too: guards against
    hundreds of copies filling the servers' connection tables with connections that nobody uses.
    """

    SAMPLE_WEIGHT = 1.0 / 8.0
    REFUSED_FRACTION = (
        0.25  # of the new connections refused at once: more than servers that died would explain
    )
    MIN_LOSS_FRACTION = 0.1  # of calls on idle connections: less than that says nothing
    IDLE_GROWTH_FACTOR = 1.25
    EXPENSIVE_FRACTION = 0.15  # of the aim, by which calls on new connections take longer

    def __init__(self, settings: Settings) -> None:
        self.max_idle_ms = math.inf
        self.configure(settings)
        self._new_loss = 0.0  # of calls on new connections, lost: what has nothing to do with lying idle
        self._idle_loss = 0.0  # the same of calls on connections that had lain idle
        self._refused = 0.0  # of new connections, refused at once
        self._new_extra = 0.0  # time that a call on a new connection takes beyond the usual, in aims
        self._idle_extra = 0.0
        self._order: dict[int, Server] = {}  # with a connection, the longest unused first
        self.connected = SampleList()

    def configure(self, settings: Settings) -> None:
        """Take over the bounds of new settings."""
        self._settings = settings
        self.max_idle_ms = min(self.max_idle_ms, settings.conn_idle_ms)

    @property
    def connections_expensive(self) -> bool:
        """Whether new connections cost so much more than idle ones that they are to be avoided."""
        return self._new_extra - self._idle_extra > self.EXPENSIVE_FRACTION

    def idle_ms(self, server: Server, now_ms: float) -> float | None:
        """How long its connection has lain unused; None if a call has to open a new one."""
        if not server.has_connection:
            return None
        return 0.0 if server.in_flight else now_ms - server.connection_used_ms

    def record_use(self, server: Server, now_ms: float) -> None:
        """A connection to the server is in use at `now_ms`."""
        server.connection_used_ms = now_ms
        server.has_connection = True
        self._order.pop(server.id, None)
        self._order[server.id] = server
        self.connected.add(server)

    def remove(self, server: Server) -> None:
        """The server is gone: forget its connection."""
        server.has_connection = False
        self._order.pop(server.id, None)
        self.connected.discard(server)

    def find_expired(self, now_ms: float) -> Server | None:
        """The connection unused for longest, if it is past its trusted time."""
        if self.connections_expensive and self._refused < self.REFUSED_FRACTION:
            return None  # it may yet be tried
        server = next(iter(self._order.values()), None)
        if server is None or now_ms - server.connection_used_ms <= self.max_idle_ms:
            return None
        if not server.in_flight:
            return server
        self.record_use(server, now_ms)  # a call is out on it: looked at again later
        return None

    def record_end(self, attempt: Attempt, spent_ms: float, usual_ms: float, aim_ms: float) -> None:
        """An attempt has ended: learn what a new connection and an idle one add to its latency."""
        outcome = attempt.outcome
        lost = outcome is Outcome.RESET or outcome is Outcome.TIMEOUT
        if (
            self.connections_expensive
        ):  # a trusted time that is too short costs much: look whether it may be longer
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
            weight = 0.5 if outcome is Outcome.TIMEOUT else 1.0  # a long answer may be to blame
            self._idle_loss += self.SAMPLE_WEIGHT * (weight * lost - self._idle_loss)
        if outcome is Outcome.OK:
            self._idle_extra += self.SAMPLE_WEIGHT * ((spent_ms - usual_ms) / aim_ms - self._idle_extra)
            if attempt.connection_idle_ms > 0.5 * self.max_idle_ms:
                self.max_idle_ms = min(self._settings.conn_idle_ms, 1.25 * self.max_idle_ms)
        elif lost and self._idle_loss > 2.0 * self._new_loss + self.MIN_LOSS_FRACTION:
            self.max_idle_ms = max(
                self._settings.tick_ms, 0.5 * min(self.max_idle_ms, attempt.connection_idle_ms)
            )
