"""The protocol of one process, without I/O: takes datagrams and the time, and produces datagrams, items and events."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from larkweir_peers.addresses import is_loopback, pack_address, unpack_address
from larkweir_peers.authentication import DatagramAuthenticator
from larkweir_peers.drop_reasons import DropReason
from larkweir_peers.errors import FragmentError, MessageDecodeError, PeersError
from larkweir_peers.failure_detector import FailureDetector
from larkweir_peers.fragmentation import Reassembler
from larkweir_peers.local_health import LocalHealth
from larkweir_peers.membership import GONE_STATES, ListChange, Member, Membership
from larkweir_peers.messages import (
    MAX_DATAGRAM_BYTES,
    MAX_ITEM_BYTES,
    Ack,
    Fragment,
    Message,
    Nack,
    Ping,
    PingRequest,
    decode,
    process_start_of,
    short_process_start,
)
from larkweir_peers.ports import RandomSource
from larkweir_peers.protocol_config import ProtocolConfig
from larkweir_peers.replay_window import ReplayWindow
from larkweir_peers.sender import Datagram, DatagramSender

MAX_PEERS = 4_096


class Item(NamedTuple):
    """A completely received item. `source` is the sender's address as text."""

    source: str
    channel: int
    data: bytes


class PeerProtocol:
    """The protocol state of one process.

    `on_datagram` never raises, whatever a peer sends. After each call, the driver must empty `datagrams`, `items` and
    `membership.events`, and schedule a call of `tick` at `next_ms`.
    """

    MAX_QUEUED_ITEMS = 256
    MAX_REMOVED_WINDOWS = 1_024  # replay windows kept for peers that are no longer listed

    def __init__(
        self,
        address: str,
        others: Sequence[str],
        random_source: RandomSource,
        now_ms: float,
        process_start_ms: int,
        keys: Sequence[bytes] = (),
        config: ProtocolConfig | None = None,
    ) -> None:
        """`address` and `others` are the addresses at which this process and its peers reach each other. For
        `process_start_ms` see `Membership`.

        Raises:
            PeersError: an address or a key is invalid, there are too many of them, or an address is not on loopback
                and there is no key.
        """
        self._address_bytes = pack_address(address)
        self._authenticator = DatagramAuthenticator(keys)
        self._validate((address, *others), others)
        self.address = address
        self.config = config = config if config is not None else ProtocolConfig()
        self.health = LocalHealth(config.max_health_score)
        self.membership = Membership(address, others, process_start_ms, config, self.health)
        self.sender = DatagramSender(self.membership, self._authenticator, config, now_ms)
        self.items: deque[Item] = deque()
        self.dropped: dict[str, int] = {reason.value: 0 for reason in DropReason}
        self.received = self.pauses = 0
        self._reassembler = Reassembler()
        self._windows: dict[str, ReplayWindow] = {}
        self._removed_windows: dict[
            str, ReplayWindow
        ] = {}  # of peers that are no longer listed; oldest first
        self._failure_detector = FailureDetector(
            self.membership, config, self.health, random_source, self.sender, now_ms
        )

    def _validate(self, names: Sequence[str], others: Sequence[str]) -> None:
        for name in names:
            pack_address(name)
        remote = next((name for name in names if not is_loopback(name)), None)
        if remote is not None and not self._authenticator.keys:
            raise PeersError(f"{remote} is not a loopback address, so a key is required")
        if len(others) > MAX_PEERS:
            raise PeersError(f"{len(others)} peers are listed; the maximum is {MAX_PEERS}")

    def replace_peers(self, others: Sequence[str], now_ms: float) -> ListChange:
        """Replace the list of peers. Returns the added and removed addresses.

        All state of a removed peer is dropped except its replay window, without which its old datagrams could be
        replayed once it is listed again. The last `MAX_REMOVED_WINDOWS` of these windows are kept.

        Raises:
            PeersError: as for the constructor. The list is unchanged.
        """
        self._validate(others, others)
        change = self.membership.replace_peers(others, now_ms)
        added, removed = change
        removed_names = frozenset(removed)
        for name in removed:
            self._reassembler.forget_peer(name)
            window = self._windows.pop(name, None)
            if window is not None:
                self._removed_windows[name] = window
        while len(self._removed_windows) > self.MAX_REMOVED_WINDOWS:
            del self._removed_windows[next(iter(self._removed_windows))]
        for name in added:
            if name in self._removed_windows:
                self._windows[name] = self._removed_windows.pop(name)
        self.sender.forget_peers(removed_names)
        if removed_names:
            self.items = deque(item for item in self.items if item.source not in removed_names)
        self._failure_detector.on_peers_replaced(added, removed_names)
        return change

    # State

    @property
    def datagrams(self) -> deque[Datagram]:
        """The queue of datagrams to be sent."""
        return self.sender.datagrams

    def alive(self) -> Sequence[str]:
        """The peers that are believed to be alive. This is a hint and may be out of date."""
        return self.membership.alive()

    @property
    def next_ms(self) -> float:
        """When `tick` is due."""
        return min(self._failure_detector.due_ms, self.membership.due_ms, self._reassembler.due_ms)

    def counters(self) -> dict[str, int]:
        """The counters by their names in STATUS: members by state, local health, datagrams sent and received, and drops
        by reason.
        """
        found = {state.name.lower(): number for state, number in self.membership.counts_by_state().items()}
        found |= {"health": self.health.score, "sent": self.sender.sent, "received": self.received}
        found |= {"refused": self.sender.rejected, "stalls": self.pauses}
        found |= {"unfinished": self._reassembler.dropped}
        return found | {reason: number for reason, number in self.dropped.items() if number}

    # Receiving

    def on_datagram(self, source: str, data: bytes, now_ms: float) -> None:
        """Process a datagram from the address `source`. An invalid one is dropped and counted in `dropped`."""
        self.received += 1
        reason = self._process(source, data, now_ms)
        if reason is not None:
            self.dropped[reason] += 1

    def _process(self, source: str, data: bytes, now_ms: float) -> DropReason | None:
        if len(data) > MAX_DATAGRAM_BYTES:
            return DropReason.TOO_LONG
        member = self.membership.members.get(source)
        if member is None:
            return DropReason.UNLISTED_SOURCE
        message_bytes = self._authenticator.verify(self._address_bytes, data)
        if message_bytes is None:
            return DropReason.NOT_AUTHENTIC
        try:
            message = decode(message_bytes)
        except MessageDecodeError as error:
            return error.reason
        if message.sender != member.address_bytes:
            return DropReason.SENDER_MISMATCH
        reason = self._check_replay(member, message)
        if reason is not None:
            if reason is DropReason.FORMER_INCARNATION:
                # This may be a new process whose clock is behind. The hint makes it raise its incarnation.
                member.needs_known_incarnation = True
                self.sender.send_hint(member, now_ms)
            return reason
        self.membership.on_message_from(member, message.incarnation, now_ms)
        for update in message.updates:
            self.membership.on_update(update, now_ms)
        reason = self._handle(member, message, now_ms)
        if member.state in GONE_STATES and not isinstance(message, Ping):
            self.sender.send_hint(member, now_ms)  # it does not know that it is DEAD or LEFT here
        return reason

    def _check_replay(self, member: Member, message: Message) -> DropReason | None:
        process_start_ms = process_start_of(message.incarnation)
        # A later process may be known only from an update, which the replay window does not see.
        if process_start_ms < process_start_of(member.incarnation):
            return DropReason.FORMER_INCARNATION
        window = self._windows.setdefault(member.name, ReplayWindow())
        return window.check(process_start_ms, message.sequence_number)

    def _handle(self, member: Member, message: Message, now_ms: float) -> DropReason | None:
        source = member.name
        if isinstance(message, Ping):
            self.sender.ack(source, message.sequence_number, now_ms)
            return None
        if isinstance(message, PingRequest):
            target = unpack_address(message.target)
            if target in self.membership.members:
                self._failure_detector.on_ping_request(source, target, message.sequence_number, now_ms)
            else:  # lists differ during a change; the nack shows that this process is alive
                self.sender.nack(source, message.sequence_number, now_ms)
            return None
        if message.receiver_start != short_process_start(self.membership.incarnation):
            self.sender.send_hint(member, now_ms)
            return DropReason.WRONG_RECEIVER_INCARNATION
        if isinstance(message, Fragment):
            return self._on_fragment(source, message, now_ms)
        if isinstance(message, Ack):
            was_expected = self._failure_detector.on_ack(source, message.request_number, now_ms)
        else:
            assert isinstance(message, Nack)
            was_expected = self._failure_detector.on_nack(source, message.request_number)
        return None if was_expected else DropReason.UNEXPECTED_REPLY

    def _on_fragment(self, source: str, fragment: Fragment, now_ms: float) -> DropReason | None:
        try:
            item = self._reassembler.add_fragment(
                source,
                process_start_of(fragment.incarnation),
                fragment.item_id,
                fragment.index,
                fragment.fragment_count,
                fragment.data,
                now_ms,
            )
        except FragmentError:
            return DropReason.MALFORMED
        if item is None:
            return None
        if len(item) > MAX_ITEM_BYTES:
            return DropReason.MALFORMED
        if len(self.items) >= self.MAX_QUEUED_ITEMS:
            return DropReason.QUEUE_FULL
        self.items.append(Item(source, fragment.channel, item))
        return None

    # Time

    def tick(self, now_ms: float) -> None:
        """Process everything that is due. A tick that is late by at least a probe interval means that this process was
        paused. In that case no member is suspected for answers that this process missed.
        """
        late_ms = now_ms - self.next_ms
        if late_ms >= self.config.probe_interval_ms:
            self.pauses += 1
            self.health.adjust(1)
            self.membership.postpone_suspicions(late_ms)
            self._failure_detector.on_process_paused(now_ms)
        self._reassembler.expire(now_ms)
        self._failure_detector.tick(now_ms)
        self.membership.expire(now_ms)  # after the failure detector, whose probes may end a suspicion

    # Sending

    def post(self, to: str, channel: int, item: bytes, now_ms: float) -> bool:
        """Send an item once, without retransmission if it is lost. Returns whether it was sent. It is not sent if the
        send limit does not allow it, if `to` is not listed, or if there was no contact with `to` yet. In the last case
        `to` is pinged.

        Raises:
            ItemError: the item is longer than `MAX_ITEM_BYTES`, or the channel is not from 1 to 255.
        """
        return self.sender.post(to, channel, item, now_ms)

    def leave(self, now_ms: float) -> None:
        """Announce to a few peers that this process is shutting down. They gossip it to the others."""
        self.membership.leave()
        for name in self.alive()[: self.config.indirect_probes]:
            self.sender.ping(name, now_ms)
