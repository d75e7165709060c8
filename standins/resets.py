"""Closing a connection so that its other end sees a reset (ECONNRESET) and no end in good order."""

from __future__ import annotations

import asyncio
import socket
import struct

RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # of SO_LINGER, socket(7): on, and for 0 seconds


def reset(transport: asyncio.BaseTransport) -> None:
    """Close it with a reset; what it has not sent is dropped. `abort` alone sends an end, under uvloop as under
    asyncio, unless bytes lie unread. A transport that is closing already is only aborted; a Unix socket knows no reset.
    """
    if not transport.is_closing():
        connection = transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    transport.abort()  # type: ignore[attr-defined]
