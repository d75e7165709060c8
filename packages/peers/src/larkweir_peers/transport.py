"""Runs the protocol on a UDP socket and one timer of an asyncio loop."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable, Sequence

from larkweir_peers.addresses import pack_address, unpack_address
from larkweir_peers.drop_reasons import DropReason
from larkweir_peers.errors import ChannelInUseError, PeersError
from larkweir_peers.membership import MemberEvent
from larkweir_peers.messages import MAX_DATAGRAM_BYTES, MemberState
from larkweir_peers.ports import Clock, Timer
from larkweir_peers.protocol import PeerProtocol

ItemHandler = Callable[[str, bytes, float], None]  # sender's address, item, time in milliseconds


class Channel:
    """A numbered channel. Its items are delivered to the handler of the same channel in the receiving process."""

    __slots__ = ("_channel", "_transport")

    def __init__(self, transport: PeerTransport, channel: int) -> None:
        self._transport = transport
        self._channel = channel

    def post(self, to: str, item: bytes) -> bool:
        """Send an item of up to `MAX_ITEM_BYTES`. Returns whether it was sent; see `PeerProtocol.post`."""
        return self._transport.post(to, self._channel, item)

    def alive(self) -> Sequence[str]:
        """The peers that are believed to be alive. This is a hint and may be out of date."""
        return self._transport.protocol.alive()


class PeerTransport:
    """The socket of a process, from `start` to `close`.

    Binding is retried while the address is in use, since a predecessor process may still have it bound. Errors caused
    by the network or a peer are never raised; each kind of error is logged at most once per `LOG_INTERVAL_MS`.
    """

    MAX_READS_PER_TURN = 64  # maximum number of datagrams read in one turn of the loop
    BIND_RETRY_MS = 100.0
    LOG_INTERVAL_MS = 10_000.0  # minimum time between two log lines of the same kind

    def __init__(
        self,
        protocol: PeerProtocol,
        listen: str,
        clock: Clock,
        log: Callable[[str], None],
        on_event: Callable[[MemberEvent], None] | None = None,
    ) -> None:
        """`listen` is the address to bind, which may differ from the address that peers use.

        Raises:
            AddressError: `listen` is not an IPv4 address and port.
        """
        pack_address(listen)
        self.protocol = protocol
        self.send_errors = 0
        self.handler_errors = 0  # number of items whose handler raised
        self._listen = listen
        self._clock = clock
        self._log = log
        self._on_event = on_event
        self._loop = asyncio.get_running_loop()
        self._socket: socket.socket | None = None
        self._timer: Timer | None = None
        self._scheduled_ms = 0.0
        self._is_closed = False
        self._is_flushing = False
        self._logged_ms: dict[str, float] = {}
        self._unlogged_event: MemberEvent | None = None  # the last event, if it is not logged yet
        self._addresses = {name: _address(name) for name in protocol.membership.members}
        self._handlers: dict[int, ItemHandler] = {}

    def open_channel(self, channel: int, on_item: ItemHandler) -> Channel:
        """Open a channel for sending, and deliver its received items to `on_item`.

        Raises:
            ChannelInUseError: the channel is already open.
        """
        if channel in self._handlers:
            raise ChannelInUseError(f"channel {channel} already has a handler")
        self._handlers[channel] = on_item
        return Channel(self, channel)

    @property
    def is_open(self) -> bool:
        """Whether the socket is bound to the address."""
        return self._socket is not None

    def start(self) -> None:
        """Bind the socket. If this fails, retry until it succeeds."""
        if self._is_closed or self._socket is not None:
            return
        if self._timer is not None:
            self._timer.cancel()
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
        try:
            sock.bind(_address(self._listen))
        except OSError as error:
            sock.close()
            self._log_limited("bind", f"peers: can't bind {self._listen}: {error}; retrying until it is free")
            self._timer = self._clock.at(self._clock.now_ms() + self.BIND_RETRY_MS, self.start)
            return
        self._socket = sock
        self._loop.add_reader(sock, self._read)
        self._timer = None
        self._flush()

    def set_suspended(self, is_suspended: bool) -> None:
        """Suspend by closing the socket, so that a successor can bind the address, or resume by binding it again."""
        if is_suspended:
            self._close_socket()
        else:
            self.start()

    def close(self) -> None:
        """Close permanently. If the socket is bound, first announce to peers that this process is leaving."""
        if self._socket is not None:
            self.protocol.leave(self._clock.now_ms())
            self._flush()
        self._is_closed = True
        self._close_socket()

    def _close_socket(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        sock, self._socket = self._socket, None
        if sock is not None:
            self._loop.remove_reader(sock)
            sock.close()

    def post(self, to: str, channel: int, item: bytes) -> bool:
        """Send an item as `PeerProtocol.post` does. Also returns False while the socket is not bound."""
        if self._socket is None:
            return False
        done = self.protocol.post(to, channel, item, self._clock.now_ms())
        self._flush()
        return done

    def replace_peers(self, others: Sequence[str]) -> str:
        """Replace the list of peers as `PeerProtocol.replace_peers` does. Returns a log line about the changes, "" if
        there are none. If the new list is invalid, the error is logged and the old list is kept.
        """
        try:
            added, removed = self.protocol.replace_peers(others, self._clock.now_ms())
        except PeersError as error:
            self._log(f"peers: the list is unchanged: {error}")
            return ""
        self._addresses = {name: _address(name) for name in self.protocol.membership.members}
        if self._unlogged_event is not None and self._unlogged_event.name not in self._addresses:
            self._unlogged_event = None
        self._flush()
        changes = [
            f"{len(names)} {verb} ({_abbreviate(names)})"
            for names, verb in ((added, "added"), (removed, "removed"))
            if names
        ]
        return f"peers: {len(self._addresses)} others: {', '.join(changes)}" if changes else ""

    def status_fields(self) -> dict[str, object]:
        """The fields for STATUS, by their names there."""
        counts = self.protocol.counters()
        own = ("unheard", "alive", "suspect", "dead", "left", "health", "sent", "received")
        found: dict[str, object] = {"peers": f"{counts['alive']}/{len(self._addresses)}"}
        found |= {f"peers_{name}": counts[name] for name in ("suspect", "dead", "left", "health", "sent")}
        wrong = {name: n for name, n in counts.items() if name not in own and n}
        wrong |= {"unsent": self.send_errors} if self.send_errors else {}
        return found | {"peers_dropped": ",".join(f"{name}:{n}" for name, n in wrong.items()) or "0"}

    # The loop

    def _read(self) -> None:
        for _ in range(self.MAX_READS_PER_TURN):
            if self._socket is None:
                return
            try:
                data, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                break
            except OSError as error:  # an earlier datagram was refused (ICMP)
                self._log_limited("read", f"peers: receive failed: {error}")
                break
            self.protocol.on_datagram(f"{address[0]}:{address[1]}", data, self._clock.now_ms())
        self._flush()

    def _tick(self) -> None:
        self._timer = None
        self.protocol.tick(self._clock.now_ms())
        self._flush()

    def _flush(self) -> None:
        """Send and deliver all output of the protocol, including items that handlers post during delivery."""
        if self._is_flushing or self._socket is None:
            return
        self._is_flushing = True
        try:
            self._drain()
        finally:
            self._is_flushing = False
        self._log_last_event()
        self._schedule()

    def _log_last_event(self) -> None:
        if self._unlogged_event is not None:
            event, counts = self._unlogged_event, self.protocol.membership.counts_by_state()
            present = counts[MemberState.ALIVE] + counts[MemberState.SUSPECT]
            line = f"peers: {event.name} is {event.state.name.lower()}; {present} of {len(self._addresses)} are there"
            if self._log_limited("event", line):
                self._unlogged_event = None

    def _drain(self) -> None:
        protocol = self.protocol
        while protocol.datagrams or protocol.items or protocol.membership.events:
            while protocol.datagrams:
                datagram = protocol.datagrams.popleft()
                self._send(self._addresses[datagram.to], datagram.data)
            while protocol.membership.events:
                event = protocol.membership.events.popleft()
                if event.state is not MemberState.SUSPECT:
                    self._unlogged_event = event
                if self._on_event is not None:
                    self._on_event(event)
            if protocol.items:
                item = protocol.items.popleft()
                handler = self._handlers.get(item.channel)
                if handler is None:
                    protocol.dropped[DropReason.NO_HANDLER] += 1
                else:
                    self._deliver(handler, item.source, item.data)

    def _deliver(self, handler: ItemHandler, source: str, data: bytes) -> None:
        try:
            handler(source, data, self._clock.now_ms())
        except Exception as error:  # a handler that fails on a peer's bytes must not end the loop
            self.handler_errors += 1
            self._log_limited("item", f"peers: the handler of an item from {source} failed: {error!r:.200}")

    def _send(self, address: tuple[str, int], data: bytes) -> None:
        assert self._socket is not None
        try:
            self._socket.sendto(data, address)
        except OSError as error:  # the datagram is lost, which the protocol tolerates
            self.send_errors += 1
            if error.errno not in (errno.EAGAIN, errno.ENOBUFS, errno.ECONNREFUSED):
                self._log_limited("send", f"peers: send failed: {error}")

    def _schedule(self) -> None:
        due = self.protocol.next_ms
        if self._socket is None or (self._timer is not None and self._scheduled_ms == due):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._scheduled_ms = due
        self._timer = self._clock.at(due, self._tick)

    def _log_limited(self, kind: str, line: str) -> bool:
        now = self._clock.now_ms()
        if now - self._logged_ms.get(kind, -self.LOG_INTERVAL_MS) < self.LOG_INTERVAL_MS:
            return False
        self._logged_ms[kind] = now
        self._log(line)
        return True


def _abbreviate(names: Sequence[str], maximum: int = 3) -> str:
    """The first `maximum` names, for a log line."""
    return " ".join(names[:maximum]) + (" ..." if len(names) > maximum else "")


def _address(name: str) -> tuple[str, int]:
    host, _, port = unpack_address(pack_address(name)).rpartition(":")
    return host, int(port)
