"""Socket options of the fleet's TCP connections (tcp(7))."""

from __future__ import annotations

import asyncio
import socket

TCP_KEEPALIVE_S = 1  # tcp(7) only accepts whole seconds


def set_tcp_options(
    transport: asyncio.BaseTransport, user_timeout_ms: float, *, keepalive: bool = False
) -> None:
    """Disable Nagle's algorithm and limit the time until a lost peer is detected.

    Args:
        transport: the transport of the connection; nothing is done if it has no socket.
        user_timeout_ms: the connection ends if sent bytes stay unacknowledged for this long (TCP_USER_TIMEOUT).
        keepalive: whether to probe the peer after a second without traffic (SO_KEEPALIVE).
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(user_timeout_ms))
        if keepalive:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_S)
    except OSError:
        pass  # the connection has ended; the event loop notifies its protocol
