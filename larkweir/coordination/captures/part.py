"""Captures as a part of a balancer: a timer, a channel to the peers, and the file. Does I/O.

When a successor takes over, nothing is left of the output limits for it to spend: so no window exceeds them over a
handover or a crash either.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from larkweir_balancing.interface import RequestArrived
from larkweir_captures.node import Node
from larkweir_captures.options import Options

from larkweir.config.fleet_tables import Captures
from larkweir.config.options import Operator
from larkweir.config.peering import capturing
from larkweir.config.platform import Config, ConfigError
from larkweir.coordination.captures.capture_file import HANDOVER_MS, CaptureFile
from larkweir.coordination.captures.limited_log import LimitedLog
from larkweir.coordination.captures.recorder import CaptureRecorder
from larkweir.coordination.captures.transport import CaptureTransport
from larkweir.core.clock import Clock, Timer
from larkweir.core.dispatcher import Dispatcher
from larkweir.core.stderr_log import StderrLog
from larkweir.upstreams.pool import UpstreamPool

if TYPE_CHECKING:
    from larkweir_peers.transport import PeerTransport

    from larkweir.coordination.duties.thresholds import CaptureThresholds
    from larkweir.routes.request_routing import Routes

PEER_CHANNEL = 5


class Host(Protocol):
    """What a balancer provides to this part."""

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


class Part:
    """From `attach` to `close`. `set_handed_over` may be called at any time."""

    def __init__(self, host: Host, options: Captures, me: str) -> None:
        """`me`: the name of this hop."""
        self.options = options
        self._clock = host.clock
        self._log = LimitedLog(host.log.write, host.clock.now_ms)
        self._transport = CaptureTransport()
        self.node = Node(me, node_options(options), self._transport, gossip=False)
        if host.peers is not None:
            self._transport.peers = host.peers.open_channel(PEER_CHANNEL, self._on_message)
        self.recorder = _attach_recorder(host, self.node, options.slow_ms)
        self._file = CaptureFile(options, self._log)
        self._is_leaving = self._is_finishing = self._is_closed = False
        self._leave_ms = 0.0  # when a process that has handed over writes no more
        self._logged_states = (False, False)  # overloaded, stale
        self._timer: Timer | None = host.clock.after(0.0, self._on_timer)

    def create_task(self, incarnation: int, wake: Callable[[], None]) -> CaptureThresholds:
        """The coordinator's duty. `incarnation`: of this process's reports; `wake` is called when a report waits."""
        from larkweir.coordination.duties.thresholds import (
            CaptureThresholds,  # not imported where there are no duties
        )

        create_task = CaptureThresholds(
            incarnation, self.node, self._transport.take_report, self.options.hold_ms, self.options.rest
        )

        def on_report() -> None:
            create_task.next_ms = 0.0
            wake()

        self._transport.on_report = on_report
        return create_task

    def configure(self, config: Config, options: Operator | None) -> None:
        """Apply a reload."""
        if options is not None:
            self.recorder.slow_ms = options.captures.slow_ms

    def set_handed_over(self, is_handed_over: bool) -> None:
        """Held: a successor takes over; it gets the file when the records of open requests are written."""
        if is_handed_over and not self._is_leaving:
            self._leave_ms = self._clock.now_ms() + HANDOVER_MS
        self._is_leaving = is_handed_over

    def close(self) -> None:
        """End for good. What the output limits allow now is written."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self._file.is_open:
            self._file.put(self.node.take_lines(self._clock.now_ms()))
        self._close_file()

    # ------------------------------------------------ the timer

    def _on_message(self, source: str, item: bytes, now_ms: float) -> None:
        self.node.on_message(source, item, now_ms)  # reports don't come this way: one is dropped

    def _on_timer(self) -> None:
        self._timer = None
        if self._is_closed:
            return
        now = self._clock.now_ms()
        if not self._file.is_open and not self._is_leaving and self._file.open(now):
            self.node.begin_writing(now)
        self.recorder.follow.overdue(now)
        self._file.put(self.node.tick(now, self._file.is_open and not self._is_finishing))
        if self._file.is_open:
            if self._is_leaving and (now >= self._leave_ms or not self._has_open_records):
                self._is_finishing = True
            if self._is_finishing and self._file.finish():
                self._close_file()
        self._log_states(now)
        self._file.log_dropped()
        self._timer = self._clock.at(max(self.node.next_ms, now + 1.0), self._on_timer)

    @property
    def _has_open_records(self) -> bool:
        return bool(len(self.recorder.follow) or len(self.node.sampled) or len(self.node.triggered))

    def _close_file(self) -> None:
        self._is_finishing = False
        self._file.close()
        left = len(self.node.sampled) + len(self.node.triggered)
        if left:
            self._log.log(
                "left", f"captures: {left} records were not written: their volume was not free in time"
            )

    # ------------------------------------------------ log and status

    def _log_states(self, now_ms: float) -> None:
        states = (self.node.is_overloaded, self.node.thresholds.is_stale(now_ms))
        if states == self._logged_states:
            return
        text = "short: less is captured than asked for" if states[0] else "within its volume"
        if states[1]:
            text += f", alone: rates are {self.options.safe:g} of what they were"
        if self._log.log("state", f"captures: {text}"):
            self._logged_states = states

    def _state(self) -> str:
        if self._is_closed:
            return "closed"
        if not self._file.is_open:
            return "waiting"
        return "short" if self.node.is_overloaded else "whole"

    def facts(self) -> dict[str, object]:
        """The fields of STATUS."""
        node, now = self.node, self._clock.now_ms()
        recent, collection = node.recent, node.trace_collection
        shed_counts = (node.sampled.shed_count, node.triggered.shed_count, collection.shed_count)
        faults = {
            "too_long": node.oversized_count,
            "unreadable": node.unreadable,
            "peers_lost": collection.unanswered_count,
        }
        found: dict[str, object] = {
            "captures": self._state() + (",alone" if node.thresholds.is_stale(now) else ""),
            "captures_table": "{}.{}".format(*node.thresholds.version),
            "captures_full": round(node.sampled.utilization(now), 3),
            "captures_waiting": f"{len(node.sampled)},{len(node.triggered)}",
            "captures_let_go": ",".join(map(str, shed_counts)),
            "captures_ring": f"{len(recent)},{recent.bytes},{recent.evicted_count}",
            "captures_written": self._file.written,
            "captures_dropped": self._file.dropped,
            "captures_wrong": ",".join(f"{name}:{n}" for name, n in faults.items() if n) or "0",
        }
        if self._file.error:
            found["captures_disk"] = self._file.error.replace(" ", "-")
        return found


def node_options(options: Captures) -> Options:
    """A node's limits, from the table `[captures]`."""
    return Options(
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
    )


def _attach_recorder(host: Host, node: Node, slow_ms: float) -> CaptureRecorder:
    """The recorder, put between the dispatcher and the decisions, and into the budgets' headers where they are on."""
    dispatcher, upstreams, routes = host.dispatcher, host.upstreams, host.routes

    def trace_of(number: int) -> bytes:
        request = dispatcher.requests.get(number)
        return request.trace if request is not None else b""

    def address_of(number: int) -> str:
        upstream = upstreams.table.get(number)
        return f"{upstream.address[0]}:{upstream.address[1]}" if upstream is not None else "gone"

    recorder = CaptureRecorder(
        dispatcher.decisions,
        host.config.settings,
        node,
        slow_ms,
        host.clock.now_ms,
        trace_of,
        address_of,
        _route_lookup() if routes is not None else lambda event: "",
    )
    dispatcher.decisions = recorder
    if dispatcher.extensions.budgets is not None:
        dispatcher.extensions.budgets.carry(recorder)
    return recorder


def _route_lookup() -> Callable[[RequestArrived], str]:
    from larkweir.routes.router import Choice  # not imported where there are no routes

    def route_of(event: RequestArrived) -> str:
        return event.choice.route if isinstance(event.choice, Choice) else ""

    return route_of


def attach(host: Host, options: Operator) -> None:
    """Add captures to a balancer, after budgets and peers where they are on. ConfigError if the file's folder is
    missing.
    """
    own = options.captures
    folder = os.path.dirname(own.path)
    if not os.path.isdir(folder):
        raise ConfigError(f"captures.path: there is no folder {folder!r:.100}")
    part = Part(host, own, capturing(options, host.config))
    host.captures = part
    host.close_callbacks.append(part.close)
    host.status_callbacks.append(part.facts)
    host.configure_callbacks.append(part.configure)
