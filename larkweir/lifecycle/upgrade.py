"""How a new process of this balancer finds the one that serves, beside which the platform has started it.

The one that serves listens on a Unix socket in $TMPDIR. The new one says who it is; the answer carries the listening
sockets (SCM_RIGHTS, unix(7)), and from then on the connection is a handover's channel. Whatever goes wrong on this way,
the new one opens sockets of its own beside the old ones (SO_REUSEPORT) and starts with what the files say.

new                                 old
hello {version, listen}     ->
                            <-      one byte with the sockets, then a line: the protocol of each
                            <-      state {...}, and on as `larkweir.lifecycle.channel` says
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import struct
import sys
import zlib
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress

from larkweir.config.platform import Config, ConfigError
from larkweir.lifecycle.handover import Channel, OnEnd, OnMessage
from larkweir.lifecycle.inherit import listening_socket

VERSION = 1  # of hello and its answer
PROTOCOLS = ("http1", "fastcgi")
MAX_LINE_BYTES = 4096
MAX_SOCKETS = 16
MAX_PATH_BYTES = 100  # sockaddr_un takes 107
ANSWER_TIMEOUT_S = 1.0  # for the old process, which serves meanwhile; no iteration of its loop takes as long
PEER_CREDENTIALS = "3i"  # struct ucred: process, user and group id; unix(7)

Sockets = list[tuple[str, socket.socket]]


def socket_path(env: Mapping[str, str], name: str, listen: tuple[str, int]) -> str | None:
    """The path of the Unix socket at which the processes of one balancer meet; None where there is no place for it."""
    folder = env.get("TMPDIR")
    if not folder:
        return None
    checksum = zlib.crc32(f"{name} {listen[0]}:{listen[1]}".encode())
    path = os.path.join(folder, f"larkweir-{checksum:08x}.sock")
    return path if len(path.encode()) <= MAX_PATH_BYTES else None


# ---------------------------------------------------------------- the new process


def find_predecessor(env: Mapping[str, str], config: Config) -> tuple[socket.socket, Sockets] | None:
    """The channel to the process of this balancer that serves, and its listening sockets; None where there is none, or
    it passes none, which is a line on standard error.
    """
    path = socket_path(env, config.name, config.listen)
    if path is None or not os.path.exists(path):
        return None
    found = request_sockets(path, config.listen)
    if not isinstance(found, str):
        return found
    if found:
        print(f"larkweir {config.name}: upgrade: {path}: {found}; sockets of its own", file=sys.stderr)
    return None


def request_sockets(path: str, listen: tuple[str, int]) -> tuple[socket.socket, Sockets] | str:
    """Ask the process that serves for its sockets: the channel to it and the sockets, or why there are none (empty:
    nobody serves). Blocks for `ANSWER_TIMEOUT_S` at the most; nothing else runs in this process yet.
    """
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    received: Sockets = []
    try:
        sock.settimeout(ANSWER_TIMEOUT_S)
        sock.connect(path)
        if not _is_same_user(sock):
            raise ConfigError("another user's process listens there")
        hello = {"word": "hello", "version": VERSION, "listen": f"{listen[0]}:{listen[1]}"}
        sock.sendall(json.dumps(hello).encode() + b"\n")
        _receive_sockets(sock, received)
        return sock, received
    except FileNotFoundError:
        problem = ""  # the first start
    except (OSError, ValueError) as fault:  # ConfigError is one
        problem = str(fault) or type(fault).__name__
    sock.close()
    for _, item in received:
        item.close()
    return problem


def _receive_sockets(sock: socket.socket, received: Sockets) -> None:
    """Add the passed sockets to `received`; ConfigError where they are not what the answer says."""
    first, descriptors, _, _ = socket.recv_fds(sock, 1, MAX_SOCKETS)
    left = list(descriptors)
    try:
        protocols = _decode_protocols(first + _receive_line(sock)) if first else []
        if not protocols or len(protocols) != len(left):  # it has closed without a word, or half of one
            raise ConfigError("it passes no sockets")
        for protocol in protocols:
            received.append((protocol, listening_socket(left.pop(0), "upgrade")))
    finally:
        for descriptor in left:
            os.close(descriptor)


def _receive_line(sock: socket.socket) -> bytes:
    """The rest of a line, and not a byte of what follows."""
    data = b""
    while not data.endswith(b"\n"):
        byte = sock.recv(1)
        if not byte or len(data) > MAX_LINE_BYTES:
            raise ConfigError("what it says is no line")
        data += byte
    return data


def _decode_protocols(line: bytes) -> list[str]:
    data = json.loads(line)
    if not isinstance(data, dict) or data.get("version") != VERSION:
        raise ConfigError("it is of another version")
    protocols = data.get("speaks")
    if not isinstance(protocols, list) or not all(item in PROTOCOLS for item in protocols):
        raise ConfigError("it does not say what its sockets speak")
    return protocols


def _is_same_user(sock: socket.socket) -> bool:
    """Guards against another user's process on the path."""
    raw = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize(PEER_CREDENTIALS))
    return int(struct.unpack(PEER_CREDENTIALS, raw)[1]) == os.getuid()


# ---------------------------------------------------------------- the process that serves


class UpgradePeer:
    """A new process that has said hello, until it is accepted or rejected."""

    pid = 0  # not this process's to end

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.channel: Channel

    async def accept(
        self, sockets: Sequence[tuple[str, socket.socket]], on_message: OnMessage, on_end: OnEnd
    ) -> None:
        """Pass the sockets; `channel` is there from then on. OSError where the peer is gone."""
        answer = {"version": VERSION, "speaks": [protocol for protocol, _ in sockets]}
        data = json.dumps(answer).encode() + b"\n"
        descriptors = [sock.fileno() for _, sock in sockets]
        sent = socket.send_fds(self._sock, [data[:1]], descriptors)
        if not sent:
            raise OSError("nothing could be sent")
        self.channel = await Channel.on(self._sock, on_message, on_end)
        self.channel.write(data[1:])

    def reject(self) -> None:
        """Close its connection: it opens sockets of its own."""
        self._sock.close()

    def abandon(self, gracefully: bool) -> None:
        """It is nobody's child here: it goes on by itself, on its own or the shared sockets. `gracefully`: it may have
        accepted, and the channel stays open for the ids that each takes.
        """
        if not gracefully:
            self.channel.close()


class UpgradeListener:
    """The Unix socket at which new processes ask for the listening sockets, one at a time."""

    BACKLOG = 4

    def __init__(self, path: str, on_peer: Callable[[UpgradePeer], None]) -> None:
        """OSError where the path can't be had. What an earlier process, or a killed one, left there is replaced."""
        self._path = path
        self._on_peer = on_peer
        self._loop = asyncio.get_running_loop()
        self._receiving: asyncio.Task[None] | None = None
        self._sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            self._inode = self._bind()
        except OSError:
            self._sock.close()
            raise
        self._sock.setblocking(False)
        self._loop.add_reader(self._sock, self._accept)

    def _bind(self) -> int:
        """Listen under a name of its own, then rename that to the path; the inode of the socket's file."""
        fresh = f"{self._path}.{os.getpid()}"
        with suppress(FileNotFoundError):
            os.unlink(fresh)
        self._sock.bind(fresh)
        os.chmod(fresh, 0o600)
        self._sock.listen(self.BACKLOG)
        inode = os.lstat(fresh).st_ino
        os.rename(fresh, self._path)
        return inode

    def _accept(self) -> None:
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        if (self._receiving is not None and not self._receiving.done()) or not _is_same_user(sock):
            sock.close()
            return
        sock.setblocking(False)
        self._receiving = self._loop.create_task(self._receive_hello(sock))

    async def _receive_hello(self, sock: socket.socket) -> None:
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                data = b""
                while not data.endswith(b"\n"):
                    received = await self._loop.sock_recv(sock, MAX_LINE_BYTES)
                    data += received
                    if not received or len(data) > MAX_LINE_BYTES:
                        raise ValueError("no line")
            hello = json.loads(data)
            if not isinstance(hello, dict) or hello.get("word") != "hello" or hello.get("version") != VERSION:
                raise ValueError("no hello of this version")
        except (OSError, ValueError):  # a time-out is an OSError
            sock.close()
            return
        except BaseException:
            sock.close()
            raise
        self._on_peer(UpgradePeer(sock))

    def close(self) -> None:
        """Listen no longer; the file goes, unless a newer process has put its own there."""
        if self._receiving is not None:
            self._receiving.cancel()
        self._loop.remove_reader(self._sock)
        self._sock.close()
        with suppress(OSError):
            if os.lstat(self._path).st_ino == self._inode:
                os.unlink(self._path)
