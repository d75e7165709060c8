"""Splits a `text/event-stream` (WHATWG HTML, 9.2) into complete events.

Only complete events are relayed, so that a broken stream can be resumed at another upstream.
"""

from __future__ import annotations

from larkweir.core.event_stream import end_of_last_event

MAX_PENDING_BYTES = 1024 * 1024  # a longer event is relayed in chunks, and its stream can't be resumed


class EventBuffer:
    """Buffers the incomplete event at the end of a stream, and records the id of the last complete event."""

    def __init__(self) -> None:
        """Create an empty buffer."""
        self._pending = b""
        self.last_id: bytes | None = None
        self.resumable = True

    def feed(self, data: bytes) -> bytes:
        """Add a chunk; returns the complete events, which can be relayed now."""
        self._pending += data
        end = end_of_last_event(self._pending)
        if end == 0:
            if len(self._pending) > MAX_PENDING_BYTES:
                self.resumable = False
                return self.flush()
            return b""
        complete, self._pending = self._pending[:end], self._pending[end:]
        for line in complete.splitlines():
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip()
        return complete

    def flush(self) -> bytes:
        """Return the buffered bytes, at the end of the stream."""
        remaining, self._pending = self._pending, b""
        return remaining

    def restart(self) -> None:
        """Drop the incomplete event of a broken stream; the next upstream sends it again."""
        self._pending = b""
