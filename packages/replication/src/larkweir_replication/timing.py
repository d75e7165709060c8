"""The timeouts and intervals of replicas."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timing:
    """Durations in milliseconds of the monotonic clock."""

    heartbeat_interval_ms: float = 80.0
    lease_duration_ms: float = 320.0  # from a heartbeat on; its receiver votes for no other node meanwhile
    lease_margin_ms: float = 40.0  # the holder stops relying on the lease this long before its end
    election_timeout_ms: float = 350.0  # without a message from the primary, before a candidacy
    election_timeout_spread_ms: float = 250.0  # upper bound of the random part of the election timeout
    connect_grace_ms: float = 60.0  # to connect after a start; randomized up to twice as long
    campaign_timeout_ms: float = 300.0  # until a candidacy is abandoned; randomized up to twice as long
    recover_interval_ms: float = 150.0  # between requests of a replica without a usable state
    join_interval_ms: float = 300.0  # between requests of a node that is not a member
    leave_interval_ms: float = 100.0  # between requests of a node that is about to stop
    leaving_election_delay_ms: float = 500.0  # added to the election timeout of a node that is about to stop
    replace_after_silence_ms: float = 1_500.0  # a member that is silent this long may be replaced
    remove_after_silence_ms: float = 3_000.0  # then a group above its target size removes the silent member
    unreachable_after_silence_ms: float = 400.0  # the primary reports a member that is silent this long
    min_leave_ms: float = 1_500.0  # gives a node that has just started time to replace the leaving one
    max_leave_ms: float = 6_000.0  # then a leaving node exits, even if the group may lose its majority
    stable_membership_ms: float = 10_000.0  # a change this recent may be the leaving node's replacement
