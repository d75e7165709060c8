"""Complete events of a `text/event-stream` (WHATWG HTML, 9.2), so that a broken stream can be resumed elsewhere."""

from __future__ import annotations

MAX_PENDING_BYTES = 1024 * 1024  # of one event; a longer one is relayed in chunks and can't be resumed


class EventBuffer:
    """Buffers an incomplete event, and knows the id of the last one that was relayed."""

    def __init__(self) -> None:
        """Nothing has been received."""
        self._pending = b""
        self.last_id: bytes | None = None
        self.resumable = True

    def feed(self, data: bytes) -> bytes:
        """Take in a chunk; return the complete events, to be relayed now."""
        self._pending += data
        end = self._end_of_last_event()
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

    def _end_of_last_event(self) -> int:
        ends = [
            at + len(separator)
            for separator in (b"\n\n", b"\r\n\r\n", b"\r\r")
            if (at := self._pending.rfind(separator)) >= 0
        ]
        return max(ends, default=0)

    def flush(self) -> bytes:
        """The stream is complete: return what is buffered."""
        remaining, self._pending = self._pending, b""
        return remaining

    def restart(self) -> None:
        """The stream broke: drop the incomplete event, which the next upstream sends again."""
        self._pending = b""
