"""How long replicas wait for each other."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timing:
    """Durations in milliseconds of the steady clock."""

    heartbeat_interval_ms: float = 80.0
    lease_duration_ms: float = (
        320.0  # from a heartbeat on; meanwhile its receiver helps to elect no other primary
    )
    lease_margin_ms: float = 40.0  # before the end of the lease, at which its holder stops relying on it
    election_timeout_ms: float = 350.0  # without a message of the primary, before a candidacy
    election_timeout_spread_ms: float = 250.0  # added at random, up to so much
    connect_grace_ms: float = 60.0  # for connections after a start; at random up to twice as long
    campaign_timeout_ms: float = 300.0  # a candidacy is given up after it; at random up to twice as long
    recover_interval_ms: float = 150.0  # between requests of a replica that has lost its memory
    join_interval_ms: float = 300.0  # between requests of a node that is no member
    leave_interval_ms: float = 100.0  # between requests of a node that is about to stop
    leaving_election_delay_ms: float = 500.0  # added to the election timeout of a node that is about to stop
    replace_after_silence_ms: float = 1_500.0  # after which a silent member may be replaced
    remove_after_silence_ms: float = 3_000.0  # the same, removed from a group that is larger than its target
    unreachable_after_silence_ms: float = 400.0  # after which the primary reports a silent member
    min_leave_ms: float = 1_500.0  # for a node that has just started and is to replace the leaving one
    max_leave_ms: float = 6_000.0  # after which a leaving node ends whatever the group can bear without it
    stable_membership_ms: float = 10_000.0  # since a change whose newcomer may have been for the leaving node
