"""Machines and their TCP ends and datagram sockets, as their kernels hold them (RFC 9293, in what programs see).

An end has a send buffer that takes a part of a write, a receive buffer that holds the sender back, and knows a FIN
from a reset. What a cut swallows is sent again, later and later; a reset that is swallowed is lost.
"""

from __future__ import annotations

import errno
import os
from collections import deque
from collections.abc import Callable
from typing import Protocol

from standins.world.air import Air
from standins.world.scheduler import Scheduler

Address = tuple[str, int]
SEGMENT = 16 * 1024
AGAIN_S, AGAIN_MOST_S = 0.2, 1.6  # from try to try, each twice as long as the one before
SYN_AGAIN_S = 0.25  # shorter than Linux has it (1 s), so that connections come up late, and not too late


class Owner(Protocol):
    """The process that holds a descriptor."""

    life: int  # which start of its program this is, counted from 1; 0 for programs that start once

    def news(self, what: object) -> None:
        """Something of it may be ready now."""

    def opens(self, what: object) -> None:
        """OSError EMFILE where it may hold no more descriptors."""

    def closes(self, what: object) -> None: ...  # it is one no more


class Machine:
    def __init__(self, net: Net, name: str, ip: str) -> None:
        self.net, self.name, self.ip = net, name, ip
        self.up = True
        self.up_s = 1_000.0 + 10_000.0 * net.clock.rng.random()  # of its monotonic clock, at the beginning
        self.wrong_s = 0.0  # of its Unix clock
        self.drive: object = None
        self.listening: dict[int, list[Listening]] = {}
        self.datagrams: dict[int, Datagrams] = {}
        self._port = 32_768

    def free_port(self) -> int:
        while True:
            self._port = self._port + 1 if self._port < 60_999 else 32_768
            if self._port not in self.listening and self._port not in self.datagrams:
                return self._port


class Net:
    """All machines, and the ways between them."""

    def __init__(self, clock: Scheduler, air: Air, send: int = 256 * 1024, receive: int = 256 * 1024) -> None:
        self.clock, self.air = clock, air
        self.send, self.receive = send, receive
        self.machines: dict[str, Machine] = {}
        self.ends = 0

    def machine(self, name: str) -> Machine:
        found = Machine(self, name, f"127.1.{len(self.machines) // 250}.{len(self.machines) % 250 + 1}")
        self.machines[found.ip] = found
        return found

    def connect(self, machine: Machine, owner: Owner, to: Address, came: Callable[[], None]) -> End:
        """A new end, on its way up; `came` is called once it is up or has failed."""
        end = End(machine, owner, (machine.ip, machine.free_port()), to)
        end.came = came
        owner.opens(end)
        self._syn(end, SYN_AGAIN_S)
        return end

    def _syn(self, end: End, again_s: float) -> None:
        here, there = end.machine.ip, end.remote[0]
        if not self.air.passes(here, there):
            self.clock.after(again_s, self._syn_again, end, 2 * again_s)
        else:
            self.clock.after(self.air.takes_s(here, there, 64), self._syn_came, end, again_s)

    def _syn_again(self, end: End, again_s: float) -> None:
        if end.connecting:
            self._syn(end, again_s)

    def _syn_came(self, end: End, again_s: float) -> None:
        if not end.connecting or not end.machine.up:
            return
        machine = self.machines.get(end.remote[0])
        if machine is None or not machine.up:
            self.clock.after(again_s, self._syn_again, end, 2 * again_s)
            return
        back_s = self.air.takes_s(machine.ip, end.machine.ip, 64) + self.air.handshake_s(machine.ip)
        listeners = machine.listening.get(end.remote[1])
        if not listeners:
            self.clock.after(back_s, end.refused)
            return
        taker = listeners[self.clock.rng.randrange(len(listeners))]
        if len(taker.waiting) >= taker.backlog:
            self.clock.after(again_s, self._syn_again, end, 2 * again_s)
            return
        other = End(machine, taker.owners[0], end.remote, end.local)
        other.peer, other.up = end, True
        end.peer = other
        taker.waiting.append(other)
        for owner in taker.owners:
            owner.news(taker)
        self.clock.after(back_s, end.established)


class Listening:
    """A listening socket's queue of connections that nobody has accepted yet. Several processes may hold the socket, as
    after a handover; it is closed once none does.
    """

    def __init__(self, machine: Machine, owner: Owner, address: Address, backlog: int, shared: bool) -> None:
        there = machine.listening.setdefault(address[1], [])
        if there and not (shared and all(item.shared for item in there)):
            raise OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
        self.machine, self.address = machine, address
        self.owners = [owner]
        self.backlog, self.shared = backlog, shared
        self.waiting: deque[End] = deque()
        there.append(self)

    @property
    def readable(self) -> bool:
        return bool(self.waiting)

    def accept(self, owner: Owner) -> End:
        if not self.waiting:
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        owner.opens(self.waiting[0])  # before it is taken: it stays in the queue where no descriptor is left
        found = self.waiting.popleft()
        found.owner = owner
        return found

    def share(self, owner: Owner) -> None:
        """Another process inherits the socket."""
        owner.opens(self)
        self.owners.append(owner)
        owner.news(self)

    def close(self, owner: Owner) -> None:
        """By one of the processes that hold it."""
        if owner in self.owners:
            self.owners.remove(owner)
            owner.closes(self)
        if self.owners:
            return
        there = self.machine.listening.get(self.address[1], [])
        if self in there:
            there.remove(self)
        if not there:
            self.machine.listening.pop(self.address[1], None)
        while self.waiting:
            self.waiting.popleft().reset_both()


class End:
    """One end of a connection. Offsets count its bytes from 0: who sees all asks when which was written and read."""

    def __init__(self, machine: Machine, owner: Owner, local: Address, remote: Address) -> None:
        net = machine.net
        net.ends += 1
        self.number = net.ends
        self.net, self.machine, self.owner = net, machine, owner
        self.local, self.remote = local, remote
        self.peer: End | None = None
        self.came: Callable[[], None] | None = None
        self.up = False
        self.closed = False  # by its process, or with it
        self.error: OSError | None = None
        self.inbox = bytearray()
        self.ended = False  # the peer's FIN is here, behind the inbox
        self.read = 0  # bytes, by its process
        self.written = 0
        self.writes: list[tuple[float, int]] = []  # when, and how much in all by then
        self.reads: list[tuple[float, int]] = []
        self.landed: list[tuple[float, int]] = []  # when, and how much in all had come into the inbox
        self._out: deque[bytes] = deque()  # taken from the process, not yet on the way
        self._out_size = 0
        self._flying = 0  # on the way, or there and not yet acknowledged
        self._wire: deque[tuple[float, bytes | None]] = deque()  # None: a FIN
        self._wired = False
        self._again_s = AGAIN_S
        self._fin = self._fin_flies = False
        self.shut_s = float("inf")  # when its process has said that nothing more comes
        self.resets_at_close = False  # SO_LINGER of 0 seconds, socket(7)
        self.peer_left_s = float("inf")  # when the peer's FIN or reset landed here
        self.writing = False  # the process waits until it may write

    def __repr__(self) -> str:
        state = "up" if self.up else "coming up"
        return f"{self.local[0]}:{self.local[1]} to {self.remote[0]}:{self.remote[1]} ({state})"

    # ------------------------------------------------ up

    @property
    def connecting(self) -> bool:
        return not self.up and not self.closed and self.error is None

    def established(self) -> None:
        if self.connecting and self.peer is not None and self.peer.machine.up:
            self.up = True
            if self.came is not None:
                self.came()

    def refused(self) -> None:
        if self.connecting:
            self.error = ConnectionRefusedError(errno.ECONNREFUSED, os.strerror(errno.ECONNREFUSED))
            if self.came is not None:
                self.came()

    # ------------------------------------------------ what its process sees

    @property
    def readable(self) -> bool:
        return bool(self.inbox) or self.ended or self.error is not None

    @property
    def unacknowledged(self) -> int:
        return self._out_size + self._flying

    @property
    def space(self) -> int:
        return max(0, self.net.send - self.unacknowledged)

    def send(self, data: bytes) -> int:
        """How much of it the kernel takes."""
        if self.error is not None:
            raise self.error
        if self.closed or self._fin:
            raise BrokenPipeError(errno.EPIPE, os.strerror(errno.EPIPE))
        took = min(len(data), self.space)
        if took:
            self._out.append(bytes(data[:took]))
            self._out_size += took
            self.written += took
            self.writes.append((self.net.clock.now_s, self.written))
            self._pump()
        return took

    def receive(self, most: int) -> bytes:
        """Empty at the peer's end of it; BlockingIOError where nothing is there."""
        if self.inbox:
            data = bytes(self.inbox[:most])
            del self.inbox[:most]
            self.read += len(data)
            self.reads.append((self.net.clock.now_s, self.read))
            if self.peer is not None:
                self.peer._pump()
            return data
        if self.error is not None:
            raise self.error
        if self.ended:
            return b""
        raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))

    def shut_writing(self) -> None:
        if not self._fin:
            self._fin = True
            self.shut_s = min(self.shut_s, self.net.clock.now_s)
            self._pump()

    def close(self) -> None:
        """By its process. What is unread resets the connection (RFC 9293 section 3.6.1, RFC 2525 section 2.17)."""
        if self.closed:
            return
        if self.resets_at_close:
            self.close_with_reset()
            return
        self.closed = True
        self.shut_s = min(self.shut_s, self.net.clock.now_s)
        self.owner.closes(self)
        if not self.up or self.error is not None:
            if self.up or self.peer is not None:
                self._tell_reset()
            return
        if self.inbox:
            self.inbox.clear()
            self._drop()
            self._tell_reset()
        else:
            self.shut_writing()

    def close_with_reset(self) -> None:
        """By its process, with a reset whatever is unread (SO_LINGER of 0 seconds, socket(7))."""
        if not self.closed:
            self.closed = True
            self.shut_s = min(self.shut_s, self.net.clock.now_s)
            self.inbox.clear()
            self._drop()
            self._tell_reset()
            self.owner.closes(self)

    def vanish(self) -> None:
        """Its machine is gone: nobody is told."""
        self.closed = True
        self.inbox.clear()
        self._drop()

    def reset_both(self) -> None:
        """Nobody has accepted it, and nobody will."""
        self.closed = True
        self._drop()
        self._tell_reset()

    # ------------------------------------------------ on the way

    def _drop(self) -> None:
        self._out.clear()
        self._wire.clear()
        self._out_size = self._flying = 0

    def _tell_reset(self) -> None:
        peer = self.peer
        if peer is not None and self.net.air.passes(self.machine.ip, peer.machine.ip):
            self.net.clock.after(self.net.air.takes_s(self.machine.ip, peer.machine.ip, 64), peer.reset)

    def reset(self) -> None:
        self.peer_left_s = min(self.peer_left_s, self.net.clock.now_s)
        if self.error is None and not (self.closed and not self.unacknowledged):
            self.error = ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET))
            self.inbox.clear()
            self._drop()
            self.came_up_broken()
            self.owner.news(self)

    def came_up_broken(self) -> None:
        came, self.came = self.came, None
        if not self.up and came is not None:
            came()

    def _pump(self) -> None:
        """As much as the peer has room for goes on its way, and the FIN behind the last byte."""
        peer, net = self.peer, self.net
        if peer is None or self.error is not None:
            return
        while self._out and self._flying + len(peer.inbox) < net.receive:
            piece = self._out[0][:SEGMENT]
            if len(piece) == len(self._out[0]):
                self._out.popleft()
            else:
                self._out[0] = self._out[0][len(piece) :]
            self._out_size -= len(piece)
            self._flying += len(piece)
            self._fly(piece)
        if self._fin and not self._out and not self._fin_flies:
            self._fin_flies = True
            self._fly(None)

    def _fly(self, piece: bytes | None) -> None:
        assert self.peer is not None
        net = self.net
        due_s = net.clock.now_s + net.air.takes_s(self.machine.ip, self.peer.machine.ip, len(piece or b""))
        self._wire.append((due_s, piece))
        if not self._wired:
            self._wired = True
            net.clock.at(due_s, self._lands)

    def _lands(self) -> None:
        self._wired = False
        peer, net = self.peer, self.net
        if not self._wire or peer is None:
            return
        if not self.machine.up:
            self._drop()
            return
        if not peer.machine.up or not net.air.passes(self.machine.ip, peer.machine.ip):
            self._wired = True
            net.clock.after(self._again_s, self._lands)
            self._again_s = min(AGAIN_MOST_S, 2 * self._again_s)
            return
        self._again_s = AGAIN_S
        _, piece = self._wire.popleft()
        if peer.closed:
            if piece is not None or peer.error is not None:
                self._drop()
                net.clock.after(net.air.takes_s(peer.machine.ip, self.machine.ip, 64), self.reset)
                return
        elif piece is None:
            peer.ended = True
            peer.peer_left_s = min(peer.peer_left_s, net.clock.now_s)
            peer.owner.news(peer)
        else:
            peer.inbox += piece
            peer.landed.append((net.clock.now_s, peer.read + len(peer.inbox)))
            peer.owner.news(peer)
        if piece is not None:
            net.clock.after(net.air.takes_s(peer.machine.ip, self.machine.ip, 64), self._acked, len(piece))
        if self._wire:
            self._wired = True
            net.clock.at(self._wire[0][0], self._lands)

    def _acked(self, size: int) -> None:
        peer = self.peer
        if self.error is not None or peer is None or not self._flying:
            return
        if not self.net.air.passes(peer.machine.ip, self.machine.ip):
            self.net.clock.after(AGAIN_S, self._acked, size)
            return
        self._flying = max(0, self._flying - size)
        self._pump()
        if self.writing and not self.closed:
            self.owner.news(self)


class Datagrams:
    """A datagram socket. What does not fit its queue is lost."""

    MOST = 256

    def __init__(self, machine: Machine, owner: Owner, address: Address) -> None:
        if address[1] in machine.datagrams:
            raise OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
        self.machine, self.owner, self.address = machine, owner, (machine.ip, address[1])
        self.waiting: deque[tuple[bytes, Address]] = deque()
        machine.datagrams[address[1]] = self

    @property
    def readable(self) -> bool:
        return bool(self.waiting)

    def send(self, data: bytes, to: Address) -> int:
        net = self.machine.net
        net.clock.note(f"datagram {self.address[0]} to {to[0]} of {len(data)}")
        for late_s in net.air.fates_s(self.machine.ip, to[0], len(data)):
            net.clock.after(late_s, _datagram_came, net, data, self.address, to)
        return len(data)

    def receive(self) -> tuple[bytes, Address]:
        if not self.waiting:
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        return self.waiting.popleft()

    def close(self) -> None:
        if self.machine.datagrams.get(self.address[1]) is self:
            del self.machine.datagrams[self.address[1]]
        self.owner.closes(self)


def _datagram_came(net: Net, data: bytes, source: Address, to: Address) -> None:
    machine = net.machines.get(to[0])
    there = machine.datagrams.get(to[1]) if machine is not None and machine.up else None
    if there is not None and len(there.waiting) < there.MOST:
        there.waiting.append((data, source))
        there.owner.news(there)
