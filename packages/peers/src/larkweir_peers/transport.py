"""The protocol on a UDP socket and one timer of an asyncio loop."""

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
    """A numbered channel: items on it reach the handler of the same channel in other processes."""

    __slots__ = ("_channel", "_transport")

    def __init__(self, transport: PeerTransport, channel: int) -> None:
        self._transport = transport
        self._channel = channel

    def post(self, to: str, item: bytes) -> bool:
        """Send an item of up to `MAX_ITEM_BYTES`; returns whether it was sent. See `PeerProtocol.post`."""
        return self._transport.post(to, self._channel, item)

    def alive(self) -> Sequence[str]:
        """The peers that are likely to answer: a hint, never the truth."""
        return self._transport.protocol.alive()


class PeerTransport:
    """The socket of a process, from `start` to `close`.

    Binding is retried while the address is in use: a predecessor may still have it. Nothing is raised for what the
    network or a peer does; the same kind of trouble is logged once in `LOG_INTERVAL_MS`.
    """

    MAX_READS_PER_TURN = 64  # datagrams that are read in one turn of the loop
    BIND_RETRY_MS = 100.0
    LOG_INTERVAL_MS = 10_000.0  # between two lines of the same kind

    def __init__(
        self,
        protocol: PeerProtocol,
        listen: str,
        clock: Clock,
        log: Callable[[str], None],
        on_event: Callable[[MemberEvent], None] | None = None,
    ) -> None:
        """`listen`: the address to bind, which may differ from the one that peers use.

        Raises:
            AddressError: `listen` is not an IPv4 address and port.
        """
        pack_address(listen)
        self.protocol = protocol
        self.send_errors = 0
        self.handler_errors = 0  # items whose handler raised
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
        self._unlogged_event: MemberEvent | None = None  # the last one that is not logged yet
        self._addresses = {name: _address(name) for name in protocol.membership.members}
        self._handlers: dict[int, ItemHandler] = {}

    def open_channel(self, channel: int, on_item: ItemHandler) -> Channel:
        """Receive a channel's items by `on_item`, and send on it.

        Raises:
            ChannelInUseError: the channel was opened before.
        """
        if channel in self._handlers:
            raise ChannelInUseError(f"channel {channel} has its part already")
        self._handlers[channel] = on_item
        return Channel(self, channel)

    @property
    def is_open(self) -> bool:
        """Whether the socket is bound: the address belongs to this process."""
        return self._socket is not None

    def start(self) -> None:
        """Bind the socket, and retry until it succeeds."""
        if self._is_closed or self._socket is not None:
            return
        if self._timer is not None:
            self._timer.cancel()
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
        try:
            sock.bind(_address(self._listen))
        except OSError as error:
            sock.close()
            self._log_limited("bind", f"peers: {self._listen}: {error}; tried again until it is free")
            self._timer = self._clock.at(self._clock.now_ms() + self.BIND_RETRY_MS, self.start)
            return
        self._socket = sock
        self._loop.add_reader(sock, self._read)
        self._timer = None
        self._flush()

    def set_suspended(self, is_suspended: bool) -> None:
        """Suspended: the socket is closed, so that a successor can bind the address. Else it is bound again."""
        if is_suspended:
            self._close_socket()
        else:
            self.start()

    def close(self) -> None:
        """Close for good. Where the socket is bound, announce to peers that this process leaves."""
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
        """See `PeerProtocol.post`; False also while the socket is not bound."""
        if self._socket is None:
            return False
        done = self.protocol.post(to, channel, item, self._clock.now_ms())
        self._flush()
        return done

    def replace_peers(self, others: Sequence[str]) -> str:
        """Replace the list of peers; returns a line on what has changed, "" where nothing has. A list that can't be
        used is logged, and changes nothing. See `PeerProtocol.replace_peers`.
        """
        try:
            added, removed = self.protocol.replace_peers(others, self._clock.now_ms())
        except PeersError as error:
            self._log(f"peers: the list stays as it was: {error}")
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
        """The fields for STATUS, by the names that they have there."""
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
                self._log_limited("read", f"peers: read: {error}")
                break
            self.protocol.on_datagram(f"{address[0]}:{address[1]}", data, self._clock.now_ms())
        self._flush()

    def _tick(self) -> None:
        self._timer = None
        self.protocol.tick(self._clock.now_ms())
        self._flush()

    def _flush(self) -> None:
        """Send and deliver all that the protocol has put out, and what handlers post meanwhile."""
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
        except Exception as error:  # the boundary to handlers: a peer's bytes must not end the loop
            self.handler_errors += 1
            self._log_limited("item", f"peers: an item of {source}: {error!r:.200}")

    def _send(self, address: tuple[str, int], data: bytes) -> None:
        assert self._socket is not None
        try:
            self._socket.sendto(data, address)
        except OSError as error:  # lost, as any datagram may be lost
            self.send_errors += 1
            if error.errno not in (errno.EAGAIN, errno.ENOBUFS, errno.ECONNREFUSED):
                self._log_limited("send", f"peers: send: {error}")

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
    """The first few of many names, for a log line."""
    return " ".join(names[:maximum]) + (" ..." if len(names) > maximum else "")


def _address(name: str) -> tuple[str, int]:
    host, _, port = unpack_address(pack_address(name)).rpartition(":")
    return host, int(port)
