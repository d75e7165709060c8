"""Whole events of a `text/event-stream`, so that a stream that breaks can go on elsewhere behind its last one."""

from __future__ import annotations

MAX_PENDING_BYTES = 1024 * 1024  # of one event; a longer one is passed on in parts and can't be resumed


class EventBuffer:
    """Holds back what is no whole event yet, and knows the id of the last one that was passed on."""

    def __init__(self) -> None:
        """Nothing has come."""
        self._pending = b""
        self.last_id: bytes | None = None
        self.resumable = True

    def feed(self, data: bytes) -> bytes:
        """The whole events so far, to be passed on now."""
        self._pending += data
        end = self._end_of_last_event()
        if end == 0:
            if len(self._pending) > MAX_PENDING_BYTES:
                self.resumable = False
                return self.flush()
            return b""
        whole, self._pending = self._pending[:end], self._pending[end:]
        for line in whole.splitlines():
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip()
        return whole

    def _end_of_last_event(self) -> int:
        ends = [
            at + len(mark)
            for mark in (b"\n\n", b"\r\n\r\n", b"\r\r")
            if (at := self._pending.rfind(mark)) >= 0
        ]
        return max(ends, default=0)

    def flush(self) -> bytes:
        """What is left when the stream has ended whole."""
        rest, self._pending = self._pending, b""
        return rest

    def restart(self) -> None:
        """The stream broke: what is no whole event is dropped, since it comes again."""
        self._pending = b""
