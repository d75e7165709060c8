"""Aborts of requests among the bytes of a connection that the system holds and this process has not read."""

from __future__ import annotations

from larkweir.core import net
from larkweir.protocols.fastcgi import codec


class UnreadAborts:
    """Finds ABORT_REQUEST records (section 5.4) in front of the next read of one connection.

    It peeks, so that what it looks at is still to be read. Good until the connection is read again: then the bytes that
    it has looked at are gone, and a new one takes its place.
    """

    __slots__ = ("_next_record", "_request_ids", "_seen_bytes", "_unfinished")

    def __init__(self, unfinished: bytes) -> None:
        """`unfinished` is the begin of a record of which the rest is to be read."""
        self._unfinished = unfinished
        self._next_record = (
            0  # where the first record begins that was not complete, counted from `unfinished`
        )
        self._seen_bytes = 0
        self._request_ids: set[int] = set()

    def has(self, request_id: int, descriptor: int) -> bool:
        """Whether an abort of this request lies unread by now."""
        self._look(descriptor)
        return request_id in self._request_ids

    def _look(self, descriptor: int) -> None:
        """Walk the records that have come since the last look; none is walked twice."""
        unread_bytes = net.unread_bytes(descriptor)
        if unread_bytes <= self._seen_bytes:
            return
        data = self._unfinished + net.peek(descriptor, unread_bytes)
        self._seen_bytes = unread_bytes
        aborted, self._next_record = codec.aborted_ids(data, self._next_record)
        self._request_ids.update(aborted)
