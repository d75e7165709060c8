"""A stream transport on an end of the world's kernels, as asyncio describes one."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from standins.world.kernel import End
from standins.world.sockets import Sock

if TYPE_CHECKING:
    from standins.world.loop import ProcessLoop

READ = 256 * 1024
HIGH = 64 * 1024


class StreamTransport(asyncio.Transport):
    def __init__(self, loop: ProcessLoop, end: End, protocol: asyncio.BaseProtocol, sock: Sock) -> None:
        super().__init__()
        self.loop, self.end = loop, end
        self.sock = sock
        self._protocol: Any = protocol
        self._buffer = bytearray()
        self._high, self._low = HIGH, HIGH // 4
        self._blocked = False
        self._paused = False
        self._closing = False
        self._lost = False
        self._ended = False  # `eof_received` was told
        self._eof = False  # to be written behind the buffer
        loop.transports[end] = self

    # ------------------------------------------------ what the program calls

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        if name == "socket":
            return self.sock
        if name == "peername":
            return self.end.remote
        return self.end.local if name == "sockname" else default

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self._protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        return self._protocol  # type: ignore[no-any-return]

    def is_closing(self) -> bool:
        return self._closing

    def is_reading(self) -> bool:
        return not self._paused and not self._closing

    def pause_reading(self) -> None:
        self._paused = True

    def resume_reading(self) -> None:
        if self._paused and not self._closing:
            self._paused = False
            self.loop.news(self.end)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self._high = HIGH if high is None else high
        self._low = self._high // 4 if low is None else low
        self._look_at_buffer()

    def get_write_buffer_size(self) -> int:
        return len(self._buffer)

    def get_write_buffer_limits(self) -> tuple[int, int]:
        return self._low, self._high

    def write(self, data: Any) -> None:
        if self._lost or self._closing or not data:
            return
        self._buffer += data
        if len(self._buffer) == len(data):
            self._flush()
        self._look_at_buffer()

    def writelines(self, pieces: Any) -> None:
        self.write(b"".join(pieces))

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        self._eof = True
        self._flush()

    def close(self) -> None:
        if not self._closing:
            self._closing = True
            if not self._buffer:
                self._lose(None)

    def abort(self) -> None:
        # The process has said so now, though the loop closes the socket a moment later.
        self.end.shut_s = min(self.end.shut_s, self.loop.clock.now_s)
        self._lose(None)

    # ------------------------------------------------ what the loop calls

    @property
    def wants(self) -> bool:
        """Whether the kernel has something for it."""
        end = self.end
        if self._lost:
            return False
        if self._buffer and (end.error is not None or end.space):
            return True
        if self._paused or self._closing:
            return False  # not polled at all then, so that a reset is not seen either
        if end.error is not None:
            return True
        return bool(end.inbox) or (end.ended and not self._ended)

    def ready(self) -> None:
        if self._lost:
            return
        end = self.end
        if end.error is not None:
            self._lose(end.error)
            return
        if self._buffer:
            self._flush()
            if self._blocked and len(self._buffer) <= self._low:
                self._blocked = False
                self._call(self._protocol.resume_writing)
            if self._closing and not self._buffer:
                self._lose(None)
        if self._paused or self._closing or self._lost:
            return
        if end.inbox:
            self._call(self._protocol.data_received, end.receive(self.loop.takes(READ)))
        elif end.ended and not self._ended:
            self._ended = True
            if not self._call(self._protocol.eof_received):
                self.close()

    def _call(self, call: Any, *args: Any) -> Any:
        try:
            return call(*args)
        except Exception as problem:
            self.loop.call_exception_handler({"message": "Fatal error", "exception": problem})
            self._lose(problem)
            return None

    def _flush(self) -> None:
        try:
            if self._buffer:
                took = self.end.send(bytes(self._buffer))
                del self._buffer[:took]
            self.end.writing = bool(self._buffer)
            if self._eof and not self._buffer:
                self.end.shut_writing()
        except OSError as problem:
            self._lose(problem)

    def _look_at_buffer(self) -> None:
        if len(self._buffer) > self._high and not self._blocked and not self._lost:
            self._blocked = True
            self._call(self._protocol.pause_writing)

    def _lose(self, problem: BaseException | None) -> None:
        if self._lost:
            return
        self._lost = self._closing = True
        self._buffer.clear()
        self.loop.call_soon(self._over, problem)

    def _over(self, problem: BaseException | None) -> None:
        self.loop.transports.pop(self.end, None)
        try:
            self._protocol.connection_lost(problem)
        finally:
            self.sock.close()
