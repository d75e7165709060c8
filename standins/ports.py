"""Ports that nobody else is given between their choice and their use.

A port that is asked of the system, closed and bound later belongs to nobody in between: another process of the same
run, or a connection of its own, is given it, and the one that was to listen dies with EADDRINUSE. Here the socket that
chose the port stays bound with SO_REUSEADDR and never listens: the system gives its port to no bind to port 0 and to no
connection, and still lets a listener with SO_REUSEADDR in beside it (socket(7)).
"""

from __future__ import annotations

import socket
from collections import deque

HELD = 128  # a test or a rig uses fewer; the oldest is let go first
_held: deque[socket.socket] = deque()


def free_port() -> int:
    """A port on 127.0.0.1 that is kept for this process while it is among the last `HELD` it asked for. Who
    connects before anyone listens there is refused.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    _held.append(sock)
    if len(_held) > HELD:
        _held.popleft().close()
    return int(sock.getsockname()[1])
