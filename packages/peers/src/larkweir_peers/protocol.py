"""One process among its peers: datagrams and time in; datagrams, items and changes of membership out."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from math import inf
from typing import NamedTuple

from larkweir_peers.addresses import is_loopback, pack_address, unpack_address
from larkweir_peers.authentication import DatagramAuthenticator, ReplayWindow
from larkweir_peers.failure_detector import FailureDetector
from larkweir_peers.fragmentation import Reassembler, split_item
from larkweir_peers.membership import GONE_STATES, Member, Membership
from larkweir_peers.messages import (
    MAX_DATAGRAM_BYTES,
    MAX_ITEM_BYTES,
    Ack,
    Fragment,
    MemberUpdate,
    Message,
    MessageDecodeError,
    Nack,
    Ping,
    PingRequest,
    decode,
    encode,
    max_updates,
    process_start_of,
    short_process_start,
)
from larkweir_peers.protocol_config import LocalHealth, ProtocolConfig, RandomSource, TokenBucket

MAX_PEERS = 4_096
DROP_REASONS = (
    "too_long",
    "stranger",  # from an address that is not listed
    "forged",  # no key has made its tag
    "version",
    "kind",
    "malformed",
    "not_itself",  # its sender is not the address that it came from
    "former_life",
    "late",  # further back than the window of numbers
    "again",
    "not_this_life",  # an item or an answer for a former life of this process
    "unasked",  # an answer that nothing waited for
    "full",  # an item that nobody has fetched in time
    "no_part",  # an item on a channel that no part here listens on
)


class Datagram(NamedTuple):
    to: str
    data: bytes


class Item(NamedTuple):
    source: str
    channel: int
    data: bytes


class PeersError(ValueError):
    """The list, the key or the own name does not do; one line."""


class PeerProtocol:
    """Whatever comes in, `came` does not raise. What goes out waits in `datagrams`, `items` and `members.events` until
    it is taken, which is due after each call.
    """

    MAX_QUEUED_DATAGRAMS = 1_024
    MAX_QUEUED_ITEMS = 256
    MAX_REMOVED_WINDOWS = 1_024  # peers that are listed no more, of which the numbers that came are kept
    MEMBERSHIP_RESERVE_FRACTION = 0.25  # of the burst, that items leave for membership
    HINT_INTERVAL_MS = 250.0  # from hint to hint to one peer

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
        """`me` and `others` are names, addresses as the others see them; `life_ms`: see `Members`. PeersError where a
        name is none, a key does not do, or there is no key and an address beyond loopback.
        """
        try:
            self._address_bytes = pack_address(address)
            self._authenticator = DatagramAuthenticator(keys)
        except ValueError as error:
            raise PeersError(str(error)) from None
        self._validate((address, *others), others)
        self.address = address
        self.config = config = config if config is not None else ProtocolConfig()
        self.health = LocalHealth(config.max_health_score)
        self.membership = Membership(address, others, process_start_ms, config, self.health)
        self.datagrams: deque[Datagram] = deque()
        self.items: deque[Item] = deque()
        self.dropped = dict.fromkeys(DROP_REASONS, 0)
        self.sent = self.received = self.rejected = self.pauses = 0
        self._reassembler = Reassembler()
        self._windows: dict[str, ReplayWindow] = {}
        self._removed_windows: dict[
            str, ReplayWindow
        ] = {}  # of peers that are listed no more; the oldest first
        self._send_limiter = TokenBucket(config.datagrams_per_s, config.burst_datagrams, now_ms)
        self._last_sequence_number = 0
        self._last_item_id = 0
        self._hinted_ms: dict[str, float] = {}
        self._failure_detector = FailureDetector(
            self.membership, config, self.health, random_source, self, now_ms
        )

    def _validate(self, names: Sequence[str], others: Sequence[str]) -> None:
        """PeersError where such a list does not do."""
        try:
            for name in names:
                pack_address(name)
        except ValueError as error:
            raise PeersError(str(error)) from None
        remote = next((name for name in names if not is_loopback(name)), None)
        if remote is not None and not self._authenticator.keys:
            raise PeersError(f"{remote} is beyond loopback: that takes a key")
        if len(others) > MAX_PEERS:
            raise PeersError(f"{len(others)} names; {MAX_PEERS} at the most")

    def replace_peers(self, others: Sequence[str], now_ms: float) -> tuple[list[str], list[str]]:
        """From now on these are the others. The names that came and those that went; PeersError, and all is as it was,
        where the list does not do.

        Who went is forgotten with all that was known, waited for or on its way to it. Only the numbers that came of its
        last life are kept, of so many that went last: else what it said before could be played again when it is back.
        """
        self._validate(others, others)
        added, removed = self.membership.replace_peers(others, now_ms)
        removed_names = frozenset(removed)
        for name in removed:
            self._reassembler.forget_peer(name)
            self._hinted_ms.pop(name, None)
            window = self._windows.pop(name, None)
            if window is not None:
                self._removed_windows[name] = window
        while len(self._removed_windows) > self.MAX_REMOVED_WINDOWS:
            del self._removed_windows[next(iter(self._removed_windows))]
        for name in added:
            if name in self._removed_windows:
                self._windows[name] = self._removed_windows.pop(name)
        if removed_names:
            self.datagrams = deque(item for item in self.datagrams if item.to not in removed_names)
            self.items = deque(item for item in self.items if item.source not in removed_names)
        self._failure_detector.on_peers_replaced(added, removed_names)
        return added, removed

    # ------------------------------------------------ what is asked

    def alive(self) -> Sequence[str]:
        """Whom to ask, as far as is known. Never what is true."""
        return self.membership.alive()

    @property
    def next_ms(self) -> float:
        """When `tick` is due."""
        return min(self._failure_detector.due_ms, self.membership.due_ms, self._reassembler.due_ms)

    def counters(self) -> dict[str, int]:
        """For STATUS: members by state, this process's health, datagrams, and what was dropped, by cause."""
        found = {state.name.lower(): number for state, number in self.membership.counts_by_state().items()}
        found |= {"health": self.health.score, "sent": self.sent, "received": self.received}
        found |= {"refused": self.rejected, "stalls": self.pauses, "unfinished": self._reassembler.dropped}
        return found | {reason: number for reason, number in self.dropped.items() if number}

    # ------------------------------------------------ what comes

    def on_datagram(self, source: str, data: bytes, now_ms: float) -> None:
        """A datagram. What can't be used is counted by its cause."""
        self.received += 1
        reason = self._process(source, data, now_ms)
        if reason:
            self.dropped[reason] += 1

    def _process(self, source: str, data: bytes, now_ms: float) -> str:
        if len(data) > MAX_DATAGRAM_BYTES:
            return "too_long"
        member = self.membership.members.get(source)
        if member is None:
            return "stranger"
        message_bytes = self._authenticator.verify(self._address_bytes, data)
        if message_bytes is None:
            return "forged"
        try:
            message = decode(message_bytes)
        except MessageDecodeError as error:
            return str(error)
        if message.sender != member.address_bytes:
            return "not_itself"
        process_start_ms = process_start_of(message.incarnation)
        # Also where a rumour alone has told of a later one.
        if process_start_ms < process_start_of(member.incarnation):
            reason = "former_life"
        else:
            reason = self._windows.setdefault(source, ReplayWindow()).check(
                process_start_ms, message.sequence_number
            )
        if reason:
            if reason == "former_life":
                # It may be a new life whose clock is behind: it lifts itself when it hears of the former one.
                member.needs_known_incarnation = True
                self._send_hint(member, now_ms)
            return reason
        self.membership.on_message_from(member, message.incarnation, now_ms)
        for update in message.updates:
            self.membership.on_update(update, now_ms)
        reason = self._handle(member, message, now_ms)
        if member.state in GONE_STATES and not isinstance(message, Ping):
            self._send_hint(member, now_ms)  # it does not know what is said of it
        return reason

    def _handle(self, member: Member, message: Message, now_ms: float) -> str:
        source = member.name
        if isinstance(message, Ping):
            self.ack(source, message.sequence_number, now_ms)
            return ""
        if isinstance(message, PingRequest):
            target = unpack_address(message.target)
            if target in self.membership.members:
                self._failure_detector.on_ping_request(source, target, message.sequence_number, now_ms)
            else:  # lists differ while they are changed: this process can't ask, but is here
                self.nack(source, message.sequence_number, now_ms)
            return ""
        if message.receiver_start != short_process_start(self.membership.incarnation):
            self._send_hint(member, now_ms)
            return "not_this_life"
        if isinstance(message, Fragment):
            return self._on_fragment(source, message, now_ms)
        if isinstance(message, Ack):
            return "" if self._failure_detector.on_ack(source, message.request_number, now_ms) else "unasked"
        assert isinstance(message, Nack)
        return "" if self._failure_detector.on_nack(source, message.request_number) else "unasked"

    def _on_fragment(self, source: str, fragment: Fragment, now_ms: float) -> str:
        process_start_ms = process_start_of(fragment.incarnation)
        try:
            item = self._reassembler.add_fragment(
                source,
                process_start_ms,
                fragment.item_id,
                fragment.index,
                fragment.fragment_count,
                fragment.data,
                now_ms,
            )
        except ValueError:
            return "malformed"
        if item is None or len(item) > MAX_ITEM_BYTES:
            return "" if item is None else "malformed"
        if len(self.items) >= self.MAX_QUEUED_ITEMS:
            return "full"
        self.items.append(Item(source, fragment.channel, item))
        return ""

    # ------------------------------------------------ time

    def tick(self, now_ms: float) -> None:
        """What is due by now. After a standstill of this process nobody else is judged by what it missed."""
        late_ms = now_ms - self.next_ms
        if late_ms >= self.config.probe_interval_ms:
            self.pauses += 1
            self.health.adjust(1)
            self.membership.postpone_suspicions(late_ms)
            self._failure_detector.on_process_paused(now_ms)
        self._reassembler.expire(now_ms)
        self._failure_detector.tick(now_ms)
        self.membership.expire(now_ms)  # also what a failed probe has just ended

    # ------------------------------------------------ what goes

    def post(self, to: str, channel: int, item: bytes, now_ms: float) -> bool:
        """Send an item once. False where the send budget says no, where `to` has not been heard of in any life yet (it
        is asked), or it is not listed. ValueError for an item or a channel out of bounds: the caller's mistake.
        """
        if len(item) > MAX_ITEM_BYTES or not 1 <= channel <= 255:
            raise ValueError(
                f"{len(item)} bytes on channel {channel}; {MAX_ITEM_BYTES} bytes, channels 1 to 255"
            )
        member = self.membership.members.get(to)
        if member is None:
            return False
        if not member.incarnation:
            self._send_hint(member, now_ms)
            return False
        fragments = split_item(item)
        reserve = self.config.burst_datagrams * self.MEMBERSHIP_RESERVE_FRACTION
        has_room = len(self.datagrams) + len(fragments) <= self.MAX_QUEUED_DATAGRAMS
        if not has_room or not self._send_limiter.try_acquire(len(fragments), reserve, now_ms):
            self.rejected += 1
            return False
        self._last_item_id += 1
        for index, data in enumerate(fragments):
            header = self._header(member, len(data) + 15)
            self._enqueue(member, Fragment(*header, channel, self._last_item_id, index, len(fragments), data))
        return True

    def leave(self, now_ms: float) -> None:
        """This process goes for good: a few peers are told, who tell the others."""
        self.membership.leave()
        for name in self.alive()[: self.config.indirect_probes]:
            self.ping(name, now_ms)

    def ping(self, to: str, now_ms: float) -> int | None:
        member = self._allow_send(to, now_ms)
        return None if member is None else self._enqueue(member, Ping(*self._header(member, 0)))

    def ping_request(self, to: str, target: str, now_ms: float) -> int | None:
        member = self._allow_send(to, now_ms)
        return (
            None
            if member is None
            else self._enqueue(member, PingRequest(*self._header(member, 8), pack_address(target)))
        )

    def ack(self, to: str, request_number: int, now_ms: float) -> int | None:
        member = self._allow_send(to, now_ms)
        return (
            None if member is None else self._enqueue(member, Ack(*self._header(member, 9), request_number))
        )

    def nack(self, to: str, request_number: int, now_ms: float) -> int | None:
        member = self._allow_send(to, now_ms)
        return (
            None if member is None else self._enqueue(member, Nack(*self._header(member, 9), request_number))
        )

    def _send_hint(self, member: Member, now_ms: float) -> None:
        """A ping out of turn, which tells what is believed of it, and this life; seldom."""
        last = self._hinted_ms.get(member.name, -inf)
        if now_ms - last >= self.HINT_INTERVAL_MS:
            self._hinted_ms[member.name] = now_ms
            self.ping(member.name, now_ms)

    def _allow_send(self, to: str, now_ms: float) -> Member | None:
        has_room = len(self.datagrams) < self.MAX_QUEUED_DATAGRAMS
        if not has_room or not self._send_limiter.try_acquire(1, 0.0, now_ms):
            self.rejected += 1
            return None
        return self.membership.members[to]

    def _header(self, to: Member, extra: int) -> tuple[bytes, int, int, int, list[MemberUpdate]]:
        self._last_sequence_number += 1
        updates = self.membership.updates_for(to, max_updates(extra))
        incarnation = self.membership.incarnation
        return (
            self._address_bytes,
            incarnation,
            short_process_start(to.incarnation),
            self._last_sequence_number,
            updates,
        )

    def _enqueue(self, to: Member, message: Message) -> int:
        self.sent += 1
        self.datagrams.append(Datagram(to.name, self._authenticator.sign(to.address_bytes, encode(message))))
        return message.sequence_number
