"""Rules: the connections to the servers, as far as they tell where to send."""

from __future__ import annotations

import math

from larkweir_balancing.interface import Outcome, Settings
from larkweir_balancing.legality import Attempt
from larkweir_balancing.servers import DrawList, Server


class Links:
    """How long an idle connection is trusted, and whether a new one is dear.

    Guards against connections that are dropped unseen while they lie idle: what is sent on one is lost, and
    an unsafe call can't be repeated. A loss on an idle connection halves the trusted time; a call that goes
    well after nearly that time lengthens it. Connections idle for longer are closed, so that the next call
    opens a fresh one. New connections refused at once by many servers shorten it too: guards against
    hundreds of copies filling the servers' connection tables with connections that nobody uses.
    """

    MEMORY = 1.0 / 8.0
    CROWDED = 0.25  # of the new connections refused at once: more than servers that died would explain
    ODD_LOSS = 0.1  # of calls on idle connections: less than that says nothing
    PROBE_RISE = 1.25
    DEAR = 0.15  # of the aim, by which calls on new connections take longer

    def __init__(self, settings: Settings) -> None:
        self.keep_ms = math.inf
        self.configure(settings)
        self._fresh_loss = 0.0  # of calls on new connections, lost: what has nothing to do with lying idle
        self._kept_loss = 0.0  # the same of calls on connections that had lain idle
        self._turned_away = 0.0  # of new connections, refused at once
        self._fresh_extra = 0.0  # time that a call on a new connection takes beyond the usual, in aims
        self._kept_extra = 0.0
        self._order: dict[int, Server] = {}  # with a connection, the longest unused first
        self.items = DrawList()

    def configure(self, settings: Settings) -> None:
        self._settings = settings
        self.keep_ms = min(self.keep_ms, settings.conn_idle_ms)

    @property
    def dear(self) -> bool:
        return self._fresh_extra - self._kept_extra > self.DEAR

    def idle_ms(self, server: Server, now_ms: float) -> float | None:
        """How long its connection has lain unused; None if a call has to open a new one."""
        if not server.linked:
            return None
        return 0.0 if server.outstanding else now_ms - server.used_ms

    def use(self, server: Server, now_ms: float) -> None:
        server.used_ms = now_ms
        server.linked = True
        self._order.pop(server.id, None)
        self._order[server.id] = server
        self.items.add(server)

    def drop(self, server: Server) -> None:
        server.linked = False
        self._order.pop(server.id, None)
        self.items.discard(server)

    def stale(self, now_ms: float) -> Server | None:
        """The connection unused for longest, if it is past its trusted time."""
        if self.dear and self._turned_away < self.CROWDED:
            return None  # it may yet be tried
        server = next(iter(self._order.values()), None)
        if server is None or now_ms - server.used_ms <= self.keep_ms:
            return None
        if not server.outstanding:
            return server
        self.use(server, now_ms)  # a call is out on it: looked at again later
        return None

    def learn(self, attempt: Attempt, spent_ms: float, usual_ms: float, aim_ms: float) -> None:
        outcome = attempt.outcome
        lost = outcome is Outcome.RESET or outcome is Outcome.TIMEOUT
        if self.dear:  # a trusted time that is too short costs much: look whether it may be longer
            self.keep_ms = min(self._settings.conn_idle_ms, self.PROBE_RISE * self.keep_ms)
        if attempt.idle_ms is None:
            refused = outcome is Outcome.CONNECT_FAILED and spent_ms < 0.5 * self._settings.connect_timeout_ms
            self._turned_away += self.MEMORY * (refused - self._turned_away)
            if refused and self._turned_away > self.CROWDED:
                self.keep_ms = max(self._settings.tick_ms, 0.5 * min(self.keep_ms, aim_ms))
            self._fresh_loss += self.MEMORY * (lost - self._fresh_loss)
            if outcome is Outcome.OK or (outcome is Outcome.CONNECT_FAILED and not refused):
                late = (spent_ms - usual_ms if outcome is Outcome.OK else spent_ms) / aim_ms
                self._fresh_extra += self.MEMORY * (late - self._fresh_extra)
            return
        if attempt.idle_ms > self._settings.tick_ms:
            weight = 0.5 if outcome is Outcome.TIMEOUT else 1.0  # a long answer may be to blame
            self._kept_loss += self.MEMORY * (weight * lost - self._kept_loss)
        if outcome is Outcome.OK:
            self._kept_extra += self.MEMORY * ((spent_ms - usual_ms) / aim_ms - self._kept_extra)
            if attempt.idle_ms > 0.5 * self.keep_ms:
                self.keep_ms = min(self._settings.conn_idle_ms, 1.25 * self.keep_ms)
        elif lost and self._kept_loss > 2.0 * self._fresh_loss + self.ODD_LOSS:
            self.keep_ms = max(self._settings.tick_ms, 0.5 * min(self.keep_ms, attempt.idle_ms))
