"""Detection of peers that are gone or unreachable while bytes are being sent to them.

TCP_USER_TIMEOUT can't be used where a peer may read late: Linux also ends a connection whose peer answers all window
probes but keeps its window closed for that long. RFC 1122, 4.2.2.17, requires such a connection to be kept.
"""

from __future__ import annotations

import asyncio
import math
import socket

from larkweir.cluster import log
from larkweir.cluster.tcp_info import TcpInfo, read_tcp_info, unacknowledged_bytes

CHECKS_PER_TIMEOUT = 4
# A peer may leave one probe unanswered, since Linux limits the rate of such answers, and another may be lost.
MAX_UNANSWERED_PROBES = 3


class DeadPeerDetector:
    """Aborts a connection whose peer acknowledges nothing that is sent to it.

    The peer is dead if it acknowledges none of the bytes in flight for the time-out, or, while its window is closed,
    answers none of `MAX_UNANSWERED_PROBES` window probes. A peer that only reads late is not: it may keep its window
    closed for `max_stall_ms`.
    """

    def __init__(
        self, transport: asyncio.Transport, timeout_ms: float, *, max_stall_ms: float = math.inf
    ) -> None:
        """Create the detector of one connection; it checks nothing until bytes are written.

        Args:
            transport: the transport of the connection. Without a socket that it gives access to, nothing is detected.
            timeout_ms: how long a peer may leave bytes in flight unacknowledged.
            max_stall_ms: how long a peer that answers window probes may accept no bytes.
        """
        self._transport = transport
        self._loop = asyncio.get_running_loop()
        self._socket: socket.socket | None = transport.get_extra_info("socket")
        self._timeout_s = timeout_ms / 1000.0
        self._max_stall_s = max_stall_ms / 1000.0
        self._written_bytes = 0
        self._acknowledged_bytes = 0  # as of the last check
        self._progress_s = 0.0  # when the peer last acknowledged bytes, or the first of them were written
        self._timer: asyncio.TimerHandle | None = None

    def on_written(self, size_bytes: int) -> None:
        """Watch the connection until all bytes are acknowledged; must be called for all that is written to it."""
        self._written_bytes += size_bytes
        if self._timer is None and self._socket is not None:
            self._progress_s = self._loop.time()
            self._start_timer(self._progress_s)

    def limit_stall(self, max_stall_ms: float) -> None:
        """Change how long a peer that answers window probes may accept no bytes."""
        self._max_stall_s = max_stall_ms / 1000.0

    def has_unacknowledged_bytes(self) -> bool:
        """Whether the peer has not acknowledged all that was written; True once the connection has ended."""
        try:
            return bool(self._unacknowledged_bytes())
        except OSError:
            return True

    def _unacknowledged_bytes(self) -> int:
        """Count the bytes in the kernel's send queue and in the transport's buffer. Raises OSError."""
        queued = unacknowledged_bytes(self._socket) if self._socket is not None else 0
        return queued + self._transport.get_write_buffer_size()

    def stop(self) -> None:
        """Stop watching: the connection has ended."""
        self._socket = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _start_timer(self, now_s: float) -> None:
        next_check_s = now_s + self._timeout_s / CHECKS_PER_TIMEOUT
        timeout_s = self._progress_s + self._timeout_s
        if now_s < timeout_s:
            next_check_s = min(next_check_s, timeout_s)
        self._timer = self._loop.call_at(next_check_s, self._check)

    def _check(self) -> None:
        self._timer = None
        if self._socket is None:
            return
        now_s = self._loop.time()
        try:
            unacknowledged = self._unacknowledged_bytes()
            if not unacknowledged:
                self._acknowledged_bytes = self._written_bytes
                return
            info = read_tcp_info(self._socket)
        except OSError:
            return  # the connection has ended; the event loop notifies its protocol
        if self._written_bytes - unacknowledged > self._acknowledged_bytes:
            self._acknowledged_bytes = self._written_bytes - unacknowledged
            self._progress_s = now_s
        if self._is_dead(info, now_s - self._progress_s):
            log.debug("peer_not_acknowledging", bytes=unacknowledged, probes=info.unanswered_probes)
            self._transport.abort()
        else:
            self._start_timer(now_s)

    def _is_dead(self, info: TcpInfo, without_progress_s: float) -> bool:
        if not info.unacknowledged_segments:  # the peer's window is closed
            is_stalled = without_progress_s >= self._max_stall_s
            return is_stalled or info.unanswered_probes >= MAX_UNANSWERED_PROBES
        # A peer that is short of memory drops bytes in flight and says so in acknowledgements of earlier ones.
        has_answered = 0.0 < info.last_ack_age_ms < self._timeout_s * 1000.0
        return without_progress_s >= self._timeout_s and not has_answered
