"""What the kernel knows about the sent bytes of a TCP connection (tcp(7): TCP_INFO, SIOCOUTQ)."""

from __future__ import annotations

import fcntl
import socket
import struct
from dataclasses import dataclass

SIOCOUTQ = 0x5411  # linux/sockios.h: bytes in the send queue that the peer has not acknowledged
TCP_INFO_BYTES = 104  # up to and including tcpi_total_retrans, which all versions of Linux have
_INT = struct.Struct("i")
# linux/tcp.h, struct tcp_info: tcpi_probes (byte 3), tcpi_unacked (byte 24), tcpi_last_ack_recv (byte 56)
_PROBES = struct.Struct("3xB")
_UNACKED = struct.Struct("24xI")
_LAST_ACK = struct.Struct("56xI")


@dataclass(frozen=True, slots=True)
class TcpInfo:
    """State of the sending direction of a connection.

    Attributes:
        unacknowledged_segments: segments that were sent and not yet acknowledged. None, with bytes in the send queue,
            means that the peer's window is closed: it has no room for the next segment.
        unanswered_probes: window probes and keep-alive probes that were sent since the peer last answered one.
        last_ack_age_ms: time since the last acknowledgement; 0 also where the kernel does not measure it.
    """

    unacknowledged_segments: int
    unanswered_probes: int
    last_ack_age_ms: int


def read_tcp_info(sock: socket.socket) -> TcpInfo:
    """Read the state of a connection.

    Raises:
        OSError: the socket is closed, or the kernel does not support TCP_INFO.
    """
    raw = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    return TcpInfo(
        unacknowledged_segments=_UNACKED.unpack_from(raw)[0],
        unanswered_probes=_PROBES.unpack_from(raw)[0],
        last_ack_age_ms=_LAST_ACK.unpack_from(raw)[0],
    )


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many bytes in the kernel's send queue the peer has not acknowledged.

    Raises:
        OSError: the socket is closed, or the kernel does not support SIOCOUTQ.
    """
    queued: int = _INT.unpack(fcntl.ioctl(sock.fileno(), SIOCOUTQ, bytes(_INT.size)))[0]
    return queued
