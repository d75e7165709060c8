"""Which peers count as dead, in virtual time on a scripted kernel, and late readers over loopback sockets."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass
from typing import Any, cast

import pytest
import uvloop

from larkweir.cluster import dead_peer_detection
from larkweir.cluster.dead_peer_detection import CHECKS_PER_TIMEOUT, MAX_UNANSWERED_PROBES, DeadPeerDetector
from larkweir.cluster.tcp_info import TcpInfo, read_tcp_info, unacknowledged_bytes
from tests.cluster.late_readers import listening_socket, until_probed

TIMEOUT_MS = 1_000.0
CHECK_MS = TIMEOUT_MS / CHECKS_PER_TIMEOUT
MAX_STALL_MS = 5_000.0
IN_FLIGHT = TcpInfo(unacknowledged_segments=2, unanswered_probes=0, last_ack_age_ms=0)
CLOSED = TcpInfo(unacknowledged_segments=0, unanswered_probes=0, last_ack_age_ms=0)


@dataclass
class Timer:
    at_s: float
    callback: Any
    is_cancelled: bool = False

    def cancel(self) -> None:
        self.is_cancelled = True


class Kernel:
    """A socket's send queue, its transport, and the event loop, in virtual time."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now_s = 0.0
        self.queued = 0
        self.buffered = 0
        self.info = IN_FLIGHT
        self.aborted_s: float | None = None
        self.checks = 0
        self._timers: list[Timer] = []
        monkeypatch.setattr(asyncio, "get_running_loop", lambda: self)
        monkeypatch.setattr(dead_peer_detection, "unacknowledged_bytes", self._count)
        monkeypatch.setattr(dead_peer_detection, "read_tcp_info", lambda _: self.info)
        self.detector = DeadPeerDetector(cast(asyncio.Transport, self), TIMEOUT_MS, max_stall_ms=MAX_STALL_MS)

    def _count(self, sock: object) -> int:
        self.checks += 1
        return self.queued

    def get_extra_info(self, name: str) -> object:
        return self

    def get_write_buffer_size(self) -> int:
        return self.buffered

    def abort(self) -> None:
        self.aborted_s = self.now_s

    def time(self) -> float:
        return self.now_s

    def call_at(self, at_s: float, callback: Any) -> Timer:
        self._timers.append(Timer(at_s, callback))
        return self._timers[-1]

    def write(self, size_bytes: int) -> None:
        self.queued += size_bytes
        self.detector.on_written(size_bytes)

    def advance(self, duration_ms: float) -> None:
        end_s = self.now_s + duration_ms / 1000.0
        while due := [timer for timer in self._timers if timer.at_s <= end_s and not timer.is_cancelled]:
            timer = min(due, key=lambda timer: timer.at_s)
            self._timers.remove(timer)
            self.now_s = timer.at_s
            timer.callback()
        self.now_s = end_s


@pytest.fixture
def kernel(monkeypatch: pytest.MonkeyPatch) -> Kernel:
    return Kernel(monkeypatch)


def test_a_peer_that_acknowledges_nothing_is_dead_after_the_timeout(kernel: Kernel) -> None:
    kernel.write(100)
    kernel.advance(10 * TIMEOUT_MS)
    assert kernel.aborted_s == pytest.approx(TIMEOUT_MS / 1000.0)


def test_each_acknowledged_byte_restarts_the_timeout(kernel: Kernel) -> None:
    kernel.write(100)
    for _ in range(20):
        kernel.advance(0.9 * TIMEOUT_MS)
        kernel.queued -= 1
    assert kernel.aborted_s is None
    kernel.advance(TIMEOUT_MS + 2 * CHECK_MS)
    assert kernel.aborted_s is not None


def test_bytes_written_to_a_peer_that_has_died_do_not_restart_the_timeout(kernel: Kernel) -> None:
    kernel.write(100)
    for _ in range(9):
        kernel.advance(TIMEOUT_MS / 10)
        kernel.write(100)
    kernel.advance(TIMEOUT_MS / 5)
    assert kernel.aborted_s == pytest.approx(TIMEOUT_MS / 1000.0)


def test_a_later_write_is_timed_from_its_own_start(kernel: Kernel) -> None:
    kernel.write(100)
    kernel.queued = 0
    kernel.advance(10 * TIMEOUT_MS)
    kernel.write(100)
    kernel.advance(0.99 * TIMEOUT_MS)
    assert kernel.aborted_s is None
    kernel.advance(0.02 * TIMEOUT_MS)
    assert kernel.aborted_s is not None


def test_a_closed_window_is_no_death_until_probes_stay_unanswered(kernel: Kernel) -> None:
    kernel.info = CLOSED
    kernel.write(100)
    kernel.advance(3 * TIMEOUT_MS)
    kernel.info = TcpInfo(0, MAX_UNANSWERED_PROBES - 1, 0)
    kernel.advance(TIMEOUT_MS)
    assert kernel.aborted_s is None
    kernel.info = TcpInfo(0, MAX_UNANSWERED_PROBES, 0)
    kernel.advance(CHECK_MS)
    assert kernel.aborted_s is not None


def test_a_peer_that_accepts_no_byte_for_too_long_is_given_up(kernel: Kernel) -> None:
    kernel.info = CLOSED
    kernel.write(100)
    kernel.advance(MAX_STALL_MS - 1.0)
    assert kernel.aborted_s is None
    kernel.advance(CHECK_MS)
    assert kernel.aborted_s is not None


def test_a_peer_that_drops_bytes_and_acknowledges_earlier_ones_is_alive(kernel: Kernel) -> None:
    kernel.info = TcpInfo(2, 0, int(TIMEOUT_MS / 2))
    kernel.write(100)
    kernel.advance(4 * TIMEOUT_MS)
    assert kernel.aborted_s is None
    kernel.info = TcpInfo(2, 0, int(TIMEOUT_MS))
    kernel.advance(CHECK_MS)
    assert kernel.aborted_s is not None


def test_bytes_that_the_kernel_has_not_taken_count_as_unacknowledged(kernel: Kernel) -> None:
    kernel.buffered = 50
    kernel.write(100)
    kernel.queued = 0
    kernel.advance(10 * TIMEOUT_MS)
    assert kernel.aborted_s is not None


def test_nothing_is_checked_once_all_is_acknowledged_or_the_connection_has_ended(kernel: Kernel) -> None:
    kernel.write(100)
    kernel.queued = 0
    kernel.advance(10 * TIMEOUT_MS)
    assert kernel.checks == 1
    kernel.write(100)
    kernel.detector.stop()
    kernel.advance(10 * TIMEOUT_MS)
    assert (kernel.checks, kernel.aborted_s) == (1, None)


def test_tcp_info_distinguishes_a_closed_window_from_bytes_in_flight() -> None:
    # Guards against a wrong offset in `struct tcp_info`, with which a late reader would count as dead.
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        listening = listening_socket()
        transport, _ = await loop.create_connection(asyncio.Protocol, *listening.getsockname())
        peer, _ = await loop.sock_accept(listening)
        sock: socket.socket = transport.get_extra_info("socket")
        assert unacknowledged_bytes(sock) == 0
        transport.write(bytes(1_000_000))
        await until_probed(transport)
        info = read_tcp_info(sock)
        assert info.unacknowledged_segments == 0
        assert info.unanswered_probes < MAX_UNANSWERED_PROBES
        assert info.last_ack_age_ms < 10_000
        assert 0 < unacknowledged_bytes(sock) <= 1_000_000
        transport.abort()
        peer.close()
        listening.close()

    uvloop.run(scenario())
