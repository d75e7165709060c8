"""The parameters of the protocol, and what follows from them for a fleet of some size."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, log10
from typing import NamedTuple


class SuspicionTimeouts(NamedTuple):
    """The bounds of a suspicion's time-out."""

    min_ms: float
    max_ms: float


@dataclass(frozen=True, slots=True)
class ProtocolConfig:
    """Times are in milliseconds. The suspicion's parameters are Lifeguard's (section IV-B)."""

    probe_interval_ms: float = 500.0  # SWIM section 3.1: the protocol period
    ack_timeout_ms: float = 200.0  # from a ping until indirect probes are sent
    indirect_probes: int = 3  # ping requests for a target that does not answer
    suspicion_factor: float = 4.0  # the minimum time-out, in probe intervals times log10 of the processes
    max_suspicion_factor: float = 6.0  # the maximum time-out, in minimum time-outs (beta)
    suspicion_confirmations: int = 3  # that bring the time-out down to its minimum
    retransmit_factor: int = 4  # how often each process passes an update on, in log10 of the processes
    gone_ping_periods: int = 2  # from ping to ping of a dead member, so that a partition heals; 0: never
    max_health_score: int = 8
    datagrams_per_s: float = 64.0  # that this process sends
    burst_datagrams: float = 128.0

    def retransmissions(self, process_count: int) -> int:
        """How often each process passes an update on (SWIM section 4.1)."""
        return self.retransmit_factor * ceil(log10(process_count + 1))

    def suspicion_timeouts_ms(self, process_count: int) -> SuspicionTimeouts:
        """The time-out of a suspicion: the maximum without confirmations, the minimum with all."""
        min_ms = self.suspicion_factor * max(1.0, log10(max(1, process_count))) * self.probe_interval_ms
        return SuspicionTimeouts(min_ms, min_ms * self.max_suspicion_factor)
