"""The timer of a replica that is not the primary, with random waits that prevent simultaneous candidacies."""

from __future__ import annotations

from random import Random

from larkweir_replication.timing import Timing


class ElectionTimer:
    """The next deadline of the current status: election timeout, end of a candidacy, or next recovery request.

    Random waits break ties between candidates (Raft, Ongaro and Ousterhout 2014, section 5.2).
    """

    def __init__(self, timing: Timing, rng: Random, now_ms: float) -> None:
        """`rng`: the replica's own random number generator."""
        self._timing = timing
        self._rng = rng
        self._deadline_ms = now_ms

    def is_due(self, now_ms: float) -> bool:
        """Whether the deadline has passed."""
        return now_ms >= self._deadline_ms

    def restart(self, now_ms: float, wait_ms: float) -> None:
        """Sets the deadline to `wait_ms` from now."""
        self._deadline_ms = now_ms + wait_ms

    def extend(self, now_ms: float, wait_ms: float) -> None:
        """Moves the deadline to at least `wait_ms` from now; never to an earlier time."""
        self._deadline_ms = max(self._deadline_ms, now_ms + wait_ms)

    def draw_election_timeout_ms(self, is_leaving: bool) -> float:
        """Draws how long a follower waits for the primary; a node that is about to stop waits longer."""
        penalty_ms = self._timing.leaving_election_delay_ms if is_leaving else 0.0
        spread_ms = self._timing.election_timeout_spread_ms * self._rng.random()
        return self._timing.election_timeout_ms + spread_ms + penalty_ms

    def draw_campaign_timeout_ms(self) -> float:
        """Draws how long a candidacy lasts: one to two times the configured duration."""
        return self._timing.campaign_timeout_ms * (1.0 + self._rng.random())

    def draw_connect_grace_ms(self) -> float:
        """Draws how long to wait for connections after a start: one to two times the configured duration."""
        return self._timing.connect_grace_ms * (1.0 + self._rng.random())

    def draw_succession_delay_ms(self) -> float:
        """Draws how long a follower waits after the primary has resigned: up to one heartbeat interval."""
        return self._timing.heartbeat_interval_ms * self._rng.random()
