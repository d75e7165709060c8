"""Socket options of the fleet's TCP connections (tcp(7))."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from larkweir.core.net import RESET_AT_CLOSE

KEEPALIVE_IDLE_S = 1  # tcp(7) only accepts whole seconds
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 1  # unanswered probes after which the connection ends


def set_no_delay(transport: asyncio.BaseTransport) -> None:
    """Disable Nagle's algorithm (TCP_NODELAY)."""
    _set_option(transport, socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def set_keepalive(transport: asyncio.BaseTransport) -> None:
    """End the connection after two seconds in which the peer sends nothing, not even the answer to a probe.

    The kernel probes the peer only while no sent bytes wait for an acknowledgement.
    """
    _set_option(transport, socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    _set_option(transport, socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    _set_option(transport, socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    _set_option(transport, socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def set_user_timeout(transport: asyncio.BaseTransport, timeout_ms: float) -> None:
    """End the connection if the peer does not acknowledge, or does not read, what is sent to it for this long.

    Only for peers that must read at once: see `dead_peer_detection`.
    """
    _set_option(transport, socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(timeout_ms))


def set_reset_at_close(transport: asyncio.BaseTransport, *, enabled: bool) -> None:
    """Make the end of the connection a reset, whoever ends it and however, or an end in order again."""
    value = RESET_AT_CLOSE if enabled else bytes(len(RESET_AT_CLOSE))
    _set_option(transport, socket.SOL_SOCKET, socket.SO_LINGER, value)


def _set_option(transport: asyncio.BaseTransport, level: int, name: int, value: int | bytes) -> None:
    """Set an option; does nothing if the transport has no socket, or the connection has ended."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):  # the event loop notifies the protocol of the end
            sock.setsockopt(level, name, value)
