"""Switches for the router fleet's decision mechanisms, for ablation studies; not settings for operators.

`benchmarks/fleet_ablation.py` runs copies of the source with one of them off. Production uses the defaults.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DecisionOptions:
    """One field for each mechanism, on a line of its own, because `fleet_ablation` edits the source by line."""

    # Controllers decide which engine owns a prompt prefix; if off, its preference order does.
    controller_prefix_owners: bool = True
    # A router remembers which engines it sent a prefix to.
    remembered_prefixes: bool = True
    # A prefix is prefilled again on an idle engine that would be in time, if its owner would be late.
    leave_late_prefix_owners: bool = True
    # Other requests avoid engines with a large prefill backlog.
    avoid_prefill_backlog: bool = True
    # Routers report their waiting prompts to their peers.
    peer_prefill_backlog: bool = True
    # Long prompts are reported to peers at once, not with the next pull.
    announce_long_prompts: bool = True
    # Upstreams with a token and an open connection are preferred.
    prefer_open_connections: bool = True
    # Only requests that wait for their first event use up an engine's token; if off, any request does.
    tokens_by_first_event: bool = True
    # A failure withholds the token, for longer each time.
    failure_backoff: bool = True
    # A request that found no free slot withholds the token.
    full_backoff: bool = True
    # Upstreams that fail requests across the fleet are ejected.
    fleet_ejection: bool = True
    # An overdue request that may be retried is retried elsewhere.
    retry_overdue: bool = True
    # The timeout of new connections adapts to how long earlier ones took.
    adaptive_connect_timeout: bool = True


OPTIONS = DecisionOptions()
