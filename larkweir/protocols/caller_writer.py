"""Writes to a caller's connection: whether its system takes what is written, whether it has closed, the ways to close
it here, and a log line where an answer is truncated. Does its I/O through an asyncio transport, and asks the system.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

from larkweir.core import net
from larkweir.core.body_stream import BodyStream
from larkweir.core.peer_progress import PeerProgress


def unacknowledged(transport: asyncio.Transport) -> int:
    """Bytes written that the peer's system has not acknowledged, those in this process's buffer included; these alone
    where the system does not say (SIOCOUTQ, tcp(7)).
    """
    waiting = transport.get_write_buffer_size()
    try:
        return waiting + net.unacknowledged_bytes(transport.get_extra_info("socket").fileno())
    except (OSError, ValueError, AttributeError):
        return waiting


class CallerWriter:
    """What was written to one caller's connection. A long answer is one that is forwarded while it arrives, or is as
    long. Times are the clock's milliseconds.
    """

    UNREAD_MS = 2_000.0  # without a byte acknowledged of what was written
    STALL_MS = 15_000.0  # the same up to the end of a long answer

    __slots__ = ("_body_received_ms", "_close_watch", "_log", "_long_body", "_progress", "transport")

    def __init__(self, log: Callable[[str], None]) -> None:
        self.transport: asyncio.Transport | None = None
        self._log = log
        self._progress = PeerProgress()
        # Of the last long answer, until its caller has all of it or its truncation is logged.
        self._long_body: BodyStream | None = None
        self._body_received_ms = 0.0
        self._close_watch: net.Watch | None = None

    def is_peer_gone(self) -> bool:
        """Whether the connection is closed, here or by the peer, as the system knows by now."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return True
        watch = self._close_watch
        if watch is None:
            watch = self._close_watch = net.watch_close(transport.get_extra_info("socket").fileno())
        return bool(watch.poll(0))

    def write(self, data: bytes) -> None:
        """Write, unless the connection is closed."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)
            self._progress.written += len(data)

    @property
    def unacknowledged_bytes(self) -> int:
        """Bytes that may be lost if the connection is closed now: what the peer's system has not acknowledged is lost
        when the close resets the connection, which it does where bytes lie unread or still arrive.
        """
        return unacknowledged(self.transport) if self.transport is not None else 0

    def _shut_now(self, transport: asyncio.Transport) -> None:
        """Close the sending side at once, where all is written: the loop does it one iteration later, and a request
        received in between would be in this system before the close, and yet be dropped.
        """
        if not transport.get_write_buffer_size():
            with suppress(OSError):  # the peer may have reset it
                net.shutdown_sending(transport.get_extra_info("socket").fileno())

    def close_sending(self) -> None:
        """Close the sending side behind what is written; what the caller still sends is read."""
        if self.transport is not None and not self.transport.is_closing():
            self._shut_now(self.transport)
            self.transport.write_eof()
            self.transport.resume_reading()

    def abort(self) -> None:
        """Close it now, with whatever is not sent or read."""
        transport = self.transport
        if transport is not None:
            if not transport.is_closing():
                self._shut_now(transport)
            transport.abort()

    def reset(self) -> None:
        """Close it so that the peer sees a reset: a plain close would end the answer (RFC 9112, section 8)."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, net.RESET_AT_CLOSE
            )
            self.transport.abort()

    def begin_long_answer(self, body: BodyStream) -> None:
        """A long answer begins."""
        self._long_body = body

    def on_body_received(self, now_ms: float) -> None:
        """Bytes of its body were received from the upstream."""
        self._body_received_ms = now_ms

    def end_long_answer(self) -> None:
        """All of a long answer is written."""
        self._progress.long_answer_end = self._progress.written

    def restart_timing(self) -> None:
        """Nobody has checked for a while, since nothing was waiting: what is waiting now is timed from here."""
        self._progress.pause()

    def check_undelivered(self, now_ms: float, memory_short: bool = False) -> bool:
        """Whether the caller's system is still to acknowledge something. If it has acknowledged nothing for too long,
        that is logged, and the connection is aborted. `memory_short`: what nobody reads must not hold memory for long.
        """
        transport = self.transport
        waiting_bytes = unacknowledged(transport) if transport is not None else 0
        silent_ms = self._progress.update(waiting_bytes, now_ms)
        arriving = self._long_body is not None and not self._long_body.ended
        if transport is None or not waiting_bytes:
            if not arriving:
                self._long_body = None
            return False
        is_long = (arriving or self._progress.in_long_answer) and not memory_short
        if silent_ms > (self.STALL_MS if is_long else self.UNREAD_MS):
            self.log_truncation(
                f"its caller has read nothing for {silent_ms:.0f} ms{', and memory is short' * memory_short}",
                now_ms,
            )
            transport.abort()
        return True

    def log_truncation(self, why: str, now_ms: float) -> None:
        """Log, once, that a long answer that had begun ends early, with what was received and is unacknowledged."""
        body, self._long_body = self._long_body, None
        if self.transport is None or (body is None and not self._progress.in_long_answer):
            return
        waiting_bytes = unacknowledged(self.transport)
        if not waiting_bytes and (body is None or body.complete):
            return
        received = ""
        if body is not None:
            of_length = "" if body.length is None else f" of {body.length}"
            ago_ms = now_ms - self._body_received_ms
            received = f"{body.size}{of_length} bytes have come, the last {ago_ms:.0f} ms ago; "
        silent_ms = self._progress.silent_ms
        self._log(
            f"a begun answer ends early: {why}; {received}{waiting_bytes} are not acknowledged, "
            f"none for {silent_ms:.0f} ms"
        )
