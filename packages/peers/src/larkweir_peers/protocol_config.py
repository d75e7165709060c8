"""The parameters of the protocol, and the values derived from them for a given number of processes."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, log10
from typing import NamedTuple


class SuspicionTimeouts(NamedTuple):
    """The shortest and the longest timeout of a suspicion."""

    min_ms: float
    max_ms: float


@dataclass(frozen=True, slots=True)
class ProtocolConfig:
    """The parameters of the protocol. Those of suspicions are from Lifeguard (section IV-B)."""

    probe_interval_ms: float = 500.0  # SWIM section 3.1: the protocol period
    ack_timeout_ms: float = 200.0  # without an ack for this long, indirect probes are sent
    indirect_probes: int = 3  # ping requests sent for a target that does not answer
    suspicion_factor: float = 4.0  # minimum timeout, in probe intervals times log10(process count)
    max_suspicion_factor: float = 6.0  # maximum timeout, as a multiple of the minimum (beta)
    suspicion_confirmations: int = 3  # confirmations that reduce the timeout to its minimum
    retransmit_factor: int = 4  # times that each process sends an update, per log10(process count)
    gone_ping_periods: int = 2  # probe periods between pings of gone members, which heal partitions; 0: never
    max_health_score: int = 8
    datagrams_per_s: float = 64.0  # send limit of this process
    burst_datagrams: float = 128.0

    def retransmissions(self, process_count: int) -> int:
        """How many times each process sends an update (SWIM section 4.1)."""
        return self.retransmit_factor * ceil(log10(process_count + 1))

    def suspicion_timeouts_ms(self, process_count: int) -> SuspicionTimeouts:
        """The timeouts of a suspicion: the maximum applies without confirmations, the minimum with all of them."""
        min_ms = self.suspicion_factor * max(1.0, log10(max(1, process_count))) * self.probe_interval_ms
        return SuspicionTimeouts(min_ms, min_ms * self.max_suspicion_factor)
