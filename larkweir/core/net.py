"""System calls on sockets that bypass the event loop: unread bytes, closes and resets by the peer, unacknowledged
bytes, and closing the sending side.

All such calls are in this module, and callers use them as attributes of the module (`net.is_readable`), so that the
simulated kernel of `standins.world` can replace them.
"""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import sys
import termios
from typing import Protocol

UNREAD = select.POLLIN
RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # value for SO_LINGER, socket(7): on, with a timeout of 0 seconds


class Watch(Protocol):
    """A descriptor that is polled repeatedly."""

    def poll(self, timeout_ms: float, /) -> list[tuple[int, int]]:
        """Empty if none of the watched conditions holds, else one pair of descriptor and flags. For `watch`, the flags
        equal `UNREAD` if there are unread bytes and the connection has not ended.
        """


def watch(descriptor: int) -> Watch:
    """Watch for unread bytes, for an end of the connection (also if only the peer's sending side was closed), and for
    an error.
    """
    found = select.poll()
    found.register(descriptor, select.POLLIN | select.POLLRDHUP)
    return found


def watch_close(descriptor: int) -> Watch:
    """Watch only for a close or reset by the peer. Closing the sending side alone counts as a close. Detected even if
    earlier bytes are unread.
    """
    found = select.poll()
    found.register(descriptor, select.POLLRDHUP)  # POLLHUP and POLLERR are always reported, poll(2)
    return found


def is_readable(descriptor: int) -> bool:
    """Whether unread bytes, an end of the connection, or a connection to accept are pending."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


def unread_bytes(descriptor: int) -> int:
    """The number of unread bytes (FIONREAD); 0 if the system can't say, for example for a closed descriptor."""
    try:
        raw = fcntl.ioctl(descriptor, termios.FIONREAD, bytes(4))
    except (OSError, ValueError):
        return 0
    return int.from_bytes(raw, sys.byteorder)


def peek(descriptor: int, size: int) -> bytes:
    """Up to `size` unread bytes, which remain unread. Empty if the connection is broken."""
    sock = socket.socket(fileno=descriptor)
    try:
        return sock.recv(size, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError:
        return b""
    finally:
        sock.detach()


def shutdown_sending(descriptor: int) -> None:
    """Close the sending side of a connection at once: the peer sees the end after all bytes that were sent. Raises
    OSError if the peer has reset the connection.
    """
    sock = socket.socket(fileno=descriptor)
    try:
        sock.shutdown(socket.SHUT_WR)
    finally:
        sock.detach()


def unacknowledged_bytes(descriptor: int) -> int:
    """The number of bytes that were written but that the peer's system has not acknowledged (SIOCOUTQ, tcp(7)). Raises
    OSError or ValueError if the system can't say.
    """
    raw = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(4))
    return max(0, int.from_bytes(raw, sys.byteorder, signed=True))


def discard_unacknowledged(sock: socket.socket) -> None:
    """If there are unacknowledged bytes, make the close of the connection a reset that drops them. Without this, the
    system continues to send them for minutes after the close, and a peer that was disconnected receives them when it
    is reachable again.
    """
    try:
        if unacknowledged_bytes(sock.fileno()):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    except (OSError, ValueError):
        pass  # the socket is closed already or does not support this, so nothing more is sent
