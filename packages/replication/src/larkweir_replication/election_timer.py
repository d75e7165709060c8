"""The one timer of a replica outside a term as primary, with the random waits that keep candidates apart."""

from __future__ import annotations

from random import Random

from larkweir_replication.timing import Timing


class ElectionTimer:
    """When the present status acts or ends: a follower's election timeout, a candidacy's end, the next recovery round.

    Random waits break ties between candidates (Raft, Ongaro and Ousterhout 2014, section 5.2).
    """

    def __init__(self, timing: Timing, rng: Random, now_ms: float) -> None:
        """`rng`: the replica's own source of chance."""
        self._timing = timing
        self._rng = rng
        self._deadline_ms = now_ms

    def is_due(self, now_ms: float) -> bool:
        """Whether the wait is over."""
        return now_ms >= self._deadline_ms

    def restart(self, now_ms: float, wait_ms: float) -> None:
        """Waits `wait_ms` from now on."""
        self._deadline_ms = now_ms + wait_ms

    def extend(self, now_ms: float, wait_ms: float) -> None:
        """Waits at least `wait_ms` from now on."""
        self._deadline_ms = max(self._deadline_ms, now_ms + wait_ms)

    def draw_election_timeout_ms(self, is_leaving: bool) -> float:
        """How long a follower waits for the primary; longer for a node that is about to stop."""
        penalty_ms = self._timing.leaving_election_delay_ms if is_leaving else 0.0
        spread_ms = self._timing.election_timeout_spread_ms * self._rng.random()
        return self._timing.election_timeout_ms + spread_ms + penalty_ms

    def draw_campaign_timeout_ms(self) -> float:
        """How long a candidacy lasts: once to twice the configured time."""
        return self._timing.campaign_timeout_ms * (1.0 + self._rng.random())

    def draw_connect_grace_ms(self) -> float:
        """How long connections take after a start: once to twice the configured time."""
        return self._timing.connect_grace_ms * (1.0 + self._rng.random())

    def draw_succession_delay_ms(self) -> float:
        """How long a follower waits after the primary has resigned: up to one heartbeat."""
        return self._timing.heartbeat_interval_ms * self._rng.random()
