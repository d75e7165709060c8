"""The channel between two processes of one balancer, and a successor as a child process."""

from __future__ import annotations

import asyncio
import os
import socket
import subprocess
import sys
from collections.abc import Callable, MutableMapping, Sequence
from typing import cast

from larkweir.core.clock import Clock
from larkweir.lifecycle.channel import (
    ChannelError,
    LineBuffer,
    Message,
    MessageKind,
    Payload,
    TakenIds,
    decode,
    encode,
)

VARIABLE = "LARKWEIR_HANDOVER"  # the channel's descriptor, a colon, the listening ones as `number=protocol`
NOT_PASSED_ON = frozenset(
    ("LISTEN_FDS", "LISTEN_PID", "LISTEN_FDNAMES", "WATCHDOG_PID")
)  # this process's own

OnMessage = Callable[[Message], None]
OnEnd = Callable[[str], None]  # gets the reason


class Channel(asyncio.Protocol):
    """One end of the channel."""

    MAX_UNSENT_BYTES = 1024 * 1024  # of ids that wait for the other process to read them

    def __init__(self, on_message: OnMessage, on_end: OnEnd) -> None:
        """`on_message` is called with each message, `on_end` once, when the other process is gone or sends what is no
        message.
        """
        self._on_message = on_message
        self._on_end: OnEnd | None = on_end
        self._lines = LineBuffer()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.Protocol`."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        try:
            for line in self._lines.feed(data):
                self._on_message(decode(line))
        except ChannelError as problem:
            self._end(f"it said what makes no sense: {problem}")

    def eof_received(self) -> None:
        """See `asyncio.Protocol`."""
        self._end("it is gone")

    def connection_lost(self, exc: Exception | None) -> None:
        """See `asyncio.Protocol`."""
        self._end("it is gone")

    def _end(self, reason: str) -> None:
        on_end, self._on_end = self._on_end, None
        self.close()
        if on_end is not None:
            on_end(reason)

    def send(self, kind: MessageKind, payload: Payload = None) -> None:
        """Send a message, unless the channel is closed."""
        self.write(encode(kind, payload))

    def send_ids(self, ids: TakenIds) -> None:
        """Send ids, unless the other process hangs, and too much waits for it already."""
        if self._transport is not None and self._transport.get_write_buffer_size() < self.MAX_UNSENT_BYTES:
            self.send(MessageKind.SEEN, ids)

    def write(self, data: bytes) -> None:
        """Send bytes as they are, unless the channel is closed."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def close(self) -> None:
        """Receive nothing more; what was sent still goes out."""
        self._on_end = None
        if self._transport is not None:
            self._transport.close()

    @classmethod
    async def on(cls, sock: socket.socket, on_message: OnMessage, on_end: OnEnd) -> Channel:
        """A channel on a connected Unix socket."""
        sock.setblocking(False)
        channel = cls(on_message, on_end)
        await asyncio.get_running_loop().create_unix_connection(lambda: channel, sock=sock)
        return channel


class Successor:
    """A child process that is to take over. It inherits the listening sockets and one end of a channel."""

    REAP_INTERVAL_MS = 100.0

    def __init__(self, process: subprocess.Popen[bytes], channel: Channel, clock: Clock) -> None:
        self._process = process
        self.channel = channel
        self._clock = clock
        self._reap()

    @property
    def pid(self) -> int:
        """Its process id."""
        return self._process.pid

    def _reap(self) -> None:
        if self._process.poll() is None:
            self._clock.after(self.REAP_INTERVAL_MS, self._reap)

    @classmethod
    async def start(
        cls,
        arguments: Sequence[str],
        sockets: Sequence[tuple[str, socket.socket]],
        clock: Clock,
        on_message: OnMessage,
        on_end: OnEnd,
    ) -> Successor:
        """Start `larkweir` with these arguments; OSError where the system can't."""
        ours, theirs = socket.socketpair()
        with theirs:
            command = [sys.executable, "-m", "larkweir", *arguments]
            env = _environment(sockets, theirs)
            passed = (theirs.fileno(), *(sock.fileno() for _, sock in sockets))
            try:
                # On a thread: requests don't wait for a fork.
                process = await asyncio.to_thread(
                    subprocess.Popen, command, env=env, pass_fds=passed, stdin=subprocess.DEVNULL
                )
            except OSError:
                ours.close()
                raise
        return cls(process, await Channel.on(ours, on_message, on_end), clock)

    def abandon(self, gracefully: bool) -> None:
        """End it: at once where it can't have accepted anything, else as any balancer is told to stop. Then both may
        serve until it has ended: the channel stays open for the ids that each takes.
        """
        self.channel.send(MessageKind.GIVE_UP)
        if not gracefully:
            self.channel.close()
        if self._process.poll() is None:
            if gracefully:
                self._process.terminate()
            else:
                self._process.kill()


def _environment(sockets: Sequence[tuple[str, socket.socket]], channel: socket.socket) -> dict[str, str]:
    """Of a successor: this process's, and which descriptors it gets."""
    passed = ",".join(f"{sock.fileno()}={protocol}" for protocol, sock in sockets)
    env = {name: value for name, value in os.environ.items() if name not in NOT_PASSED_ON}
    return env | {VARIABLE: f"{channel.fileno()}:{passed}"}


def inherited(env: MutableMapping[str, str]) -> tuple[socket.socket, list[tuple[str, int]]] | None:
    """The channel, and the listening descriptors with the protocol of each, if a predecessor has started this process.
    The variable is taken out of the environment.
    """
    text = env.pop(VARIABLE, "")
    if not text:
        return None
    channel, _, passed = text.partition(":")
    sock = socket.socket(fileno=int(channel))
    sock.set_inheritable(False)
    pairs = [item.partition("=") for item in passed.split(",") if item]
    return sock, [(protocol, int(number)) for number, _, protocol in pairs]
