"""Hands: captures as a part of a balancer: a timer, a channel of the peers' mail, the file on a thread of its own.
Not imported where `[captures]` is off.

One life writes a file at a time: who holds PATH.lock. A successor begins when its predecessor has written what was
under way, or has ended, with nothing of a window's volume to spare; so no window holds more over a handover or a crash
either.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Protocol

from larkweir_balancing.interface import RequestArrived
from larkweir_captures.node import Node
from larkweir_captures.options import Options
from larkweir_captures.writer import Writer

from larkweir.config.fleet_tables import Captures
from larkweir.config.options import Operator
from larkweir.config.peering import capturing
from larkweir.config.platform import Config, ConfigError
from larkweir.coordination.captures.recorder import OWNER, CaptureRecorder
from larkweir.core.clock import Clock, Timer
from larkweir.core.dispatcher import Dispatcher
from larkweir.core.stderr_log import StderrLog
from larkweir.upstreams.pool import UpstreamPool

if TYPE_CHECKING:
    from larkweir_peers.transport import Channel, PeerTransport

    from larkweir.coordination.duties.thresholds import CaptureThresholds
    from larkweir.routes.hands import Routes

CAPTURES = 5  # channel of the peers' mail
AGAIN_MS = 100.0  # until a file that another life writes is tried again
LEAVE_MS = 5_000.0  # a life that has handed over writes on for so long, at the most
CLOSE_S = 0.25  # for lines that wait for the disk at the end
SAY_MS = 10_000.0  # between two lines on the same matter


class Host(Protocol):
    """What a balancer gives to this part."""

    config: Config
    clock: Clock
    log: StderrLog
    dispatcher: Dispatcher
    upstreams: UpstreamPool
    routes: Routes | None
    peers: PeerTransport | None
    captures: Part | None
    close_callbacks: list[Callable[[], None]]
    status_callbacks: list[Callable[[], dict[str, object]]]
    configure_callbacks: list[Callable[[Config, Operator | None], None]]


class _Post:
    """Asks go to peers; reports to whoever owns the duty, by its own way."""

    def __init__(self) -> None:
        self.mail: Channel | None = None
        self.report = b""  # the newest, not told yet
        self.told: Callable[[], None] = lambda: None  # there is one

    def post(self, to: str, item: bytes) -> bool:
        if to == OWNER:
            self.report = item
            self.told()
            return True
        return self.mail is not None and self.mail.post(to, item)

    def alive(self) -> Sequence[str]:
        return self.mail.alive() if self.mail is not None else ()

    def take(self) -> bytes:
        item, self.report = self.report, b""
        return item


class Part:
    """From `attach` to `close`. `hold` may be called at any time."""

    def __init__(self, host: Host, options: Captures, me: str) -> None:
        self.options = options
        self._clock, self._log = host.clock, host.log.write
        self._post = _Post()
        self.node = Node(
            me,
            Options(
                records_per_s=options.records_per_s,
                bytes_per_s=options.bytes_per_s,
                triggered_fraction=options.after,
                recent_ms=options.ring_ms,
                recent_records=options.ring_records,
                recent_bytes=options.ring_bytes,
                default_rate=options.rest,
                stale_after_ms=options.hold_ms,
                stale_fraction=options.safe,
                triggered_traces_per_s=options.asks_per_s,
            ),
            self._post,
            gossip=False,
        )
        if host.peers is not None:
            self._post.mail = host.peers.open_channel(CAPTURES, self._came)
        dispatcher, upstreams, routes = host.dispatcher, host.upstreams, host.routes

        def trace_of(number: int) -> bytes:
            request = dispatcher.requests.get(number)
            return request.trace if request is not None else b""

        def address_of(number: int) -> str:
            upstream = upstreams.table.get(number)
            return f"{upstream.address[0]}:{upstream.address[1]}" if upstream is not None else "gone"

        self.scribe = CaptureRecorder(
            dispatcher.decisions,
            host.config.settings,
            self.node,
            options.slow_ms,
            host.clock.now_ms,
            trace_of,
            address_of,
            _by_route() if routes is not None else lambda event: "",
        )
        dispatcher.decisions = self.scribe
        if dispatcher.extensions.budgets is not None:
            dispatcher.extensions.budgets.carry(self.scribe)
        self._writer: Writer | None = None
        self._lock = -1
        self._lock_ms = 0.0  # when it is tried next
        self._waits_ms = 0.0  # since when another process has it
        self._leaving = self._ending = self._closed = False
        self._leave_ms = 0.0  # by when it has left
        self._dropped = self._written = 0  # by writers that are closed
        self._told_dropped = 0
        self._states = (False, False)  # short, alone: as the log has them
        self._said_ms: dict[str, float] = {}
        self._timer: Timer | None = host.clock.after(0.0, self._turn)

    def duty(self, incarnation: int, wake: Callable[[], None]) -> CaptureThresholds:
        """The coordinator's work. `life` of this copy's reports; `wake`: it has something to tell."""
        from larkweir.coordination.duties.thresholds import (
            CaptureThresholds,  # not imported where nobody owns duties
        )

        found = CaptureThresholds(
            incarnation, self.node, self._post.take, self.options.hold_ms, self.options.rest
        )

        def told() -> None:
            found.next_ms = 0.0
            wake()

        self._post.told = told
        return found

    def configure(self, config: Config, options: Operator | None) -> None:
        if options is not None:
            self.scribe.slow_ms = options.captures.slow_ms

    # ------------------------------------------------ the file

    def _open(self, now_ms: float) -> None:
        """The file, where no other life has it. What fails is told, and tried again."""
        if now_ms < self._lock_ms:
            return
        path = self.options.path
        try:
            if self._lock < 0:
                self._lock = os.open(f"{path}.lock", os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o640)
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            writer = Writer(path, file_bytes=self.options.file_bytes, files=self.options.files)
        except BlockingIOError:
            self._lock_ms = now_ms + AGAIN_MS
            self._waits_ms = self._waits_ms or now_ms
            if now_ms - self._waits_ms > LEAVE_MS + SAY_MS:  # no predecessor's
                self._say(
                    "lock", f"captures: {path} is another process's: nothing is written here until it ends"
                )
        except OSError as problem:
            self._lock_ms = now_ms + 10.0 * AGAIN_MS
            self._unlock()
            self._say("open", f"captures: {path}: {problem.strerror}; tried again")
        else:
            self._writer, self._waits_ms = writer, 0.0
            self.node.begin_writing(now_ms)

    def _unlock(self) -> None:
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def _shut(self) -> None:
        """Nothing more is written here: what still waits for the disk is, for a moment."""
        writer, self._writer, self._ending = self._writer, None, False
        if writer is not None:
            writer.close(CLOSE_S)
            self._written += writer.written
            self._dropped += writer.dropped
        self._unlock()
        left = len(self.node.sampled) + len(self.node.triggered)
        if left:
            self._say("left", f"captures: {left} records were not written: their volume was not free in time")

    # ------------------------------------------------ turns

    def _came(self, source: str, item: bytes, now_ms: float) -> None:
        self.node.on_message(source, item, now_ms)  # a report that came here is nobody's

    def _turn(self) -> None:
        self._timer = None
        if self._closed:
            return
        now = self._clock.now_ms()
        if self._writer is None and not self._leaving:
            self._open(now)
        self.scribe.follow.overdue(now)
        writer = self._writer
        lines = self.node.tick(now, writer is not None and not self._ending)
        if writer is not None:
            writer.put(lines)
            if self._leaving and (now >= self._leave_ms or not self._under_way):
                self._ending = True
            if self._ending:  # a disk that hangs holds nobody up: the file is this life's until the last line
                writer.close(0.0)
                if writer.ended:
                    self._shut()
        self._tell(now)
        self._timer = self._clock.at(max(self.node.next_ms, now + 1.0), self._turn)

    @property
    def _under_way(self) -> bool:
        return bool(len(self.scribe.follow) or len(self.node.sampled) or len(self.node.triggered))

    def hold(self, held: bool) -> None:
        """Held: a successor goes on; it gets the file when what is under way here is written."""
        if held and not self._leaving:
            self._leave_ms = self._clock.now_ms() + LEAVE_MS
        self._leaving = held

    def close(self) -> None:
        """For good. What the volume lets go now is written."""
        if self._closed:
            return
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self._writer is not None:
            self._writer.put(self.node.take_lines(self._clock.now_ms()))
        self._shut()

    # ------------------------------------------------ what is told

    def _tell(self, now_ms: float) -> None:
        states = (self.node.is_overloaded, self.node.thresholds.is_stale(now_ms))
        if states != self._states:
            text = "short: less is captured than asked for" if states[0] else "within its volume"
            if states[1]:
                text += f", alone: rates are {self.options.safe:g} of what they were"
            if self._say("state", f"captures: {text}"):
                self._states = states
        writer = self._writer
        if (
            writer is not None
            and writer.dropped > self._told_dropped
            and self._say(
                "disk",
                f"captures: {writer.dropped - self._told_dropped} lines dropped: {writer.broken or 'too many wait'}",
            )
        ):
            self._told_dropped = writer.dropped

    def _say(self, kind: str, text: str) -> bool:
        now = self._clock.now_ms()
        if now - self._said_ms.get(kind, float("-inf")) < SAY_MS:
            return False
        self._said_ms[kind] = now
        self._log(text)
        return True

    def facts(self) -> dict[str, object]:
        """For STATUS, one line's worth."""
        node, writer, now = self.node, self._writer, self._clock.now_ms()
        alone, ring = node.thresholds.is_stale(now), node.recent
        state = "short" if node.is_overloaded else "whole"
        if self._closed:
            state = "closed"
        elif writer is None:
            state = "waiting"
        shed_count = (node.sampled.shed_count, node.triggered.shed_count, node.trace_collection.shed_count)
        wrong = {
            "too_long": node.oversized_count,
            "unreadable": node.unreadable,
            "peers_lost": node.trace_collection.unanswered_count,
        }
        found: dict[str, object] = {
            "captures": state + (",alone" if alone else ""),
            "captures_table": "{}.{}".format(*node.thresholds.version),
            "captures_full": round(node.sampled.utilization(now), 3),
            "captures_waiting": f"{len(node.sampled)},{len(node.triggered)}",
            "captures_let_go": ",".join(map(str, shed_count)),
            "captures_ring": f"{len(ring)},{ring.bytes},{ring.evicted_count}",
            "captures_written": self._written + (writer.written if writer is not None else 0),
            "captures_dropped": self._dropped + (writer.dropped if writer is not None else 0),
            "captures_wrong": ",".join(f"{name}:{n}" for name, n in wrong.items() if n) or "0",
        }
        if writer is not None and writer.broken:
            found["captures_disk"] = writer.broken.replace(" ", "-")
        return found


def _by_route() -> Callable[[RequestArrived], str]:
    from larkweir.routes.router import Choice  # not imported where there is no route

    def route_of(event: RequestArrived) -> str:
        return event.choice.route if isinstance(event.choice, Choice) else ""

    return route_of


def attach(host: Host, options: Operator) -> None:
    """The part, behind budgets and peers where they are on. ConfigError where the files don't do."""
    own = options.captures
    folder = os.path.dirname(own.path)
    if not os.path.isdir(folder):
        raise ConfigError(f"captures.path: there is no folder {folder!r:.100}")
    part = Part(host, own, capturing(options, host.config))
    host.captures = part
    host.close_callbacks.append(part.close)
    host.status_callbacks.append(part.facts)
    host.configure_callbacks.append(part.configure)
