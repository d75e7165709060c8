"""Builds the messages that a process sends (headers, updates and tags), and limits their rate."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from math import inf
from typing import NamedTuple

from larkweir_peers.addresses import pack_address
from larkweir_peers.authentication import DatagramAuthenticator
from larkweir_peers.errors import ItemError
from larkweir_peers.fragmentation import split_item
from larkweir_peers.membership import Member, Membership
from larkweir_peers.messages import (
    MAX_ITEM_BYTES,
    Ack,
    Fragment,
    MemberUpdate,
    Message,
    Nack,
    Ping,
    PingRequest,
    encode,
    max_updates,
    short_process_start,
)
from larkweir_peers.protocol_config import ProtocolConfig
from larkweir_peers.rate_limiter import TokenBucket


class Datagram(NamedTuple):
    """A datagram to be sent. `to` is the address as text."""

    to: str
    data: bytes


class DatagramSender:
    """Appends each message that the send limit allows to the queue `datagrams`, which the caller empties."""

    MAX_QUEUED_DATAGRAMS = 1_024
    MEMBERSHIP_RESERVE_FRACTION = 0.25  # fraction of the burst reserved for membership messages
    HINT_INTERVAL_MS = 250.0  # minimum time between two hints to a member

    def __init__(
        self,
        membership: Membership,
        authenticator: DatagramAuthenticator,
        config: ProtocolConfig,
        now_ms: float,
    ) -> None:
        self.datagrams: deque[Datagram] = deque()
        self.sent = self.rejected = 0
        self._membership = membership
        self._authenticator = authenticator
        self._config = config
        self._send_limiter = TokenBucket(config.datagrams_per_s, config.burst_datagrams, now_ms)
        self._last_sequence_number = 0
        self._last_item_id = 0
        self._hinted_ms: dict[str, float] = {}

    def post(self, to: str, channel: int, item: bytes, now_ms: float) -> bool:
        """Send an item once; see `PeerProtocol.post`."""
        if len(item) > MAX_ITEM_BYTES or not 1 <= channel <= 255:
            raise ItemError(
                f"item of {len(item)} bytes on channel {channel}: limits are {MAX_ITEM_BYTES} bytes, channels 1 to 255"
            )
        member = self._membership.members.get(to)
        if member is None:
            return False
        if not member.incarnation:
            self.send_hint(member, now_ms)
            return False
        fragments = split_item(item)
        reserve = self._config.burst_datagrams * self.MEMBERSHIP_RESERVE_FRACTION
        has_capacity = len(self.datagrams) + len(fragments) <= self.MAX_QUEUED_DATAGRAMS
        if not has_capacity or not self._send_limiter.try_acquire(len(fragments), reserve, now_ms):
            self.rejected += 1
            return False
        self._last_item_id += 1
        for index, data in enumerate(fragments):
            header = self._header(member, len(data) + 15)
            self._enqueue(member, Fragment(*header, channel, self._last_item_id, index, len(fragments), data))
        return True

    def ping(self, to: str, now_ms: float) -> int | None:
        """Ping a member. Returns the sequence number, or None if the send limit does not allow it."""
        member = self._allow_send(to, now_ms)
        return None if member is None else self._enqueue(member, Ping(*self._header(member, 0)))

    def ping_request(self, to: str, target: str, now_ms: float) -> int | None:
        """Ask a member to ping `target`. Returns the same as `ping`."""
        member = self._allow_send(to, now_ms)
        if member is None:
            return None
        return self._enqueue(member, PingRequest(*self._header(member, 8), pack_address(target)))

    def ack(self, to: str, request_number: int, now_ms: float) -> int | None:
        """Acknowledge a ping or a ping request. Returns the same as `ping`."""
        member = self._allow_send(to, now_ms)
        return (
            None if member is None else self._enqueue(member, Ack(*self._header(member, 9), request_number))
        )

    def nack(self, to: str, request_number: int, now_ms: float) -> int | None:
        """Report that the target of a ping request has not answered yet. Returns the same as `ping`."""
        member = self._allow_send(to, now_ms)
        return (
            None if member is None else self._enqueue(member, Nack(*self._header(member, 9), request_number))
        )

    def send_hint(self, member: Member, now_ms: float) -> None:
        """Ping a member outside the probe schedule, to send it its state as known here and the sender's incarnation."""
        last = self._hinted_ms.get(member.name, -inf)
        if now_ms - last >= self.HINT_INTERVAL_MS:
            self._hinted_ms[member.name] = now_ms
            self.ping(member.name, now_ms)

    def forget_peers(self, removed: Collection[str]) -> None:
        """Drop the queued datagrams to peers that are no longer listed."""
        for name in removed:
            self._hinted_ms.pop(name, None)
        if removed:
            self.datagrams = deque(item for item in self.datagrams if item.to not in removed)

    def _allow_send(self, to: str, now_ms: float) -> Member | None:
        has_capacity = len(self.datagrams) < self.MAX_QUEUED_DATAGRAMS
        if not has_capacity or not self._send_limiter.try_acquire(1, 0.0, now_ms):
            self.rejected += 1
            return None
        return self._membership.members[to]

    def _header(self, to: Member, body_bytes: int) -> tuple[bytes, int, int, int, list[MemberUpdate]]:
        """The fields of `Message`, in order."""
        self._last_sequence_number += 1
        membership, number = self._membership, self._last_sequence_number
        updates = membership.updates_for(to, max_updates(body_bytes))
        receiver_start = short_process_start(to.incarnation)
        return membership.address_bytes, membership.incarnation, receiver_start, number, updates

    def _enqueue(self, to: Member, message: Message) -> int:
        self.sent += 1
        self.datagrams.append(Datagram(to.name, self._authenticator.sign(to.address_bytes, encode(message))))
        return message.sequence_number
