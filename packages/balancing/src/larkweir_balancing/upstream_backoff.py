"""Backoff: how long an upstream's token is withheld after an attempt there has ended. Pure logic."""

from __future__ import annotations

from larkweir_balancing.decision_options import OPTIONS
from larkweir_balancing.outcomes import Outcome
from larkweir_balancing.servers import Server

INITIAL_BACKOFF_MS = 250.0  # after a failed connection or call; doubles with each consecutive failure
MAX_BACKOFF_MS = 4_000.0
MAX_COUNTED_FAILURES = 8
FULL_BACKOFF_MS = 150.0  # after an upstream had no free slot

NOT_UPSTREAM_FAULTS = frozenset(
    (Outcome.OK, Outcome.CANCELLED, Outcome.MOOT, Outcome.REJECTED, Outcome.ERROR)
)


def record_outcome(server: Server, outcome: Outcome) -> float | None:
    """Update the server's consecutive failures; returns the backoff in ms, or None for no backoff."""
    if outcome is Outcome.FULL:
        return FULL_BACKOFF_MS if OPTIONS.full_backoff else None
    if outcome in NOT_UPSTREAM_FAULTS:
        server.consecutive_failures = 0
        return None
    if not OPTIONS.failure_backoff:
        return None
    backoff_ms: float = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2**server.consecutive_failures)
    server.consecutive_failures = min(server.consecutive_failures + 1, MAX_COUNTED_FAILURES)
    return backoff_ms
