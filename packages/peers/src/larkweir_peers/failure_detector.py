"""The failure detector: schedules probes, evaluates their outcome, and relays probes on behalf of other members.

Implements SWIM sections 3.1 and 4.3 (round robin over a shuffled list) and Lifeguard section IV-A (negative
acknowledgements, and longer intervals and timeouts while this process is itself unhealthy). In addition to both, the
target is pinged once more when indirect probes are sent, and is suspected only after two failed probes in a row.
Otherwise false suspicions would grow with the size of the fleet and the packet loss until updates about them filled
every datagram: at 10 % loss one probe in 130 fails, but only one in 16,000 fails twice in a row.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from math import inf
from typing import NamedTuple

from larkweir_peers.local_health import LocalHealth
from larkweir_peers.membership import GONE_STATES, Membership
from larkweir_peers.ports import ProbeSender, RandomSource
from larkweir_peers.protocol_config import ProtocolConfig


@dataclass(slots=True)
class _Probe:
    target: str
    expected_replies: dict[
        int, str
    ]  # sequence number of a ping or ping request: the member that may answer it
    indirect_due_ms: float  # infinity once indirect probes were sent, or after an ack
    expected_nacks: int = 0
    received_nacks: int = 0
    is_acked: bool = False
    is_retry: bool = False  # the previous probe of the same member has failed


class _RelayedProbe(NamedTuple):
    """A probe on behalf of another member."""

    target: str
    requester: str
    request_number: int
    nack_due_ms: float
    expires_ms: float


class FailureDetector:
    """Probes one member per probe interval, and reports a member to the membership after two failures in a row."""

    MAX_RELAYED_PROBES = 256
    NACK_DELAY_FACTOR = 0.8  # fraction of `ack_timeout_ms` after which the requester is sent a nack

    def __init__(
        self,
        membership: Membership,
        config: ProtocolConfig,
        health: LocalHealth,
        random_source: RandomSource,
        sender: ProbeSender,
        now_ms: float,
    ) -> None:
        self._membership = membership
        self._config = config
        self._health = health
        self._random_source = random_source
        self._sender = sender
        self._order: list[str] = []
        self._probe: _Probe | None = None
        self._retry_target: str | None = None
        self._next_probe_ms = now_ms + random_source.random() * config.probe_interval_ms
        self._periods = 0
        self._relayed: dict[int, _RelayedProbe] = {}  # by the ping's sequence number; oldest first
        self._nacks_due: dict[int, None] = {}  # the keys of `_relayed` for which no nack was sent yet
        self.failed_probes = 0

    @property
    def due_ms(self) -> float:
        """When `tick` is due."""
        due = self._next_probe_ms
        if self._probe is not None:
            due = min(due, self._probe.indirect_due_ms)
        if self._nacks_due:
            due = min(due, self._relayed[next(iter(self._nacks_due))].nack_due_ms)
        return due

    def tick(self, now_ms: float) -> None:
        """Send the messages that are due: nacks, indirect probes, or the next probe once the interval is over."""
        self._expire_relayed(now_ms)
        probe = self._probe
        if now_ms >= self._next_probe_ms:
            self._finish_probe(now_ms)
            self._start_probe(now_ms)
        elif probe is not None and now_ms >= probe.indirect_due_ms:
            self._send_ping_requests(probe, now_ms)

    def on_process_paused(self, now_ms: float) -> None:
        """Discard all probes in progress: after a pause of this process their outcome is meaningless."""
        self._probe = self._retry_target = None
        self._next_probe_ms = now_ms
        self._relayed.clear()
        self._nacks_due.clear()

    def on_peers_replaced(self, added: Sequence[str], removed: Collection[str]) -> None:
        """Insert added members at random positions of the round (SWIM section 4.3); drop the probes of removed ones."""
        if removed:
            self._order = [name for name in self._order if name not in removed]
            outdated = [n for n, of in self._relayed.items() if {of.target, of.requester} & {*removed}]
            for number in outdated:
                del self._relayed[number]
                self._nacks_due.pop(number, None)
            self._retry_target = None if self._retry_target in removed else self._retry_target
            probe = self._probe
            if probe is not None and probe.target in removed:
                self._probe = None
            elif probe is not None:  # removed helpers can't send a nack; this must not lower local health
                gone = sum(helper in removed for helper in probe.expected_replies.values())
                probe.expected_nacks = max(probe.received_nacks, probe.expected_nacks - gone)
        for name in added:
            self._order.insert(int(self._random_source.random() * (len(self._order) + 1)), name)

    # Own probes

    def _finish_probe(self, now_ms: float) -> None:
        probe, self._probe = self._probe, None
        if probe is None:
            return
        if probe.is_acked:
            self._health.adjust(-1)
            return
        self._health.adjust(probe.expected_nacks - probe.received_nacks if probe.expected_nacks else 1)
        self.failed_probes += 1
        if probe.is_retry:
            self._membership.on_probe_failed(probe.target, now_ms)
        else:
            self._retry_target = probe.target

    def _start_probe(self, now_ms: float) -> None:
        multiplier = self._health.multiplier
        self._next_probe_ms = now_ms + self._config.probe_interval_ms * multiplier
        self._periods += 1
        if self._config.gone_ping_periods and self._periods % self._config.gone_ping_periods == 0:
            gone = self._membership.gone_members()
            if gone:
                self._sender.ping(gone[int(self._random_source.random() * len(gone))], now_ms)
        retry_target, self._retry_target = self._retry_target, None
        target = retry_target or self._next_target()
        if target is None:
            return
        number = self._sender.ping(target, now_ms)
        if number is not None:
            indirect_due_ms = now_ms + self._config.ack_timeout_ms * multiplier
            self._probe = _Probe(target, {number: target}, indirect_due_ms, is_retry=retry_target is not None)

    def _next_target(self) -> str | None:
        members = self._membership.members
        for _ in range(2):
            while self._order:
                name = self._order.pop()
                if members[name].state not in GONE_STATES:
                    return name
            self._order = [name for name, member in members.items() if member.state not in GONE_STATES]
            self._random_source.shuffle(self._order)
        return None

    def _send_ping_requests(self, probe: _Probe, now_ms: float) -> None:
        probe.indirect_due_ms = inf
        number = self._sender.ping(probe.target, now_ms)
        if number is not None:
            probe.expected_replies[number] = probe.target
        others = list(self._membership.alive())
        for _ in range(self._config.indirect_probes):
            if not others:
                return
            at = int(self._random_source.random() * len(others))
            others[at], others[-1] = others[-1], others[at]
            helper = others.pop()
            if helper == probe.target:
                continue
            number = self._sender.ping_request(helper, probe.target, now_ms)
            if number is not None:
                probe.expected_replies[number] = helper
                probe.expected_nacks += 1

    # Replies

    def on_ack(self, source: str, request_number: int, now_ms: float) -> bool:
        """Handle an ack, and relay it if its ping was sent for another member. Returns whether it was expected."""
        relayed = self._relayed.get(request_number)
        if relayed is not None and relayed.target == source:
            del self._relayed[request_number]
            self._nacks_due.pop(request_number, None)
            self._sender.ack(relayed.requester, relayed.request_number, now_ms)
            return True
        probe = self._probe
        if probe is None or probe.expected_replies.get(request_number) != source:
            return False
        probe.is_acked, probe.indirect_due_ms = True, inf
        return True

    def on_nack(self, source: str, request_number: int) -> bool:
        """Handle a nack. Returns whether it was expected."""
        probe = self._probe
        if probe is None or probe.expected_replies.get(request_number) != source or source == probe.target:
            return False
        probe.received_nacks += 1
        return True

    # Probes on behalf of others

    def on_ping_request(self, source: str, target: str, request_number: int, now_ms: float) -> None:
        """Ping `target` on behalf of `source`. Ignored if too many relayed probes are in progress."""
        if len(self._relayed) >= self.MAX_RELAYED_PROBES:
            return
        number = self._sender.ping(target, now_ms)
        if number is not None:
            nack_due_ms = now_ms + self.NACK_DELAY_FACTOR * self._config.ack_timeout_ms
            expires_ms = now_ms + 2.0 * self._config.probe_interval_ms
            self._relayed[number] = _RelayedProbe(target, source, request_number, nack_due_ms, expires_ms)
            self._nacks_due[number] = None

    def _expire_relayed(self, now_ms: float) -> None:
        while self._nacks_due:
            number = next(iter(self._nacks_due))
            relayed = self._relayed[number]
            if now_ms < relayed.nack_due_ms:
                break
            del self._nacks_due[number]
            self._sender.nack(relayed.requester, relayed.request_number, now_ms)
        while self._relayed:
            number, relayed = next(iter(self._relayed.items()))
            if now_ms < relayed.expires_ms:
                break
            del self._relayed[number]
            self._nacks_due.pop(number, None)
