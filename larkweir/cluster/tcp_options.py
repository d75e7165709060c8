"""Socket options of the fleet's TCP connections (tcp(7))."""

from __future__ import annotations

import asyncio
import socket

TCP_KEEPALIVE_S = 1  # tcp(7) takes whole seconds


def set_tcp_options(
    transport: asyncio.BaseTransport, user_timeout_ms: float, *, keepalive: bool = False
) -> None:
    """Small writes go out at once; bytes that stay unacknowledged for that long end the connection (tcp(7)).

    `keepalive`: the other side is probed after a second of silence, so that one that is gone or cut off shows.
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
        pass  # the connection has ended: its protocol is told
