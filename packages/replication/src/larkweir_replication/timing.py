"""How long replicas wait for each other."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timing:
    """Milliseconds of the steady clock."""

    heartbeat_interval_ms: float = 80.0
    lease_duration_ms: float = 320.0  # after a heartbeat no member helps to elect another primary
    lease_margin_ms: float = 40.0  # the holder stops so long before the lease ends
    election_timeout_ms: float = 350.0  # silence of a primary before a candidacy is tried
    election_timeout_spread_ms: float = 250.0  # up to so much more, by chance
    connect_grace_ms: float = 60.0  # that connections take after a start; up to twice that by chance
    campaign_timeout_ms: float = 300.0  # a candidacy is given up after it
    recover_interval_ms: float = 150.0  # between questions of a replica without memory
    join_interval_ms: float = 300.0  # between questions of a node that would be a member
    leave_interval_ms: float = 100.0  # the same of a node that is about to end
    leaving_election_delay_ms: float = (
        500.0  # so much later than others a node that is about to end is a candidate
    )
    replace_after_silence_ms: float = 1_500.0  # a member this silent may be replaced by a newcomer
    remove_after_silence_ms: float = 3_000.0  # the same, taken out of a group that is larger than it must be
