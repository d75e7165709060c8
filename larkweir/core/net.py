"""System calls on sockets beside the event loop: what is unread, whether the peer has closed, what it has not
acknowledged, and the closing of the sending side.

All such calls are here, and callers use them as attributes of the module (`net.is_readable`), so that the simulated kernel
of `standins.world` can replace them.
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
RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # of SO_LINGER, socket(7): on, and for 0 seconds


class Watch(Protocol):
    """A descriptor that is polled repeatedly."""

    def poll(self, timeout_ms: float, /) -> list[tuple[int, int]]:
        """Empty where there is nothing of what is looked for; else one pair. Of `watch`, its second is `UNREAD` where
        bytes wait and no end does.
        """


def watch(descriptor: int) -> Watch:
    """Bytes, an end (also of the other's half alone) or an error that wait in the system."""
    found = select.poll()
    found.register(descriptor, select.POLLIN | select.POLLRDHUP)
    return found


def watch_close(descriptor: int) -> Watch:
    """Only that the other side has closed (its sending half alone counts) or reset the connection, also while bytes
    that came before lie unread.
    """
    found = select.poll()
    found.register(descriptor, select.POLLRDHUP)  # POLLHUP and POLLERR are always told, poll(2)
    return found


def is_readable(descriptor: int) -> bool:
    """Whether bytes, an end, or a connection to accept, wait in the system."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


def unread_bytes(descriptor: int) -> int:
    """Bytes that wait to be read (FIONREAD); 0 where the system does not tell, as of a closed descriptor."""
    try:
        raw = fcntl.ioctl(descriptor, termios.FIONREAD, bytes(4))
    except (OSError, ValueError):
        return 0
    return int.from_bytes(raw, sys.byteorder)


def peek(descriptor: int, size: int) -> bytes:
    """Up to `size` bytes that wait to be read, and still do after it; none where the connection is broken."""
    sock = socket.socket(fileno=descriptor)
    try:
        return sock.recv(size, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError:
        return b""
    finally:
        sock.detach()


def shutdown_sending(descriptor: int) -> None:
    """Close the sending side of a connection at once: the other end sees the end behind what was sent. OSError where
    the other end has reset it.
    """
    sock = socket.socket(fileno=descriptor)
    try:
        sock.shutdown(socket.SHUT_WR)
    finally:
        sock.detach()


def unacknowledged_bytes(descriptor: int) -> int:
    """Bytes that the system has taken and the peer's has not acknowledged (SIOCOUTQ, tcp(7)). OSError or ValueError
    where it doesn't tell.
    """
    raw = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(4))
    return max(0, int.from_bytes(raw, sys.byteorder, signed=True))


def discard_unacknowledged(sock: socket.socket) -> None:
    """Let the close of a connection drop what the other end has not acknowledged, with a reset. Without this the system
    goes on sending it for minutes after the close, and an end that was cut off takes it when it is back.
    """
    try:
        if unacknowledged_bytes(sock.fileno()):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    except (OSError, ValueError):
        pass  # closed by now, or no such socket: nothing is sent again
