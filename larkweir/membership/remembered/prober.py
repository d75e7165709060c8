"""Sends the probes of restored upstreams through the pool, a few at a time."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import Protocol

from larkweir_balancing.interface import Outcome, ServerState

from larkweir.core.clock import Clock, Timer
from larkweir.core.message import Message
from larkweir.core.ports import Pool
from larkweir.membership.remembered.entries import RestoredEntries
from larkweir.membership.remembered.rows import RestoredRows


class ProbeOwner(Protocol):
    """Whose upstreams are probed."""

    entries: RestoredEntries | None  # None: discovery has answered

    def ended(self, server: int, outcome: Outcome, answer: Message | None, probe: bool = False) -> bool:
        """A probe has ended."""


class RestoredProbe:
    """Observes the end of one probe."""

    __slots__ = ("_owner", "_server")
    streams = False

    def __init__(self, owner: ProbeOwner, server: int) -> None:
        self._owner = owner
        self._server = server

    def started(self, answer: Message) -> bool:
        """A probe's answer is not forwarded."""
        return False

    def no_longer_needed(self) -> bool:
        """Whether discovery has answered meanwhile."""
        return self._owner.entries is None

    def ended(self, outcome: Outcome, answer: Message | None) -> None:
        """The probe has ended."""
        self._owner.ended(self._server, outcome, answer, probe=True)


class RestoredProber:
    """The timer of the probes."""

    STEP_MS = 5.0  # from step to step of probing
    MAX_PROBES_PER_STEP = 4  # 800 a second at the most
    PROBE_TIMEOUT_MS = 50.0

    def __init__(
        self,
        owner: ProbeOwner,
        rows: RestoredRows,
        clock: Clock,
        pool: Pool,
        target: bytes,
        on_unusable: Callable[[str, float], None],
    ) -> None:
        """`target` is the request target of a probe. `on_unusable` gets the name of an upstream whose row can't be
        parsed, and the time in milliseconds.
        """
        self._owner = owner
        self._rows = rows
        self._clock = clock
        self._pool = pool
        self._target = target
        self._on_unusable = on_unusable
        self._timer: Timer | None = None
        self._is_closed = False

    def arm(self) -> None:
        """Set the timer for the next probe, unless it is set."""
        entries = self._owner.entries
        if entries is None or self._is_closed or self._timer is not None:
            return
        due = entries.next_probe_ms()
        if due < inf:
            now = self._clock.now_ms()
            self._timer = self._clock.at(max(due, now + (0.0 if due <= now else 1.0)), self._send_due)

    def close(self) -> None:
        """Send no probe any more."""
        self._is_closed = True

    def _send_due(self) -> None:
        self._timer = None
        entries = self._owner.entries
        if entries is None or self._is_closed:
            return
        now = self._clock.now_ms()
        for name in entries.due_probes(now, self.MAX_PROBES_PER_STEP):
            self._send(name, now)
        entries = self._owner.entries
        if entries is not None and entries.next_probe_ms() < inf:
            at = max(entries.next_probe_ms(), now + self.STEP_MS)
            self._timer = self._clock.at(at, self._send_due)

    def _send(self, name: str, now_ms: float) -> None:
        known = self._rows.parse(name)
        if known is None:
            self._on_unusable(name, now_ms)
            return
        (entry, host), number = known, known[0].server
        message = Message()
        message.method, message.target = b"GET", self._target
        message.headers = [(b"Host", b"%s:%d" % (host[0].encode(), host[1]))]
        probe = RestoredProbe(self._owner, number)
        if number not in self._pool.targets:  # dropped meanwhile: it is added again before it is probed
            self._pool.update(number, host, ServerState.READY, entry.started_ms, entry.kind)
        if self._pool.call(number, message, now_ms + self.PROBE_TIMEOUT_MS, probe, probe=True) is None:
            probe.ended(Outcome.CONNECT_FAILED, None)
