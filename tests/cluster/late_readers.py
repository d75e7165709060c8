"""Peers on loopback sockets that accept a connection and read late, so that the sender's window closes."""

from __future__ import annotations

import asyncio
import socket

from larkweir.cluster.tcp_info import TCP_INFO_BYTES

PATIENCE_S = 20.0
RECEIVE_BUFFER_BYTES = 16_384
SEGMENT_BYTES = 1_448  # as on Ethernet; a loopback interface would use 64 KiB
PROBES = 4  # the fourth window probe is sent some 3 s after the first
_POLL_S = 0.02
_BACKOFF_BYTE = 4  # of struct tcp_info: tcpi_backoff, the number of window probes while the window is closed


def narrow_socket() -> socket.socket:
    """Return a socket with a small receive buffer that does not block."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    sock.setblocking(False)
    return sock


def listening_socket() -> socket.socket:
    """Return a socket that listens on a loopback address; its connections have small receive buffers."""
    sock = narrow_socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen()
    return sock


async def until_probed(transport: asyncio.BaseTransport) -> None:
    """Wait until the kernel has probed the closed window of the peer `PROBES` times, or the connection has ended."""
    sock = transport.get_extra_info("socket")
    async with asyncio.timeout(PATIENCE_S):
        while not transport.is_closing():
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
            if info[_BACKOFF_BYTE] >= PROBES:
                return
            await asyncio.sleep(_POLL_S)


async def read_bytes(sock: socket.socket, count: int) -> bytes:
    """Read `count` bytes, or less at the end of the connection."""
    received = b""
    async with asyncio.timeout(PATIENCE_S):
        while len(received) < count:
            data = await asyncio.get_running_loop().sock_recv(sock, count - len(received))
            if not data:
                break
            received += data
    return received


async def read_head(sock: socket.socket) -> bytes:
    """Read one byte after the other up to the end of an HTTP head."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        byte = await read_bytes(sock, 1)
        if not byte:
            break
        head += byte
    return head
