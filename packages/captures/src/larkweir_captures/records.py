"""The record of one request at one hop, on its way to a line."""

from __future__ import annotations

import msgspec


class PendingRecord(msgspec.Struct, eq=False, gc=False):
    """A record that may be written, with the other fields of its line.

    One is made for each request, so it is a struct, which is cheap. The garbage collector need not track it: `previous`
    only refers to older ones.
    """

    trace_id: str
    rv: int  # the hash of the trace's id
    threshold: int
    body: bytes  # a JSON object
    line_bytes: int  # upper bound of the line's size
    table_version: tuple[int, int] = (0, 0)
    hops: tuple[str, ...] = ()  # other hops that the request passed
    has_unknown_hops: bool = False  # an attempt's answer is missing, so `hops` may be incomplete
    reason: str = "drawn"  # the line's `why`
    importance: int = 0
    stored_ms: float = 0.0  # when it was stored in `RecentRecords`,
    is_available: bool = False  # whether it is still there,
    previous: PendingRecord | None = None  # and the trace's record before it
