"""Listening Unix sockets and their files (unix(7)): a file outlives its socket, and has to be replaced and removed."""

from __future__ import annotations

import errno
import os
import socket
import stat
from contextlib import suppress


class UnixSocketFiles:
    """The files that this process is to remove, by socket."""

    def __init__(self) -> None:
        self._files: dict[socket.socket, tuple[str, int]] = {}  # path and inode

    def bind(self, path: str, backlog: int) -> socket.socket:
        """A new listening socket. A file that another process left there is replaced, if nobody listens on it; OSError
        where somebody does, or where something else is there.
        """
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            with suppress(FileNotFoundError):
                self._remove_abandoned(path)
            sock.bind(path)
            self._files[sock] = (path, os.lstat(path).st_ino)
            sock.listen(backlog)
        except OSError:
            sock.close()
            raise
        return sock

    @staticmethod
    def _remove_abandoned(path: str) -> None:
        if not stat.S_ISSOCK(os.lstat(path).st_mode):
            raise FileExistsError(errno.EEXIST, "is there, and is no socket")
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
            if probe.connect_ex(path) == 0:
                raise OSError(errno.EADDRINUSE, "somebody listens there")
        os.unlink(path)

    def adopt(self, sock: socket.socket) -> None:
        """The file of a Unix socket that was inherited is this process's to remove."""
        path = sock.getsockname() if sock.family == socket.AF_UNIX else ""
        if isinstance(path, str) and path:
            with suppress(OSError):
                self._files[sock] = (path, os.lstat(path).st_ino)

    def remove(self, sock: socket.socket) -> None:
        """Remove the socket's file, if it has one here and no other file has taken its place."""
        path, inode = self._files.pop(sock, ("", 0))
        with suppress(OSError):
            if path and os.lstat(path).st_ino == inode:
                os.unlink(path)
