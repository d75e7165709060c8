"""Socket options of the fleet's TCP connections (tcp(7))."""

from __future__ import annotations

import asyncio
import socket

TCP_KEEPALIVE_S = 1  # a whole number of seconds by tcp(7)


def set_tcp_options(
    transport: asyncio.BaseTransport, user_timeout_ms: float, *, keepalive: bool = False
) -> None:
    """Disable Nagle's algorithm and bound the time to notice that the other side is gone.

    Args:
        transport: of the connection; one without a socket is left as it is.
        user_timeout_ms: the connection ends when bytes stay unacknowledged for this long (TCP_USER_TIMEOUT).
        keepalive: probe the other side after a second without traffic (SO_KEEPALIVE).
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
        pass  # the connection has ended, of which its protocol is notified
